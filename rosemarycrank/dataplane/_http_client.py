"""HTTP client for the store: one question at a time on a connection."""

import collections

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor

#: Idle connections that are kept.
MOST_IDLE = 2

#: Idle time after which a connection is not used again, in seconds.
IDLE_S = 5.0


@attrs.frozen
class HttpReply:
    """End of a call.

    Attributes
    ----------
    status : int
        HTTP status; 0 when none came.
    body : bytes
        The body.
    error : str
        Why no answer came.
    """

    status: int
    body: bytes = b''
    error: str = ''


class _Call:
    def __init__(self, client):
        self.client = client
        self.on_reply = None
        self.reader = _http1.ResponseReader(self._responded)
        self.timer = None
        self.idle_since = 0.0
        self.stream = _reactor.connect(
            client.reactor, client.address, self, keep_alive=True
        )

    def start(self, data, timeout_s, on_reply):
        self.on_reply = on_reply
        self.timer = self.client.reactor.timers.after(timeout_s, self._expired)
        self.stream.write(data)

    def received(self, data):
        try:
            self.reader.feed(data)
        except _http1.MessageError as error:
            self._fail(error.reason)

    def closed(self, error):
        self.reader.end_of_stream()
        self._fail(str(error) if error else 'connection closed')

    def _expired(self, _now):
        self._fail('timed out')

    def _fail(self, reason):
        self.stream.close(reset=True)
        self.client.forget(self)
        self._finish(HttpReply(0, error=reason))

    def _responded(self, message):
        if self.on_reply is None:
            self.stream.close()
            self.client.forget(self)
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
    """Calls one address; nothing is ever sent twice.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    address : tuple of (str, int)
        IP address and port.
    """

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._idle = collections.deque()

    def set_address(self, address):
        """Call another address from now on."""
        self.address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        while self._idle:
            self._idle.pop().stream.close()

    def call(self, method, target, body, timeout_s, on_reply):
        """Make a call.

        Parameters
        ----------
        method, target : str
            Method, and path with query.
        body : bytes or None
            JSON body.
        timeout_s : float
            Longest time to the whole answer, in seconds.
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
        self._connection().start(data, timeout_s, on_reply)

    def forget(self, call):
        """Drop a connection that is closed."""
        if call in self._idle:
            self._idle.remove(call)

    def release(self, call):
        """Keep a connection for the next call."""
        call.idle_since = self.reactor.now()
        self._idle.append(call)
        if len(self._idle) > MOST_IDLE:
            self._idle.popleft().stream.close()

    def _connection(self):
        now = self.reactor.now()
        while self._idle:
            call = self._idle.pop()
            if now - call.idle_since < IDLE_S:
                return call
            call.stream.close()
        return _Call(self)
