"""Output of commands, as text or JSON, and their exit codes."""

import contextlib
import json
import typing

import typer

from rosemarycrank import bundles
from rosemarycrank.cli import _exit_codes
from rosemarycrank import keys
from rosemarycrank import settings
from rosemarycrank import table_service

#: Type of the option that every command has.
AsJson = typing.Annotated[
    bool, typer.Option('--json', help='Print one JSON object.')
]

_ExitCode = _exit_codes.ExitCode


class RefusedError(Exception):
    """The command is refused by its own checks or by a node."""


class UnreachableError(Exception):
    """A node does not answer; the command had no effect."""


class AnswerLostError(Exception):
    """A node's answer was lost; the command may have taken effect."""


#: Errors that a request to one node may raise.
NODE_ERRORS = (RefusedError, UnreachableError, AnswerLostError)

# The first entry whose class matches the error gives the exit code.
_CODES_BY_ERROR = (
    (settings.SettingsError, _ExitCode.REFUSED),
    (bundles.LostRaceError, _ExitCode.LOST_RACE),
    (bundles.OutcomeUnknownError, _ExitCode.UNKNOWN),
    (bundles.RollOutError, _ExitCode.REFUSED),
    (bundles.ContentError, _ExitCode.REFUSED),
    (bundles.SignatureError, _ExitCode.REFUSED),
    (keys.KeyFileError, _ExitCode.REFUSED),
    (table_service.PlatformAnswerLost, _ExitCode.UNKNOWN),
    (table_service.PlatformError, _ExitCode.UNREACHABLE),
    (UnreachableError, _ExitCode.UNREACHABLE),
    (AnswerLostError, _ExitCode.UNKNOWN),
    (RefusedError, _ExitCode.REFUSED),
    (OSError, _ExitCode.REFUSED),
)
_HANDLED_ERRORS = tuple(error_type for error_type, _ in _CODES_BY_ERROR)


def print_result(as_json, data, lines):
    """Print the result of a command.

    Parameters
    ----------
    as_json : bool
        Whether to print JSON.
    data : dict
        Result for JSON output.
    lines : iterable of str
        Result for text output.
    """
    if as_json:
        typer.echo(json.dumps({'ok': True, **data}, sort_keys=True))
        return
    for line in lines:
        typer.echo(line)


@contextlib.contextmanager
def exit_on_error(as_json):
    """Context manager that prints an error and exits with its code.

    Parameters
    ----------
    as_json : bool
        Whether to print JSON.

    Raises
    ------
    typer.Exit
        In place of an error that has an exit code.
    """
    try:
        yield
    except _HANDLED_ERRORS as error:
        code = exit_code_of(error)
        if as_json:
            typer.echo(json.dumps(_error_as_dict(error, code), sort_keys=True))
        else:
            for line in _error_lines(error):
                typer.echo(line, err=True)
        raise typer.Exit(code.value) from error


def exit_code_of(error):
    """Return the exit code for an error.

    Parameters
    ----------
    error : Exception
        One of the errors that `exit_on_error` handles.

    Returns
    -------
    ExitCode
        Exit code.

    Raises
    ------
    TypeError
        If the error has no exit code.
    """
    for error_type, code in _CODES_BY_ERROR:
        if isinstance(error, error_type):
            return code
    raise TypeError(type(error))


def _error_as_dict(error, code):
    data = {'ok': False, 'exit_code': code.value, 'error': str(error)}
    if isinstance(error, settings.SettingsError):
        data['problems'] = [p.as_dict() for p in error.exceptions]
    current_head = getattr(error, 'current_head', None)
    if current_head is not None:
        data['standing_version'] = current_head.version
    return data


def _error_lines(error):
    if isinstance(error, settings.SettingsError):
        return [str(problem) for problem in error.exceptions]
    return [f'{exit_code_of(error).name.lower()}: {error}']
