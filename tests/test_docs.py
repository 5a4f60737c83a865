"""Names of tests in the pages."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGES = [
    *sorted(ROOT.glob('*.md')),
    ROOT / 'KNOWN-RED.txt',
    *sorted((ROOT / 'docs').rglob('*.md')),
]


@pytest.fixture(scope='module')
def known_names():
    """Names of all test functions and test files."""
    paths = list((ROOT / 'tests').rglob('test_*.py'))
    definitions = ''.join(path.read_text() for path in paths)
    functions = re.findall(r'^def (test_\w+)', definitions, re.MULTILINE)
    return {path.stem for path in paths}.union(functions)


@pytest.mark.parametrize('page', PAGES, ids=lambda p: p.name)
def test_tests_named_in_pages_exist(page, known_names):
    cited = set(re.findall(r'\btest_\w+', page.read_text()))
    assert cited <= known_names
