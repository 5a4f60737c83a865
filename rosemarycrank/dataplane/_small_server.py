"""HTTP server for the few requests that are not forwarded."""

import logging

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor

#: Bounds for these requests; all of them are small.
LIMITS = _http1.Limits(header_bytes=8192, body_bytes=65536)

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Reply:
    """Answer of a handler.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    content_type : bytes
        Media type of the body.
    """

    status: int
    body: bytes = b''
    content_type: bytes = b'application/json'


class _Connection:
    def __init__(self, server, sock):
        self._server = server
        self._reader = _http1.RequestReader(LIMITS, self._requested)
        self._stream = _reactor.Stream(server.reactor, sock, self)
        self._closing = False

    def received(self, data):
        if self._closing:
            return
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            self._write(Reply(error.status), close=True)

    def closed(self, _error):
        self._server.connections.discard(self)

    def close(self):
        self._stream.close()

    def _requested(self, message):
        try:
            reply = self._server.handle(message)
        except Exception:
            _LOG.exception('request failed: %s', message.target)
            reply = Reply(500)
        self._write(reply, close=not message.keep_alive)

    def _write(self, reply, close):
        headers = b'Content-Type: %b\r\n' % reply.content_type
        self._stream.write(
            _http1.response(reply.status, headers, reply.body, close)
        )
        if close:
            self._closing = True
            self._stream.shutdown_write()


class HttpServer:
    """Serves one address with one handler.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    address : tuple of (str, int)
        Where to listen.
    handle : callable
        Takes a `Message`, returns a `Reply`.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(self, reactor, address, handle):
        self.reactor = reactor
        self.handle = handle
        self.connections = set()
        self._listener = _reactor.Listener(reactor, address, self._accepted)
        self.address = self._listener.address

    def close(self):
        """Stop serving."""
        self._listener.close()
        for connection in list(self.connections):
            connection.close()

    def _accepted(self, sock, _ip):
        self.connections.add(_Connection(self, sock))
