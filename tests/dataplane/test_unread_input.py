"""Attempts start only while those who asked for them still want them.

The end of a client's connection and the cancellation of an attempt may have
arrived and lie unread behind other input, however short the time.
"""

import gc
import os
import socket
import tracemalloc

import attrs
import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _inbound
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

REQUEST = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'

#: Time in which an idle loop handles what has arrived, in seconds.
PASS_S = 0.1

#: Longest time to wait for what has to come, in seconds.
WAIT_S = 10.0

#: Bytes that one read does not return together with what precedes them.
LONG_BODY = b'x' * (2 * _reactor.MAX_READ_BYTES)


@attrs.define(eq=False)
class _Entry:
    """Entry side that records the requests that it would send to a target."""

    reactor: object
    sent: list = attrs.field(factory=list)
    abandoned: list = attrs.field(factory=list)

    def open(self, message, connection):
        return _exchange.Exchange(
            message.target,
            connection,
            message.keep_alive,
            message,
            self.reactor.now(),
        )

    def begin(self, exchange):
        self.sent.append(exchange.request_id)

    def abandon(self, exchange):
        self.abandoned.append(exchange.request_id)


@pytest.fixture
def reactor():
    return _reactor.Reactor()


@pytest.fixture
def entry(reactor):
    return _Entry(reactor)


@pytest.fixture
def address(reactor, entry):
    server = _clients.ClientServer(reactor, entry)
    yield server.listen(('127.0.0.1', 0))
    server.stop_accepting()


@pytest.fixture
def node(reactor, pool):
    costs = _costs.CallCosts('archive')
    node = _node.Node(reactor, 'n1', 1, None, costs, _front.AdmitAll())
    side = _target.TargetSide(
        reactor,
        pool,
        _names.HeaderNames(),
        _counters.Counters(),
        costs,
        _front.AdmitAll(),
    )
    side.update_record(fakes.record(slots=1))
    node.set_target_side(side)
    return node


@pytest.fixture
def caller_socket(node):
    """The end of a calling node of its connection, after the handshake."""
    ours, theirs = socket.socketpair()
    for end in (ours, theirs):
        end.setblocking(False)
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 << 20)
    node.inbound_connections.add(_inbound.InboundConnection(node, ours))
    theirs.sendall(_frames.encode(fakes.hello()))
    gevent.sleep(PASS_S)
    yield theirs
    theirs.close()


def _send_frames(sock, *frames):
    sock.sendall(b''.join(map(_frames.encode, frames)))


def _started(pool):
    return [call.request_id for call in pool.calls]


def _wait_until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def _complete():
    return _upstream.Answer(_frames.Outcome.COMPLETE, 0, 200, b'', b'ok')


# Guards against requests that are sent on after their client has left: a node
# with more input than it can handle, but without a pause, reads each request
# before the end of its connection.
@pytest.mark.parametrize('client_count', [1, 300])
def test_request_of_a_client_that_has_closed_is_not_sent(
    address, entry, client_count
):
    for number in range(client_count):
        with socket.create_connection(address) as client:
            client.sendall(REQUEST % number)
    _wait_until(lambda: len(entry.abandoned) == client_count)
    assert entry.sent == []


# Guards against the same for requests behind each other: the end lies behind
# more of them than a connection may have in flight. Those are not begun.
def test_pipelined_requests_of_a_client_that_has_closed_are_not_sent(
    address, entry
):
    begun = _client_connection.MAX_PIPELINED_REQUESTS
    with socket.create_connection(address) as client:
        client.sendall(
            b''.join(REQUEST % number for number in range(2 * begun))
        )
    _wait_until(lambda: len(entry.abandoned) >= begun)
    gevent.sleep(PASS_S)
    assert entry.abandoned == [b'/%d' % number for number in range(begun)]
    assert entry.sent == []


def test_requests_of_a_client_that_stays_are_sent_in_order(address, entry):
    count = _client_connection.MAX_PIPELINED_REQUESTS
    with socket.create_connection(address) as client:
        client.sendall(b''.join(REQUEST % number for number in range(count)))
        _wait_until(lambda: len(entry.sent) == count)
        assert entry.sent == [b'/%d' % number for number in range(count)]


# Guards against attempts that reach a target although their cancellation has
# arrived, behind more input than one read returns.
def test_attempt_whose_cancellation_has_arrived_does_not_start(
    caller_socket, pool
):
    _send_frames(
        caller_socket,
        fakes.attempt(1),
        fakes.attempt(2, body=LONG_BODY),
        _frames.Cancel(1),
    )
    _wait_until(lambda: b'r2' in _started(pool))
    assert _started(pool) == [b'r2']


