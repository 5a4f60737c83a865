"""Connections of clients and of the local target."""

import logging

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor

#: Requests of one connection that are worked on at once.
MOST_PIPELINED = 32

#: Bytes of answers that a slow reader may leave with the node before no
#: more of its requests are read.
MOST_UNSENT_BYTES = 256 * 1024

#: Seconds between looks for connections that are idle or slow.
SWEEP_S = 0.25

#: Seconds for a refused client to read the answer before the connection is
#: closed: a close with unread input would destroy the answer.
LINGER_S = 1.0

_LOG = logging.getLogger(__name__)


class ClientConnection:
    """Reads requests and writes their answers in order.

    Parameters
    ----------
    server : ClientServer
        Owner.
    sock : socket.socket
        The connection.
    """

    __slots__ = (
        'server',
        'stream',
        'waiting_since',
        'closing',
        '_reader',
        '_exchanges',
        '_paused',
        '_ended_at',
    )

    def __init__(self, server, sock):
        self.server = server
        self.closing = False
        self.waiting_since = server.reactor.now()
        self._reader = _http1.RequestReader(
            server.limits, self._requested, self._continue
        )
        self._exchanges = []
        self._paused = False
        self._ended_at = 0.0
        self.stream = _reactor.Stream(server.reactor, sock, self)
        self.stream.on_drained = self._drained

    @property
    def is_idle(self):
        """Whether no request has begun to arrive or waits for an answer."""
        return not self._exchanges and not self._reader.started

    def received(self, data):
        """Read bytes of the client."""
        if self.closing:
            return
        self.waiting_since = self.server.reactor.now()
        self._reader.limits = self.server.limits
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            self._refuse(error)
        if (
            len(self._exchanges) >= MOST_PIPELINED
            or self.stream.unsent_bytes > MOST_UNSENT_BYTES
        ):
            self._pause()

    def closed(self, _error):
        """Take the end of the connection: nothing is waited for."""
        self.server.forget(self)
        exchanges, self._exchanges = self._exchanges, []
        for exchange in exchanges:
            self.server.entry.abandon(exchange)

    def close(self):
        """Close the connection."""
        self.stream.close()
        self.closed(None)

    def close_when_idle(self):
        """Take no more requests; close once all are answered."""
        if self.is_idle and self.stream.unsent_bytes == 0:
            self.close()

    def response_ready(self, _exchange):
        """Write the answers that are next in order."""
        exchanges = self._exchanges
        while exchanges and exchanges[0].response is not None:
            exchange = exchanges.pop(0)
            last = (
                not exchange.keep_alive or self.server.draining
            ) and not exchanges
            data = exchange.response
            if last:
                data = data.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
            self.stream.write(data)
            exchange.response = b''
            if last or not exchange.keep_alive:
                self._finish()
                return
        self.waiting_since = self.server.reactor.now()
        if self._paused and self.stream.unsent_bytes < MOST_UNSENT_BYTES:
            self._resume()

    def check(self, now):
        """Close the connection if the client takes too long.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        limits = self.server.limits
        waited_s = now - self.waiting_since
        if self._ended_at:
            if now - self._ended_at > LINGER_S:
                self.close()
        elif self._exchanges:
            return
        elif self._paused or self.stream.unsent_bytes:
            # It does not read its answers.
            if waited_s > limits.idle_timeout_s:
                self.close()
        elif self._reader.started:
            slow = waited_s > (
                limits.idle_timeout_s
                if self._reader.in_body
                else limits.header_timeout_s
            )
            if slow:
                self._refuse(_http1.MessageError(408, 'request too slow'))
        elif waited_s > limits.idle_timeout_s:
            self.close()

    def _requested(self, message):
        if self.closing:
            return
        exchange = self.server.entry.open(message, self)
        if not message.keep_alive:
            self.closing = True
        self._exchanges.append(exchange)
        self.server.entry.begin(exchange)

    def _continue(self):
        if not self._exchanges:
            self.stream.write(_http1.CONTINUE)

    def _refuse(self, error):
        self.closing = True
        exchange = self.server.entry.refuse_message(error, self)
        self._exchanges.append(exchange)
        self.response_ready(exchange)

    def _finish(self):
        self.closing = True
        self._ended_at = self.server.reactor.now()
        abandoned, self._exchanges = self._exchanges, []
        for exchange in abandoned:
            self.server.entry.abandon(exchange)
        self.stream.end_output()

    def _pause(self):
        if not self._paused:
            self._paused = True
            self.stream.pause()

    def _resume(self):
        self._paused = False
        self.stream.resume()

    def _drained(self):
        self.waiting_since = self.server.reactor.now()
        if self._paused and len(self._exchanges) < MOST_PIPELINED:
            self._resume()


class ClientServer:
    """Accepts the connections of clients and of the local target.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    entry : EntrySide
        Where requests go.

    Attributes
    ----------
    limits : Limits
        Bounds in force.
    draining : bool
        Whether answers close their connections.
    """

    def __init__(self, reactor, entry):
        self.reactor = reactor
        self.entry = entry
        self.limits = _http1.Limits()
        self.draining = False
        self._connections = set()
        self._listener = None
        reactor.timers.every(SWEEP_S, self._sweep)

    def listen(self, address):
        """Accept connections at an address."""
        self._listener = _reactor.Listener(
            self.reactor, address, self._accepted
        )
        return self._listener.address

    def forget(self, connection):
        """Drop a connection that is closed."""
        self._connections.discard(connection)

    def close_idle(self):
        """Close the connections on which nothing is under way."""
        for connection in list(self._connections):
            connection.close_when_idle()

    def stop_accepting(self):
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _accepted(self, sock, _ip):
        self._connections.add(ClientConnection(self, sock))

    def _sweep(self, now):
        for connection in list(self._connections):
            connection.check(now)
