"""The node detects that a waiting client has disconnected.

Otherwise the call of a client that no longer waits would run on.
"""

import gevent
from gevent import event
from gevent import socket
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _http
from rosemarycrank.node import _web

REQUEST = b'GET /call/s/x HTTP/1.1\r\nHost: n\r\n\r\n'


@pytest.fixture
def posted_events():
    """The event of each class that was posted to the kernel."""
    return {
        kernel.ClientRequest: event.AsyncResult(),
        kernel.ClientGone: event.AsyncResult(),
    }


@pytest.fixture
def connection(posted_events):
    """A connection to a node whose kernel does not answer."""
    application = _http.ClientApplication(
        lambda kernel_event: posted_events[type(kernel_event)].set(
            kernel_event
        ),
        None,
        None,
        1000,
    )
    server = _web.Server('127.0.0.1:0', application.wsgi, 4)
    server.start()
    yield socket.create_connection(('127.0.0.1', server.server_port))
    server.stop(timeout=0)


@pytest.mark.parametrize('shutdown_first', [False, True])
def test_a_closed_connection_is_detected(
    connection, posted_events, shutdown_first
):
    connection.sendall(REQUEST)
    with gevent.Timeout(20):
        request = posted_events[kernel.ClientRequest].get()
        if shutdown_first:
            connection.shutdown(socket.SHUT_RDWR)
        connection.close()
        client_gone = posted_events[kernel.ClientGone].get()
    assert client_gone.request_id == request.request_id
