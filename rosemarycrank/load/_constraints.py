"""Constraints of settings classes, read from the types of their fields."""

import enum
import typing

import attrs

from rosemarycrank import settings

MOST = 1_000_000_000
FRACTION = settings.Interval(float, 0.0, 1.0)
_KEY = 'constraint'


def constrained(constraint, default):
    """Return a field whose constraint does not follow from its type.

    Parameters
    ----------
    constraint : rosemarycrank.settings.Constraint
        The constraint.
    default : object
        Default of the field.

    Returns
    -------
    object
        For the body of an `attrs` class.
    """
    return attrs.field(default=default, metadata={_KEY: constraint})


def checked(cls):
    """Give an `attrs` class its table of constraints; a decorator.

    Numbers are not negative, text is any, and other fields are of a type
    that has constraints itself, or tuples of one.
    """
    types_by_name = typing.get_type_hints(cls, localns={cls.__name__: cls})
    cls.constraints = {}
    for field in attrs.fields(cls):
        constraint = field.metadata.get(_KEY)
        cls.constraints[field.name] = constraint or _constraint_of(
            types_by_name[field.name]
        )
    return cls


@attrs.frozen
class _Member(settings.Constraint):
    """The value of a member of an enumeration; converted to the member."""

    enumeration: type

    def allowed(self):
        return 'one of ' + ', '.join(repr(m.value) for m in self.enumeration)

    def convert(self, value, context):
        for member in self.enumeration:
            if member.value == value.data:
                return member
        return self.reject(value, context)


_CONSTRAINTS_BY_TYPE = {
    bool: settings.Flag(),
    int: settings.Interval(int, 0, MOST),
    float: settings.Interval(float, 0.0, MOST),
    str: settings.Text(),
}


def _constraint_of(field_type):
    if typing.get_origin(field_type) is tuple:
        return settings.ListOf(_constraint_of(typing.get_args(field_type)[0]))
    if field_type in _CONSTRAINTS_BY_TYPE:
        return _CONSTRAINTS_BY_TYPE[field_type]
    if issubclass(field_type, enum.Enum):
        return _Member(field_type)
    return settings.Nested(field_type)
