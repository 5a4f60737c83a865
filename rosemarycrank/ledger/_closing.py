"""Closing records: the outcomes of the keys of a stopped node.

At the end of a planned stop a node stores the outcome of every key whose
request it ran, in objects sharded by key hash. It then writes one row,
which states that no other key of this incarnation has run or will run.
Without that row, nothing is known about the keys of the node.
"""

import enum
import functools
import math

import attrs
import msgspec

from rosemarycrank import decoding
from rosemarycrank import kernel
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _rows
from rosemarycrank import results
from rosemarycrank import table_service

TABLE = 'closings'

_SHARD_BYTES = 64 * 1024
_MAX_SHARDS = 64
_KEY_OVERHEAD_BYTES = 120
_RETRY_DELAY_S = 0.2


class ClosingStatus(enum.Enum):
    """State of a closing record with regard to one key.

    Attributes
    ----------
    UNREADABLE
        The record could not be read or decoded.
    ABSENT
        The node has written no record.
    NEVER_RAN
        The record states that the request of the key has not run there.
    RAN
        The record has the outcome of the key.
    """

    UNREADABLE = 'unreadable'
    ABSENT = 'absent'
    NEVER_RAN = 'never-ran'
    RAN = 'ran'


@attrs.frozen
class ClosedKey:
    """Outcome of a key whose request ran; the body is not truncated."""

    digest: str
    result: int
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''

    def answer(self, allowance_left):
        """Return the answer to a send with the key.

        Parameters
        ----------
        allowance_left : int
            Retry allowance of the send, which it returns unspent.

        Returns
        -------
        kernel.Answer
            The answer; a result of OK becomes OK_KEPT.
        """
        try:
            result = results.from_number(self.result)
        except KeyError:
            result = results.Result.ANSWER_NOT_KEPT
        if result is results.Result.OK:
            result = results.Result.OK_KEPT
        return kernel.Answer(
            result,
            self.status,
            self.headers,
            self.body,
            allowance_left=allowance_left,
        )


@attrs.frozen
class _ClosingRow:
    shards: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[str, ClosedKey])


class ClosingWriter:
    """Writes the closing record of this node.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    client : PlatformClient
        Client for operations on the platform.
    timeout_s : float
        Maximum duration of the write, retries included, in seconds.

    Attributes
    ----------
    done : bool
        Whether the record is written, not needed or given up.
    """

    def __init__(self, context, client, timeout_s):
        self._context = context
        self._client = client
        self._timeout_s = timeout_s
        self._name = record_name(context.address, context.incarnation)
        self._write_id = f'{self._name}-{context.random.getrandbits(64):016x}'
        self._operations = []
        self.done = False

    def start(self, entries, max_s=math.inf):
        """Start to write the record.

        Parameters
        ----------
        entries : Entries
            Keys that this node owned. No request of theirs is running,
            and none may start.
        max_s : float, default=math.inf
            Seconds until the process exits; the write is given up then, if
            its own time limit is not reached before.
        """
        shards = _to_shards(entries)
        row = msgspec.to_builtins(_ClosingRow(len(shards)))
        self._operations = [
            table_service.ObjectPut(
                _shard_name(self._name, number), _ENCODER.encode(shard)
            )
            for number, shard in enumerate(shards)
        ]
        # The row is written last: it states that all objects are stored.
        self._operations.append(
            table_service.TableWrite(TABLE, self._name, row, 0, self._write_id)
        )
        self._context.timers.after(
            max(0.0, min(self._timeout_s, max_s)), self._on_timeout
        )
        self._execute_next()

    def _execute_next(self, _now=None):
        if self.done:
            return
        if not self._operations:
            self.done = True
            return
        self._client.execute(self._operations[0], self._on_reply)

    def _on_reply(self, reply):
        if reply.error or reply.outcome_unknown:
            # Each operation may be sent again: the objects stay the same,
            # and the row is written only if there is none.
            self._context.timers.after(_RETRY_DELAY_S, self._execute_next)
        else:
            self._operations.pop(0)
            self._execute_next()

    def _on_timeout(self, _now):
        if not self.done:
            self._context.count('ledger_closings_lost')
            self.done = True


