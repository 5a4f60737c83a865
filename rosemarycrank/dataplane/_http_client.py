"""HTTP client for the store, with one call at a time per connection."""

import collections

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor

#: Maximum number of idle connections that are kept for reuse.
MAX_IDLE_CONNECTIONS = 2

#: Idle time after which a connection is closed instead of reused.
IDLE_TIMEOUT_S = 5.0


@attrs.frozen
class HttpReply:
    """Response to a call, or the reason why there is none.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no response was received.
    body : bytes
        Body of the response.
    error : str
        Reason why no response was received; otherwise empty.
    """

    status: int
    body: bytes = b''
    error: str = ''


class _Connection:
    """Connection that carries one call at a time."""

    def __init__(self, client):
        self.client = client
        self.on_reply = None
        self.reader = _http1.ResponseReader(self._handle_response)
        self.timer = None
        self.idle_since = 0.0
        self.stream = _reactor.connect(
            client.reactor, client.address, self, keep_alive=True
        )

    def start(self, data, timeout_s, on_reply):
        self.on_reply = on_reply
        self.timer = self.client.reactor.timers.after(
            timeout_s, self._handle_timeout
        )
        self.stream.write(data)

    def received(self, data):
        try:
            self.reader.feed(data)
        except _http1.MessageError as error:
            self._fail(error.reason)

    def closed(self, error):
        self.reader.end_of_stream()
        self._fail(str(error) if error else 'connection closed')

    def _handle_timeout(self, _now):
        self._fail('timed out')

    def _fail(self, reason):
        self.stream.close(reset=True)
        self.client.discard(self)
        self._finish(HttpReply(0, error=reason))

    def _handle_response(self, message):
        if self.on_reply is None:
            self.stream.close()
            self.client.discard(self)
            return
        if message.keep_alive:
            self.client.release(self)
        else:
            self.stream.close()
        self._finish(HttpReply(message.status, message.body))

    def _finish(self, reply):
        if self.timer is not None:
            self.timer.cancel()
        on_reply = self.on_reply
        self.on_reply = None
        if on_reply is not None:
            on_reply(reply)


class HttpClient:
    """HTTP client for one address, without retries.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        IP address and port of the server.
    """

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._idle = collections.deque()

    def set_address(self, address):
        """Set the address for future calls and close the idle connections.

        Parameters
        ----------
        address : tuple of (str, int)
            IP address and port of the server.
        """
        self.address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        while self._idle:
            self._idle.pop().stream.close()

    def call(self, method, target, body, timeout_s, on_reply):
        """Send a request.

        Parameters
        ----------
        method, target : str
            HTTP method; path and query.
        body : bytes or None
            JSON body; None for a request without a body.
        timeout_s : float
            Maximum time until the complete response, in seconds.
        on_reply : callable
            Called once with an `HttpReply`.
        """
        head = f'{method} {target} HTTP/1.1\r\n'.encode()
        lines = b'Host: %b\r\n' % self._host
        if body is not None:
            lines += (
                b'Content-Type: application/json\r\nContent-Length: %d\r\n'
                % len(body)
            )
        data = head + lines + b'\r\n' + (body or b'')
        self._acquire().start(data, timeout_s, on_reply)

    def discard(self, connection):
        """Remove a closed connection from the idle ones."""
        if connection in self._idle:
            self._idle.remove(connection)

    def release(self, connection):
        """Return a connection whose call has ended, for reuse."""
        connection.idle_since = self.reactor.now()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.popleft().stream.close()

    def _acquire(self):
        now = self.reactor.now()
        while self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since < IDLE_TIMEOUT_S:
                return connection
            connection.stream.close()
        return _Connection(self)
