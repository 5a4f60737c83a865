"""Other nodes to which a node stays connected without any calls.

A node that has just started has no calls yet, and its record has to reach the
others sooner than the store tells them. Each node picks other contacts, so
that records spread over all nodes in few steps.

A node that starts again while the store is away knows of no other one. So each
address that is in a record has nodes that try to reach it, whatever became of
its target. For that the nodes are in a ring, in the order of their hashes, and
each watches those that follow it.
"""

import bisect
import functools
import hashlib

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _rendezvous

#: Number of contacts, and seconds between checks of their connections.
CONTACT_COUNT = 3

#: Number of nodes with a ready target by which each node is watched, if there
#: are so many.
WATCHER_COUNT = 2
CHECK_INTERVAL_S = 0.2

#: Length of a position in the ring, in bytes, and number of those that are
#: remembered.
_POSITION_BYTES = 16
MAX_POSITIONS = 20_000


class Contacts:
    """Contacts of one node.

    Parameters
    ----------
    node : Node
        The node.
    """

    def __init__(self, node):
        self._node = node
        self._digest = 0
        self._addresses = ()

    def keep(self, _now):
        """Connect to the contacts and watched nodes, or stay connected.

        Called every `CHECK_INTERVAL_S`.
        """
        directory = self._node.directory
        if self._digest != directory.digest:
            self._digest = directory.digest
            self._addresses = self._choose(directory.records())
        for address in self._addresses:
            self._node.reactor.guard.call(self._connect, address)

    def _connect(self, address):
        self._node.peer(address).keep_connected()

    def _choose(self, records):
        own_address = self._node.address
        others = [record for record in records if record.node != own_address]
        ready = [r for r in others if r.state == _directory.READY]
        ranked = _rendezvous.ranked(own_address, ready)
        contacts = [record.node for record in ranked[:CONTACT_COUNT]]
        return dict.fromkeys(contacts + self._find_watched(others))

    def _find_watched(self, others):
        """Return the nodes that this one watches.

        They are those that follow it in the ring, up to the last one that has
        too few other watchers.
        """
        by_position = {_position(record.node): record for record in others}
        positions = sorted(by_position)
        first = bisect.bisect(positions, _position(self._node.address))
        watched = []
        ready_count = 0
        for position in positions[first:] + positions[:first]:
            record = by_position[position]
            watched.append(record.node)
            ready_count += record.state == _directory.READY
            if ready_count == WATCHER_COUNT:
                break
        return watched


@functools.lru_cache(maxsize=MAX_POSITIONS)
def _position(address):
    """Return the place of a node in the ring; the same at all nodes."""
    digest = hashlib.blake2b(address.encode(), digest_size=_POSITION_BYTES)
    return digest.digest()
