"""WSGI server that limits the number of connections and slow peers."""

import contextlib
import socket
import ssl as standard_ssl
import time

import gevent
from gevent import pool
from gevent import pywsgi
from gevent import ssl

#: Maximum duration of a TLS handshake, in seconds.
HANDSHAKE_TIMEOUT_S = 5.0

#: Timeout of each read from a client, in seconds.
READ_TIMEOUT_S = 60.0

#: Interval at which a server that stops checks whether all responses are
#: sent, in seconds.
STOP_CHECK_PERIOD_S = 0.02

#: Key of the connection's socket in the WSGI environment.
SOCKET_KEY = 'rosemarycrank.socket'


class _Handler(pywsgi.WSGIHandler):
    """Handler that adds the connection's socket to the WSGI environment.

    It counts the open requests of its server, and closes the connection after
    a response if the server says so.
    """

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_response(self):
        self.server.open_requests_ += 1
        try:
            super().handle_one_response()
        finally:
            self.server.open_requests_ -= 1

    def finalize_headers(self):
        super().finalize_headers()
        if self.server.closes_connections:
            self.close_connection = True
            self.response_headers = [
                (name, value)
                for name, value in self.response_headers
                if name.lower() != b'connection'
            ]
            self.response_headers.append((b'Connection', b'close'))


class Server(pywsgi.WSGIServer):
    """WSGI server for one application.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 selects a free port.
    application : callable
        WSGI application.
    max_connections : int
        Maximum number of connections served at a time; further connections
        wait to be accepted.
    tls_context : gevent.ssl.SSLContext, optional
        TLS context. If given, the server accepts only TLS connections.

    Attributes
    ----------
    closes_connections : bool
        Whether each response closes its connection.
    failed_handshakes_ : int
        Number of connections closed because their TLS handshake failed.
    open_requests_ : int
        Number of requests whose responses are not sent yet.
    """

    def __init__(
        self, address, application, max_connections, tls_context=None
    ):
        host, _, port = address.rpartition(':')
        self.closes_connections = False
        self.failed_handshakes_ = 0
        self.open_requests_ = 0
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
        # pywsgi leaves Nagle's algorithm on, which would delay each answer
        # until the client's acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(READ_TIMEOUT_S)
        super().handle(sock, address)

    def stop_after_responses(self, max_s):
        """Stop accepting, then close connections once responses are sent.

        Parameters
        ----------
        max_s : float
            Longest wait for the responses, in seconds.
        """
        self.close()
        give_up_at = time.monotonic() + max_s
        while self.open_requests_ and time.monotonic() < give_up_at:
            gevent.sleep(STOP_CHECK_PERIOD_S)
        # The connections that are left are idle or past the wait.
        self.stop(timeout=0)

    def _handshake(self, tls_socket):
        """Return whether the peer completed the handshake in time."""
        # pywsgi sets no time limit: a peer that sends nothing would occupy
        # one of the max_connections connections forever.
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
                tls_socket.do_handshake()
        except (OSError, gevent.Timeout):
            self.failed_handshakes_ += 1
            return False
        return True


def server_tls_context(certificate_file, key_file):
    """Create the TLS context of the node's servers.

    Parameters
    ----------
    certificate_file : str or path-like
        PEM file with the node's certificate and the intermediate
        certificates.
    key_file : str or path-like
        PEM file with the private key of the certificate, not encrypted.

    Returns
    -------
    gevent.ssl.SSLContext
        Context that accepts TLS 1.2 and later.

    Raises
    ------
    ValueError
        If a file cannot be read, or the key does not match the certificate.
    """
    context = ssl.SSLContext(standard_ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = standard_ssl.TLSVersion.TLSv1_2
    try:
        # Without a password argument, OpenSSL would prompt on the terminal
        # for the password of an encrypted key.
        context.load_cert_chain(certificate_file, key_file, password='')
    except OSError as error:
        raise ValueError(
            f'{certificate_file}, {key_file}: {error.strerror or error}, '
            'allowed a certificate and its key in PEM'
        ) from error
    return context
