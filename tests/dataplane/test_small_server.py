"""Bounds on what connections to the small servers of a node may hold."""

import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _lingering
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _small_server

GET = b'GET /%b HTTP/1.1\r\nHost: h\r\n\r\n'
HEARTBEAT = b'PUT /i HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n'
FIELDS = b''.join(b'x%d: %d\r\n' % (number, number) for number in range(600))
UNFINISHED = b'GET / HTTP/1.1\r\nHost: h\r\n' + FIELDS

#: Size of a reply that stands for a page of metrics, in bytes.
LARGE_BYTES = 4_000_000

#: Time in which an idle loop handles what has arrived, in seconds.
PASS_S = 0.1

#: Longest time to wait for what has to come, in seconds.
WAIT_S = 10.0


@pytest.fixture
def reactor():
    reactor = _reactor.Reactor()
    yield reactor
    # The loop is that of all tests.
    reactor._ticker.stop()


@pytest.fixture
def budget():
    account = _memory.MemoryAccount(300e6)
    return account.budget('control', 0.05, is_reserved=True)


class _Handler:
    """Handler whose replies are small, large or delayed."""

    def __init__(self):
        self.targets = []
        self.delayed = []

    def __call__(self, message):
        self.targets.append(message.target)
        if message.target == b'/large':
            return _small_server.Reply(200, b'x' * LARGE_BYTES)
        if message.target == b'/delayed':
            self.delayed.append(_small_server.DelayedReply())
            return self.delayed[-1]
        return _small_server.Reply(200, message.target)


@pytest.fixture
def handler():
    return _Handler()


@pytest.fixture
def make_server(reactor, handler, budget):
    """Return a function that opens servers that share their memory."""
    servers = []
    room = _small_server.Room(budget)

    def make(**options):
        server = _small_server.HttpServer(
            reactor, ('127.0.0.1', 0), handler, room=room, **options
        )
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.close()


@pytest.fixture
def connect():
    """Return a function that opens a connection and sends data on it."""
    socks = []

    def open_socket(server, data=b''):
        sock = gevent.socket.socket()
        socks.append(sock)
        sock.setsockopt(
            gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4096
        )
        sock.settimeout(WAIT_S)
        sock.connect(server.address)
        sock.sendall(data)
        return sock

    yield open_socket
    for sock in socks:
        sock.close()


def _read_all(sock):
    """Return what is read until the connection ends."""
    data = b''
    while part := sock.recv(65536):
        data += part
    return data


def _wait_until_all_are_closed(server):
    gevent.sleep(PASS_S)
    with gevent.Timeout(WAIT_S):
        while server.connections:
            gevent.sleep(PASS_S)


def _status(sock):
    """Return the status of the next response; 0 if there is none."""
    try:
        data = sock.recv(4096)
    except OSError:
        return 0
    return int(data.split()[1]) if data else 0


# Guards against a node that is killed above its memory: the servers of
# readiness, heartbeats and metrics bounded neither connections nor requests.
def test_unfinished_requests_stay_within_the_memory(
    make_server, connect, budget
):
    server = make_server(max_connections=1000)
    for _ in range(900):
        connect(server, UNFINISHED)
    gevent.sleep(PASS_S)
    assert budget.used_bytes <= budget.limit_bytes
    assert len(server.connections) < 900
    assert _status(connect(server, GET % b'a')) == 200


def test_heartbeat_in_parts_is_served_beside_unfinished_requests(
    make_server, connect
):
    flooded, server = make_server(max_connections=1000), make_server()
    for _ in range(300):
        connect(flooded, UNFINISHED)
    gevent.sleep(PASS_S)
    sock = connect(server, HEARTBEAT + b'a')
    gevent.sleep(PASS_S)
    sock.sendall(b'bc')
    assert _status(sock) == 200


@pytest.mark.parametrize('data', [b'', UNFINISHED, b'PUT'])
def test_probe_is_answered_whatever_else_is_open(make_server, connect, data):
    server = make_server(max_connections=20)
    for _ in range(60):
        connect(server, data)
    statuses = [_status(connect(server, GET % b'a')) for _ in range(30)]
    gevent.sleep(PASS_S)
    assert statuses == [200] * 30
    assert len(server.connections) <= 20


# Guards against probes that are closed unread as many connections wait to be
# accepted at once.
def test_probes_among_a_burst_of_connections_are_answered(
    make_server, connect
):
    server = make_server(max_connections=10)
    socks = [
        connect(server, UNFINISHED if number % 2 else GET % b'a')
        for number in range(60)
    ]
    assert [_status(sock) for sock in socks[::2]] == [200] * 30


