"""Output of commands, for people or as JSON, and their exit codes."""

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

_Code = _exit_codes.ExitCode


class RefusedError(Exception):
    """A command that is refused for a reason of its own."""


class UnreachableError(Exception):
    """A node does not answer; the command had no effect."""


class AnswerLostError(Exception):
    """A node's answer was lost; the command may have had its effect."""


#: What a request to one node may raise.
NODE_ERRORS = (RefusedError, UnreachableError, AnswerLostError)

# The first class that matches decides.
_CODES_BY_ERROR = (
    (settings.SettingsError, _Code.REFUSED),
    (bundles.LostRaceError, _Code.LOST_RACE),
    (bundles.OutcomeUnknownError, _Code.UNKNOWN),
    (bundles.RollOutError, _Code.REFUSED),
    (bundles.ContentError, _Code.REFUSED),
    (bundles.SignatureError, _Code.REFUSED),
    (keys.KeyFileError, _Code.REFUSED),
    (table_service.PlatformAnswerLost, _Code.UNKNOWN),
    (table_service.PlatformError, _Code.UNREACHABLE),
    (UnreachableError, _Code.UNREACHABLE),
    (AnswerLostError, _Code.UNKNOWN),
    (RefusedError, _Code.REFUSED),
    (OSError, _Code.REFUSED),
)
_REPORTED = tuple(error_type for error_type, _ in _CODES_BY_ERROR)


def show(as_json, data, lines):
    """Print the result of a command.

    Parameters
    ----------
    as_json : bool
        Whether to print JSON.
    data : dict
        Result for programs.
    lines : iterable of str
        Result for people.
    """
    if as_json:
        typer.echo(json.dumps({'ok': True, **data}, sort_keys=True))
        return
    for line in lines:
        typer.echo(line)


@contextlib.contextmanager
def reporting(as_json):
    """Report errors of a command and exit with their code.

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
    except _REPORTED as error:
        code = exit_code_of(error)
        if as_json:
            typer.echo(json.dumps(_as_data(error, code), sort_keys=True))
        else:
            for line in _lines(error):
                typer.echo(line, err=True)
        raise typer.Exit(code.value) from error


def exit_code_of(error):
    """Return the exit code for an error.

    Parameters
    ----------
    error : Exception
        One of the errors that `reporting` handles.

    Returns
    -------
    ExitCode
        Its code.
    """
    for error_type, code in _CODES_BY_ERROR:
        if isinstance(error, error_type):
            return code
    raise TypeError(type(error))


def _as_data(error, code):
    data = {'ok': False, 'exit_code': code.value, 'error': str(error)}
    if isinstance(error, settings.SettingsError):
        data['problems'] = [p.as_dict() for p in error.exceptions]
    current_head = getattr(error, 'current_head', None)
    if current_head is not None:
        data['standing_version'] = current_head.version
    return data


def _lines(error):
    if isinstance(error, settings.SettingsError):
        return [str(problem) for problem in error.exceptions]
    return [f'{exit_code_of(error).name.lower()}: {error}']
