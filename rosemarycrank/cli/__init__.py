"""Operators' command line."""

from rosemarycrank.cli import _app
from rosemarycrank.cli import _exit_codes

ExitCode = _exit_codes.ExitCode
application = _app.application
exit_code_table = _exit_codes.markdown_table
main = _app.main

__all__ = ['ExitCode', 'application', 'exit_code_table', 'main']