class ClosingReader:
    """Reads the closing records of other nodes.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    client : PlatformClient
        Client for operations on the platform.
    """

    def __init__(self, context, client):
        self._context = context
        self._client = client

    def read(self, name, key_hash, callback):
        """Read the outcome of a key from a record.

        Parameters
        ----------
        name : str
            Name of the record.
        key_hash : str
            Hash of the key.
        callback : callable
            Called once with a `ClosingStatus`, and with the `ClosedKey`
            if the status is RAN, else None.
        """
        self._client.execute(
            table_service.TableRead(TABLE, name),
            functools.partial(self._on_row_reply, name, key_hash, callback),
        )

    def _on_row_reply(self, name, key_hash, callback, reply):
        if reply.error or reply.outcome_unknown:
            callback(ClosingStatus.UNREADABLE, None)
            return
        if reply.value is None:
            callback(ClosingStatus.ABSENT, None)
            return
        try:
            row = msgspec.convert(reply.value.value, _ClosingRow)
            number = _shard_number(key_hash, row.shards)
        except (msgspec.ValidationError, ZeroDivisionError):
            self._context.count('ledger_bad_rows')
            callback(ClosingStatus.UNREADABLE, None)
            return
        self._client.execute(
            table_service.ObjectGet(_shard_name(name, number)),
            functools.partial(self._on_shard_reply, key_hash, callback),
        )

    def _on_shard_reply(self, key_hash, callback, reply):
        if reply.error or reply.outcome_unknown or reply.value is None:
            callback(ClosingStatus.UNREADABLE, None)
            return
        try:
            by_key_hash = decoding.decode(_DECODER, reply.value)
        except decoding.DecodeError:
            self._context.count('ledger_bad_rows')
            callback(ClosingStatus.UNREADABLE, None)
            return
        closed_key = by_key_hash.get(key_hash)
        status = (
            ClosingStatus.NEVER_RAN
            if closed_key is None
            else ClosingStatus.RAN
        )
        callback(status, closed_key)


def record_name(address, incarnation):
    """Return the name of the closing record of a node's incarnation.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Incarnation of the node.

    Returns
    -------
    str
        Key of the row, and part of the names of the objects.
    """
    return f'{address}.{_rows.format_incarnation(incarnation)}'


def _shard_name(name, number):
    return f'closing-{name}-{number}'


def _shard_number(key_hash, shards):
    return int(key_hash[:8], 16) % shards


def _to_shards(entries):
    entries_that_ran = {
        key_hash: entry
        for key_hash, entry in entries.items()
        if entry.state is _entries.State.KEPT
    }
    bytes_left = _MAX_SHARDS * _SHARD_BYTES
    closed_by_key_hash = {}
    for key_hash, entry in entries_that_ran.items():
        closed_key = _to_closed_key(entry, bytes_left)
        bytes_left -= _size_bytes(closed_key)
        closed_by_key_hash[key_hash] = closed_key
    used_bytes = _MAX_SHARDS * _SHARD_BYTES - bytes_left
    count = min(_MAX_SHARDS, 1 + used_bytes // _SHARD_BYTES)
    shards = [{} for _ in range(count)]
    for key_hash, closed_key in closed_by_key_hash.items():
        shards[_shard_number(key_hash, count)][key_hash] = closed_key
    return shards


def _to_closed_key(entry, bytes_left):
    """Return the outcome of a key; omit an answer that does not fit."""
    answer = entry.answer
    closed_key = ClosedKey(
        entry.digest,
        answer.result.number,
        answer.status,
        answer.headers,
        answer.body,
    )
    if _size_bytes(closed_key) <= bytes_left:
        return closed_key
    result = results.Result.ANSWER_NOT_KEPT
    return ClosedKey(entry.digest, result.number, result.http_status)


def _size_bytes(closed_key):
    headers = closed_key.headers.items()
    return (
        _KEY_OVERHEAD_BYTES
        + len(closed_key.body)
        + sum(len(name) + len(value) for name, value in headers)
    )
