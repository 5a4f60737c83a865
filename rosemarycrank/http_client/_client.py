"""Wrapper of geventhttpclient without its hidden re-sends."""

import attrs
import gevent
import gevent.socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as client_response

#: Longest answer that is read unless a client is told otherwise.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_BLOCK_BYTES = 64 * 1024


class HttpError(Exception):
    """A request that got no whole answer."""


class ConnectFailed(HttpError):
    """No connection was made, so nothing was sent."""


class AnswerLost(HttpError):
    """The request was sent, at least in part, and no answer came."""


class AnswerTruncated(HttpError):
    """The answer is shorter than its announced length, or too large."""


class AnswerTooLarge(AnswerTruncated):
    """The answer is longer than allowed."""


@attrs.frozen
class Response:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


class _BoundedSocket(gevent.socket.socket):
    """Socket that receives no more than a number of bytes.

    The length of a body is checked when it is announced; this bounds what
    comes without one, and endless headers.
    """

    bytes_left = 0

    def recv(self, *arguments):
        """Receive bytes; raises `AnswerTooLarge` when they are too many."""
        received = super().recv(*arguments)
        self.bytes_left -= len(received)
        if self.bytes_left < 0:
            raise AnswerTooLarge('answer: longer than allowed')
        return received


class _PoolMixin:
    """What the pools with and without TLS have in common.

    It tells a failed connect, of which a failed TLS handshake is part, from
    a failed send.

    Attributes
    ----------
    writing : set of gevent.Greenlet
        Greenlets that were handed a socket and may have written to it.
    """

    def __init__(self, *arguments, max_answer_bytes, **parameters):
        super().__init__(*arguments, **parameters)
        self.max_answer_bytes = max_answer_bytes
        self.writing = set()

    def get_socket(self):
        sock = super().get_socket()
        sock.bytes_left = self.max_answer_bytes
        self.writing.add(gevent.getcurrent())
        return sock

    def _create_tcp_socket(self, family, socktype, protocol):
        return _BoundedSocket(family, socktype, protocol)

    def _connect_socket(self, sock, address):
        try:
            return super()._connect_socket(sock, address)
        except OSError as error:
            raise ConnectFailed(f'{address}: {error}') from error


class _Pool(_PoolMixin, connectionpool.ConnectionPool):
    """Pool of plain connections."""


class _TlsPool(_PoolMixin, connectionpool.SSLConnectionPool):
    """Pool of TLS connections."""


class Client:
    """HTTP client of one server.

    Parameters
    ----------
    host : str
        IP number of the server.
    port : int
        TCP port.
    max_connections : int, default=64
        Most connections open at once.
    connect_timeout_s : float, default=1.0
        Longest wait for a connection.
    read_timeout_s : float, default=30.0
        Longest wait for one read.
    tls_context : gevent.ssl.SSLContext, optional
        Context for TLS, from `client_tls_context`; without it connections
        are plain.
    max_answer_bytes : int, default=8 MiB
        Longest answer; without TLS its headers count too.
    """

    def __init__(
        self,
        host,
        port,
        max_connections=64,
        connect_timeout_s=1.0,
        read_timeout_s=30.0,
        tls_context=None,
        max_answer_bytes=MAX_ANSWER_BYTES,
    ):
        self.host = host
        self.port = port
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.read_timeout_s = read_timeout_s
        self.tls_context = tls_context
        self.max_answer_bytes = max_answer_bytes
        self._client = geventhttpclient.HTTPClient(host, port=port)
        self._pool = self._make_pool()
        # The library sends a request up to size + 1 more times when a
        # connection closes; a size of -1 leaves the one send.
        self._pool.size = -1
        self._client._connection_pool = self._pool

    def request(self, method, target, body=b'', headers=None, timeout_s=None):
        """Send a request once and read the whole answer.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path with query.
        body : bytes, default=b''
            Body.
        headers : dict of str to str, optional
            Headers.
        timeout_s : float, optional
            Longest wait for the whole exchange, in seconds.

        Returns
        -------
        Response
            The answer.

        Raises
        ------
        ConnectFailed
            If no connection was made: the request was not sent.
        AnswerLost
            If the request may have been taken and no answer came.
        AnswerTruncated
            If the answer was cut short.
        """
        greenlet = gevent.getcurrent()
        try:
            with gevent.Timeout(timeout_s):
                return self._exchange(method, target, body, headers)
        except gevent.Timeout as error:
            if greenlet in self._pool.writing:
                raise AnswerLost(f'no answer in {timeout_s} s') from error
            raise ConnectFailed('no connection in time') from error
        except HttpError:
            raise
        except (OSError, client_response.HTTPParseError) as error:
            raise AnswerLost(str(error)) from error
        finally:
            self._pool.writing.discard(greenlet)

    def close(self):
        """Close the idle connections."""
        self._client.close()

    def _make_pool(self):
        server = (self.host, self.port)
        parameters = {
            'size': self.max_connections,
            'connection_timeout': self.connect_timeout_s,
            'network_timeout': self.read_timeout_s,
            'max_answer_bytes': self.max_answer_bytes,
        }
        if self.tls_context is None:
            return _Pool(*server, *server, **parameters)
        return _TlsPool(
            *server,
            *server,
            # The context has its authorities already.
            ssl_context_factory=lambda cafile: self.tls_context,
            **parameters,
        )

    def _exchange(self, method, target, body, headers):
        answer = self._client.request(
            method, target, body=body, headers=headers or {}
        )
        try:
            return self._read(answer)
        finally:
            answer.release()

    def _read(self, answer):
        length = answer.content_length
        self._check_length(length or 0)
        blocks = []
        received = 0
        try:
            while block := answer.read(READ_BLOCK_BYTES):
                blocks.append(block)
                received += len(block)
                self._check_length(received)
        except (OSError, client_response.HTTPParseError) as error:
            raise AnswerTruncated(str(error)) from error
        body = b''.join(blocks)
        if not answer.message_complete:
            raise AnswerTruncated(f'answer: got {len(body)} bytes, not whole')
        headers = {str(k).lower(): str(v) for k, v in answer.items()}
        return Response(answer.status_code, headers, body)

    def _check_length(self, length):
        if length > self.max_answer_bytes:
            raise AnswerTooLarge(
                f'answer: got {length} bytes, allowed {self.max_answer_bytes}'
            )
