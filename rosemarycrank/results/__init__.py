"""Numbered result codes and the outcomes that they stand for."""

from rosemarycrank.results import _codes

Outcome = _codes.Outcome
Result = _codes.Result
describe = _codes.describe
markdown_table = _codes.markdown_table

__all__ = ['Outcome', 'Result', 'describe', 'markdown_table']
