"""Closing records: what a stopped node did with its keys.

At the end of a planned stop a node stores the outcome of every key that it
ran, in objects by key hash, and then writes one row that says that no
other key ever will run there. Without the row nothing may be concluded.
"""

import enum
import functools

import attrs
import msgspec

from rosemarycrank import kernel
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _rows
from rosemarycrank import results
from rosemarycrank import table_service

TABLE = 'closings'

_SHARD_BYTES = 64 * 1024
_MAX_SHARDS = 64
_KEY_BYTES = 120
_RETRY_DELAY_S = 0.2


class Closing(enum.Enum):
    """What a closing record says about a key."""

    UNREADABLE = 'unreadable'
    ABSENT = 'absent'
    NEVER_RAN = 'never-ran'
    RAN = 'ran'


@attrs.frozen
class ClosedKey:
    """Outcome of a key that ran; the body is whole."""

    digest: str
    result: int
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''

    def answer(self, allowance_left):
        """Return the answer for a send under the key.

        Parameters
        ----------
        allowance_left : int
            Retries that the send was lent.

        Returns
        -------
        kernel.Answer
            The answer, marked as kept.
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
        Way to the platform.
    timeout_s : float
        Longest time to try, in seconds.
    """

    def __init__(self, context, client, timeout_s):
        self._context = context
        self._client = client
        self._timeout_s = timeout_s
        self._name = record_name(context.address, context.incarnation)
        self._write_id = f'{self._name}-{context.random.getrandbits(64):016x}'
        self._operations = []
        self.done = False

    def start(self, entries):
        """Begin to write the record.

        Parameters
        ----------
        entries : Entries
            Keys that this node owned; none of them runs, and none may
            run any more.
        """
        shards = _to_shards(entries)
        row = msgspec.to_builtins(_ClosingRow(len(shards)))
        self._operations = [
            table_service.ObjectPut(
                _shard_name(self._name, number), _ENCODER.encode(shard)
            )
            for number, shard in enumerate(shards)
        ]
        # The row comes last: it vouches for the objects.
        self._operations.append(
            table_service.TableWrite(TABLE, self._name, row, 0, self._write_id)
        )
        self._context.timers.after(self._timeout_s, self._give_up)
        self._next()

    def _next(self, _now=None):
        if self.done:
            return
        if not self._operations:
            self.done = True
            return
        self._client.execute(self._operations[0], self._answered)

    def _answered(self, reply):
        if reply.error or reply.outcome_unknown:
            # Each operation may be sent again: the objects are the same,
            # and the row is written if there is none.
            self._context.timers.after(_RETRY_DELAY_S, self._next)
        else:
            self._operations.pop(0)
            self._next()

    def _give_up(self, _now):
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
        Way to the platform.
    """

    def __init__(self, context, client):
        self._context = context
        self._client = client

    def find(self, name, key_hash, done):
        """Find out what a record says about a key.

        Parameters
        ----------
        name : str
            Name of the record.
        key_hash : str
            Name of the key.
        done : callable
            Called once with a `Closing` and the `ClosedKey` or None.
        """
        self._client.execute(
            table_service.TableRead(TABLE, name),
            functools.partial(self._row_read, name, key_hash, done),
        )

    def _row_read(self, name, key_hash, done, reply):
        if reply.error or reply.outcome_unknown:
            done(Closing.UNREADABLE, None)
            return
        if reply.value is None:
            done(Closing.ABSENT, None)
            return
        try:
            row = msgspec.convert(reply.value.value, _ClosingRow)
            number = _shard_number(key_hash, row.shards)
        except (msgspec.ValidationError, ZeroDivisionError):
            self._context.count('ledger_bad_rows')
            done(Closing.UNREADABLE, None)
            return
        self._client.execute(
            table_service.ObjectGet(_shard_name(name, number)),
            functools.partial(self._shard_read, key_hash, done),
        )

    def _shard_read(self, key_hash, done, reply):
        if reply.error or reply.outcome_unknown or reply.value is None:
            done(Closing.UNREADABLE, None)
            return
        try:
            by_key_hash = _DECODER.decode(reply.value)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._context.count('ledger_bad_rows')
            done(Closing.UNREADABLE, None)
            return
        closed_key = by_key_hash.get(key_hash)
        state = Closing.NEVER_RAN if closed_key is None else Closing.RAN
        done(state, closed_key)


def record_name(address, incarnation):
    """Return the name of the closing record of a run of a node.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Incarnation of that run.

    Returns
    -------
    str
        Key of the row, and prefix of the objects' names.
    """
    return f'{address}.{_rows.incarnation_name(incarnation)}'


def _shard_name(name, number):
    return f'closing-{name}-{number}'


def _shard_number(key_hash, shards):
    return int(key_hash[:8], 16) % shards


def _to_shards(entries):
    ran = {
        key_hash: entry
        for key_hash, entry in entries.items()
        if entry.state is _entries.State.KEPT
    }
    bytes_left = _MAX_SHARDS * _SHARD_BYTES
    closed_by_key_hash = {}
    for key_hash, entry in ran.items():
        closed_key = _to_closed_key(entry, bytes_left)
        bytes_left -= _size(closed_key)
        closed_by_key_hash[key_hash] = closed_key
    used_bytes = _MAX_SHARDS * _SHARD_BYTES - bytes_left
    count = min(_MAX_SHARDS, 1 + used_bytes // _SHARD_BYTES)
    shards = [{} for _ in range(count)]
    for key_hash, closed_key in closed_by_key_hash.items():
        shards[_shard_number(key_hash, count)][key_hash] = closed_key
    return shards


def _to_closed_key(entry, bytes_left):
    """Return the outcome of a key, without its answer if that is large."""
    answer = entry.answer
    closed_key = ClosedKey(
        entry.digest,
        answer.result.number,
        answer.status,
        answer.headers,
        answer.body,
    )
    if _size(closed_key) <= bytes_left:
        return closed_key
    result = results.Result.ANSWER_NOT_KEPT
    return ClosedKey(entry.digest, result.number, result.http_status)


def _size(closed_key):
    headers = closed_key.headers.items()
    return (
        _KEY_BYTES
        + len(closed_key.body)
        + sum(len(name) + len(value) for name, value in headers)
    )
