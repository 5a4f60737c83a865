"""Layout of bundles in the platform's table and object store."""

import attrs
import msgspec

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _signed
from rosemarycrank import decoding

TABLE = 'bundles'
CURRENT_KEY = 'current'

_DELTA_DECODER = msgspec.msgpack.Decoder(_content.Delta)


@attrs.frozen
class CurrentRow:
    """Value of the row that refers to the bundle in force.

    Attributes
    ----------
    head : Head
        Head of the bundle.
    base_hash : str
        Content hash of the previous version; empty for the first version.
    """

    head: _signed.Head
    base_hash: str = ''

    def to_value(self):
        """Return the value as stored in the table."""
        return attrs.asdict(self)


def parse_row(value):
    """Parse the value of the row.

    Parameters
    ----------
    value : dict
        Value of the row.

    Returns
    -------
    CurrentRow
        The parsed value; its signatures are not verified.

    Raises
    ------
    ContentError
        If the value is malformed.
    """
    try:
        return msgspec.convert(value, CurrentRow)
    except msgspec.ValidationError as error:
        raise _content.ContentError(
            f'malformed bundle row: {error}'
        ) from error


def body_name(content_hash):
    """Return the name of the object that stores a whole bundle body."""
    return f'bundles/{content_hash}'


def delta_name(base_hash, content_hash):
    """Return the name of the object that stores a delta."""
    return f'bundle-deltas/{base_hash}-{content_hash}'


def encode_delta(delta):
    """Encode a delta for the object store."""
    return msgspec.msgpack.encode(delta)


def decode_delta(body):
    """Decode a delta from the object store.

    Parameters
    ----------
    body : bytes
        Result of `encode_delta`.

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
        return decoding.decode(_DELTA_DECODER, body)
    except decoding.DecodeError as error:
        raise _content.ContentError(f'malformed delta: {error}') from error
