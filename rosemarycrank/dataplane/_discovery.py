"""How a node follows the configuration and the targets in a store."""

import abc
import enum
import logging

import attrs

#: Seconds that the store may hold a question open until something changes:
#: after a failure, and at most. The latter is drawn from its upper part, so
#: that the questions of many nodes end at different times and a connection
#: that fell silent is noticed by one of them soon.
FIRST_WAIT_S = 1.0
LAST_WAIT_S = 20.0
LEAST_WAIT_SHARE = 0.4

#: Seconds beyond that after which an unanswered question is asked anew.
PATIENCE_S = 1.0

#: Longest time for a plain read or write, in seconds.
CALL_TIMEOUT_S = 2.0

#: First pause after a change, in seconds.
FIRST_PAUSE_S = 0.05

#: Seconds until a failed call is tried again: first, and at most.
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 2.0

_LOG = logging.getLogger(__name__)


class ReplyKind(enum.Enum):
    """How a call of the store ended."""

    OK = 'ok'
    CONFLICT = 'conflict'
    COMPACTED = 'compacted'
    REFUSED = 'refused'
    FAILED = 'failed'


@attrs.frozen
class StoredRow:
    """A row of a table.

    Attributes
    ----------
    key : str
        Its key.
    version : int
        Version at which it was written.
    value : bytes or None
        Its content; None when it was removed.
    """

    key: str
    version: int
    value: bytes | None


@attrs.frozen
class StoreReply:
    """End of a call.

    Attributes
    ----------
    kind : ReplyKind
        How it ended.
    rows : tuple of StoredRow
        Rows that were read, or that contradict a condition.
    version : int
        Newest version of the store.
    detail : str
        Status or error, for the log.
    """

    kind: ReplyKind
    rows: tuple = ()
    version: int = 0
    detail: str = ''


class Store(abc.ABC):
    """Calls of a store of rows; each calls back once."""

    @abc.abstractmethod
    def read(self, table, on_reply):
        """Read all rows of a table."""

    @abc.abstractmethod
    def follow(self, table, after, wait_s, on_reply):
        """Wait for rows that changed after a version."""

    @abc.abstractmethod
    def write(self, table, row, on_reply):
        """Write a row if it stands at ``row.version``; 0 means absent."""


class Backoff:
    """Times to wait between tries, doubling up to a bound."""

    def __init__(self, random):
        self._random = random
        self._delay_s = FIRST_RETRY_S

    def reset(self):
        """Begin with short times again."""
        self._delay_s = FIRST_RETRY_S

    def next_delay_s(self):
        """Return the seconds to wait now."""
        delay_s = self._delay_s * (0.5 + self._random.random())
        self._delay_s = min(LAST_RETRY_S, self._delay_s * 2.0)
        return delay_s


class TableFollower:
    """Reads a table once and then follows its changes.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    store : Store
        The store.
    table : str
        Table to follow.
    on_row : callable
        Called with each `StoredRow`.
    random : random.Random
        Random source.
    longest_pause_s : float
        Longest time from one change to the next question. Pauses double
        while changes go on, so a long series costs few calls and a single
        change is known at once.

    Attributes
    ----------
    has_read : bool
        Whether the table has been read once.
    """

    def __init__(self, reactor, store, table, on_row, random, longest_pause_s):
        self.reactor = reactor
        self.store = store
        self.table = table
        self.on_row = on_row
        self.longest_pause_s = longest_pause_s
        self._pause_s = FIRST_PAUSE_S
        self._changed_at = reactor.now()
        self.has_read = False
        self._after = None
        self._wait_s = FIRST_WAIT_S
        self._random = random
        self._backoff = Backoff(random)
        self._answering = True

    def start(self):
        """Begin to read."""
        if self._after is None:
            self.store.read(self.table, self._take)
        else:
            share = LEAST_WAIT_SHARE + (
                (1.0 - LEAST_WAIT_SHARE) * self._random.random()
            )
            self.store.follow(
                self.table, self._after, share * self._wait_s, self._take
            )

    def _take(self, reply):
        if reply.kind is ReplyKind.OK:
            if not self._answering:
                self._answering = True
                _LOG.warning(
                    'store answers again',
                    extra={'event': 'store_regained', 'table': self.table},
                )
            self._backoff.reset()
            self._wait_s = min(LAST_WAIT_S, 2.0 * self._wait_s)
            self._after = reply.version
            for row in reply.rows:
                self.on_row(row)
            if self.has_read and reply.rows:
                self._pause()
            else:
                self.reactor.call_soon(self.start)
            self.has_read = True
            return
        self._wait_s = FIRST_WAIT_S
        if reply.kind is ReplyKind.COMPACTED:
            # What changed meanwhile can only be read anew.
            _LOG.info(
                'history of the store is gone; table read anew',
                extra={'event': 'store_compacted', 'table': self.table},
            )
            self._after = None
        elif self._answering:
            self._answering = False
            _LOG.warning(
                'store does not answer: %s',
                reply.detail,
                extra={'event': 'store_lost', 'table': self.table},
            )
        self.reactor.timers.after(
            self._backoff.next_delay_s(), lambda _now: self.start()
        )

    def _pause(self):
        """Ask again after a while that follows the changes so far."""
        now = self.reactor.now()
        if now - self._changed_at > 2.0 * self.longest_pause_s:
            self._pause_s = FIRST_PAUSE_S
        self._changed_at = now
        self.reactor.timers.after(self._pause_s, lambda _now: self.start())
        self._pause_s = min(self.longest_pause_s, 2.0 * self._pause_s)


class RowPublisher:
    """Keeps one row of a table at what this node says.

    A write carries the version that it replaces, so that one whose answer
    was lost and that takes effect late cannot replace a later one.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    store : Store
        The store.
    table, key : str
        The row.
    random : random.Random
        Random source.
    """

    def __init__(self, reactor, store, table, key, random):
        self.reactor = reactor
        self.store = store
        self.table = table
        self.key = key
        self._version = 0
        self._wanted = None
        self._writing = False
        self._waiting = False
        self._backoff = Backoff(random)

    def receive_row(self, row):
        """Take the row as it stands in the store."""
        if row.key == self.key:
            self._version = 0 if row.value is None else row.version

    def publish(self, value):
        """Write a value, as soon as the store takes it."""
        self._wanted = value
        if not self._writing and not self._waiting:
            self._write()

    def _write(self):
        self._writing = True
        value = self._wanted
        row = StoredRow(self.key, self._version, value)
        self.store.write(
            self.table, row, lambda reply: self._take(reply, value)
        )

    def _take(self, reply, value):
        self._writing = False
        if reply.kind is ReplyKind.OK:
            self._version = reply.version
        elif reply.kind is ReplyKind.CONFLICT:
            stands = next(
                (row for row in reply.rows if row.key == self.key), None
            )
            self._version = stands.version if stands else 0
            if stands is not None and stands.value == value:
                reply = attrs.evolve(reply, kind=ReplyKind.OK)
        if reply.kind is ReplyKind.OK and self._wanted == value:
            self._backoff.reset()
            return
        self._waiting = True
        delay_s = self._backoff.next_delay_s()
        _LOG.info(
            'row %s not written: %s',
            self.key,
            reply.detail or reply.kind.value,
            extra={'event': 'publish_retry', 'retry_s': round(delay_s, 3)},
        )
        self.reactor.timers.after(delay_s, self._again)

    def _again(self, _now):
        self._waiting = False
        if not self._writing:
            self._write()
