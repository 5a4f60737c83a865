"""HTTP client that sends each request at most once."""

import socket

import attrs
import gevent
import geventhttpclient
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

# A request that times out while it is sent never gives its place in the
# library's pool back; the number of places is therefore without meaning.
_POOL_PLACES = 1_000_000


class NotSent(Exception):
    """No connection was made; nothing of the request left."""


class NoAnswer(Exception):
    """The request may have arrived, and no whole answer came back."""


@attrs.frozen
class Response:
    """A whole answer; names of headers are in lower case."""

    status: int
    headers: dict
    body: bytes


class _Pool(connectionpool.ConnectionPool):
    """Connection pool that tells a failed connect from later failures."""

    def _create_socket(self):
        try:
            return super()._create_socket()
        except OSError as error:
            raise NotSent(str(error)) from error

    def after_connect(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Client:
    """Client of one server.

    Parameters
    ----------
    address : str
        ``host:port`` of the server.
    connect_timeout_s : float
        Longest wait for a new connection, in seconds.
    """

    def __init__(self, address, connect_timeout_s=1.0):
        host, _, port = address.rpartition(':')
        self.address = address
        self._http = geventhttpclient.HTTPClient(host, int(port))
        self._http._connection_pool = _Pool(
            host,
            int(port),
            host,
            int(port),
            size=_POOL_PLACES,
            connection_timeout=connect_timeout_s,
            network_timeout=None,
        )
        # The library re-sends idempotent requests ``size + 1`` times when
        # a connection closes, unseen by its caller and so uncounted.
        self._http._connection_pool.size = -1

    def request(self, method, path, headers=None, body=b'', timeout_s=5.0):
        """Send a request once and wait for its whole answer.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        headers : dict of str to str, optional
            Headers.
        body : bytes, optional
            Body.
        timeout_s : float, optional
            Longest wait for the whole answer, in seconds.

        Returns
        -------
        Response
            The whole answer.

        Raises
        ------
        NotSent
            If no connection was made.
        NoAnswer
            If the connection failed or the time ran out after that.
        """
        try:
            with gevent.Timeout(timeout_s):
                return self._exchange(method, path, headers or {}, body)
        except gevent.Timeout as error:
            raise NoAnswer(f'no answer in {timeout_s} s') from error
        except (OSError, http_response.HTTPParseError) as error:
            raise NoAnswer(str(error) or type(error).__name__) from error

    def close(self):
        """Close idle connections."""
        self._http.close()

    def _exchange(self, method, path, headers, body):
        answer = self._http.request(method, path, body=body, headers=headers)
        received = bytes(answer.read())
        headers = {name.lower(): value for name, value in answer.items()}
        announced = headers.get('content-length')
        if announced is not None and int(announced) != len(received):
            raise NoAnswer(f'got {len(received)} of {announced} bytes')
        return Response(answer.status_code, headers, received)