def test_connections_that_were_served_are_closed_last(make_server, connect):
    server = make_server(max_connections=20)
    kept = [connect(server, GET % b'a') for _ in range(5)]
    assert [_status(sock) for sock in kept] == [200] * 5
    for _ in range(60):
        connect(server, UNFINISHED)
    gevent.sleep(PASS_S)
    for sock in kept:
        sock.sendall(GET % b'b')
    assert [_status(sock) for sock in kept] == [200] * 5
    assert server.closed_for_room > 0


def test_connections_that_were_served_give_way_to_new_ones(
    make_server, connect
):
    server = make_server(max_connections=20)
    socks = [connect(server, GET % b'a') for _ in range(40)]
    assert [_status(sock) for sock in socks] == [200] * 40
    assert len(server.connections) <= 20


def test_few_lines_tell_that_connections_are_closed(
    make_server, connect, caplog
):
    server = make_server(max_connections=5)
    for _ in range(100):
        connect(server)
    gevent.sleep(PASS_S)
    events = [getattr(record, 'event', '') for record in caplog.records]
    assert events.count('connections_limited') == 1


@pytest.mark.parametrize(
    'data', [b'\r\nnonsense\r\n\r\n', b'GET / HTTP/1.1\r\n\r\n', b'x' * 9000]
)
def test_refused_connection_keeps_nothing_of_its_request(
    make_server, connect, data
):
    server = make_server()
    connect(server, data)
    gevent.sleep(PASS_S)
    for connection in server.connections:
        assert connection._reader is None
        assert connection.hold.size == 0


# Guards against the same by requests ahead: all were answered at once, however
# large the replies and however slow the client.
@pytest.mark.parametrize('name', [b'a', b'large', b'delayed'])
def test_requests_ahead_are_bounded(make_server, connect, handler, name):
    server = make_server()
    connect(server, GET % name * 2000)
    gevent.sleep(PASS_S)
    assert len(handler.targets) <= _small_server.MAX_WAITING
    for connection in server.connections:
        assert connection.stream.unsent_bytes <= 1.1 * LARGE_BYTES


def test_requests_ahead_are_answered_in_order(make_server, connect, handler):
    server = make_server()
    names = [b'a', b'delayed', b'b', b'c']
    sock = connect(server, b''.join(GET % name for name in names))
    gevent.sleep(PASS_S)
    assert handler.targets == [b'/a', b'/delayed']
    handler.delayed[0].send(_small_server.Reply(200, b'/delayed'))
    gevent.sleep(PASS_S)
    sock.sendall(b'GET /d HTTP/1.0\r\nHost: h\r\n\r\n')
    bodies = [
        part.rpartition(b'\r\n')[2]
        for part in _read_all(sock).split(b'HTTP/1.1 ')[1:]
    ]
    assert bodies == [b'/a', b'/delayed', b'/b', b'/c', b'/d']


def test_last_of_too_many_requests_ahead_ends_the_connection(
    make_server, connect
):
    sock = connect(make_server(), GET % b'a' * 100)
    data = _read_all(sock)
    assert data.count(b'HTTP/1.1 200') == _small_server.MAX_WAITING
    assert data.count(b'Connection: close') == 1


def test_large_replies_that_are_not_read_stay_within_the_memory(
    make_server, connect, budget
):
    server = make_server()
    socks = [connect(server, GET % b'large') for _ in range(20)]
    gevent.sleep(PASS_S)
    assert budget.used_bytes <= budget.limit_bytes
    assert 503 in [_status(sock) for sock in socks]
    assert _status(connect(server, GET % b'a')) == 200


def test_delayed_reply_to_a_closed_connection_is_dropped(
    make_server, connect, handler
):
    server = make_server()
    connect(server, GET % b'delayed').close()
    _wait_until_all_are_closed(server)
    assert handler.delayed[0].on_reply is None


def test_all_memory_is_given_back(make_server, connect, budget):
    server = make_server()
    socks = [
        connect(server, data)
        for data in (
            UNFINISHED,
            HEARTBEAT,
            GET % b'a' * 100,
            GET % b'large' * 3,
            GET % b'delayed' * 3,
            b'nonsense\r\n\r\n',
        )
    ]
    gevent.sleep(PASS_S)
    assert budget.used_bytes > 0
    for sock in socks:
        sock.close()
    _wait_until_all_are_closed(server)
    assert budget.used_bytes == 0


def _advance(reactor, seconds):
    """Let time pass for the timers."""
    reactor.timers.advance(reactor.now() + seconds)
    gevent.sleep(PASS_S)


