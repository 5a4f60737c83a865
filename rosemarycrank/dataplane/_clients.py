"""HTTP server for the requests of clients and of the local target."""

import heapq
import logging
import math

from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _repeated_lines

#: Memory that an open connection takes, with its parser, its socket and what
#: the event loop has for it, in bytes.
CONNECTION_BYTES = 4096

#: Size of the receive buffer of a connection, in bytes. The system keeps up to
#: twice as much of what a client sends while reading is paused.
RECEIVE_BUFFER_BYTES = 65536

#: Share of the budget for output above which a connection whose client leaves
#: responses unread begins no further request.
OUTPUT_SHORT_SHARE = 0.75

#: Time for which a client has read nothing when it may be disconnected as the
#: budget for output is exhausted, in seconds.
MIN_STALL_S = 0.25

#: Interval between checks for idle and slow clients, and for those that leave
#: while reading is paused.
SWEEP_INTERVAL_S = 0.25

#: Share of the connections that is closed at once to make room for new ones,
#: so that the search for idle ones is rare.
ROOM_SHARE = 0.05

#: Number of connections at which no more are accepted until some are closed,
#: by the number above which idle ones are: the others may all be busy.
EXCESS_FACTOR = 1.1

#: Idle time below which a connection is not closed to make room, in seconds:
#: its client has just opened it, or may be about to send the next request.
MIN_IDLE_S = 0.5

