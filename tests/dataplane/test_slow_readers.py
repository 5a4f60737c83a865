"""Responses and results reach those who read slowly, when a node stops."""

import socket

import attrs
import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _frame_reader
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
BODY = b'x' * 30_000
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(BODY) + BODY

#: Requests that a client has under way, and its reading: bytes at a time, and
#: the pause between, in seconds. It takes over 2 s to read the responses.
SENT_AHEAD = 16
READ_BYTES = 4096
READ_PAUSE_S = 0.02

#: Receive buffer of a client, in bytes.
BUFFER_BYTES = 16384

#: Time in which an idle loop handles what has arrived, in seconds.
PASS_S = 0.1


@attrs.define(eq=False)
class _Entry:
    """Entry side that answers each request at once."""

    reactor: object
    begun: list = attrs.field(factory=list)

    def open(self, message, connection):
        return _exchange.Exchange(
            message.target,
            connection,
            message.keep_alive,
            message,
            self.reactor.now(),
        )

    def begin(self, exchange):
        self.begun.append(exchange.request_id)
        exchange.response = RESPONSE
        exchange.connection.response_ready(exchange)

    def refuse_message(self, error, message, connection):
        exchange = _exchange.Exchange(
            b'', connection, False, None, self.reactor.now()
        )
        exchange.response = b'HTTP/1.1 %d Error\r\n\r\n' % error.status
        return exchange

    def abandon(self, exchange):
        raise AssertionError('abandoned a request with a response')


@pytest.fixture
def reactor():
    return _reactor.Reactor()


@pytest.fixture
def entry(reactor):
    return _Entry(reactor)


@pytest.fixture
def server(reactor, entry):
    server = _clients.ClientServer(reactor, entry)
    yield server
    server.close()


@pytest.fixture
def client(server):
    address = server.listen(('127.0.0.1', 0))
    with gevent.socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.connect(address)
        yield sock


def _read_slowly(client, on_response):
    """Read responses until the end; return their number.

    Parameters
    ----------
    client : socket
        Connection of a client.
    on_response : callable
        Called after each response, unless it says that it is the last one.
    """
    data = b''
    count = 0
    with gevent.Timeout(20.0):
        while piece := client.recv(READ_BYTES):
            data += piece
            head, _, body = data.partition(b'\r\n\r\n')
            if len(body) >= len(BODY):
                count += 1
                data = body[len(BODY) :]
                if b'Connection: close' not in head:
                    on_response()
            gevent.sleep(READ_PAUSE_S)
    assert data == b''
    return count


# Guards against responses that a planned stop cuts off: the last one is passed
# to the operating system long before the client reads it, and each request
# that the client sends meanwhile reaches a closed socket.
def test_planned_stop_waits_until_a_slow_client_has_its_responses(
    client, server, entry
):
    for number in range(SENT_AHEAD):
        client.sendall(REQUEST % number)
    gevent.sleep(PASS_S)
    assert len(entry.begun) == SENT_AHEAD
    server.draining = True
    client.sendall(REQUEST % SENT_AHEAD)
    gevent.sleep(PASS_S)
    server.close_idle()
    read = _read_slowly(client, lambda: client.sendall(REQUEST % 99))
    assert read == len(entry.begun) == SENT_AHEAD + 1
    client.close()
    gevent.sleep(PASS_S)
    assert not server.has_unsent_output()


# Guards against an error response that is cut off as the client still sends
# the body that is refused.
def test_refusal_reaches_a_client_that_is_still_sending(client, server, entry):
    response = b''
    server.limits.body_bytes = 1_000_000

    def send():
        client.sendall(
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000000\r\n\r\n'
        )
        for _ in range(100):
            client.sendall(b'x' * 200_000)
            gevent.sleep(0.015)

    sender = gevent.spawn(send)
    sender.get(timeout=20.0)
    while piece := client.recv(READ_BYTES):
        response += piece
    assert response.startswith(b'HTTP/1.1 413 ')


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
    with socket.create_server(('127.0.0.1', 0)) as listener:
        theirs = gevent.socket.socket()
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        theirs.connect(listener.getsockname())
        ours, _ = listener.accept()
    ours.setblocking(False)
    node.inbound_connections.add(_inbound.InboundConnection(node, ours))
    theirs.sendall(_frames.encode(fakes.hello()))
    gevent.sleep(PASS_S)
    yield theirs
    theirs.close()


# Guards against results of runs that are discarded when a node exits, as there
# are unread frames on their connection.
def test_results_reach_a_node_that_has_sent_more(node, pool, caller_socket):
    caller_socket.sendall(_frames.encode(fakes.attempt()))
    gevent.sleep(PASS_S)
    body = b'x' * 300_000
    pool.calls[0].on_answer(
        _upstream.Answer(_frames.Outcome.COMPLETE, 0, 200, b'', body)
    )
    gevent.sleep(PASS_S)
    assert node.has_unsent_results()
    caller_socket.sendall(_frames.encode(_frames.Ping(1, 1)))
    node.close()
    reader = _frame_reader.FrameReader()
    frames = []
    with gevent.Timeout(10.0):
        while data := caller_socket.recv(READ_BYTES):
            frames += reader.feed(data)
    (result,) = [f for f in frames if type(f) is _frames.Result]
    assert result.body == body


# Guards against a node over its memory, which is killed with the requests of
# all clients: responses that a client does not read were not counted.
def test_responses_are_counted_until_the_client_reads_them(server, entry):
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    server._add_connection(ours, '')
    with theirs:
        theirs.sendall(b''.join(REQUEST % number for number in range(5)))
        gevent.sleep(PASS_S)
        unread = server.output_budget.used_bytes
        theirs.setblocking(False)
        read = b''
        while len(read) < 5 * len(RESPONSE):
            try:
                read += theirs.recv(READ_BYTES)
            except BlockingIOError:
                gevent.sleep(0.01)
        gevent.sleep(PASS_S)
        assert server.output_budget.used_bytes == 0
    assert 3 * len(RESPONSE) <= unread <= 5 * len(RESPONSE)
    assert read == 5 * RESPONSE
