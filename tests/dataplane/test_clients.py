"""Client connections: order of responses, limits and time-outs."""

import attrs
import pytest

from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _lingering
from rosemarycrank.dataplane import _reactor

REQUEST = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'


class _FakeStream:
    def __init__(self, _loop, _sock, owner):
        self.owner = owner
        self.unsent_bytes = 0
        self.in_transit_bytes = 0
        self.sent = []
        self.paused = False
        self.write_closed = False
        self.is_open = True
        self.on_drained = None
        self.has_left = False

    def write(self, data):
        self.sent.append(data)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False

    def catch_up(self):
        return not self.paused

    def peer_has_closed(self):
        return self.has_left

    def unacknowledged_bytes(self):
        return self.unsent_bytes + self.in_transit_bytes

    def unread_bytes(self):
        return 0

    def unsent_buffers(self):
        return [bytes(self.unsent_bytes)]

    def shutdown_write(self):
        self.write_closed = True
        if not self.unsent_bytes:
            self.on_drained()

    def drain(self):
        self.unsent_bytes = 0
        self.on_drained()

    def close(self):
        self.is_open = False


@attrs.define(eq=False)
class _FakeEntry:
    reactor: object
    exchanges: list = attrs.field(factory=list)
    abandoned: list = attrs.field(factory=list)

    def open(self, message, connection):
        now = self.reactor.now()
        return _exchange.Exchange(
            message.target, connection, message.keep_alive, message, now
        )

    def begin(self, exchange):
        self.exchanges.append(exchange)

    def abandon(self, exchange):
        self.abandoned.append(exchange.request_id)

    def refuse_message(self, error, message, connection):
        exchange = _exchange.Exchange(
            b'', connection, False, None, self.reactor.now()
        )
        exchange.response = _http1.response(error.status)
        return exchange

    def answer(self, index, response=b'HTTP/1.1 200 OK\r\n\r\n'):
        exchange = self.exchanges[index]
        exchange.response = response
        exchange.connection.response_ready(exchange)


@pytest.fixture
def entry(reactor):
    return _FakeEntry(reactor)


@pytest.fixture
def server(reactor, entry, monkeypatch):
    monkeypatch.setattr(_reactor, 'Stream', _FakeStream)
    server = _clients.ClientServer(reactor, entry)
    server.limits = _http1.Limits(header_timeout_s=1.0, idle_timeout_s=4.0)
    return server


@pytest.fixture
def connection(server):
    server._add_connection(None, '10.0.0.1')
    (connection,) = server._connections
    return connection


def test_responses_are_sent_in_the_order_of_the_requests(connection, entry):
    connection.received(REQUEST % 1 + REQUEST % 2 + REQUEST % 3)
    entry.answer(2, b'HTTP/1.1 203 c\r\n\r\n')
    entry.answer(0, b'HTTP/1.1 201 a\r\n\r\n')
    entry.answer(1, b'HTTP/1.1 202 b\r\n\r\n')
    assert [response[9:12] for response in connection.stream.sent] == [
        b'201',
        b'202',
        b'203',
    ]


def test_lost_connection_abandons_its_requests(connection, entry):
    connection.received(REQUEST % 1 + REQUEST % 2)
    connection.closed(None)
    assert entry.abandoned == [b'/1', b'/2']


def test_error_response_follows_the_responses_to_earlier_requests(
    connection, entry
):
    connection.received(REQUEST % 1 + b'GARBAGE\r\n\r\n')
    assert connection.stream.sent == []
    entry.answer(0)
    assert [response[9:12] for response in connection.stream.sent] == [
        b'200',
        b'400',
    ]
    assert connection.stream.write_closed


def test_reading_pauses_at_the_pipelining_limit(connection, entry):
    for number in range(_client_connection.MAX_PIPELINED_REQUESTS):
        connection.received(REQUEST % number)
    assert connection.stream.paused
    entry.answer(0)
    assert not connection.stream.paused


def test_reading_pauses_while_responses_are_unsent(connection, entry, reactor):
    connection.stream.unsent_bytes = _client_connection.MAX_UNSENT_BYTES + 1
    connection.received(REQUEST % 1)
    assert connection.stream.paused
    entry.answer(0)
    assert connection.stream.paused
    connection.stream.unsent_bytes = 0
    connection.stream.on_drained()
    assert not connection.stream.paused


