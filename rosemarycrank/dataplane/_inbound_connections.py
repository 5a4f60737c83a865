"""Bounds on the connections that other nodes opened, and on what they hold."""

import logging
import math

from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _repeated_lines

#: Share of the memory limit that is kept for what other nodes have sent in
#: part, and for their connections.
MEMORY_SHARE = 0.08

#: Memory that a connection takes as objects, in bytes.
CONNECTION_BYTES = 4096

#: Maximum number of connections without a handshake. That of a node arrives
#: right behind its connection.
MAX_WITHOUT_HANDSHAKE = 1024

#: Share of all connections that those without a handshake may be. All nodes
#: connect at once after a loss of power.
MAX_WITHOUT_HANDSHAKE_SHARE = 0.5

#: Shortest time between two lines about connections that are closed for want
#: of room, in seconds.
LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class InboundConnections:
    """Connections that other nodes opened to this one.

    When room is short, those without a handshake are closed first, then those
    of nodes that this one does not know, and those of known nodes last. Of
    those without a handshake the oldest one is closed: a node sends its
    handshake at once, and could not connect if the others kept their places.
    Otherwise it is the newest one, so that what works goes on.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    budget : Budget
        Memory for the connections and their unfinished frames.

    Attributes
    ----------
    max_count : float
        Maximum number of connections, unless all are of known nodes.
    max_known_count : float
        Maximum number of connections of known nodes.
    """

    def __init__(self, reactor, budget):
        self.reactor = reactor
        self.budget = budget
        self.max_count = math.inf
        self.max_known_count = math.inf
        # In the order of their arrival, as the next one.
        self._hold_by_connection = {}
        self._without_handshake = {}
        # In the order of their handshakes.
        self._strangers = {}
        self._known = {}
        self._lines = _repeated_lines.RepeatedLines(LINE_INTERVAL_S)

    def __iter__(self):
        return iter(self._hold_by_connection)

    def __len__(self):
        return len(self._hold_by_connection)

    def add(self, connection):
        """Add a connection without a handshake; it may be closed at once."""
        self._hold_by_connection[connection] = _memory.Hold(self.budget)
        self._without_handshake[connection] = None
        if len(self._without_handshake) > self._max_without_handshake():
            self._refuse_oldest_without_handshake()
        if connection in self:
            self.charge(connection, 0)

    def __contains__(self, connection):
        return connection in self._hold_by_connection

    def discard(self, connection):
        """Remove a connection that is closed."""
        hold = self._hold_by_connection.pop(connection, None)
        if hold is not None:
            hold.release()
        self._without_handshake.pop(connection, None)
        self._strangers.pop(connection, None)
        self._known.pop(connection, None)

    def record_handshake(self, connection):
        """Record the handshake of a connection; one may be closed for it."""
        self._without_handshake.pop(connection, None)
        if connection.is_of_known_node():
            self._known[connection] = None
        else:
            self._strangers[connection] = None
        if len(self._strangers) + len(self._known) <= self.max_count:
            return
        victim = self._newest_stranger()
        if victim is None and len(self._known) > self.max_known_count:
            victim = self._newest_known()
        if victim is not None:
            self._refuse(victim, 'connections')

    def charge(self, connection, unfinished_bytes):
        """Charge what a connection holds; close connections for want of room.

        Parameters
        ----------
        connection : InboundConnection
            The connection; it may be closed itself.
        unfinished_bytes : int
            Memory that its unfinished frames take, in bytes.
        """
        hold = self._hold_by_connection[connection]
        is_first = not hold.size
        size = CONNECTION_BYTES + unfinished_bytes
        if size < hold.size:
            hold.release()
        while not hold.grow(size):
            victim = self._victim(connection, is_first)
            self._refuse(victim, 'memory')
            if victim is connection:
                return

    def charge_peer(self, hold, unfinished_bytes):
        """Charge what a connection holds that this node has opened.

        Parameters
        ----------
        hold : Hold
            Memory that it takes; more than the limit if need be.
        unfinished_bytes : int
            Memory that its unfinished frames take, in bytes.
        """
        if unfinished_bytes < hold.size:
            hold.release()
        while not hold.grow(unfinished_bytes):
            victim = self._oldest_without_handshake(None)
            victim = victim or self._newest_stranger()
            if victim is None:
                self.budget.take(unfinished_bytes - hold.size)
                hold.size = unfinished_bytes
                return
            self._refuse(victim, 'memory')

    def _refuse_oldest_without_handshake(self):
        """Close the oldest connection whose handshake has not arrived."""
        for oldest in list(self._without_handshake):
            # Connections are accepted in groups, before any is read.
            oldest.read_handshake()
            if len(self._without_handshake) <= self._max_without_handshake():
                return
            if oldest in self._without_handshake:
                self._refuse(oldest, 'handshakes')
                return

    def _max_without_handshake(self):
        return min(
            MAX_WITHOUT_HANDSHAKE, MAX_WITHOUT_HANDSHAKE_SHARE * self.max_count
        )

    def _victim(self, connection, is_first):
        """Return the connection to be closed as one needs memory.

        Parameters
        ----------
        connection : InboundConnection
            Connection that needs it.
        is_first : bool
            Whether it has just been opened. It may be that of a known node,
            and so take the place of a stranger.
        """
        victim = self._oldest_without_handshake(connection)
        if victim is not None:
            return victim
        has_handshake = connection not in self._without_handshake
        if has_handshake or is_first:
            victim = self._newest_stranger()
        if victim is None and has_handshake:
            victim = self._newest_known()
        return victim or connection

    def _oldest_without_handshake(self, connection):
        """Return the oldest connection without a handshake but for one."""
        for other in self._without_handshake:
            if other is not connection:
                return other
        return None

    def _newest_stranger(self):
        while self._strangers:
            newest = next(reversed(self._strangers))
            if not newest.is_of_known_node():
                return newest
            del self._strangers[newest]
            self._known[newest] = None
        return None

    def _newest_known(self):
        for connection in reversed(self._hold_by_connection):
            if connection in self._known:
                return connection
        return None

    def _refuse(self, connection, cause):
        """Close a connection for want of room."""
        if not self._lines.suppress(self.reactor.now()):
            _LOG.warning(
                'connection of node %s closed for want of room',
                connection.address,
                extra={
                    'event': 'node_connection_refused',
                    'cause': cause,
                    'is_known': connection in self._known,
                    'held': self.budget.used_bytes,
                    'limit': self.budget.limit_bytes,
                    'connections': len(self),
                    'without_handshake': len(self._without_handshake),
                    'suppressed': self._lines.take_suppressed(),
                },
            )
        connection.close()


def budget(memory):
    """Return the budget for connections and unfinished frames of nodes.

    Parameters
    ----------
    memory : MemoryAccount
        Account of the process.
    """
    return memory.budget('node_input', MEMORY_SHARE, is_reserved=True)
