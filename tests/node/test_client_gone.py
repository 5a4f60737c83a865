"""A client that closes its connection is noticed."""

import gevent
from gevent import event
from gevent import socket
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _http
from rosemarycrank.node import _web

REQUEST = b'GET /call/s/x HTTP/1.1\r\nHost: n\r\n\r\n'


@pytest.fixture
def posted():
    """Events that the kernel got, by class."""
    return {
        kernel.ClientRequest: event.AsyncResult(),
        kernel.ClientGone: event.AsyncResult(),
    }


@pytest.fixture
def connection(posted):
    """A connection to a node whose kernel does not answer."""
    application = _http.ClientApplication(
        lambda message: posted[type(message)].set(message), None, None, 1000
    )
    server = _web.Server('127.0.0.1:0', application.wsgi, 4)
    server.start()
    yield socket.create_connection(('127.0.0.1', server.server_port))
    server.stop(timeout=0)


@pytest.mark.parametrize('half', [False, True])
def test_a_closed_connection_is_noticed(connection, posted, half):
    connection.sendall(REQUEST)
    with gevent.Timeout(20):
        request = posted[kernel.ClientRequest].get()
        if half:
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()
        gone = posted[kernel.ClientGone].get()
    assert gone.request_id == request.request_id
