"""Layout of bundles in the platform's table and object store."""

import attrs
import msgspec

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _signed

TABLE = 'bundles'
CURRENT_KEY = 'current'


@attrs.frozen
class CurrentRow:
    """Value of the row that names the bundle in force.

    Attributes
    ----------
    head : Head
        Head of the bundle.
    base_hash : str
        Content hash of the version before; empty for the first one.
    """

    head: _signed.Head
    base_hash: str = ''

    def to_value(self):
        """Return the value of the row."""
        return attrs.asdict(self)


def read_row(value):
    """Return the content of the row.

    Parameters
    ----------
    value : dict
        Value of the row.

    Returns
    -------
    CurrentRow
        Its content; the signatures are still to be verified.

    Raises
    ------
    ContentError
        If the value is malformed.
    """
    try:
        return msgspec.convert(value, CurrentRow)
    except msgspec.ValidationError as error:
        raise _content.ContentError(f'row: {error}') from error


def body_name(content_hash):
    """Return the name of the object that holds a whole body."""
    return f'bundles/{content_hash}'


def delta_name(base_hash, content_hash):
    """Return the name of the object that holds a delta."""
    return f'bundle-deltas/{base_hash}-{content_hash}'


def encode_delta(delta):
    """Return the bytes of a delta's object."""
    return msgspec.msgpack.encode(delta)


def decode_delta(body):
    """Return the delta in an object.

    Parameters
    ----------
    body : bytes
        As made by `encode_delta`.

    Returns
    -------
    Delta
        The delta.

    Raises
    ------
    ContentError
        If the bytes are malformed.
    """
    try:
        return msgspec.msgpack.decode(body, type=_content.Delta)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _content.ContentError(f'delta: {error}') from error
