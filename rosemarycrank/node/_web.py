"""WSGI server with bounds on connections and on slow peers."""

import contextlib
import socket
import ssl as standard_ssl

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import ssl

#: Longest wait for a whole TLS handshake, in seconds.
HANDSHAKE_TIMEOUT_S = 5.0

#: Longest wait for one read from a client, in seconds.
READ_TIMEOUT_S = 60.0


#: Key of the connection's socket in the WSGI environment.
SOCKET_KEY = 'rosemarycrank.socket'


class _Handler(pywsgi.WSGIHandler):
    """Handler that tells the application its connection's socket."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


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
    tls_context : gevent.ssl.SSLContext, optional
        Context of a listener that takes TLS alone.

    Attributes
    ----------
    failed_handshakes_ : int
        Connections that were closed because no TLS handshake succeeded.
    """

    def __init__(
        self, address, application, max_connections, tls_context=None
    ):
        host, _, port = address.rpartition(':')
        self.failed_handshakes_ = 0
        tls_parameters = {}
        if tls_context is not None:
            tls_parameters = {
                'ssl_context': tls_context,
                'do_handshake_on_connect': False,
            }
        super().__init__(
            (host, int(port)),
            application,
            spawn=pool.Pool(max_connections),
            handler_class=_Handler,
            log=None,
            error_log=None,
            **tls_parameters,
        )

    def wrap_socket_and_handle(self, client_socket, address):
        try:
            tls_socket = self.wrap_socket(client_socket, **self.ssl_args)
        except OSError:
            self.failed_handshakes_ += 1
            return
        with contextlib.closing(tls_socket):
            if self._handshake(tls_socket):
                self.handle(tls_socket, address)

    def handle(self, sock, address):
        # The server leaves Nagle's algorithm on, which delays each answer
        # until the client's acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(READ_TIMEOUT_S)
        super().handle(sock, address)

    def _handshake(self, tls_socket):
        """Return whether the peer completed the handshake in time."""
        # The server itself sets no limit: a silent peer would hold its
        # connection, of which there are max_connections, for good.
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
                tls_socket.do_handshake()
        except (OSError, gevent.Timeout):
            self.failed_handshakes_ += 1
            return False
        return True


def server_tls_context(certificate_file, key_file):
    """Return the TLS context of listeners.

    Parameters
    ----------
    certificate_file : str or path-like
        Certificate of the node in PEM, and those between it and the
        authority.
    key_file : str or path-like
        Its private key in PEM, not encrypted.

    Returns
    -------
    gevent.ssl.SSLContext
        Context for TLS 1.2 and later.

    Raises
    ------
    ValueError
        If a file cannot be read or the two do not belong together.
    """
    context = ssl.SSLContext(standard_ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = standard_ssl.TLSVersion.TLSv1_2
    try:
        # Without a password, an encrypted key would be asked for on the
        # terminal.
        context.load_cert_chain(certificate_file, key_file, password='')
    except OSError as error:
        raise ValueError(
            f'{certificate_file}, {key_file}: {error.strerror or error}, '
            'allowed a certificate and its key in PEM'
        ) from error
    return context
