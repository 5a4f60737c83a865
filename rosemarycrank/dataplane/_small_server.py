"""HTTP server for requests that the node answers itself.

Serves readiness checks, heartbeats of the target, and the metrics page.

What its peers make the node hold is bounded: the connections, the requests
that are not complete, and the replies that are not read. Connections are
closed for others that come later, first those without a complete request, as
a probe or a heartbeat is a new connection with a small request that comes
whole.
"""

import collections
import functools
import heapq
import logging

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _lingering
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _repeated_lines
from rosemarycrank.dataplane import _request_reader

#: Limits on these requests, which are all small.
LIMITS = _http1.Limits(header_bytes=8192, body_bytes=65536)

#: Share of the memory limit that is kept for these servers together.
MEMORY_SHARE = 0.05

#: Number of open connections of a server above which some are closed.
MAX_CONNECTIONS = 128

#: Share of the connections that is closed at once to make room for new ones.
ROOM_SHARE = 0.05

#: Memory that a connection takes with its socket, and with a request and a
#: reply that are small, in bytes.
CONNECTION_BYTES = 12288

#: Size up to which a request and a reply are small, in bytes of memory. They
#: need no memory beside that of their connection.
MAX_SMALL_BYTES = 4096

#: Number of requests of a connection that wait for the replies to earlier
#: ones, at which no more are read: the reply to the last one ends the
#: connection.
MAX_WAITING = 8

#: Longest time from the start of a connection to its first request, or of a
#: request to its end, in seconds. Data in between change nothing, as the
#: requests are small.
REQUEST_TIMEOUT_S = 5.0

#: Time between requests after which a connection is closed, in seconds. It is
#: longer than usual periods of heartbeats, probes and scrapes.
IDLE_TIMEOUT_S = 75.0

#: Longest time for which a peer may not read its replies, or may go on to send
#: after the last one, in seconds.
UNREAD_TIMEOUT_S = 15.0

#: Interval between checks of the connections.
SWEEP_INTERVAL_S = 0.25

#: Shortest time between two lines about connections that are closed to make
#: room, or about requests that are not handled, in seconds.
LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Reply:
    """Response of a request handler.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the response.
    content_type : bytes
        Media type of the body.
    """

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


class DelayedReply:
    """Reply that is given later.

    Attributes
    ----------
    on_reply : callable or None
        Called with the `Reply`; set by the server.
    """

    def __init__(self):
        self.on_reply = None

    def send(self, reply):
        """Give the reply; has no effect if it has been given."""
        on_reply, self.on_reply = self.on_reply, None
        if on_reply is not None:
            on_reply(reply)


class _Tally:
    """Stands in for the budget of a reader, counts, and refuses nothing.

    A request that arrives whole takes memory for a moment only.

    Attributes
    ----------
    used_bytes : int
        Memory that the requests of the reader take.
    """

    __slots__ = ('used_bytes', 'refusals')

    def __init__(self):
        self.used_bytes = 0
        self.refusals = 0

    def can_ever_fit(self, _size):
        """Return whether a request of a size fits."""
        return True

    def take_if_fits(self, _size, additional):
        """Count more memory; return whether it fits."""
        self.used_bytes += additional
        return True

    def take(self, count):
        """Count memory; a negative count gives back."""
        self.used_bytes += count


