"""HTTP server and command-line helpers of the stand-ins."""

import json
import logging
import signal
import socket
import sys

import attrs
import falcon
import gevent
from gevent import event
from gevent import pywsgi
import msgspec
from pythonjsonlogger import json as jsonlogger
import typer

from rosemarycrank import http_client
from rosemarycrank import settings

EXIT_INVALID_SETTINGS = 1
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 10_000
_LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
SOCKET_ENVIRON_KEY = 'rosemarycrank.socket'


class _Handler(pywsgi.WSGIHandler):
    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_ENVIRON_KEY] = self.socket
        return environ


class Server(pywsgi.WSGIServer):
    """WSGI server with a limit on open connections.

    A connection beyond the limit is closed at once, without reading from it.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 picks a free port.
    application : callable
        WSGI application.
    max_connections : int
        Maximum number of open connections.

    Attributes
    ----------
    connections : int
        Open connections.
    connections_refused : int
        Connections closed because of the limit.
    """

    def __init__(self, address, application, max_connections=MAX_CONNECTIONS):
        host, port = split_address(address)
        super().__init__(
            (host, port),
            application,
            handler_class=_Handler,
            log=None,
            error_log=None,
        )
        self.max_connections = max_connections
        self.connections = 0
        self.connections_refused = 0

    @property
    def bound_address(self):
        """``host:port`` that the server listens on."""
        return f'{self.server_host}:{self.server_port}'

    def handle(self, client_socket, address):
        """Serve one connection."""
        if self.connections >= self.max_connections:
            self.connections_refused += 1
            client_socket.close()
            return
        # Without TCP_NODELAY, Nagle's algorithm and the peer's delayed
        # acknowledgement add about 40 ms to each answer.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        try:
            super().handle(client_socket, address)
        finally:
            self.connections -= 1


def split_address(address):
    """Split ``host:port`` into host and port.

    Parameters
    ----------
    address : str
        The address.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If the address does not have this form.
    """
    host, separator, port = address.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError(f'address: got {address!r}, allowed host:port')
    return host, int(port)


def client(address):
    """Return an HTTP client for the server at ``host:port``."""
    host, port = split_address(address)
    return http_client.Client(host, port, max_connections=MAX_CONNECTIONS)


def print_ready(**fields):
    """Print the JSON line that signals readiness to the parent process."""
    print(json.dumps({'ready': True, **fields}), flush=True)


def stop_event():
    """Return an event that SIGTERM and SIGINT set.

    Returns
    -------
    gevent.event.Event
        The event.
    """
    stop_requested = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    return stop_requested


def read_body(request):
    """Read the complete body of a request.

    Parameters
    ----------
    request : falcon.Request
        The request.

    Returns
    -------
    bytes or None
        The body; None if it is larger than `MAX_BODY_BYTES` or shorter than
        its ``Content-Length``.
    """
    declared_bytes = request.content_length or 0
    if declared_bytes > MAX_BODY_BYTES:
        return None
    try:
        body = request.bounded_stream.read(declared_bytes)
    except OSError:
        return None
    return body if len(body) == declared_bytes else None


def drop_connection(request):
    """Close the connection of a request without an answer."""
    _shut_down(request.env[SOCKET_ENVIRON_KEY])


def send_truncated(request, body):
    """Send the headers and half of the body, then close the connection."""
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    client_socket = request.env[SOCKET_ENVIRON_KEY]
    try:
        client_socket.sendall(head.encode() + body[: len(body) // 2])
    except OSError:
        pass
    _shut_down(client_socket)


def _shut_down(client_socket):
    try:
        client_socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def load_settings(path, settings_class, **flags):
    """Load settings from a YAML file and override them by flags.

    If the settings are invalid, prints all problems and exits with status 1.

    Parameters
    ----------
    path : pathlib.Path or None
        YAML file; None for defaults.
    settings_class : type
        `attrs` class of the settings.
    **flags
        Values that override those of the file; None keeps the file's value.

    Returns
    -------
    object
        Instance of `settings_class`.
    """
    overrides = {k: v for k, v in flags.items() if v is not None}
    try:
        loaded = (
            settings.load(path, settings_class) if path else settings_class()
        )
        # Only checks the flags: other fields would get their defaults.
        settings.build(settings_class, overrides, 'flags')
    except settings.SettingsError as error:
        for problem in error.exceptions:
            print(problem, file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    return attrs.evolve(loaded, **overrides)


def changed_switches(body, current):
    """Apply the changes in a request body to switches.

    Parameters
    ----------
    body : bytes
        JSON object of new values by switch name.
    current : object
        `attrs` object with the current switches.

    Returns
    -------
    object
        Changed copy of `current`.

    Raises
    ------
    falcon.HTTPBadRequest
        If the body is not a JSON object, a name is unknown or a value is
        invalid.
    """
    try:
        changes = msgspec.json.decode(body, type=dict)
        built = settings.build(type(current), changes, 'switches')
    except msgspec.DecodeError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    except settings.SettingsError as error:
        message = '; '.join(str(problem) for problem in error.exceptions)
        raise falcon.HTTPBadRequest(description=message) from error
    changed = {name: getattr(built, name) for name in changes}
    return attrs.evolve(current, **changed)


def configure_logging():
    """Set up logging of JSON lines to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(jsonlogger.JsonFormatter(_LOG_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def run_program(command):
    """Run a command-line program that has a single command.

    Parameters
    ----------
    command : callable
        Function whose parameters are the options of the program.
    """
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(command)
    app()
