"""HTTP client on geventhttpclient, with its automatic retries disabled."""

import errno

import attrs
import gevent
import gevent.socket
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as client_response

from rosemarycrank import http_heads

#: Default maximum length of an answer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_BLOCK_BYTES = 64 * 1024


class HttpError(Exception):
    """The request got no complete answer; base class of the errors."""


class ConnectFailed(HttpError):
    """No connection was established, so nothing was sent."""


class AnswerLost(HttpError):
    """The request was sent, at least in part, and no answer arrived."""


class AnswerTruncated(HttpError):
    """The answer is shorter than its announced length, or too large."""


class AnswerTooLarge(AnswerTruncated):
    """The answer is longer than allowed."""


class AnswerInvalid(AnswerTruncated):
    """The head of the answer is none of HTTP, or consists of parts of two."""


class AnswerSurplus(AnswerTruncated):
    """Bytes of another answer came with the answer."""


@attrs.frozen
class Response:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


class _BoundedSocket(gevent.socket.socket):
    """Socket that limits the number of bytes received for an answer.

    The announced length of a body is checked separately. This limit covers
    bodies without an announced length, and endless headers.

    The library reads an answer also after a failed send. The operating system
    reports a reset once, so that the end of that answer would look orderly.
    """

    bytes_left = 0
    is_used_again = False
    _send_error = None

    def send(self, *arguments, **parameters):
        """Send bytes; remember an error that is not that of an orderly end."""
        try:
            return super().send(*arguments, **parameters)
        except OSError as error:
            if self._send_error is None and error.errno != errno.EPIPE:
                self._send_error = error
            raise

    def recv(self, *arguments):
        """Receive bytes; raise `AnswerTooLarge` beyond the limit.

        At the end of the input, raise the error of an earlier send.
        """
        received = super().recv(*arguments)
        if not received and self._send_error is not None:
            raise self._send_error
        self.bytes_left -= len(received)
        if self.bytes_left < 0:
            raise AnswerTooLarge('answer: got more bytes than allowed')
        return received


