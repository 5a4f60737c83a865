"""Constraints on values, separate from the classes that hold the values."""

import abc
import re

import attrs

from rosemarycrank.settings import _errors

#: Result of the conversion of a value that violates its constraint.
INVALID = object()


@attrs.frozen
class ValidationContext:
    """Location of a value in a document, and the problems of the document.

    Attributes
    ----------
    source : str
        Name of the file or of another source.
    key : str
        Path of the key, for example ``classes.renewal.rank``.
    problems : list of ProblemError
        Problems found so far.
    """

    source: str
    key: str
    problems: list

    def child(self, name):
        """Return the context of the value under a key of this mapping."""
        key = f'{self.key}.{name}' if self.key else name
        return attrs.evolve(self, key=key)

    def item(self, index):
        """Return the context of an item of this list."""
        return attrs.evolve(self, key=f'{self.key}[{index}]')

    def add_problem(self, line, found, allowed):
        """Record a problem and return `INVALID`."""
        self.problems.append(
            _errors.ProblemError(self.source, line, self.key, found, allowed)
        )
        return INVALID


class Constraint(abc.ABC):
    """Base class of the constraints on a value."""

    @abc.abstractmethod
    def allowed(self):
        """Return a description of the allowed values for error messages.

        Returns
        -------
        str
            For example ``'an integer from 0 to 16'``.
        """

    @abc.abstractmethod
    def convert(self, value, context):
        """Check a value and convert it.

        Parameters
        ----------
        value : LocatedValue
            The value found.
        context : ValidationContext
            Location of the value; collects the problems.

        Returns
        -------
        object
            The converted value, or `INVALID`.
        """

    def reject(self, value, context):
        """Record a violation of this constraint and return `INVALID`."""
        return context.add_problem(
            value.line, value.describe(), self.allowed()
        )


@attrs.frozen
class Interval(Constraint):
    """A number of a type from ``low`` to ``high``, both included."""

    type: type
    low: float
    high: float
    unit: str = ''

    def allowed(self):
        kind = 'an integer' if self.type is int else 'a number'
        unit = f' {self.unit}' if self.unit else ''
        return f'{kind} from {self.low} to {self.high}{unit}'

    def convert(self, value, context):
        data = value.data
        # bool is a subclass of int in Python.
        is_number = isinstance(data, (int, self.type))
        if isinstance(data, bool) or not is_number:
            return self.reject(value, context)
        if not self.low <= data <= self.high:
            return self.reject(value, context)
        return self.type(data)


@attrs.frozen
class Options(Constraint):
    """One of several values; a value of another type does not match."""

    values: tuple = attrs.field(converter=tuple)

    def allowed(self):
        return 'one of ' + ', '.join(repr(v) for v in self.values)

    def convert(self, value, context):
        if isinstance(value.data, (list, dict)):
            return self.reject(value, context)
        for option in self.values:
            if type(option) is type(value.data) and option == value.data:
                return option
        return self.reject(value, context)


@attrs.frozen
class Text(Constraint):
    """A string that matches a regular expression as a whole."""

    pattern: str = ''
    description: str = ''

    def allowed(self):
        if self.description:
            return self.description
        if self.pattern:
            return f'a string matching {self.pattern}'
        return 'a string'

    def convert(self, value, context):
        if not isinstance(value.data, str):
            return self.reject(value, context)
        if self.pattern and not re.fullmatch(self.pattern, value.data):
            return self.reject(value, context)
        return value.data


@attrs.frozen
class Flag(Constraint):
    """True or false."""

    def allowed(self):
        return 'true or false'

    def convert(self, value, context):
        if not isinstance(value.data, bool):
            return self.reject(value, context)
        return value.data


@attrs.frozen
class Optional(Constraint):
    """Null, or what another constraint allows."""

    constraint: Constraint

    def allowed(self):
        return f'{self.constraint.allowed()}, or null'

    def convert(self, value, context):
        if value.data is None:
            return None
        return self.constraint.convert(value, context)


@attrs.frozen
class ListOf(Constraint):
    """A list; converted to a tuple."""

    constraint: Constraint
    min_items: int = 0

    def allowed(self):
        minimum = f' with at least {self.min_items}' if self.min_items else ''
        return f'a list{minimum}, of {self.constraint.allowed()}'

    def convert(self, value, context):
        items = value.data
        if not isinstance(items, list) or len(items) < self.min_items:
            return self.reject(value, context)
        converted = [
            self.constraint.convert(item, context.item(index))
            for index, item in enumerate(items)
        ]
        return INVALID if INVALID in converted else tuple(converted)


@attrs.frozen
class MapOf(Constraint):
    """A mapping from names to values."""

    constraint: Constraint
    key_constraint: Text = Text()

    def allowed(self):
        return f'a mapping to {self.constraint.allowed()}'

    def convert(self, value, context):
        if not isinstance(value.data, dict):
            return self.reject(value, context)
        converted_by_name = {}
        for name, item in value.data.items():
            child_context = context.child(name)
            key = attrs.evolve(item, data=name)
            self.key_constraint.convert(key, child_context)
            converted_by_name[name] = self.constraint.convert(
                item, child_context
            )
        if INVALID in converted_by_name.values():
            return INVALID
        return converted_by_name


@attrs.frozen
class Nested(Constraint):
    """A mapping that is converted to an instance of an `attrs` class.

    The class has a table ``constraints`` of `Constraint` by field name.
    """

    cls: type

    def allowed(self):
        return f'a mapping with the keys {sorted(self.cls.constraints)}'

    def convert(self, value, context):
        if not isinstance(value.data, dict):
            return self.reject(value, context)
        self._reject_unknown_keys(value, context)
        arguments = {}
        for field in attrs.fields(self.cls):
            converted = self._convert_field(field, value, context)
            if converted is not attrs.NOTHING:
                arguments[field.name] = converted
        if INVALID in arguments.values():
            return INVALID
        return self.cls(**arguments)

    def _convert_field(self, field, value, context):
        child_context = context.child(field.name)
        found = value.data.get(field.name)
        if found is not None:
            return self.cls.constraints[field.name].convert(
                found, child_context
            )
        if field.default is not attrs.NOTHING:
            return attrs.NOTHING
        allowed = self.cls.constraints[field.name].allowed()
        return child_context.add_problem(value.line, 'no such key', allowed)

    def _reject_unknown_keys(self, value, context):
        names = [field.name for field in attrs.fields(self.cls)]
        for name, found in value.data.items():
            if name not in names:
                context.child(name).add_problem(
                    found.line, 'an unknown key', f'one of {names}'
                )
