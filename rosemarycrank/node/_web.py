"""WSGI server with bounds on connections and on slow peers."""

import socket

from gevent import pool
from gevent import pywsgi

#: Longest wait for one read from a client, in seconds.
READ_TIMEOUT_S = 60.0


class Server(pywsgi.WSGIServer):
    """WSGI server for one application.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    application : callable
        WSGI application.
    max_connections : int
        Connections served at once; more wait to be accepted.
    """

    def __init__(self, address, application, max_connections):
        host, _, port = address.rpartition(':')
        super().__init__(
            (host, int(port)),
            application,
            spawn=pool.Pool(max_connections),
            log=None,
            error_log=None,
        )

    def handle(self, sock, address):
        # The server leaves Nagle's algorithm on, which delays each answer
        # until the client's acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(READ_TIMEOUT_S)
        super().handle(sock, address)