# Guards against the same in the queue: a slot becomes free before the
# cancellation has been read.
def test_queued_attempt_whose_cancellation_has_arrived_does_not_start(
    caller_socket, pool
):
    _send_frames(caller_socket, fakes.attempt(1), fakes.attempt(2))
    gevent.sleep(PASS_S)
    assert _started(pool) == [b'r1']
    _send_frames(caller_socket, _frames.Cancel(2), fakes.attempt(3))
    pool.calls[0].on_answer(_complete())
    _wait_until(lambda: len(pool.calls) > 1)
    assert _started(pool) == [b'r1', b'r3']


# Guards against attempts that start while nobody can cancel them, as the
# connection of their calling node has been lost.
def test_queued_attempt_of_a_lost_caller_waits_for_its_return(
    node, caller_socket, pool
):
    _send_frames(caller_socket, fakes.attempt(1), fakes.attempt(2))
    gevent.sleep(PASS_S)
    caller_socket.close()
    gevent.sleep(PASS_S)
    pool.calls[0].on_answer(_complete())
    assert _started(pool) == [b'r1']
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    node.inbound_connections.add(_inbound.InboundConnection(node, ours))
    with theirs:
        _send_frames(theirs, fakes.hello(generation=2))
        _wait_until(lambda: len(pool.calls) > 1)
        assert _started(pool) == [b'r1', b'r2']


# Guards against cancellations that a returning node sends only after the
# answer to its handshake, when its attempts may have started.
def test_attempt_of_a_lost_caller_that_it_cancels_on_return_does_not_start(
    node, caller_socket, pool
):
    _send_frames(caller_socket, fakes.attempt(1), fakes.attempt(2))
    gevent.sleep(PASS_S)
    caller_socket.close()
    gevent.sleep(PASS_S)
    pool.calls[0].on_answer(_complete())
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    node.inbound_connections.add(_inbound.InboundConnection(node, ours))
    with theirs:
        _send_frames(theirs, fakes.hello(generation=2), _frames.Cancel(2))
        gevent.sleep(PASS_S)
        assert _started(pool) == [b'r1']


# Guards against a node over its memory, which is killed with the requests of
# all clients: connections were not in its account.
@pytest.mark.parametrize('data', [b'', b'\r\n', b'G', REQUEST % 1 + b'G'])
def test_connection_takes_the_memory_that_is_counted(reactor, data):
    server = _clients.ClientServer(reactor, _Entry(reactor))
    address = server.listen(('127.0.0.1', 0))
    count = 200
    gc.collect()
    tracemalloc.start()
    clients = []
    for _ in range(count):
        with socket.create_connection(address) as client:
            clients.append(client.detach())
        if data:
            os.write(clients[-1], data)
    with gevent.Timeout(WAIT_S):
        while len(server._connections) < count:
            gevent.sleep(PASS_S)
    gevent.sleep(PASS_S)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for client in clients:
        os.close(client)
    assert len(server._connections) == count
    budgets = (server.connection_budget, server.budget)
    counted = sum(budget.used_bytes for budget in budgets)
    server.close()
    server.stop_accepting()
    assert held <= counted
    assert server.connection_budget.used_bytes == 0


# Guards against a node over its memory, which is killed with the requests of
# all clients: the system kept megabytes of input of each connection of which
# nothing was read.
def test_input_that_is_not_read_is_bounded_and_counted(reactor):
    server = _clients.ClientServer(reactor, _Entry(reactor))
    address = server.listen(('127.0.0.1', 0))
    with gevent.socket.create_connection(address) as client:
        client.sendall(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\n'
        )
        for _ in range(30):
            client.sendall(b'x' * 1_000_000)
        requests = [REQUEST % number for number in range(100_000)]
        sender = gevent.spawn(client.sendall, b''.join(requests))
        gevent.sleep(2 * _clients.SWEEP_INTERVAL_S + PASS_S)
        (connection,) = server._connections
        unread = connection.stream.unread_bytes()
        counted = server.connection_budget.used_bytes
        sender.kill()
    server.close()
    server.stop_accepting()
    assert 0 < unread <= 2 * _clients.RECEIVE_BUFFER_BYTES
    assert counted >= unread + _clients.CONNECTION_BYTES
    assert server.connection_budget.used_bytes == 0