# Guards against connections that are kept for as long as their peers like.
@pytest.mark.parametrize('data', [b'GET / HT', UNFINISHED, HEARTBEAT])
def test_request_that_stays_incomplete_is_refused(
    make_server, connect, reactor, caplog, data
):
    server = make_server()
    sock = connect(server, data)
    gevent.sleep(PASS_S)
    _advance(reactor, _small_server.REQUEST_TIMEOUT_S - 1)
    assert len(server.connections) == 1
    _advance(reactor, _small_server.REQUEST_TIMEOUT_S)
    assert _status(sock) == 408
    events = [getattr(record, 'event', '') for record in caplog.records]
    assert events.count('small_request_refused') == 1


def test_request_that_trickles_in_is_refused(
    make_server, connect, reactor, monkeypatch
):
    server = make_server()
    now = reactor.now()
    sock = connect(server, b'GET / HTTP/1.1\r\nHost: ')
    gevent.sleep(PASS_S)
    for second in range(1, 8):
        monkeypatch.setattr(reactor, 'now', lambda s=second: now + s)
        sock.sendall(b'h')
        gevent.sleep(PASS_S)
        reactor.timers.advance(now + second)
    assert _status(sock) == 408


def test_connection_without_a_request_is_closed(make_server, connect, reactor):
    server = make_server()
    connect(server)
    gevent.sleep(PASS_S)
    _advance(reactor, _small_server.REQUEST_TIMEOUT_S + 1)
    assert not server.connections


def test_connection_between_requests_is_kept_for_longer(
    make_server, connect, reactor
):
    server = make_server()
    sock = connect(server, GET % b'a')
    assert _status(sock) == 200
    _advance(reactor, _small_server.IDLE_TIMEOUT_S - 1)
    sock.sendall(GET % b'a')
    assert _status(sock) == 200
    _advance(reactor, _small_server.IDLE_TIMEOUT_S + 1)
    assert not server.connections


def test_connection_whose_reply_is_not_read_is_closed(
    make_server, connect, reactor
):
    server = make_server()
    connect(server, GET % b'large')
    gevent.sleep(PASS_S)
    _advance(reactor, _small_server.UNREAD_TIMEOUT_S - 1)
    assert len(server.connections) == 1
    _advance(reactor, _small_server.UNREAD_TIMEOUT_S + 1)
    assert not server.connections


# Guards against a request that is refused after a pause of the process,
# although its rest has arrived in time.
def test_request_that_arrived_during_a_pause_is_served(
    make_server, connect, reactor
):
    sock = connect(make_server(), HEARTBEAT)
    gevent.sleep(PASS_S)
    sock.sendall(b'abc')
    reactor.timers.advance(reactor.now() + _small_server.REQUEST_TIMEOUT_S + 1)
    assert _status(sock) == 200


def test_delayed_reply_is_waited_for(make_server, connect, reactor, handler):
    sock = connect(make_server(), GET % b'delayed')
    gevent.sleep(PASS_S)
    _advance(reactor, 10 * _small_server.IDLE_TIMEOUT_S)
    handler.delayed[0].send(_small_server.Reply(200))
    assert _status(sock) == 200


LAST = b'GET /%b HTTP/1.0\r\nHost: h\r\n\r\n'


# Guards against a reply that is reset as its client sends more than is read.
@pytest.mark.parametrize('request_', [b'bad\r\n\r\n', LAST % b'a'])
def test_last_reply_is_delivered_whatever_follows(
    make_server, connect, reactor, request_
):
    server = make_server()
    sock = connect(server, request_)
    for _ in range(5):
        sock.sendall(b'x' * 100_000)
        gevent.sleep(PASS_S)
    assert len(server.connections) == 1
    assert _read_all(sock).startswith(b'HTTP/1.1 ')


def test_connection_ends_a_while_after_its_last_reply(
    make_server, connect, reactor
):
    server = make_server()
    sock = connect(server, LAST % b'a')
    assert _status(sock) == 200
    gevent.sleep(PASS_S)
    assert len(server.connections) == 1
    _advance(reactor, _lingering.LINGER_S + 0.5)
    _advance(reactor, 2 * _lingering.LINGER_S + 1.0)
    assert not server.connections


def test_large_last_reply_is_delivered_to_a_slow_client(
    make_server, connect, reactor
):
    server = make_server()
    sock = connect(server, LAST % b'large')
    sock.sendall(b'x' * 100_000)
    for _ in range(3):
        gevent.sleep(PASS_S)
        sock.recv(4096)
    assert len(_read_all(sock)) > LARGE_BYTES - 3 * 4096
    _wait_until_all_are_closed(server)
