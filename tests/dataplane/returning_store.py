"""Store in virtual time that may come back from an older copy of itself."""

import attrs

from rosemarycrank.dataplane import _discovery

OK = _discovery.ReplyKind.OK
FAILED = _discovery.ReplyKind.FAILED
CONFLICT = _discovery.ReplyKind.CONFLICT
COMPACTED = _discovery.ReplyKind.COMPACTED

#: Longest time of a call to the store, and of its answer back, in seconds.
MAX_LATENCY_S = 0.05


@attrs.define(eq=False)
class _Poll:
    table: str
    after: int
    answer: object
    is_open: bool = True


class ReturningStore:
    """Tables with conditional writes, long polls, copies and returns.

    Parameters
    ----------
    reactor : VirtualReactor
        Clock and timers.
    random : random.Random
        Source of the latencies.
    names_era : bool, default=True
        Whether answers name the era.

    Attributes
    ----------
    era : int
        Number of returns.
    is_away : bool
        Whether calls fail.
    cut_clients : set of str
        Clients whose calls fail.
    rows : dict of (str, str) to StoredRow
        Rows by table and key.
    writes : list of (float, str)
        Time and key of the accepted writes.
    """

    def __init__(self, reactor, random, names_era=True):
        self.era = 0
        self.is_away = False
        self.cut_clients = set()
        self.rows = {}
        self.writes = []
        self.reactor = reactor
        self._random = random
        self._names_era = names_era
        self._version = 0
        self._copy = ({}, 0)
        self._polls = []

    def client(self, name):
        """Return a client of the store."""
        return _Client(self, name)

    def take_copy(self):
        """Copy all rows and the version."""
        self._copy = (dict(self.rows), self._version)

    def go_away(self):
        """Stop answering; what is waiting is cut off."""
        self.is_away = True
        polls, self._polls = self._polls, []
        for poll in polls:
            poll.is_open = False
            poll.answer(FAILED)

    def come_back(self):
        """Answer again, from the copy, in the next era."""
        rows, self._version = self._copy
        self.rows = dict(rows)
        self.era += 1
        self.is_away = False

    def value(self, table, key):
        """Return the value of a row; None without one."""
        row = self.rows.get((table, key))
        return row.value if row else None

    def put(self, table, key, value):
        """Write a row whatever its version."""
        self._version += 1
        self.rows[table, key] = _discovery.StoredRow(key, self._version, value)
        self.writes.append((self.reactor.now(), key))
        for poll in list(self._polls):
            if poll.table == table:
                self._end_poll(poll)

    def polls(self, table):
        """Return the long polls of a table that wait."""
        return [poll for poll in self._polls if poll.table == table]

    def later(self, callback):
        """Call a function after the latency of one way."""
        self.reactor.timers.after(
            MAX_LATENCY_S * self._random.random(), lambda _now: callback()
        )

    def reply(self, on_reply, kind, rows=()):
        """Answer a call with the state of now."""
        era = self.era if self._names_era else None
        reply = _discovery.StoreReply(
            kind, tuple(rows), self._version, kind.value, era
        )
        self.later(lambda: on_reply(reply))

    def fail(self, on_reply):
        """Let a call end without an answer of the store."""
        reply = _discovery.StoreReply(FAILED, detail='no answer')
        self.later(lambda: on_reply(reply))

    def newer_rows(self, table, after=0):
        """Return the rows of a table with a larger version."""
        return [
            row
            for (row_table, _), row in self.rows.items()
            if row_table == table and row.version > after
        ]

    def follow(self, table, after, wait_s, on_reply):
        """Answer a long poll now or later."""
        if after > self._version:
            self.reply(on_reply, COMPACTED)
            return
        poll = _Poll(table, after, on_reply)
        poll.answer = lambda kind: (
            self.fail(on_reply)
            if kind is FAILED
            else self.reply(on_reply, kind, self.newer_rows(table, after))
        )
        self._polls.append(poll)
        if self.newer_rows(table, after):
            self._end_poll(poll)
        else:
            self.reactor.timers.after(
                wait_s, lambda _now: self._end_poll(poll)
            )

    def _end_poll(self, poll):
        if poll.is_open:
            poll.is_open = False
            self._polls.remove(poll)
            poll.answer(OK)

    def write(self, table, row, on_reply):
        """Write a row if its version is the stored one."""
        known = self.rows.get((table, row.key))
        if row.version != (known.version if known else 0):
            self.reply(on_reply, CONFLICT, [known] if known else [])
        else:
            self.put(table, row.key, row.value)
            self.reply(on_reply, OK)


class _Client(_discovery.Store):
    def __init__(self, store, name):
        self._store = store
        self._name = name

    def read(self, table, on_reply):
        store = self._store
        self._call(
            on_reply,
            lambda: store.reply(on_reply, OK, store.newer_rows(table)),
        )

    def follow(self, table, after, wait_s, on_reply):
        self._call(
            on_reply,
            lambda: self._store.follow(table, after, wait_s, on_reply),
        )

    def write(self, table, row, on_reply):
        self._call(on_reply, lambda: self._store.write(table, row, on_reply))

    def _call(self, on_reply, serve):
        def arrive():
            store = self._store
            if store.is_away or self._name in store.cut_clients:
                store.fail(on_reply)
            else:
                serve()

        self._store.later(arrive)
