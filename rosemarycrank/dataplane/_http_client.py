"""HTTP client for the store, with a connection for each call.

Replies carry no identifier of their call. On a connection in use again, a late
second copy of a reply could not be told from the reply to the next call.
"""

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _response_reader


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
    values_by_name : dict of bytes to bytes
        Header fields of the response, with names in lower case.
    """

    status: int
    body: bytes = b''
    error: str = ''
    values_by_name: dict = attrs.field(factory=dict)


class _Call:
    """A call, and the connection that carries it.

    Parameters
    ----------
    client : HttpClient
        Client that makes the call.
    timeout_s : float
        Maximum time until the complete response, in seconds.
    on_reply : callable
        Called once with an `HttpReply`.
    """

    def __init__(self, client, timeout_s, on_reply):
        self._on_reply = on_reply
        self._guard = client.reactor.guard
        self._reader = _response_reader.ResponseReader(self._handle_response)
        self._timer = client.reactor.timers.after(
            timeout_s, lambda _now: self._fail('timed out')
        )
        self.stream = _reactor.connect(
            client.reactor, client.address, self, keep_alive=True
        )

    def received(self, data):
        """Decode received bytes."""
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            self._fail(error.reason)

    def closed(self, error):
        """Handle the end of the connection.

        Parameters
        ----------
        error : OSError or None
            Error that ended it; None if the store ended it in order.
        """
        if error is None:
            self._reader.end_of_stream()
        self._fail(str(error) if error else 'connection closed')

    def _fail(self, reason):
        self._finish(HttpReply(0, error=reason), reset=True)

    def _handle_response(self, message):
        reply = HttpReply(
            message.status, message.body, '', message.values_by_name
        )
        self._finish(reply, reset=False)

    def _finish(self, reply, reset):
        self._timer.cancel()
        self._reader.close()
        self.stream.close(reset)
        on_reply = self._on_reply
        self._on_reply = None
        if on_reply is not None:
            self._guard.call(on_reply, reply)


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

    def set_address(self, address):
        """Set the address for future calls.

        Parameters
        ----------
        address : tuple of (str, int)
            IP address and port of the server.
        """
        self.address = address

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
        lines = [
            f'{method} {target} HTTP/1.1',
            'Host: %s:%d' % self.address,
            'Connection: close',
        ]
        if body is not None:
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        call = _Call(self, timeout_s, on_reply)
        call.stream.write(head + (body or b''))