class _PoolMixin:
    """Common part of the connection pools with and without TLS.

    It distinguishes a failed connect, which includes a failed TLS handshake,
    from a failed send.

    Attributes
    ----------
    sending_greenlets : set of gevent.Greenlet
        Greenlets that got a socket and may have sent data over it.
    read_sockets_by_greenlet : dict of gevent.Greenlet to socket
        Sockets on which an answer has been read, until it is known whether
        they may be used again.
    """

    def __init__(self, *arguments, max_answer_bytes, **parameters):
        super().__init__(*arguments, **parameters)
        self.max_answer_bytes = max_answer_bytes
        self.sending_greenlets = set()
        self.read_sockets_by_greenlet = {}

    def get_socket(self):
        sock = super().get_socket()
        sock.bytes_left = self.max_answer_bytes
        self.sending_greenlets.add(gevent.getcurrent())
        return sock

    def return_socket(self, sock):
        """Keep a socket apart on which an answer has been read."""
        self.read_sockets_by_greenlet[gevent.getcurrent()] = sock

    def settle_socket(self, is_reusable):
        """Return the socket of this greenlet to the pool, or close it.

        Parameters
        ----------
        is_reusable : bool
            Whether the connection may carry another request.
        """
        sock = self.read_sockets_by_greenlet.pop(gevent.getcurrent(), None)
        if sock is None:
            return
        if is_reusable:
            sock.is_used_again = True
            super().return_socket(sock)
        else:
            self.release_socket(sock)

    def is_used_again(self):
        """Return whether this greenlet's connection served another request."""
        sock = self.read_sockets_by_greenlet.get(gevent.getcurrent())
        return sock is not None and sock.is_used_again

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
        IP address of the server.
    port : int
        TCP port.
    max_connections : int, default=64
        Maximum number of open connections.
    connect_timeout_s : float, default=1.0
        Maximum time to establish a connection, in seconds.
    read_timeout_s : float, default=30.0
        Maximum time of one read, in seconds.
    tls_context : gevent.ssl.SSLContext, optional
        Context for TLS, from `client_tls_context`; None for connections
        without TLS.
    max_answer_bytes : int, default=8 MiB
        Maximum length of an answer; includes the headers if TLS is not used.
    token_header : str, optional
        Header whose value is another one in each request, and which the
        server may return in its answer. A connection is used again only
        after such an answer: a late second copy of any other one could not
        be told from the answer to the next request.
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
        token_header=None,
    ):
        self.host = host
        self.port = port
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.read_timeout_s = read_timeout_s
        self.tls_context = tls_context
        self.max_answer_bytes = max_answer_bytes
        self.token_header = token_header
        self._client = geventhttpclient.HTTPClient(host, port=port)
        self._pool = self._create_pool()
        # If a connection closes, the library repeats the request up to
        # size + 1 times. With a size of -1 it sends each request once.
        self._pool.size = -1
        self._client._connection_pool = self._pool

    @classmethod
    def for_address(cls, address, **parameters):
        """Return a client of the server at an address.

        Parameters
        ----------
        address : str
            ``host:port`` of the server.
        **parameters
            Further parameters of the constructor.

        Returns
        -------
        Client
            The client.
        """
        host, _, port = address.rpartition(':')
        return cls(host, int(port), **parameters)

    def request(self, method, target, body=b'', headers=None, timeout_s=None):
        """Send a request once and read the complete answer.

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
            Maximum time until the complete answer, in seconds.

        Returns
        -------
        Response
            The answer.

        Raises
        ------
        ConnectFailed
            If no connection was established; the request was not sent.
        AnswerLost
            If no answer arrived, although the server may have executed the
            request.
        AnswerTruncated
            If the answer is incomplete or too large.
        """
        greenlet = gevent.getcurrent()
        try:
            with gevent.Timeout(timeout_s):
                return self._exchange(method, target, body, headers)
        except gevent.Timeout as error:
            if greenlet in self._pool.sending_greenlets:
                raise AnswerLost(f'no answer in {timeout_s} s') from error
            raise ConnectFailed(
                'connection not established in time'
            ) from error
        except HttpError:
            raise
        except (OSError, client_response.HTTPParseError) as error:
            raise AnswerLost(str(error)) from error
        finally:
            self._pool.sending_greenlets.discard(greenlet)

    def close(self):
        """Close the idle connections."""
        self._client.close()

    def _create_pool(self):
        address = (self.host, self.port)
        parameters = {
            'size': self.max_connections,
            'connection_timeout': self.connect_timeout_s,
            'network_timeout': self.read_timeout_s,
            'max_answer_bytes': self.max_answer_bytes,
        }
        if self.tls_context is None:
            return _Pool(*address, *address, **parameters)
        return _TlsPool(
            *address,
            *address,
            # The certificate authorities are already in the context.
            ssl_context_factory=lambda cafile: self.tls_context,
            **parameters,
        )

    def _exchange(self, method, target, body, headers):
        headers = headers or {}
        is_reusable = False
        try:
            answer = self._client.request(
                method, target, body=body, headers=headers
            )
            try:
                response = self._read_response(answer, method)
                is_reusable = self._names_request(response, headers)
            finally:
                answer.release()
        finally:
            self._pool.settle_socket(is_reusable)
        return response

    def _names_request(self, response, headers):
        """Return whether an answer names its request; check that it does.

        Raises
        ------
        AnswerSurplus
            If it names another request.
        """
        if self.token_header is None:
            return False
        returned = response.headers.get(self.token_header.lower())
        if returned is None:
            if self._pool.is_used_again():
                raise AnswerSurplus('answer: names no request')
            return False
        if returned != headers.get(self.token_header):
            raise AnswerSurplus('answer: names another request')
        return True

    def _read_response(self, answer, method):
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
            raise AnswerTruncated(f'answer truncated after {len(body)} bytes')
        # The library joins the bodies of answers that it reads at once.
        announced = answer.content_length
        if method != 'HEAD' and announced not in (None, len(body)):
            raise AnswerSurplus(
                f'answer: got {len(body)} bytes, announced {announced}'
            )
        fields = [(str(k).lower(), str(v)) for k, v in answer.items()]
        self._check_head(answer, fields)
        return Response(answer.status_code, dict(fields), body)

    def _check_head(self, answer, fields):
        """Check that a head is one of HTTP, and that of one answer.

        Raises
        ------
        AnswerInvalid
            If it is not valid, or consists of parts of two.
        AnswerSurplus
            If it names two requests.
        """
        fault = http_heads.find_fault(
            answer.status_code,
            answer.get_http_version().removeprefix('HTTP/'),
            (answer.status_message or '').encode(),
            [(name.encode(), value.encode()) for name, value in fields],
        )
        if fault is not None:
            raise AnswerInvalid(f'answer: {fault}')
        token_name = (self.token_header or '').lower()
        if sum(name == token_name for name, _ in fields) > 1:
            raise AnswerSurplus('answer: names two requests')

    def _check_length(self, length):
        if length > self.max_answer_bytes:
            raise AnswerTooLarge(
                f'answer: got {length} bytes, allowed {self.max_answer_bytes}'
            )
