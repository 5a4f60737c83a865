"""Rows with what has to outlast all nodes of the crashes of targets.

All nodes hold the facts about crashes in memory and tell each other. If all of
them end at once, requests that have crashed several targets would do so again.
Each node therefore keeps a row about the crashes that it has seen. It names
only requests that are refused, so it is small, and written rarely.
"""

import logging

import msgspec

from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _ranges
from rosemarycrank import decoding

#: Prefix of the keys of these rows; the address of the node follows.
KEY_PREFIX = 'crashes/'

#: Seconds between checks whether the row is up to date.
CHECK_INTERVAL_S = 0.25

#: Maximum number of crashes in a row; the newest are kept.
MAX_CRASHES_IN_ROW = 50

_DECODER = msgspec.json.Decoder(list[_frames.Crash])
_NO_FACTS = msgspec.json.encode([])
_LOG = logging.getLogger(__name__)


class CrashRows:
    """Reads the rows of all nodes, and keeps the row of this one.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    store : Store
        Store that holds the table.
    table : str
        Name of the table.
    address : str
        Address of this node.
    history : CrashHistory
        Facts about crashes.
    random : random.Random
        Random source.
    """

    def __init__(self, reactor, store, table, address, history, random):
        self._history = history
        self._key = KEY_PREFIX + address
        self._publisher = _discovery.RowPublisher(
            reactor, store, table, self._key, random
        )
        self._kept_value = _NO_FACTS
        reactor.timers.every(CHECK_INTERVAL_S, self._check)

    def receive_row(self, row):
        """Process a row that was read.

        Parameters
        ----------
        row : StoredRow
            Row whose key begins with `KEY_PREFIX`.
        """
        self._publisher.receive_row(row)
        if row.value is None:
            return
        try:
            facts = decoding.decode(_DECODER, row.value)
            for fact in facts:
                _check_fact(fact)
        except ValueError as error:
            _LOG.warning(
                'invalid facts about crashes in row %s ignored: %s',
                row.key,
                error,
                extra={'event': 'row_invalid', 'version': row.version},
            )
            return
        if row.key == self._key:
            self._kept_value = row.value
            self._history.merge_own(facts)
        else:
            self._history.merge(facts)

    def recover(self, max_delay_s):
        """Write the row again, within a time; return the number of rows."""
        self._publisher.max_delay_s = max_delay_s
        return self._publisher.write_again()

    def _check(self, _now):
        facts = self._history.lasting_facts()
        facts.sort(key=lambda fact: fact.at_ms)
        value = msgspec.json.encode(facts[-MAX_CRASHES_IN_ROW:])
        if value != self._kept_value:
            self._kept_value = value
            self._publisher.publish(value)


def _check_fact(fact):
    numbers = (
        fact.born_ms,
        fact.at_ms,
        *fact.suspects,
        *fact.cleared,
        *fact.proven,
        *fact.watched,
    )
    for number in numbers:
        _ranges.check('crash', number)
