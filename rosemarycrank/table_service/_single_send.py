"""HTTP client that sends each request once and bounds each answer.

`geventhttpclient.HTTPClient.request` sends a request with an idempotent
method again when the connection closes before the answer, up to
``pool.size + 1`` times more. That would break the bound on retries and
hide lost answers, so the pool here reports a size of -1, which leaves no
attempt beyond the first. The version of the library is pinned in
``pyproject.toml``, and a test counts arrivals at a server.
"""

import gevent.socket
import geventhttpclient
from geventhttpclient import connectionpool


class NotSent(Exception):
    """No byte of the request left this process."""


class AnswerTooLarge(Exception):
    """The answer is longer than allowed."""


class _BoundedSocket(gevent.socket.socket):
    """Socket that refuses to receive more than a number of bytes."""

    bytes_left = 0

    def recv(self, *args):
        received = super().recv(*args)
        self.bytes_left -= len(received)
        if self.bytes_left < 0:
            raise AnswerTooLarge('answer is longer than allowed')
        return received


class _Pool(connectionpool.ConnectionPool):
    """Connection pool that tells a failure to connect from later ones."""

    def __init__(self, host, port, connections, timeout_s, max_answer_bytes):
        super().__init__(
            host,
            port,
            host,
            port,
            size=connections,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )
        # The semaphore and the queue keep the true size.
        self.size = -1
        self._max_answer_bytes = max_answer_bytes

    def _create_tcp_socket(self, family, socktype, protocol):
        return _BoundedSocket(family, socktype, protocol)

    def get_socket(self):
        try:
            connection = super().get_socket()
        except Exception as error:
            raise NotSent(str(error)) from error
        connection.bytes_left = self._max_answer_bytes
        return connection


def make_client(host, port, connections, timeout_s, max_answer_bytes):
    """Return a client that sends each request once.

    Parameters
    ----------
    host : str
        Address of the server.
    port : int
        Port of the server.
    connections : int
        Largest number of connections; a request beyond it waits.
    timeout_s : float
        Longest wait for a connection and for each read, in seconds.
    max_answer_bytes : int
        Longest answer, headers included; a longer one raises
        `AnswerTooLarge` from ``request`` or ``read``.

    Returns
    -------
    geventhttpclient.HTTPClient
        The client; its ``request`` raises `NotSent` when no connection
        could be made.
    """
    client = geventhttpclient.HTTPClient(host, port)
    client._connection_pool = _Pool(
        host, port, connections, timeout_s, max_answer_bytes
    )
    return client
