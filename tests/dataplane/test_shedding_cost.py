"""Cost of refusing unfinished requests while memory is short."""

import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _reactor
from tests.dataplane import fakes

PART = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx'
CONNECTIONS = 60
WAIT_S = 10.0


@pytest.fixture
def server():
    server = _clients.ClientServer(_reactor.Reactor(), fakes.RefusingEntry())
    yield server
    server.close()


@pytest.fixture
def looks(monkeypatch):
    """Return a list with an item for each look at a connection."""
    looks = []
    is_unfinished = _client_connection.ClientConnection.is_unfinished.fget

    def look(connection):
        looks.append(connection)
        return is_unfinished(connection)

    monkeypatch.setattr(
        _client_connection.ClientConnection, 'is_unfinished', property(look)
    )
    return looks


# Guards against an event loop that is held up while memory is short: each
# refusal searched all connections.
def test_refusals_do_not_search_all_connections_each(server, looks):
    address = server.listen(('127.0.0.1', 0))
    sockets = []
    with gevent.Timeout(WAIT_S):
        for _ in range(CONNECTIONS):
            sockets.append(gevent.socket.create_connection(address))
            sockets[-1].sendall(PART)
        gevent.sleep(0.2)
        refused = 0
        while server.refuse_newest_unfinished():
            refused += 1
        answers = [sock.recv(100) for sock in sockets]
    for sock in sockets:
        sock.close()
    assert refused == CONNECTIONS
    assert all(data.startswith(b'HTTP/1.1 503') for data in answers)
    assert len(looks) <= 4 * CONNECTIONS