class _Connection:
    """Connection whose requests are answered one after the other.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    sock : socket.socket
        Socket of the connection.

    Attributes
    ----------
    stream : Stream
        Stream of the connection.
    hold : Hold
        Memory that it takes beyond what each connection does.
    last_progress_at : float
        Time at which data was last received or sent, in seconds of the node's
        clock.
    """

    __slots__ = (
        'stream',
        'hold',
        'last_progress_at',
        '_server',
        '_tally',
        '_reader',
        '_waiting',
        '_delayed',
        '_reply_bytes',
        '_is_served',
        '_is_last',
        '_lingering_close',
        '_started_at',
        '_unsent_at_last_check',
    )

    def __init__(self, server, sock):
        self._server = server
        self._tally = _Tally()
        self._reader = _request_reader.RequestReader(
            LIMITS, self._add_request, budget=self._tally
        )
        self._waiting = collections.deque()
        self._delayed = None
        self._reply_bytes = 0
        self._is_served = False
        self._is_last = False
        self._lingering_close = None
        self._unsent_at_last_check = 0
        # Start of the connection, or of the request that is read.
        self._started_at = self.last_progress_at = server.reactor.now()
        self.hold = _memory.Hold(server.room.budget)
        server.room.budget.take(CONNECTION_BYTES)
        self.stream = _reactor.Stream(server.reactor, sock, self)
        self.stream.on_drained = self._handle_drained

    @property
    def rank(self):
        """What is lost if it is closed: the more, the higher the number.

        Without a complete request it is 0, between requests 1, and while a
        reply is to come 2.
        """
        if self._delayed is not None:
            return 2
        if not self._is_served or self._is_reading_request:
            return 0
        return 1

    @property
    def _is_reading_request(self):
        return self._reader is not None and self._reader.started

    def received(self, data):
        """Parse received bytes and answer the requests that are complete."""
        reader = self._reader
        if reader is None:
            self._ignore_input()
            return
        self.last_progress_at = self._server.reactor.now()
        if not reader.started:
            self._started_at = self.last_progress_at
        try:
            reader.feed(data)
        except _http1.MessageError as error:
            if self._reader is not None:
                self._refuse(error.status)
                return
        if self._reader is None:
            # What follows the last request has been parsed, too.
            reader.close()
        self._handle_waiting()
        if not self._take_memory():
            self._give_up()

    def closed(self, _error):
        """Give everything back after the connection was lost."""
        if self not in self._server.connections:
            return
        self._server.connections.discard(self)
        self._drop_reader()
        self._drop_waiting()
        if self._delayed is not None:
            self._delayed.on_reply = None
        self.hold.release()
        self._server.room.budget.take(-CONNECTION_BYTES)

    def close(self):
        """Close the connection."""
        self.stream.close()
        self.closed(None)

    def check(self, now):
        """Close the connection if its peer has left or is too slow.

        While reading is paused, the end of the connection is not read.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self._is_paused and self.stream.peer_has_closed():
            self.close()
            return
        if self._lingering_close is not None:
            if self._lingering_close.is_over(now, UNREAD_TIMEOUT_S):
                self.close()
            return
        if not self._is_overdue(now):
            return
        # After a pause of the process there may be input that is in time.
        self.stream.catch_up()
        if not self.stream.is_open or not self._is_overdue(now):
            return
        if self._is_reading_request and not self._has_unsent_reply:
            self._refuse(408)
        else:
            self.close()

    def _is_overdue(self, now):
        self._record_sent(now)
        if self._delayed is not None:
            return False
        idle_s = now - self.last_progress_at
        if self._has_unsent_reply:
            return idle_s > UNREAD_TIMEOUT_S
        if self._is_reading_request or not self._is_served:
            return now - self._started_at > REQUEST_TIMEOUT_S
        return idle_s > IDLE_TIMEOUT_S

    @property
    def _has_unsent_reply(self):
        return bool(self._waiting or self.stream.unsent_bytes or self._is_last)

    def _record_sent(self, now):
        """Record progress if a part of a reply has been sent."""
        unsent_bytes = self.stream.unsent_bytes
        if unsent_bytes < self._unsent_at_last_check:
            self.last_progress_at = now
        self._unsent_at_last_check = unsent_bytes

    @property
    def _is_paused(self):
        return bool(self._waiting) or self._delayed is not None

    def _ignore_input(self):
        if self._lingering_close is not None:
            self._lingering_close.record_input(self._server.reactor.now())

    def _add_request(self, message):
        if self._reader is None:
            message.release()
            return
        self._waiting.append(message)
        # Another request may follow in the same data.
        self._started_at = self.last_progress_at
        if len(self._waiting) >= MAX_WAITING:
            message.keep_alive = False
        if not message.keep_alive:
            # It is freed once it has parsed what follows.
            self._reader = None

    def _refuse(self, status):
        """End with a response to a request that is not handled."""
        self._server.log_refusal(status)
        self._drop_reader()
        self._waiting.append(Reply(status))
        self._handle_waiting()

    def _drop_reader(self):
        """Ignore further input, and free what has been read of a request."""
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def _drop_waiting(self):
        while self._waiting:
            item = self._waiting.popleft()
            if not isinstance(item, Reply):
                item.release()

    def _handle_waiting(self):
        """Answer requests while all replies to earlier ones are sent."""
        stream = self.stream
        while (
            self._waiting
            and self._delayed is None
            and not stream.unsent_bytes
            and stream.is_open
        ):
            item = self._waiting.popleft()
            if isinstance(item, Reply):
                self._write(item, close=True)
            else:
                self._answer(item)
        if not stream.is_open:
            return
        if self._is_paused:
            stream.pause()
        else:
            stream.resume()

    def _answer(self, message):
        try:
            reply = self._server.handle(message)
        except Exception:
            _LOG.exception('request handler failed: %s', message.target)
            reply = Reply(500)
        message.release()
        self._is_served = True
        close = not message.keep_alive
        if isinstance(reply, DelayedReply):
            self._delayed = reply
            reply.on_reply = functools.partial(self._finish, close)
        else:
            self._write(reply, close)

    def _finish(self, close, reply):
        self._delayed = None
        self._write(reply, close)
        self._handle_waiting()

    def _write(self, reply, close):
        data = _encode(reply, close)
        self._reply_bytes = len(data)
        if not self._take_memory():
            close = True
            data = _encode(Reply(503), close)
            self._reply_bytes = 0
        if close:
            self._is_last = True
            self._drop_reader()
            self._drop_waiting()
        self.last_progress_at = self._server.reactor.now()
        self.stream.write(data)
        if close:
            self.stream.shutdown_write()

    def _take_memory(self):
        """Take memory for what the connection holds now.

        Returns
        -------
        bool
            Whether it fits.
        """
        size = self._tally.used_bytes + self._reply_bytes
        if size < self.hold.size:
            self.hold.release()
        if size <= MAX_SMALL_BYTES or self.hold.grow(size):
            return True
        room = self._server.room
        if room.make_memory(self, size):
            return True
        room.budget.log_refusal(
            self._server.reactor.now(), size, port=self._server.address[1]
        )
        return False

    def _give_up(self):
        """End for want of memory."""
        if self._is_paused:
            # The waiting requests would have to be kept to be answered.
            self.close()
            return
        self._refuse(503)
        self._take_memory()

    def _handle_drained(self):
        self.last_progress_at = self._server.reactor.now()
        self._reply_bytes = 0
        self._take_memory()
        if self._is_last:
            self._lingering_close = _lingering.LingeringClose(
                self.stream, self.last_progress_at
            )
            return
        self._started_at = self.last_progress_at
        self._handle_waiting()


def _encode(reply, close):
    headers = b'Content-Type: %b\r\n' % reply.content_type
    return _http1.response(reply.status, headers, reply.body, close)


class Room:
    """Memory that several servers share.

    Parameters
    ----------
    budget : Budget, optional
        Memory for their connections, requests and replies; a default one if
        not given.

    Attributes
    ----------
    servers : list of HttpServer
        The servers.
    """

    def __init__(self, budget=None):
        self.budget = budget or _memory.MemoryAccount().budget(
            'control', MEMORY_SHARE, is_reserved=True
        )
        self.servers = []
        self._is_making_memory = False

    def make_memory(self, connection, size):
        """Take memory that others hold for requests without progress.

        Those are closed that have been without progress for longest.

        Parameters
        ----------
        connection : _Connection
            Connection that needs it.
        size : int
            Memory that it needs in all, in bytes.

        Returns
        -------
        bool
            Whether it has the memory.
        """
        if self._is_making_memory:
            # Input of another connection was read to know whether it may be
            # closed.
            return False
        self._is_making_memory = True
        try:
            return self._take_from_others(connection, size)
        finally:
            self._is_making_memory = False

    def _take_from_others(self, connection, size):
        others = [
            other
            for server in self.servers
            for other in server.connections
            if other is not connection and _is_unfinished(other)
        ]
        others.sort(key=lambda other: other.last_progress_at)
        for other in others:
            other.stream.catch_up()
            if _is_unfinished(other):
                other.close()
            if connection.hold.grow(size):
                return True
        return False


def _is_unfinished(connection):
    return connection.hold.size > 0 and connection.rank == 0


class HttpServer:
    """HTTP server that passes all requests to one handler.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        IP address and port to listen on.
    handle : callable
        Called with the `Message` of each request; returns a `Reply` or a
        `DelayedReply`. An exception is logged and answered with status 500.
    room : Room, optional
        Memory for the connections; one of its own if not given.
    max_connections : int, default=128
        Number of open connections above which some are closed.

    Attributes
    ----------
    address : tuple of (str, int)
        Address to which the listening socket is bound.
    connections : set
        Open connections.
    closed_for_room : int
        Number of connections that were closed to make room.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        reactor,
        address,
        handle,
        room=None,
        max_connections=MAX_CONNECTIONS,
    ):
        self.reactor = reactor
        self.handle = handle
        self.room = room or Room()
        self.max_connections = max_connections
        self.connections = set()
        self.closed_for_room = 0
        self._room_lines = _repeated_lines.RepeatedLines(LINE_INTERVAL_S)
        self._refusal_lines = _repeated_lines.RepeatedLines(LINE_INTERVAL_S)
        self._listener = _reactor.Listener(
            reactor, address, self._add_connection, self._make_room
        )
        self.address = self._listener.address
        self.room.servers.append(self)
        self._sweep_timer = reactor.timers.every(SWEEP_INTERVAL_S, self._sweep)

    def close(self):
        """Close the listening socket and all connections."""
        self._listener.close()
        self._sweep_timer.cancel()
        self.room.servers.remove(self)
        for connection in list(self.connections):
            connection.close()

    def log_refusal(self, status):
        """Log that a request is not handled, unless that was said just now.

        Parameters
        ----------
        status : int
            Status of the response.
        """
        if not self._refusal_lines.suppress(self.reactor.now()):
            _LOG.warning(
                'request refused with status %d',
                status,
                extra={
                    'event': 'small_request_refused',
                    'port': self.address[1],
                    'suppressed': self._refusal_lines.take_suppressed(),
                },
            )

    def _add_connection(self, sock, _ip):
        connection = _Connection(self, sock)
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            self._make_room(connection)

    def _make_room(self, newest=None):
        """Close the connections with which the least is lost.

        Parameters
        ----------
        newest : _Connection, optional
            Connection that is kept.
        """
        open_count = len(self.connections)
        if not open_count:
            return
        self._close_some(newest)
        while len(self.connections) > self.max_connections:
            # Those that had sent a request meanwhile are served now.
            self._close_some(newest)
        closed = open_count - len(self.connections)
        self.closed_for_room += closed
        if not self._room_lines.suppress(self.reactor.now()):
            _LOG.warning(
                '%d connections are open; closed %d',
                open_count,
                closed,
                extra={
                    'event': 'connections_limited',
                    'port': self.address[1],
                    'suppressed': self._room_lines.take_suppressed(),
                },
            )

    def _close_some(self, newest):
        candidates = heapq.nsmallest(
            max(1, int(ROOM_SHARE * len(self.connections))),
            self.connections - {newest},
            key=lambda other: (other.rank, other.last_progress_at),
        )
        for connection in candidates:
            rank = connection.rank
            # A request may have arrived meanwhile.
            connection.stream.catch_up()
            if connection.rank <= rank:
                connection.close()

    def _sweep(self, now):
        for connection in list(self.connections):
            self.reactor.guard.call(connection.check, now)
