"""Loading of `attrs` classes from YAML files and mappings, with checks."""

import pathlib

from rosemarycrank.settings import _constraints
from rosemarycrank.settings import _errors
from rosemarycrank.settings import _yaml


def load(path, cls, cross_check=None):
    """Load an instance of a class from a YAML file.

    Parameters
    ----------
    path : str or path-like
        The file.
    cls : type
        `attrs` class with a table ``constraints`` of `Constraint` by field
        name. Fields without a default are required.
    cross_check : callable, optional
        Called with the content as `LocatedValue` and its
        `ValidationContext`, to check conditions that involve several
        values. It runs whether or not the values satisfy their constraints.

    Returns
    -------
    object
        Instance of the class.

    Raises
    ------
    SettingsError
        With all problems of the file, if there are any.
    """
    return parse(_read(path), cls, str(path), cross_check)


def parse(text, cls, source, cross_check=None):
    """Build an instance of a class from YAML text.

    Parameters
    ----------
    text : bytes
        The document.
    cls : type
        Class as for `load`.
    source : str
        Name of the document in error messages.
    cross_check : callable, optional
        As for `load`.

    Returns
    -------
    object
        Instance of the class.

    Raises
    ------
    SettingsError
        With all problems of the text, if there are any.
    """
    problems = []
    document = _yaml.parse(text, source, problems)
    if document is None:
        raise _settings_error(problems, source)
    return _convert(document, cls, source, cross_check, problems)


def build(cls, mapping, source='mapping', cross_check=None):
    """Build an instance of a class from a mapping.

    Parameters
    ----------
    cls : type
        Class as for `load`.
    mapping : dict
        Plain data.
    source : str, default='mapping'
        Name of the source in error messages.
    cross_check : callable, optional
        As for `load`.

    Returns
    -------
    object
        Instance of the class.

    Raises
    ------
    SettingsError
        With all problems of the mapping, if there are any.
    """
    return _convert(_yaml.locate(mapping), cls, source, cross_check, [])


def _convert(document, cls, source, cross_check, problems):
    context = _constraints.ValidationContext(source, '', problems)
    instance = _constraints.Nested(cls).convert(document, context)
    if cross_check is not None:
        cross_check(document, context)
    if problems:
        raise _settings_error(problems, source)
    return instance


def _read(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = _errors.ProblemError(
            str(path), 0, '', error.strerror, 'a readable file'
        )
        raise _settings_error([problem], str(path)) from error


def _settings_error(problems, source):
    ordered = sorted(problems, key=lambda problem: problem.line)
    return _errors.SettingsError(f'{source}: not valid', ordered)
