"""Other nodes to which a node stays connected without any calls.

A node that has just started has no calls yet, and its record has to reach the
others sooner than the store tells them. Each node picks other contacts, so
that records spread over all nodes in few steps.
"""

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _rendezvous

#: Number of contacts, and seconds between checks of their connections.
CONTACT_COUNT = 3
CHECK_INTERVAL_S = 0.2


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
        """Connect to the contacts, or stay connected.

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
        others = [
            record
            for record in records
            if record.state == _directory.READY and record.node != own_address
        ]
        ranked = _rendezvous.ranked(own_address, others)
        return [record.node for record in ranked[:CONTACT_COUNT]]
