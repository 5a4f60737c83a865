"""Loading and validation of settings from YAML files."""

from rosemarycrank.settings import _constraints
from rosemarycrank.settings import _errors
from rosemarycrank.settings import _loader
from rosemarycrank.settings import _node
from rosemarycrank.settings import _yaml

Constraint = _constraints.Constraint
Flag = _constraints.Flag
Interval = _constraints.Interval
ListOf = _constraints.ListOf
MapOf = _constraints.MapOf
Nested = _constraints.Nested
Optional = _constraints.Optional
Options = _constraints.Options
ValidationContext = _constraints.ValidationContext
Text = _constraints.Text

LocatedValue = _yaml.LocatedValue

ProblemError = _errors.ProblemError
SettingsError = _errors.SettingsError

build = _loader.build
load = _loader.load
parse = _loader.parse

ADDRESS = _node.ADDRESS
NAME = _node.NAME
NodeSettings = _node.NodeSettings

__all__ = [
    'ADDRESS',
    'Constraint',
    'Flag',
    'Interval',
    'ListOf',
    'LocatedValue',
    'MapOf',
    'NAME',
    'Nested',
    'NodeSettings',
    'Optional',
    'Options',
    'ProblemError',
    'SettingsError',
    'Text',
    'ValidationContext',
    'build',
    'load',
    'parse',
]
