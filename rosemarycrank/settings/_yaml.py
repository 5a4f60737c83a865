"""YAML reader that keeps line numbers and is safe for untrusted input."""

import attrs
import yaml

from rosemarycrank.settings import _errors

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_NESTING = 32
MAX_QUOTED_CHARS = 80


@attrs.frozen
class LocatedValue:
    """A value and its line in the file.

    ``data`` is a scalar, a list of `LocatedValue`, or a dict of str to
    `LocatedValue`. ``line`` is 0 if the value does not come from a file.
    """

    data: object
    line: int = 0

    def describe(self):
        """Return a description for error messages; long ones are truncated."""
        if isinstance(self.data, dict):
            text = 'a mapping'
        elif isinstance(self.data, list):
            text = 'a list'
        else:
            text = repr(self.data)
        if len(text) > MAX_QUOTED_CHARS:
            return text[:MAX_QUOTED_CHARS] + '...'
        return text

    def get(self, name):
        """Return the value under a key, or `MISSING` if there is none."""
        return self.as_dict().get(name, MISSING)

    def as_dict(self):
        """Return the values of a mapping by key; empty for other values."""
        return self.data if isinstance(self.data, dict) else {}

    def as_list(self):
        """Return the items of a list; empty for other values."""
        return self.data if isinstance(self.data, list) else []


#: Returned for a key that is missing.
MISSING = LocatedValue(None)


class _Loader(yaml.SafeLoader):
    """Safe loader without aliases and with bounded nesting.

    A few lines of nested aliases can expand to gigabytes, and deep nesting
    can exhaust the stack.
    """

    def __init__(self, stream):
        super().__init__(stream)
        self._nesting = 0

    def compose_node(self, parent, index):
        if self.check_event(yaml.AliasEvent):
            raise yaml.MarkedYAMLError(
                problem='got an alias, allowed plain values',
                problem_mark=self.peek_event().start_mark,
            )
        self._nesting += 1
        if self._nesting > MAX_NESTING:
            raise yaml.MarkedYAMLError(
                problem=f'got deeper nesting, allowed {MAX_NESTING} levels',
                problem_mark=self.peek_event().start_mark,
            )
        node = super().compose_node(parent, index)
        self._nesting -= 1
        return node


def locate(value):
    """Return plain Python data as `LocatedValue`, without lines.

    Parameters
    ----------
    value : object
        Scalars, lists and dicts.

    Returns
    -------
    LocatedValue
        The same data.
    """
    if isinstance(value, dict):
        return LocatedValue({str(k): locate(v) for k, v in value.items()})
    if isinstance(value, (list, tuple)):
        return LocatedValue([locate(v) for v in value])
    return LocatedValue(value)


def parse(text, source, problems):
    """Parse YAML text.

    Parameters
    ----------
    text : bytes
        The document.
    source : str
        Name of the file in error messages.
    problems : list of ProblemError
        The problems found are appended to it, including duplicate keys.

    Returns
    -------
    LocatedValue or None
        The content; None if the text is not one YAML document.
    """
    if len(text) > MAX_FILE_BYTES:
        problems.append(
            _errors.ProblemError(
                source,
                0,
                '',
                f'{len(text)} bytes',
                f'at most {MAX_FILE_BYTES} bytes',
            )
        )
        return None
    try:
        loader = _Loader(text)
        node = loader.get_single_node()
        if node is None:
            return LocatedValue({}, 1)
        return _convert(loader, node, source, '', problems)
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        problems.append(_syntax_problem(error, source))
        return None


def _convert(loader, node, source, key, problems):
    line = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        data = _convert_mapping(loader, node, source, key, problems)
    elif isinstance(node, yaml.SequenceNode):
        data = [
            _convert(loader, child, source, f'{key}[{index}]', problems)
            for index, child in enumerate(node.value)
        ]
    else:
        data = _convert_scalar(loader, node, source, key, problems)
    return LocatedValue(data, line)


def _convert_mapping(loader, node, source, key, problems):
    values_by_key = {}
    for key_node, value_node in node.value:
        # Keys stay text: YAML would read 404 as a number and 'on' as true.
        name = str(key_node.value)
        path = f'{key}.{name}' if key else name
        value = _convert(loader, value_node, source, path, problems)
        if name in values_by_key:
            problems.append(
                _errors.ProblemError(
                    source,
                    key_node.start_mark.line + 1,
                    path,
                    'a duplicate key',
                    f'each key once; also on line {values_by_key[name].line}',
                )
            )
        values_by_key[name] = value
    return values_by_key


def _convert_scalar(loader, node, source, key, problems):
    try:
        return loader.construct_object(node)
    except (yaml.YAMLError, ValueError, OverflowError):
        problems.append(
            _errors.ProblemError(
                source,
                node.start_mark.line + 1,
                key,
                repr(node.value[:MAX_QUOTED_CHARS]),
                'a plain string, number or boolean',
            )
        )
        return node.value


def _syntax_problem(error, source):
    mark = getattr(error, 'problem_mark', None)
    found = getattr(error, 'problem', None) or str(error)
    return _errors.ProblemError(
        source,
        mark.line + 1 if mark else 0,
        '',
        found.splitlines()[0],
        'one YAML document',
    )
