"""HTTP server of the stand-ins."""

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

import rosemarycrank
from rosemarycrank import http_client
from rosemarycrank import settings

EXIT_REFUSED = 1
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 10_000
_LOG_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
SOCKET_KEY = 'rosemarycrank.socket'


class _Handler(pywsgi.WSGIHandler):
    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class Server(pywsgi.WSGIServer):
    """WSGI server with a limit on open connections.

    A connection over the limit is closed at once, unread.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    application : callable
        WSGI application.
    max_connections : int
        Most connections open at once.
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
        # Without it, Nagle's algorithm and the peer's delayed
        # acknowledgement add about 40 ms to each answer.
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections += 1
        try:
            super().handle(client_socket, address)
        finally:
            self.connections -= 1


def split_address(address):
    """Return host and port of ``host:port``.

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
        If it is not of that form.
    """
    host, separator, port = address.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError(f'address: got {address!r}, allowed host:port')
    return host, int(port)


def client(address):
    """Return an HTTP client of ``host:port``."""
    host, port = split_address(address)
    return http_client.Client(host, port, max_connections=MAX_CONNECTIONS)


def print_ready(**fields):
    """Print the line that tells a parent process that this one serves."""
    print(json.dumps({'ready': True, **fields}), flush=True)


def stop_event():
    """Return an event that SIGTERM and SIGINT set.

    Returns
    -------
    gevent.event.Event
        The event.
    """
    stopped = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    return stopped


def read_body(request):
    """Return the whole body of a request.

    Parameters
    ----------
    request : falcon.Request
        The request.

    Returns
    -------
    bytes or None
        None if it is too large or shorter than announced.
    """
    announced = request.content_length or 0
    if announced > MAX_BODY_BYTES:
        return None
    try:
        body = request.bounded_stream.read(announced)
    except OSError:
        return None
    return body if len(body) == announced else None


def drop_connection(request):
    """Close the connection of a request without an answer."""
    _shut_down(request.env[SOCKET_KEY])


def send_truncated(request, body):
    """Answer with the first half of a body, then close the connection."""
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    client_socket = request.env[SOCKET_KEY]
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


def load_settings(path, kind, **flags):
    """Return settings from a YAML file, overridden by flags.

    Exits with status 1 and prints all problems if they are not valid.

    Parameters
    ----------
    path : pathlib.Path or None
        YAML file; None for defaults.
    kind : type
        `attrs` class of the settings.
    **flags
        Values that replace those of the file unless they are None.

    Returns
    -------
    object
        Instance of ``kind``.
    """
    given = {k: v for k, v in flags.items() if v is not None}
    try:
        loaded = settings.load(path, kind) if path else kind()
        settings.build(kind, given, 'flags')
    except settings.SettingsError as error:
        for problem in error.exceptions:
            print(problem, file=sys.stderr)
        raise SystemExit(EXIT_REFUSED) from error
    return attrs.evolve(loaded, **given)


def switches(body, current):
    """Return switches that a request changes.

    Parameters
    ----------
    body : bytes
        JSON object with the changes.
    current : object
        `attrs` object with the switches as they stand.

    Returns
    -------
    object
        Of the same class.

    Raises
    ------
    falcon.HTTPBadRequest
        If the changes are malformed.
    """
    try:
        changes = msgspec.json.decode(body, type=dict)
        built = settings.build(type(current), changes, 'switches')
    except msgspec.DecodeError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
    except settings.SettingsError as error:
        text = '; '.join(str(problem) for problem in error.exceptions)
        raise falcon.HTTPBadRequest(description=text) from error
    changed = {name: getattr(built, name) for name in changes}
    return attrs.evolve(current, **changed)


def configure_logging():
    """Log lines of JSON to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(jsonlogger.JsonFormatter(_LOG_FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def print_version(wanted):
    """Print the version and exit; a callback of a command line's option."""
    if wanted:
        print(rosemarycrank.__version__)
        raise typer.Exit


def run_program(command):
    """Run a command line of one command.

    Parameters
    ----------
    command : callable
        The command.
    """
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(command)
    app()