#: Shortest time between two lines about connections that are closed to make
#: room, in seconds.
ROOM_LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class ClientServer:
    """Server that accepts connections of clients and of the local target.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    entry : EntrySide
        Handler of the requests.
    max_connections : float, default=inf
        Number of open connections above which those that have been idle for
        longest are closed.
    budget : Budget, optional
        Memory for the requests; a default one if not given.
    connection_budget : Budget, optional
        Memory for the connections and for unfinished heads; a default one if
        not given.
    output_budget : Budget, optional
        Memory for responses that clients do not read; a default one if not
        given.

    Attributes
    ----------
    limits : Limits
        Limits of the current configuration.
    closed_for_room : int
        Number of idle connections that were closed to make room.
    draining : bool
        Whether connections are closed after the next response, because the
        node is shutting down.
    is_output_full : bool
        Whether no request is begun, as its response could not be held.
    """

    def __init__(
        self,
        reactor,
        entry,
        max_connections=math.inf,
        budget=None,
        connection_budget=None,
        output_budget=None,
    ):
        account = _memory.MemoryAccount()
        self.reactor = reactor
        self.entry = entry
        self.max_connections = max_connections
        self.budget = budget or account.budget('requests')
        self.connection_budget = connection_budget or account.budget(
            'connections'
        )
        self.output_budget = output_budget or account.budget('output')
        self.limits = _http1.Limits()
        self.draining = False
        self.is_output_full = False
        self.closed_for_room = 0
        self._connections = set()
        # Those with part of a head and no request; the newest one is last.
        self._unfinished = {}
        # Those with part of a body, the newest one last, and when they were
        # searched for, in seconds of the clock of the timers.
        self._unfinished_bodies = []
        self._bodies_at = -math.inf
        self._listener = None
        self._room_lines = _repeated_lines.RepeatedLines(ROOM_LINE_INTERVAL_S)
        reactor.timers.every(SWEEP_INTERVAL_S, self._sweep)

    def listen(self, address):
        """Start to accept connections and return the bound address.

        Parameters
        ----------
        address : tuple of (str, int)
            IP address and port.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._listener = _reactor.Listener(
            self.reactor,
            address,
            self._add_connection,
            self._make_room,
            RECEIVE_BUFFER_BYTES,
            self._is_full,
        )
        return self._listener.address

    @property
    def accept_failures(self):
        """Number of connections that could not be accepted."""
        return self._listener.failures if self._listener is not None else 0

    def count_by_state(self):
        """Return the numbers of open connections, by state.

        Returns
        -------
        dict of str to int
            ``idle`` without a request, and ``busy``.
        """
        idle = sum(connection.is_idle for connection in self._connections)
        return {'idle': idle, 'busy': len(self._connections) - idle}

    def discard(self, connection):
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._unfinished.pop(connection, None)

    def record_unfinished(self, connection, is_unfinished):
        """Record whether all that a client has sent is part of a head."""
        if is_unfinished:
            self._unfinished[connection] = True
        else:
            self._unfinished.pop(connection, None)

    def refuse_newer(self, connection=None):
        """Refuse the newest request whose head is not complete.

        Parameters
        ----------
        connection : ClientConnection, optional
            Connection that needs memory; only newer ones are refused.

        Returns
        -------
        bool
            Whether there was one.
        """
        newest = next(reversed(self._unfinished), None)
        if newest is None or newest is connection:
            return False
        newest.give_up_unfinished()
        return True

    def refuse_newest_unfinished(self):
        """Refuse the newest request that is not complete, heads first.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self.refuse_newer():
            return True
        newest = self._newest_unfinished_body()
        if newest is None:
            return False
        newest.give_up_unfinished()
        return True

    def _newest_unfinished_body(self):
        """Return the connection whose unfinished body is the newest, or None.

        They are searched for once for all calls of the same time.
        """
        now = self.reactor.timers.now
        if now != self._bodies_at or not self._unfinished_bodies:
            self._bodies_at = now
            self._unfinished_bodies = sorted(
                (one for one in self._connections if one.is_unfinished),
                key=lambda one: one.last_progress_at,
            )
        while self._unfinished_bodies:
            newest = self._unfinished_bodies.pop()
            if newest in self._connections and newest.is_unfinished:
                return newest
        return None

    def close_longest_idle(self):
        """Close some connections that have been idle for longest.

        Returns
        -------
        bool
            Whether there were any.
        """
        open_count = len(self._connections)
        self._make_room()
        return len(self._connections) < open_count

    def close_idle(self):
        """Close the connections that have no request in flight."""
        for connection in list(self._connections):
            connection.close_when_idle()

    def has_unsent_output(self):
        """Return whether a client may not have received its responses."""
        return any(
            connection.has_unsent_output for connection in self._connections
        )

    def close(self):
        """Close all connections, once their responses had time to arrive."""
        for connection in list(self._connections):
            # Unread input would discard what has not arrived.
            connection.catch_up()
            connection.close()

    def stop_accepting(self):
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _add_connection(self, sock, ip):
        hold = self._hold_connection()
        if hold is None:
            self.connection_budget.log_refusal(
                self.reactor.now(), CONNECTION_BYTES, client=ip
            )
            sock.close()
            return
        self._connections.add(
            _client_connection.ClientConnection(self, sock, hold)
        )
        if len(self._connections) > self.max_connections:
            self._make_room()

    def is_output_short(self):
        """Return whether clients that do not read get nothing more."""
        return self._is_output_above(OUTPUT_SHORT_SHARE)

    def _is_output_above(self, share):
        budget = self.output_budget
        account = budget.account
        return (
            budget.used_bytes > share * budget.limit_bytes
            or account.used_bytes > account.limit_bytes
        )

    def record_output(self, additional):
        """Count memory of responses that have not been sent."""
        self.output_budget.take(additional)
        self.is_output_full = self._is_output_above(1.0)

    def refuse(self, exchange):
        """Refuse a request that has not begun: its response has no room."""
        self.entry.refuse_unsent(
            exchange,
            self.output_budget,
            _client_connection.RESPONSE_OVERHEAD_BYTES,
        )

    def _close_stalled(self, now):
        """Close connections that read nothing while memory is exhausted."""
        self.is_output_full = self._is_output_above(1.0)
        if not self.is_output_full:
            return
        stalled = [
            connection
            for connection in self._connections
            if connection.output_bytes
            and now - connection.read_at >= MIN_STALL_S
        ]
        stalled.sort(key=lambda connection: connection.read_at)
        for connection in stalled:
            if not self.is_output_full:
                return
            self.output_budget.refusals += 1
            self.output_budget.log_refusal(
                now,
                connection.output_bytes,
                stalled_s=round(now - connection.read_at, 3),
            )
            connection.close()

    def _hold_connection(self):
        """Return memory for a new connection, or None if there is none."""
        budget = self.connection_budget
        hold = _memory.Hold(budget)
        while not hold.grow(CONNECTION_BYTES):
            if budget.used_bytes + CONNECTION_BYTES <= budget.limit_bytes:
                # Others hold the memory. A request on the connection is
                # answered, if only with a refusal.
                budget.take(CONNECTION_BYTES)
                hold.size = CONNECTION_BYTES
                return hold
            if not self.refuse_newer() and not self._make_room():
                return None
        return hold

    def _is_full(self):
        """Return whether others need the descriptors, after making room."""
        limit = EXCESS_FACTOR * self.max_connections
        if len(self._connections) < limit:
            return False
        self._make_room()
        return len(self._connections) >= limit

    def _make_room(self):
        """Close the connections that have been idle for longest.

        Returns
        -------
        int
            Number of connections that were closed.
        """
        open_count = len(self._connections)
        idle_since = self.reactor.now() - MIN_IDLE_S
        longest_idle = heapq.nsmallest(
            max(1, int(ROOM_SHARE * open_count)),
            (
                connection
                for connection in self._connections
                if connection.is_idle
                and connection.last_progress_at <= idle_since
            ),
            key=lambda connection: connection.last_progress_at,
        )
        for connection in longest_idle:
            # A request may have arrived meanwhile.
            connection.catch_up()
            connection.close_when_idle()
        closed = open_count - len(self._connections)
        self.closed_for_room += closed
        if not self._room_lines.suppress(self.reactor.now()):
            _LOG.warning(
                '%d connections of clients are open; closed %d idle ones',
                open_count,
                closed,
                extra={
                    'event': 'connections_limited',
                    'idle': len(longest_idle),
                    'suppressed': self._room_lines.take_suppressed(),
                },
            )
        return closed

    def _sweep(self, now):
        for connection in list(self._connections):
            self.reactor.guard.call(connection.check_timeouts, now)
        # It would keep closed connections.
        self._unfinished_bodies = []
        self._close_stalled(now)