# Guards against requests that go on after their client has left: the end of a
# connection was not seen while reading was paused.
def test_client_that_leaves_while_reading_is_paused_is_noticed(
    connection, entry, reactor
):
    for number in range(_client_connection.MAX_PIPELINED_REQUESTS):
        connection.received(REQUEST % number)
    connection.stream.has_left = True
    reactor.run(2 * _clients.SWEEP_INTERVAL_S)
    assert not connection.stream.is_open
    assert len(entry.abandoned) == _client_connection.MAX_PIPELINED_REQUESTS


def test_client_that_never_reads_its_responses_is_disconnected(
    connection, entry, reactor
):
    connection.received(REQUEST % 1)
    entry.answer(0)
    connection.stream.unsent_bytes = 100
    reactor.run(3.0)
    assert connection.stream.is_open
    reactor.run(2.0)
    assert not connection.stream.is_open


# Guards against a response that is cut off because it takes a slow client
# longer than the idle timeout to read it.
def test_client_that_reads_slowly_is_not_disconnected(
    connection, entry, reactor
):
    connection.received(REQUEST % 1)
    entry.answer(0)
    for unsent_bytes in range(1000, 0, -100):
        connection.stream.unsent_bytes = unsent_bytes
        reactor.run(1.0)
    assert connection.stream.is_open


@pytest.mark.parametrize(
    'data, open_s, status',
    [
        (b'', 3.5, None),
        (b'GET / HT', 0.8, b'408'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx',
            3.5,
            b'408',
        ),
    ],
)
def test_slow_and_idle_clients_are_disconnected(
    connection, reactor, data, open_s, status
):
    if data:
        connection.received(data)
    reactor.run(open_s)
    assert connection.stream.is_open
    assert connection.stream.sent == []
    reactor.run(2.5)
    assert not connection.stream.is_open
    sent = [response[9:12] for response in connection.stream.sent]
    assert sent == ([status] if status else [])


def test_request_in_flight_keeps_the_connection_open(
    connection, entry, reactor
):
    connection.received(REQUEST % 1)
    reactor.run(30.0)
    assert connection.stream.is_open


def test_stopping_node_closes_the_connection_after_the_response(
    connection, entry, server
):
    connection.received(REQUEST % 1)
    server.draining = True
    server.close_idle()
    assert connection.stream.is_open
    entry.answer(0)
    assert b'Connection: close' in connection.stream.sent[0]
    assert connection.stream.write_closed


# Guards against a last response that is cut off while a slow client reads it.
def test_connection_stays_open_until_the_last_response_is_sent(
    connection, entry, server, reactor
):
    connection.received(REQUEST % 1)
    server.draining = True
    connection.stream.unsent_bytes = 100
    entry.answer(0)
    reactor.run(2.0)
    assert connection.stream.is_open
    connection.stream.drain()
    reactor.run(_lingering.LINGER_S - 0.5)
    assert connection.stream.is_open
    reactor.run(1.0)
    assert not connection.stream.is_open


def test_stopping_node_closes_idle_connections(connection, server):
    server.close_idle()
    assert not connection.stream.is_open


# Guards against a planned stop that resets a connection whose last response
# is sent but has not reached the client: a further request that arrives after
# the close destroys the response.
def test_stopping_node_lets_the_last_response_reach_the_client(
    connection, entry, server, reactor
):
    reactor.run(0.1)
    server.draining = True
    connection.received(REQUEST % 1)
    entry.answer(0)
    assert connection.stream.write_closed
    server.close_idle()
    assert connection.stream.is_open
    assert server.has_unsent_output()
    reactor.run(_lingering.LINGER_S + 2 * _clients.SWEEP_INTERVAL_S)
    assert not connection.stream.is_open
    assert not server.has_unsent_output()


# Guards against responses that a planned stop or an error cuts off: the client
# reads them slowly, and sends more requests while it does.
@pytest.mark.parametrize('ends_with_error', [False, True])
def test_connection_stays_open_until_the_client_has_the_last_response(
    connection, entry, server, reactor, ends_with_error
):
    connection.received(REQUEST % 1)
    server.draining = True
    connection.stream.in_transit_bytes = 1_000_000
    entry.answer(0)
    if ends_with_error:
        connection.received(b'GARBAGE\r\n\r\n')
    for _ in range(10):
        reactor.run(0.9 * server.limits.idle_timeout_s)
        connection.stream.in_transit_bytes -= 100_000
        connection.received(REQUEST % 2)
        assert connection.stream.is_open
        assert server.has_unsent_output()
    reactor.run(_lingering.LINGER_S - 2 * _clients.SWEEP_INTERVAL_S)
    connection.received(REQUEST % 3)
    reactor.run(_lingering.LINGER_S - 2 * _clients.SWEEP_INTERVAL_S)
    assert connection.stream.is_open
    reactor.run(4 * _clients.SWEEP_INTERVAL_S)
    assert not connection.stream.is_open
    assert len(entry.exchanges) == 1


