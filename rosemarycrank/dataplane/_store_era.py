"""Eras of the store: it may come back from a copy that is some seconds old.

What was written since the copy is gone then, and versions are given out
again, so a version alone names no state. The store counts such returns.
"""

import logging

import attrs

from rosemarycrank.dataplane import _discovery

_LOG = logging.getLogger(__name__)


class EraStore(_discovery.Store):
    """Store whose calls are bound to the era in which they were made.

    Answers that were given before a return are dropped after it, and cursors
    of an earlier era are refused as if their history were gone.

    Parameters
    ----------
    store : Store
        Store whose replies name their era.

    Attributes
    ----------
    era : int or None
        Highest era that was seen; None if the store names none.
    rises : int
        Number of returns that were seen.
    """

    def __init__(self, store):
        self.era = None
        self.rises = 0
        self._store = store
        self._callbacks = []

    @property
    def client(self):
        """HTTP client of the store."""
        return self._store.client

    def on_rise(self, callback):
        """Have a function called after each return of the store."""
        self._callbacks.append(callback)

    def read(self, table, on_reply):
        """Read all rows of a table."""
        self._store.read(table, self._checked(on_reply))

    def follow(self, table, after, wait_s, on_reply):
        """Wait up to ``wait_s`` seconds for changes after a version."""
        era = self.era

        def check(reply):
            if self.era != era and reply.kind is _discovery.ReplyKind.OK:
                # The version has been given out again, for another state.
                reply = attrs.evolve(
                    reply, kind=_discovery.ReplyKind.COMPACTED
                )
            on_reply(reply)

        self._store.follow(table, after, wait_s, self._checked(check))

    def write(self, table, row, on_reply):
        """Write a row if its stored version is ``row.version``."""
        self._store.write(table, row, self._checked(on_reply))

    def _checked(self, on_reply):
        era = self.era

        def check(reply):
            if self._is_outdated(reply, era):
                reply = _discovery.StoreReply(
                    _discovery.ReplyKind.FAILED,
                    detail=f'answer of era {reply.era}, now {self.era}',
                )
            on_reply(reply)

        return check

    def _is_outdated(self, reply, called_in):
        """Follow the era of a reply; return whether the reply is too old."""
        if reply.era is None or reply.era == self.era:
            return False
        if self.era is None:
            self.era = reply.era
            return False
        if reply.era > self.era:
            self._rise(reply)
            return False
        if called_in is None or called_in < self.era:
            return True
        _LOG.warning(
            'the store names era %d after %d; its answer is used',
            reply.era,
            self.era,
            extra={'event': 'store_era_fell', 'version': reply.version},
        )
        return False

    def _rise(self, reply):
        previous, self.era = self.era, reply.era
        self.rises += 1
        rows = sum(callback() for callback in self._callbacks)
        _LOG.warning(
            'the store has come back from an older copy: era %d after %d',
            self.era,
            previous,
            extra={
                'event': 'store_era',
                'era': self.era,
                'previous': previous,
                'version': reply.version,
                'rows': rows,
            },
        )
