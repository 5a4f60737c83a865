"""The table of result codes and the page that documents it."""

import pathlib

from rosemarycrank import results

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'RESULT_CODES.md'


def test_page_contains_the_generated_table():
    """The page is out of date if a code changed and the page did not."""
    assert results.markdown_table() in PAGE.read_text()


def test_numbers_are_unique_and_found():
    numbers = [result.number for result in results.Result]
    assert len(set(numbers)) == len(numbers)
    assert all(results.from_number(r.number) is r for r in results.Result)