def test_client_that_never_reads_the_last_response_is_disconnected(
    connection, entry, server, reactor
):
    connection.received(REQUEST % 1)
    server.draining = True
    connection.stream.in_transit_bytes = 1000
    entry.answer(0)
    reactor.run(0.9 * server.limits.idle_timeout_s)
    assert connection.stream.is_open
    reactor.run(0.5 * server.limits.idle_timeout_s)
    assert not connection.stream.is_open


def test_client_that_sends_on_after_the_last_response_is_disconnected(
    connection, entry, server, reactor
):
    connection.received(b'GARBAGE\r\n\r\n')
    seconds = 0.0
    while connection.stream.is_open:
        connection.received(b'x' * 1000)
        reactor.run(0.5)
        seconds += 0.5
    assert seconds <= server.limits.idle_timeout_s + 1.0


# Guards against bytes that are not read as reading was paused, and reset the
# connection when it is closed.
def test_input_is_read_after_the_last_response(
    connection, entry, server, reactor
):
    for number in range(_client_connection.MAX_PIPELINED_REQUESTS):
        connection.received(REQUEST % number)
    assert connection.stream.paused
    server.draining = True
    connection.stream.unsent_bytes = _client_connection.MAX_UNSENT_BYTES + 1
    for index in range(_client_connection.MAX_PIPELINED_REQUESTS):
        entry.answer(index)
    assert not connection.stream.paused


# Guards against a connection that is closed to make room, or by a stop, while
# its client reads the responses.
def test_connection_with_responses_on_their_way_is_not_idle(
    server, entry, reactor
):
    server.max_connections = 1
    (connection,) = _open_connections(server, reactor, 1)
    connection.received(REQUEST % 1)
    entry.answer(0)
    connection.stream.in_transit_bytes = 1000
    reactor.run(2 * _clients.MIN_IDLE_S)
    server._add_connection(None, '10.0.0.1')
    server.close_idle()
    assert connection.stream.is_open
    connection.stream.in_transit_bytes = 0
    server.close_idle()
    assert not connection.stream.is_open


def _open_connections(server, reactor, count):
    """Open connections, the first one first, and return them in order."""
    connections = []
    for _ in range(count):
        known = set(server._connections)
        server._add_connection(None, '10.0.0.1')
        connections += server._connections - known
        reactor.run(0.01)
    return connections


# Guards against clients that get no connection while others keep theirs.
def test_longest_idle_connection_makes_room_for_a_new_one(
    server, entry, reactor
):
    server.max_connections = 4
    connections = _open_connections(server, reactor, 4)
    connections[0].received(REQUEST % 1)
    connections[1].received(REQUEST % 2)
    reactor.run(0.1)
    entry.answer(1)
    reactor.run(_clients.MIN_IDLE_S)
    server._add_connection(None, '10.0.0.1')
    closed = [c.stream.is_open for c in connections].index(False)
    assert closed == 2
    assert len(server._connections) == 4
    assert server.closed_for_room == 1


def test_connection_with_a_request_is_not_closed_to_make_room(server, reactor):
    server.max_connections = 2
    connections = _open_connections(server, reactor, 2)
    for number, connection in enumerate(connections):
        connection.received(REQUEST % number)
    reactor.run(_clients.MIN_IDLE_S)
    server._add_connection(None, '10.0.0.1')
    assert all(c.stream.is_open for c in server._connections)
    assert len(server._connections) == 3


# Guards against a request that is lost with a connection that seems idle.
def test_unread_request_keeps_its_connection_open(server, entry, reactor):
    server.max_connections = 2
    connections = _open_connections(server, reactor, 2)
    oldest = connections[0]

    unread = [REQUEST % 1]

    def catch_up():
        while unread:
            oldest.received(unread.pop())
        return True

    oldest.stream.catch_up = catch_up
    reactor.run(_clients.MIN_IDLE_S)
    server._add_connection(None, '10.0.0.1')
    assert oldest.stream.is_open
    assert len(entry.exchanges) == 1
