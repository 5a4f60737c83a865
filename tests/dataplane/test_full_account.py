"""Clients that connect while others hold all memory of the account."""

import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from tests.dataplane import fakes

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
LIMIT_BYTES = 30_000_000

#: Connections of other clients.
CONNECTIONS = 50

#: Longest time to wait for what has to come, in seconds.
WAIT_S = 10.0


@pytest.fixture
def account():
    return _memory.MemoryAccount(LIMIT_BYTES)


@pytest.fixture
def server(account):
    server = _clients.ClientServer(
        _reactor.Reactor(),
        fakes.RefusingEntry(),
        budget=account.budget('requests'),
        connection_budget=account.budget('connections'),
        output_budget=account.budget('output'),
    )
    yield server
    server.close()


@pytest.fixture
def address(server):
    return server.listen(('127.0.0.1', 0))


def _fill(account):
    account.budgets_by_name['output'].take(account.limit_bytes)


# Guards against requests without an answer: a new connection was reset while
# others held all memory, with the request on it.
def test_request_on_a_new_connection_is_answered(account, address):
    _fill(account)
    with gevent.Timeout(WAIT_S), gevent.socket.socket() as sock:
        sock.connect(address)
        sock.sendall(REQUEST)
        assert sock.recv(65536).startswith(b'HTTP/1.1 503 ')


# Guards against kept connections of many clients that were closed for the
# little memory of a new one.
def test_new_connection_closes_no_kept_ones(account, server, address):
    with gevent.Timeout(WAIT_S):
        sockets = [
            gevent.socket.create_connection(address)
            for _ in range(CONNECTIONS)
        ]
        gevent.sleep(_clients.MIN_IDLE_S + 0.2)
        _fill(account)
        sockets.append(gevent.socket.create_connection(address))
        gevent.sleep(0.2)
    open_count = sum(server.count_by_state().values())
    for sock in sockets:
        sock.close()
    assert open_count == len(sockets)
    assert server.closed_for_room == 0


def test_connections_stay_within_their_own_budget(account, server, address):
    budget = account.budgets_by_name['connections']
    _fill(account)
    budget.take(budget.limit_bytes - 10 * _clients.CONNECTION_BYTES)
    with gevent.Timeout(WAIT_S):
        sockets = [
            gevent.socket.create_connection(address)
            for _ in range(CONNECTIONS)
        ]
        gevent.sleep(0.2)
    assert budget.used_bytes <= budget.limit_bytes
    assert sum(server.count_by_state().values()) == 10
    for sock in sockets:
        sock.close()
