"""Stop of the HTTP servers.

The tests guard against responses that a stop cuts, against requests on
connections that the exit is about to close, and against an exit that waits
for idle connections until the process is killed.
"""

import gevent
from gevent import event
from gevent import socket
import pytest

from rosemarycrank.node import _web

REQUEST = b'GET /x HTTP/1.1\r\nHost: n\r\n\r\n'
TIMEOUT_S = 20.0


class _Application:
    """WSGI application that answers when the test says so."""

    def __init__(self):
        self.called = event.Event()
        self.may_answer = event.Event()

    def __call__(self, environ, start_response):
        self.called.set()
        self.may_answer.wait()
        start_response('200 OK', [('Content-Length', '6')])
        return [b'answer']


@pytest.fixture
def application():
    return _Application()


@pytest.fixture
def server(application):
    server = _web.Server('127.0.0.1:0', application, 4)
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.fixture
def connection(server):
    with gevent.Timeout(TIMEOUT_S):
        with socket.create_connection(
            ('127.0.0.1', server.server_port)
        ) as connection:
            yield connection


def read_all(connection):
    """Return what arrives until the server closes the connection."""
    received = b''
    while data := connection.recv(4096):
        received += data
    return received


def test_stop_waits_for_a_response(server, application, connection):
    connection.sendall(REQUEST)
    application.called.wait()
    stop = gevent.spawn(server.stop_after_responses, TIMEOUT_S)
    gevent.sleep(0.1)
    assert not stop.ready()
    application.may_answer.set()
    assert read_all(connection).endswith(b'answer')
    stop.join()


def test_stop_gives_up_a_response_that_takes_too_long(
    server, application, connection
):
    connection.sendall(REQUEST)
    application.called.wait()
    server.stop_after_responses(0.05)
    assert not read_all(connection).endswith(b'answer')


def test_stop_does_not_wait_for_idle_connections(
    server, application, connection
):
    application.may_answer.set()
    connection.sendall(REQUEST)
    assert connection.recv(4096).endswith(b'answer')
    server.stop_after_responses(2 * TIMEOUT_S)
    assert read_all(connection) == b''


@pytest.mark.parametrize(
    'request_bytes',
    [
        REQUEST,
        REQUEST.replace(b'1.1', b'1.0').replace(
            b'n\r\n', b'n\r\nConnection: keep-alive\r\n'
        ),
    ],
)
def test_responses_during_a_stop_close_their_connections(
    server, application, connection, request_bytes
):
    server.closes_connections = True
    application.may_answer.set()
    connection.sendall(request_bytes)
    response = read_all(connection)
    assert response.endswith(b'answer')
    assert response.lower().count(b'connection: close') == 1
    assert b'keep-alive' not in response.lower()
