"""Numbered result codes, each with the outcome of the request."""

from rosemarycrank.results import _codes

Outcome = _codes.Outcome
Result = _codes.Result
from_message = _codes.from_message
from_number = _codes.from_number
markdown_table = _codes.markdown_table

__all__ = [
    'Outcome',
    'Result',
    'from_message',
    'from_number',
    'markdown_table',
]
