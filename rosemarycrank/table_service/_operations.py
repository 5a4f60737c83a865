"""Operations on the platform's services and their results.

Over HTTP, a row is ``/tables/{table}/{key}`` with its version as ETag, a
write is a PUT with ``If-Match`` or ``If-None-Match: *``, and an object is
``/objects/{name}``.
"""

import attrs


@attrs.frozen
class Row:
    """A row of a table.

    ``version`` starts at 1 and grows by 1 with each write. ``write_id`` is
    the identifier that the last writer gave, so that a writer whose answer
    was lost can find out by reading whether its write took effect.
    """

    key: str
    value: dict
    version: int
    write_id: str


@attrs.frozen
class TableRead:
    """Read one row; the result is a `Row` or None."""

    table: str
    key: str


@attrs.frozen
class TableList:
    """List rows by key prefix; the result is a list of `Row`."""

    table: str
    prefix: str = ''
    limit: int = 1000


@attrs.frozen
class TableWrite:
    """Write one row if it stands at a version.

    ``expected_version`` 0 means that the row must not exist. The result is
    a `WriteResult`.
    """

    table: str
    key: str
    value: dict
    expected_version: int
    write_id: str


@attrs.frozen
class WriteResult:
    """Whether a write took effect, and the row as it stands now."""

    applied: bool
    row: Row | None


@attrs.frozen
class ObjectGet:
    """Read an object; the result is bytes or None."""

    name: str


@attrs.frozen
class ObjectPut:
    """Store an object; the result is None."""

    name: str
    body: bytes
