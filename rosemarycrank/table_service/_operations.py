"""Operations on the platform's services and their results.

Over HTTP, the path of a row is ``/tables/{table}/{key}`` and its version is
the ETag. A write is a PUT with ``If-Match`` or ``If-None-Match: *``. The path
of an object is ``/objects/{name}``.
"""

import attrs


@attrs.frozen
class Row:
    """A row of a table.

    ``version`` starts at 1 and increases by 1 with each write. ``write_id``
    is the identifier of the last write, chosen by its writer. A writer that
    lost the answer reads the row and compares the identifier to find out
    whether its write took effect.
    """

    key: str
    value: dict
    version: int
    write_id: str


@attrs.frozen
class TableRead:
    """Read one row; the result is a `Row`, or None if there is none."""

    table: str
    key: str


@attrs.frozen
class TableList:
    """List up to ``limit`` rows by key prefix; returns a list of `Row`."""

    table: str
    prefix: str = ''
    limit: int = 1000


@attrs.frozen
class TableWrite:
    """Write one row, on condition that it has the expected version.

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
    """Whether a write took effect, and the current row.

    ``row`` is None if the write was refused and the refusal carried no row.
    """

    applied: bool
    row: Row | None


@attrs.frozen
class ObjectGet:
    """Read an object; the result is bytes, or None if there is none."""

    name: str


@attrs.frozen
class ObjectPut:
    """Store an object; the result is None."""

    name: str
    body: bytes
