"""HTTP server for the requests of clients and of the local target."""

import collections
import heapq
import logging
import math

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _lingering
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _repeated_lines

#: Maximum number of requests of one connection that are in flight at once;
#: reading pauses at this number.
MAX_PIPELINED_REQUESTS = 32

#: Size of the unsent responses of one connection above which reading pauses,
#: so that a client that does not read cannot fill the memory.
MAX_UNSENT_BYTES = 256 * 1024

#: Interval between checks for idle and slow clients, and for those that leave
#: while reading is paused.
SWEEP_INTERVAL_S = 0.25

#: Share of the connections that is closed at once to make room for new ones,
#: so that the search for idle ones is rare.
ROOM_SHARE = 0.05

#: Idle time below which a connection is not closed to make room, in seconds:
#: its client has just opened it, or may be about to send the next request.
MIN_IDLE_S = 0.5

#: Shortest time between two lines about connections that are closed to make
#: room, in seconds.
ROOM_LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class ClientConnection:
    """Connection that reads requests and writes the responses in order.

    Parameters
    ----------
    server : ClientServer
        Server that accepted the connection.
    sock : socket.socket
        Socket of the connection.

    Attributes
    ----------
    stream : Stream
        Stream of the connection.
    closing : bool
        Whether further input is ignored.
    last_progress_at : float
        Time at which data was last received, a response was written or
        output was last seen to be sent, in seconds of the node's clock.
    """

    __slots__ = (
        'server',
        'stream',
        'last_progress_at',
        'closing',
        '_reader',
        '_exchanges',
        '_not_begun',
        '_is_beginning',
        '_is_new',
        '_paused',
        '_response_is_last',
        '_lingering_close',
        '_unsent_at_last_check',
    )

    def __init__(self, server, sock):
        self.server = server
        self.closing = False
        self.last_progress_at = server.reactor.now()
        self._reader = _http1.RequestReader(
            server.limits,
            self._handle_request,
            self._send_continue,
            server.budget,
        )
        self._exchanges = []
        self._not_begun = collections.deque()
        self._is_beginning = False
        self._is_new = True
        self._paused = False
        self._response_is_last = False
        self._lingering_close = None
        self._unsent_at_last_check = 0
        self.stream = _reactor.Stream(server.reactor, sock, self)
        self.stream.on_drained = self._handle_drained

    @property
    def is_idle(self):
        """Whether no request is partly received or in flight."""
        return not self._exchanges and not self._reader.started

    @property
    def is_unfinished(self):
        """Whether all that there is of requests is part of one."""
        return (
            self._reader.started and not self._exchanges and not self.closing
        )

    def received(self, data):
        """Parse received bytes and start the requests that are complete."""
        if self.closing:
            self._ignore_input()
            return
        self.last_progress_at = self.server.reactor.now()
        self._reader.limits = self.server.limits
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            self._reject(error)
        if (
            len(self._exchanges) >= MAX_PIPELINED_REQUESTS
            or self.stream.unsent_bytes > MAX_UNSENT_BYTES
        ):
            self._pause()
        self._begin_requests()

    def catch_up(self):
        """Read what has arrived, to know whether the client is still there.

        A client that has left gets no response, so its requests are abandoned.
        """
        if self._is_beginning:
            # All has been read a moment ago.
            return
        self._catch_up()

    def closed(self, _error):
        """Abandon the requests in flight after the connection was lost."""
        self.server.discard(self)
        self._reader.close()
        self._not_begun.clear()
        exchanges, self._exchanges = self._exchanges, []
        for exchange in exchanges:
            self.server.entry.abandon(exchange)

    def close(self):
        """Close the connection and abandon its requests in flight."""
        self.stream.close()
        self.closed(None)

    @property
    def has_unsent_output(self):
        """Whether a response may not have reached the client yet.

        After the last response it may not have until the connection ends.
        """
        return self._response_is_last or self.stream.unacknowledged_bytes() > 0

    def close_when_idle(self):
        """Close the connection if it is idle and all output has arrived."""
        if self.is_idle and not self.has_unsent_output:
            self.close()

    def response_ready(self, _exchange):
        """Write the responses that are next in the order of the requests.

        Parameters
        ----------
        _exchange : Exchange
            Exchange whose ``response`` has been set.
        """
        exchanges = self._exchanges
        while exchanges and exchanges[0].response is not None:
            exchange = exchanges.pop(0)
            is_last = (
                not exchange.keep_alive or self.server.draining
            ) and not exchanges
            data = exchange.response
            if is_last:
                data = data.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
            self.stream.write(data)
            if exchange.response_body:
                self.stream.write(exchange.response_body)
            exchange.response = exchange.response_body = b''
            if is_last or not exchange.keep_alive:
                self._shutdown_output()
                return
        self.last_progress_at = self.server.reactor.now()
        if self._paused and self.stream.unsent_bytes < MAX_UNSENT_BYTES:
            self._resume()

    def check_timeouts(self, now):
        """Close the connection if its client has left or is too slow.

        While reading is paused, the end of the connection is not read.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self._paused and self.stream.peer_has_closed():
            self.close()
            return
        limits = self.server.limits
        unsent_bytes = self.stream.unsent_bytes
        if unsent_bytes < self._unsent_at_last_check:
            self.last_progress_at = now
        self._unsent_at_last_check = unsent_bytes
        elapsed_s = now - self.last_progress_at
        if self._lingering_close is not None:
            if self._lingering_close.is_over(now, limits.idle_timeout_s):
                self.close()
        elif self._exchanges:
            return
        elif self._paused or unsent_bytes:
            # The client does not read its responses.
            if elapsed_s > limits.idle_timeout_s:
                self.close()
        elif self._reader.started:
            timed_out = elapsed_s > (
                limits.idle_timeout_s
                if self._reader.in_body
                else limits.header_timeout_s
            )
            if timed_out:
                self._reject(_http1.MessageError(408, 'request too slow'))
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    def give_up_unfinished(self):
        """Refuse the request that is not complete, for want of memory."""
        self._reject(_http1.NoMemoryError(0, self.server.budget))

    def _handle_request(self, message):
        if self.closing:
            message.release()
            return
        exchange = self.server.entry.open(message, self)
        if not message.keep_alive:
            self.closing = True
        self._exchanges.append(exchange)
        self._not_begun.append(exchange)

    def _begin_requests(self):
        """Begin the requests that have been read, if their client is there."""
        if self._is_beginning or not self._not_begun:
            return
        reactor = self.server.reactor
        self._is_beginning = True
        try:
            while self._not_begun:
                read_at = self._not_begun[0].arrived_at
                # A new connection may have waited to be accepted.
                if self._is_new or self._paused or reactor.is_behind(read_at):
                    self._is_new = False
                    self._catch_up()
                    if not self._not_begun:
                        return
                exchange = self._not_begun.popleft()
                if exchange.response is None:
                    self.server.entry.begin(exchange)
        finally:
            self._is_beginning = False

    def _catch_up(self):
        if not self.stream.catch_up() and self.stream.peer_has_closed():
            self.close()

    def _send_continue(self):
        if not self._exchanges:
            self.stream.write(_http1.CONTINUE)

    def _reject(self, error):
        self.closing = True
        message = self._reader.message
        self._reader.close()
        exchange = self.server.entry.refuse_message(error, message, self)
        self._exchanges.append(exchange)
        self.response_ready(exchange)

    def _ignore_input(self):
        if self._lingering_close is not None:
            self._lingering_close.record_input(self.server.reactor.now())

    def _shutdown_output(self):
        self.closing = True
        self._response_is_last = True
        self._resume()
        abandoned, self._exchanges = self._exchanges, []
        for exchange in abandoned:
            self.server.entry.abandon(exchange)
        self.stream.shutdown_write()

    def _pause(self):
        if not self._paused:
            self._paused = True
            self.stream.pause()

    def _resume(self):
        self._paused = False
        self.stream.resume()

    def _handle_drained(self):
        self.last_progress_at = self.server.reactor.now()
        if self._response_is_last:
            self._lingering_close = _lingering.LingeringClose(
                self.stream, self.last_progress_at
            )
            return
        if self._paused and len(self._exchanges) < MAX_PIPELINED_REQUESTS:
            self._resume()


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

    Attributes
    ----------
    limits : Limits
        Limits of the current configuration.
    closed_for_room : int
        Number of idle connections that were closed to make room.
    draining : bool
        Whether connections are closed after the next response, because the
        node is shutting down.
    """

    def __init__(self, reactor, entry, max_connections=math.inf, budget=None):
        self.reactor = reactor
        self.entry = entry
        self.max_connections = max_connections
        self.budget = budget or _memory.MemoryAccount().budget('requests')
        self.limits = _http1.Limits()
        self.draining = False
        self.closed_for_room = 0
        self._connections = set()
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
            self.reactor, address, self._add_connection, self._make_room
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

    def refuse_newest_unfinished(self):
        """Refuse the newest request that is not complete.

        Returns
        -------
        bool
            Whether there was one.
        """
        newest = max(
            (one for one in self._connections if one.is_unfinished),
            key=lambda one: one.last_progress_at,
            default=None,
        )
        if newest is None:
            return False
        newest.give_up_unfinished()
        return True

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

    def _add_connection(self, sock, _ip):
        self._connections.add(ClientConnection(self, sock))
        if len(self._connections) > self.max_connections:
            self._make_room()

    def _make_room(self):
        """Close the connections that have been idle for longest."""
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

    def _sweep(self, now):
        for connection in list(self._connections):
            connection.check_timeouts(now)
