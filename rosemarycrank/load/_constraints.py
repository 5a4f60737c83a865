"""Constraints of settings classes, derived from their field types."""

import enum
import typing

import attrs

from rosemarycrank import settings

MAX_NUMBER = 1_000_000_000
FRACTION = settings.Interval(float, 0.0, 1.0)
_METADATA_KEY = 'constraint'


def constrained_field(constraint, default):
    """Return a field with an explicit constraint in place of its type's.

    Parameters
    ----------
    constraint : rosemarycrank.settings.Constraint
        The constraint.
    default : object
        Default of the field.

    Returns
    -------
    object
        Field for the body of an `attrs` class.
    """
    return attrs.field(default=default, metadata={_METADATA_KEY: constraint})


def with_constraints(cls):
    """Class decorator that adds the table of constraints to an `attrs` class.

    Numbers must not be negative, any bool and any text is valid, and an
    enumeration is given by the value of a member. A tuple is given as a list
    of its element type. Any other type must have a table of constraints.
    """
    types_by_name = typing.get_type_hints(cls, localns={cls.__name__: cls})
    cls.constraints = {}
    for field in attrs.fields(cls):
        constraint = field.metadata.get(_METADATA_KEY)
        cls.constraints[field.name] = constraint or _constraint_of(
            types_by_name[field.name]
        )
    return cls


@attrs.frozen
class _EnumMember(settings.Constraint):
    """Value of an enumeration member; converted to the member."""

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
    int: settings.Interval(int, 0, MAX_NUMBER),
    float: settings.Interval(float, 0.0, MAX_NUMBER),
    str: settings.Text(),
}


def _constraint_of(field_type):
    if typing.get_origin(field_type) is tuple:
        return settings.ListOf(_constraint_of(typing.get_args(field_type)[0]))
    if field_type in _CONSTRAINTS_BY_TYPE:
        return _CONSTRAINTS_BY_TYPE[field_type]
    if issubclass(field_type, enum.Enum):
        return _EnumMember(field_type)
    return settings.Nested(field_type)
