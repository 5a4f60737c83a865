"""Connections that have ended are freed at once, with all that they hold."""

import gc
import socket

import gevent
import pytest

from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http_client
from rosemarycrank.dataplane import _inbound
from rosemarycrank.dataplane import _inbound_connections
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _request_reader
from rosemarycrank.dataplane import _response_reader
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

HEAD = b'POST /a/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 400000\r\n'
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nrosemarycrank-request-id: r1\r\n'
    b'rosemarycrank-signature: s\r\nContent-Length: 400000\r\n\r\n'
)
BODY = b'x' * 400_000

#: Time in which the loop passes on what is written, in seconds.
PASS_S = 0.05


class _Entry:
    """Entry side whose requests stay in flight."""

    def __init__(self):
        self.exchanges = []

    def open(self, message, connection):
        exchange = _exchange.Exchange(b'r1', connection, True, message, 0.0)
        self.exchanges.append(exchange)
        return exchange

    def refuse_message(self, _error, _message, connection):
        exchange = _exchange.Exchange(b'r1', connection, False, None, 0.0)
        exchange.response = b'HTTP/1.1 400 Bad Request\r\n\r\n'
        return exchange

    def begin(self, _exchange):
        pass

    def abandon(self, _exchange):
        self.exchanges.clear()


@pytest.fixture
def reactor():
    return _reactor.Reactor()


@pytest.fixture
def no_collection():
    """Cyclic garbage stays during a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def listener():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener


def _count(kind):
    return sum(type(item) is kind for item in gc.get_objects())


# Guards against a node over its memory: lost connections, their buffers and
# their messages stayed for long, as cycles, and were in no account.
@pytest.mark.parametrize(
    'data',
    [
        b'',
        HEAD,
        HEAD + b'\r\n' + BODY[1:],
        HEAD + b'\r\n' + BODY,
        b'NO REQUEST\r\n\r\n',
        (HEAD + b'\r\n' + BODY) * 2,
    ],
    ids=['idle', 'head', 'body', 'in_flight', 'invalid', 'ahead'],
)
@pytest.mark.parametrize('ends_by', ['client', 'node'])
def test_connection_of_a_client_is_freed(
    reactor, no_collection, data, ends_by
):
    server = _clients.ClientServer(reactor, _Entry())
    address = server.listen(('127.0.0.1', 0))
    with socket.create_connection(address) as client:
        gevent.sleep(PASS_S)
        client.setblocking(False)
        position = 0
        while position < len(data):
            try:
                position += client.send(data[position:])
            except BlockingIOError:
                gevent.sleep(0.0)
        gevent.sleep(PASS_S)
        assert _count(_client_connection.ClientConnection) == 1
        if ends_by == 'node':
            server.close()
    gevent.sleep(PASS_S)
    server.stop_accepting()
    assert _count(_client_connection.ClientConnection) == 0
    assert _count(_request_reader.RequestReader) == 0
    assert _count(_memory.HeldBuffer) == 0


def test_refused_request_is_freed_before_its_connection(
    reactor, no_collection
):
    server = _clients.ClientServer(reactor, _Entry())
    address = server.listen(('127.0.0.1', 0))
    with socket.create_connection(address) as client:
        client.sendall(HEAD + b'\r\n')
        for position in range(0, len(BODY) - 1, 40_000):
            client.sendall(BODY[position : position + 39_000])
            gevent.sleep(0.0)
        gevent.sleep(PASS_S)
        assert _count(_memory.HeldBuffer) == 1
        assert server.refuse_newest_unfinished()
        assert _count(_memory.HeldBuffer) == 0
        assert _count(_client_connection.ClientConnection) == 1
    server.close()
    server.stop_accepting()


@pytest.mark.parametrize(
    'data',
    [b'', RESPONSE[:-2], RESPONSE + BODY[1:], RESPONSE + BODY, b'NO RESPONSE'],
    ids=['silent', 'head', 'body', 'whole', 'invalid'],
)
def test_connection_to_the_target_is_freed(
    reactor, listener, no_collection, data
):
    pool = _upstream.UpstreamPool(
        reactor, listener.getsockname(), _names.HeaderNames()
    )
    answers = []
    pool.acquire(True).start(b'r1', HEAD, BODY, False, answers.append)
    gevent.sleep(PASS_S)
    target, _ = listener.accept()
    assert _count(_upstream.UpstreamConnection) == 1
    with target:
        target.sendall(data)
        gevent.sleep(PASS_S)
    gevent.sleep(PASS_S)
    assert len(answers) == 1
    answers.clear()
    assert _count(_upstream.UpstreamConnection) == 0
    assert _count(_response_reader.ResponseReader) == 0
    assert _count(_memory.HeldBuffer) == 0


def test_connection_of_a_node_is_freed(reactor, no_collection):
    node = fakes.EntryNode(reactor)
    account = _memory.MemoryAccount()
    node.attempt_budget = account.budget('node_attempts')
    node.input_budget = _inbound_connections.budget(account)
    node.inbound_connections = _inbound_connections.InboundConnections(
        reactor, node.input_budget
    )
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    connection = _inbound.InboundConnection(node, ours)
    node.inbound_connections.add(connection)
    del connection
    with theirs:
        theirs.sendall(_frames.LENGTH.pack(60_000) + bytes(59_999))
        gevent.sleep(PASS_S)
        assert _count(_inbound.InboundConnection) == 1
    gevent.sleep(PASS_S)
    assert _count(_inbound.InboundConnection) == 0


def test_call_of_the_store_is_freed(reactor, listener, no_collection):
    client = _http_client.HttpClient(reactor, listener.getsockname())
    replies = []
    client.call('GET', '/', None, 60.0, replies.append)
    gevent.sleep(PASS_S)
    store, _ = listener.accept()
    with store:
        store.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        gevent.sleep(PASS_S)
    assert [reply.status for reply in replies] == [200]
    assert _count(_http_client._Call) == 0
