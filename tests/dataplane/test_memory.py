"""Memory that requests of clients take, against the limit of the process."""

import gc
import random
import tracemalloc

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _client_connection
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _request_reader
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes

MB = 1_000_000

#: With it, large messages may take 22.5 MB of one budget and 54 MB of all.
LIMIT_BYTES = 100 * MB

HEAD = (
    b'POST /a/ HTTP/1.1\r\nHost: h.example\r\nrosemarycrank-request-id: r1\r\n'
    b'Content-Length: %d\r\n\r\n'
)
CHUNKED = (
    b'POST /a/ HTTP/1.1\r\nHost: h.example\r\nrosemarycrank-request-id: r1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
SMALL = (
    b'GET /a/ HTTP/1.1\r\nHost: h.example\r\n'
    b'rosemarycrank-request-id: r2\r\n\r\n'
)
LIMITS = _http1.Limits(body_bytes=64 * MB)


@pytest.fixture
def account():
    return _memory.MemoryAccount(LIMIT_BYTES)


@pytest.fixture
def budget(account):
    return account.budget('client_requests')


def _hold(budget, size):
    """Return whether a message of a size fits, which takes its memory."""
    return _memory.Hold(budget).grow(size)


def test_small_message_fits_while_large_ones_do_not(budget):
    assert _hold(budget, 22 * MB)
    assert not _hold(budget, 1 * MB)
    assert _hold(budget, 65536)
    assert budget.refusals == 1


def test_budget_leaves_room_for_others(account, budget):
    others = [account.budget(name) for name in 'abc']
    for one in (budget, *others):
        while _hold(one, 1 * MB):
            pass
    assert budget.used_bytes == 22 * MB
    assert account.used_bytes <= account.limit_bytes


# Guards against other nodes and probes that are refused while clients hold all
# memory, so that the node is taken for gone.
def test_reserved_memory_is_not_taken_by_others(account):
    reserved = account.budget('control', share=0.05, is_reserved=True)
    for name in 'abcd':
        budget = account.budget(name)
        while _hold(budget, 65536):
            pass
    while _hold(reserved, 65536):
        pass
    assert 4.9 * MB <= reserved.used_bytes <= 5 * MB
    assert account.used_bytes <= 55 * MB


def test_message_that_does_not_fit_takes_no_more(budget):
    hold = _memory.Hold(budget)
    assert hold.grow(20 * MB)
    assert not hold.grow(30 * MB)
    assert budget.used_bytes == 20 * MB
    hold.release()
    hold.release()
    assert budget.used_bytes == 0


@pytest.mark.parametrize('memory_mb', [100, 300, 1000])
def test_all_budgets_together_leave_room_for_the_process(memory_mb):
    account = _memory.MemoryAccount(memory_mb * MB)
    for name in 'abcdefgh':
        one = account.budget(name)
        while _hold(one, 65536):
            pass
    assert account.used_bytes <= 0.6 * memory_mb * MB


@pytest.fixture
def make_reader(budget):
    def make():
        return _request_reader.RequestReader(
            LIMITS, lambda _message: None, budget=budget
        )

    return make


# Guards against a node over its memory, which is killed with the requests of
# all clients: nothing bounded what clients send within the limits together.
def test_body_that_does_not_fit_is_refused_before_it_is_read(
    make_reader, budget
):
    first, second = make_reader(), make_reader()
    first.feed(HEAD % (20 * MB))
    assert budget.used_bytes >= 20 * MB
    with pytest.raises(_http1.NoMemoryError) as error:
        second.feed(HEAD % (20 * MB))
    assert error.value.status == 503
    first.release()
    assert budget.used_bytes == 0
    make_reader().feed(HEAD % (20 * MB))


def test_client_is_not_told_to_send_a_body_that_does_not_fit(budget):
    continues = []
    reader = _request_reader.RequestReader(
        LIMITS, None, lambda: continues.append(True), budget
    )
    assert _hold(budget, 20 * MB)
    head = HEAD.replace(b'Host', b'Expect: 100-continue\r\nHost')
    with pytest.raises(_http1.NoMemoryError):
        reader.feed(head % (20 * MB))
    assert continues == []


def test_body_that_never_fits_is_too_large(make_reader, budget):
    with pytest.raises(_http1.MessageError) as error:
        make_reader().feed(HEAD % (23 * MB))
    assert error.value.status == 413
    assert budget.used_bytes == 0


@pytest.mark.parametrize('chunk_bytes', [4, 60_000])
def test_chunks_that_do_not_fit_are_refused(make_reader, budget, chunk_bytes):
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    data = chunk * (60_000 // chunk_bytes)
    first, second = make_reader(), make_reader()
    first.feed(HEAD % (20 * MB))
    second.feed(CHUNKED)
    with pytest.raises(_http1.NoMemoryError):
        for _ in range(60):
            second.feed(data)
    assert budget.used_bytes <= 0.225 * LIMIT_BYTES
    first.release()
    second.release()
    assert budget.used_bytes == 0


def test_unfinished_heads_share_the_budget(make_reader, budget):
    readers = [make_reader() for _ in range(2400)]
    lines = b'a: b\r\n' * 2000
    with pytest.raises(_http1.NoMemoryError):
        for reader in readers:
            reader.feed(b'GET / HTTP/1.1\r\n' + lines)
    assert budget.used_bytes <= 0.25 * LIMIT_BYTES


class _Stream:
    """Stream that records what is written, and can be blocked."""

    def __init__(self, _reactor, _sock, owner):
        self.owner = owner
        self.sent = []
        self.unsent = []
        self.is_open = True
        self.is_blocked = False
        self.unread_count = 0
        self.on_drained = self.on_blocked = None

    @property
    def unsent_bytes(self):
        return sum(map(len, self.unsent))

    def unread_bytes(self):
        return self.unread_count

    def unsent_buffers(self):
        return list(self.unsent)

    def write(self, data):
        if self.is_blocked:
            self.unsent.append(data)
            self.on_blocked()
        else:
            self.sent.append(data)

    def read(self, count=None):
        """Let the client read some responses, all if no number is given."""
        self.sent += self.unsent[:count]
        del self.unsent[:count]
        if not self.unsent:
            self.on_drained()

    def pause(self):
        pass

    def resume(self):
        pass

    def catch_up(self):
        return True

    def peer_has_closed(self):
        return False

    def unacknowledged_bytes(self):
        return 0

    def shutdown_write(self):
        self.on_drained()

    def close(self):
        self.is_open = False
        self.owner = self.on_drained = self.on_blocked = None


class _Entry:
    """Node with one target, and clients connected to it."""

    def __init__(self, reactor, budget, connection_budget, output_budget):
        self.node = fakes.EntryNode(reactor)
        self.node.directory.merge(fakes.record('n1'))
        rng = random.Random(1)
        self.side = _entry.EntrySide(
            self.node,
            _names.HeaderNames(),
            'front-desk',
            _balance.RandomTarget('fd-a', rng),
            _routes.ServicePicker(rng),
            _node.RetryBudgetSettings(0.2, 48.0),
            _counters.Counters(),
            rng,
        )
        self.server = _clients.ClientServer(
            reactor,
            self.side,
            budget=budget,
            connection_budget=connection_budget,
            output_budget=output_budget,
        )
        self.server.limits = LIMITS

    def connect(self):
        known = set(self.server._connections)
        self.server._add_connection(None, '')
        (connection,) = self.server._connections - known
        return connection

    def end_attempt(self, outcome, status=200, body=b'ok'):
        attempt, on_result = self.node.peers_by_node['n1'].sent.pop()
        result = fakes.result(
            attempt.number, outcome, _frames.Reason.ANSWER_LOST, status
        )
        result.body = body
        on_result(result)


@pytest.fixture
def connection_budget(account):
    return account.budget('client_connections', share=0.005)


@pytest.fixture
def output_budget(account):
    return account.budget('client_output', share=0.005)


@pytest.fixture
def entry(reactor, budget, connection_budget, output_budget, monkeypatch):
    monkeypatch.setattr(_reactor, 'Stream', _Stream)
    return _Entry(reactor, budget, connection_budget, output_budget)


@pytest.mark.parametrize(
    'end',
    [
        lambda entry, connection: entry.end_attempt(_frames.Outcome.COMPLETE),
        lambda entry, connection: entry.end_attempt(_frames.Outcome.UNKNOWN),
        lambda entry, connection: connection.closed(None),
        lambda entry, connection: entry.node.reactor.run(10.0),
        lambda entry, connection: entry.side.end_all(),
    ],
    ids=['answered', 'failed', 'client_left', 'deadline', 'node_stops'],
)
def test_request_takes_memory_until_it_ends(entry, budget, end):
    connection = entry.connect()
    connection.received(HEAD % MB)
    connection.received(b'x' * MB)
    assert budget.used_bytes >= MB
    end(entry, connection)
    assert budget.used_bytes == 0


@pytest.mark.parametrize(
    'data',
    [
        HEAD % MB + b'x' * 1000,
        CHUNKED + b'3\r\nabc\r\n',
        b'GET / HTTP/1.1\r\nHost: h.example\r\na:',
        b'GET /other/ HTTP/1.1\r\nHost: h.example\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
        HEAD % MB + b'x' * MB + b'GARBAGE\r\n\r\n',
        SMALL * 40,
    ],
    ids=range(7),
)
def test_memory_is_given_back_when_the_client_leaves(entry, budget, data):
    connection = entry.connect()
    connection.received(data)
    connection.closed(None)
    assert budget.used_bytes == 0


def test_refused_body_is_answered_and_others_are_served(entry, budget, caplog):
    first, second, third = (entry.connect() for _ in range(3))
    first.received(HEAD % (20 * MB))
    second.received(HEAD % (20 * MB))
    (refusal,) = second.stream.sent
    assert refusal.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in refusal
    assert b'rosemarycrank-request-id: r1' in refusal
    third.received(SMALL)
    entry.end_attempt(_frames.Outcome.COMPLETE)
    assert third.stream.sent[0].startswith(b'HTTP/1.1 200 ')
    (line,) = [r for r in caplog.records if r.msg == 'no memory for a message']
    assert line.request_id == b'r1'
    assert line.size >= 20 * MB
    assert line.held >= 20 * MB


@pytest.fixture
def held_bytes():
    """Return a function that tells the memory taken since the start."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    gc.enable()


#: What a client can have sent on a connection that is refused then.
REFUSED = [
    b'GET / HTTP/1.1\r\nHost: h.example\r\na: ' + b'b' * 20_000,
    b'GET / HTTP/1.1\r\nHost: h.example\r\n'
    + b'a: b\r\n' * 2000
    + b'c\r\n\r\n',
    CHUNKED + b'ea60\r\n' + b'b' * 60_000 + b'\r\nx',
    CHUNKED + b'1\r\nb\r\n' * 5000 + b'x',
    SMALL * 3 + b'GARBAGE\r\n\r\n' + SMALL * 1000,
]

#: Memory that an open connection may take, in bytes, and all of them together
#: for what is kept once.
MAX_CONNECTION_BYTES = 4096
ONCE_BYTES = 30_000


# Guards against a node over its memory, which is killed with the requests of
# all clients: what was refused stayed in memory until the client closed the
# connection.
@pytest.mark.parametrize('data', REFUSED, ids=range(len(REFUSED)))
def test_refused_connection_keeps_nothing(entry, budget, held_bytes, data):
    connections = [entry.connect() for _ in range(20)]
    empty_bytes = held_bytes()
    for connection in connections:
        connection.received(data)
        while entry.node.peers_by_node and entry.node.peers_by_node['n1'].sent:
            entry.end_attempt(_frames.Outcome.COMPLETE)
        assert connection.closing
        assert connection.stream.is_open
        connection.stream.sent.clear()
    del connection
    entry.node.reactor.run(10.0)
    assert budget.used_bytes == 0
    per_connection = MAX_CONNECTION_BYTES * len(connections)
    assert held_bytes() - empty_bytes < ONCE_BYTES + per_connection


# Guards against the same for connections that have been closed: they were
# freed by the next full collection only.
@pytest.mark.parametrize(
    'data', [b'', *REFUSED, SMALL, HEAD % 9 + b'x'], ids=range(8)
)
def test_closed_connection_is_freed_at_once(entry, budget, held_bytes, data):
    def close_one():
        connection = entry.connect()
        if data:
            connection.received(data)
        connection.stream.close()
        connection.closed(None)
        if entry.node.peers_by_node:
            entry.node.peers_by_node['n1'].sent.clear()

    close_one()
    empty_bytes = held_bytes()
    for _ in range(50):
        close_one()
    # Requests are forgotten at their deadlines.
    entry.node.reactor.run(10.0)
    assert budget.used_bytes == 0
    assert held_bytes() - empty_bytes < ONCE_BYTES


@pytest.mark.parametrize('data', [b'', SMALL, *REFUSED], ids=range(7))
def test_connection_takes_memory_until_it_is_closed(
    entry, connection_budget, data
):
    connection = entry.connect()
    if data:
        connection.received(data)
    assert connection_budget.used_bytes == _clients.CONNECTION_BYTES
    connection.received(b'GET / HTTP/1.1\r\na: ' + b'b' * 5000)
    connection.closed(None)
    assert connection_budget.used_bytes == 0


#: An unfinished head, of which the budget holds about 30.
PART = b'GET /a/ HTTP/1.1\r\nHost: h.example\r\na: ' + b'b' * 12_000


def _statuses(connection):
    return [
        bytes(data[9:12])
        for data in connection.stream.sent
        if data.startswith(b'HTTP/')
    ]


# Guards against a node over its memory, which is killed with the requests of
# all clients: unfinished heads and connections had no limit.
def test_newest_unfinished_head_is_refused(entry, connection_budget, caplog):
    running, served, *others = (entry.connect() for _ in range(50))
    running.received(SMALL + PART[:100])
    served.received(SMALL)
    entry.end_attempt(_frames.Outcome.COMPLETE)
    entry.node.reactor.run(1.0)
    for number, connection in enumerate(others):
        connection.received(PART[:100])
        connection.received(PART[100:] if number < 40 else PART[100:1000])
    assert connection_budget.used_bytes <= connection_budget.limit_bytes
    refused = [connection.closing for connection in others]
    assert 15 < refused.index(True) < 35
    assert refused[:40] == sorted(refused[:40])
    assert refused[40:] == sorted(refused[40:])
    assert not refused[40]
    assert all(_statuses(one) == [b'503'] for one in others if one.closing)
    assert connection_budget.refusals
    (line, *_) = [r for r in caplog.records if r.msg.startswith('no memory')]
    assert line.kind == 'client_connections'
    # An older one goes on, at the expense of a newer one.
    kept = [connection for connection in others if not connection.closing]
    others[0].received(b'b' * 3000)
    refused = [connection.closing for connection in kept]
    assert 1 <= sum(refused) < 9
    assert refused == sorted(refused)
    others[0].received(b'\r\nrosemarycrank-request-id: r9\r\n\r\n')
    entry.end_attempt(_frames.Outcome.COMPLETE)
    assert _statuses(others[0]) == [b'200']
    entry.end_attempt(_frames.Outcome.COMPLETE)
    assert _statuses(running) == _statuses(served) == [b'200']
    assert running.stream.is_open and served.stream.is_open


# Guards against small requests that are refused for the memory of unfinished
# heads.
def test_whole_request_needs_no_room_for_unfinished_heads(entry):
    connections = [entry.connect() for _ in range(50)]
    for connection in connections[:40]:
        connection.received(PART)
    assert connections[39].closing
    for connection in connections[40:]:
        connection.received(SMALL)
        entry.end_attempt(_frames.Outcome.COMPLETE)
        assert _statuses(connection) == [b'200']


class _Socket:
    is_open = True

    def close(self):
        self.is_open = False


def test_connections_that_do_not_fit_are_closed(entry, connection_budget):
    entry.connect().received(SMALL)
    entry.connect().received(PART)
    sockets = [_Socket() for _ in range(200)]
    for sock in sockets:
        entry.server._add_connection(sock, '10.0.0.9')
    # The memory of the unfinished head has been taken for others.
    (running,) = [c for c in entry.server._connections if c._exchanges]
    assert not running.closing
    assert connection_budget.used_bytes <= connection_budget.limit_bytes
    assert 110 < sum(sock.is_open for sock in sockets) < 125
    assert not sockets[-1].is_open
    # Those that have been idle make room.
    entry.node.reactor.run(1.0)
    last = _Socket()
    entry.server._add_connection(last, '10.0.0.9')
    assert last.is_open
    assert not running.closing


def _request(fields):
    return SMALL[:-2] + fields + b'\r\n'


#: Requests whose objects take much more memory than their bytes.
IN_FLIGHT = [
    SMALL,
    _request(b'a: b\r\n'),
    *(
        _request(b''.join(b'x%d: %d\r\n' % (n, n) for n in range(count)))
        for count in (20, 45, 90, 180, 350, 690, 1380)
    ),
    _request(b'x: y\r\n' * 2000),
    _request(b'x:\r\n' * 2000),
    _request(b'x: ' + b'y' * 15_000 + b'\r\n'),
    SMALL.replace(b'/a/', b'/a/' + b'y' * 15_000),
    HEAD % 5000 + b'b' * 5000,
    HEAD % 5000 + b'b' * 4000,
    SMALL * 20,
]


# Guards against a node over its memory, which is killed with the requests of
# all clients: a header field took more memory than was counted.
@pytest.mark.parametrize('data', IN_FLIGHT, ids=range(len(IN_FLIGHT)))
def test_requests_in_flight_take_the_memory_that_is_counted(
    entry, budget, connection_budget, held_bytes, data
):
    first = entry.connect()
    first.received(data)
    empty_bytes = held_bytes()
    counted = budget.used_bytes + connection_budget.used_bytes
    for _ in range(20):
        entry.connect().received(data)
    counted = budget.used_bytes + connection_budget.used_bytes - counted
    assert held_bytes() - empty_bytes <= counted


# Guards against a node over its memory, which is killed with the requests of
# all clients: all requests of one read were begun, more than may be in flight.
def test_requests_ahead_are_kept_as_text(
    entry, budget, connection_budget, held_bytes
):
    data = b''.join(
        SMALL.replace(b'r2', b'r%d' % number) for number in range(800)
    )
    connection = entry.connect()
    empty_bytes = held_bytes()
    connection.received(data)
    attempts = entry.node.peers_by_node['n1'].sent
    assert len(attempts) == _client_connection.MAX_PIPELINED_REQUESTS
    # The data of the test are held, too.
    counted = budget.used_bytes + connection_budget.used_bytes
    assert len(data) <= counted <= 3 * len(data)
    assert held_bytes() - empty_bytes <= counted
    read = []
    while attempts:
        read.append(attempts[0][0].request_id)
        attempts.append(attempts.pop(0))
        entry.end_attempt(_frames.Outcome.COMPLETE)
        assert len(attempts) <= _client_connection.MAX_PIPELINED_REQUESTS
    assert read == [b'r%d' % number for number in range(800)]
    assert _statuses(connection) == [b'200'] * 800
    assert budget.used_bytes == 0
    assert connection_budget.used_bytes == _clients.CONNECTION_BYTES


# Guards against requests that have been read, and that a planned stop leaves
# without an answer.
def test_planned_stop_serves_requests_that_are_kept(entry):
    connection = entry.connect()
    connection.received(SMALL * 100)
    entry.server.draining = True
    attempts = entry.node.peers_by_node['n1'].sent
    while attempts:
        entry.end_attempt(_frames.Outcome.COMPLETE)
    assert _statuses(connection) == [b'200'] * 100
    closing = [b'Connection: close' in data for data in connection.stream.sent]
    assert closing.index(True) >= 2 * 99


def test_requests_ahead_that_do_not_fit_are_refused(entry, connection_budget):
    connections = [entry.connect() for _ in range(20)]
    for connection in connections:
        connection.received(SMALL * 800)
    assert connections[-1].closing
    attempts = entry.node.peers_by_node['n1'].sent
    while attempts:
        entry.end_attempt(_frames.Outcome.COMPLETE)
    assert _statuses(connections[0]) == [b'200'] * 800
    assert _statuses(connections[-1]) == [b'200'] * 32 + [b'503']


# Guards against the same by requests that are kept until their deadlines when
# they have been answered, or when their clients have left.
def test_answered_requests_are_forgotten(entry, held_bytes):
    connection = entry.connect()
    entry.connect().received(SMALL)
    (running,) = entry.node.peers_by_node['n1'].sent
    empty_bytes = held_bytes()
    for _ in range(2000):
        connection.received(SMALL)
        entry.end_attempt(_frames.Outcome.COMPLETE)
        connection.stream.sent.clear()
    entry.node.reactor.run(2 * _entry.SWEEP_INTERVAL_S)
    assert held_bytes() - empty_bytes < 300_000
    # The deadline of the one in flight is still kept.
    assert entry.side.in_flight == 1
    entry.node.reactor.run(10.0)
    assert entry.side.in_flight == 0


# Guards against a node short of memory that gives up requests which run, or
# the older ones of those that are not complete.
def test_newest_unfinished_request_is_refused_for_memory(entry, budget):
    running, older, newer, idle = (entry.connect() for _ in range(4))
    running.received(SMALL + HEAD % MB)
    older.received(HEAD % MB)
    entry.node.reactor.run(0.1)
    newer.received(CHUNKED + b'3\r\nabc\r\n')
    assert entry.server.refuse_newest_unfinished()
    (refusal,) = newer.stream.sent
    assert refusal.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in refusal
    assert not older.stream.sent
    assert entry.server.refuse_newest_unfinished()
    assert not entry.server.refuse_newest_unfinished()
    entry.end_attempt(_frames.Outcome.COMPLETE)
    assert running.stream.sent[0].startswith(b'HTTP/1.1 200 ')
    assert idle.stream.is_open


def test_idle_connections_are_closed_for_memory(entry):
    busy, idle = entry.connect(), entry.connect()
    busy.received(SMALL)
    entry.node.reactor.run(1.0)
    assert entry.server.close_longest_idle()
    assert not idle.stream.is_open
    assert busy.stream.is_open
    assert not entry.server.close_longest_idle()


BODY = b'b' * 30_000


def _serve(entry, connection, body=BODY):
    """Serve a request; return whether it was sent to a target."""
    attempts = entry.node.peer('n1').sent
    known = len(attempts)
    connection.received(SMALL)
    if len(attempts) == known:
        return False
    entry.end_attempt(_frames.Outcome.COMPLETE, body=body)
    return True


def _connect_blocked(entry, count):
    connections = [entry.connect() for _ in range(count)]
    for connection in connections:
        connection.stream.is_blocked = True
    return connections


# Guards against a node over its memory, which is killed with the requests of
# all clients: responses that a client does not read were not counted.
def test_unread_responses_take_memory_until_they_are_sent(
    entry, output_budget
):
    first, second = _connect_blocked(entry, 2)
    first.received(SMALL * 3)
    entry.end_attempt(_frames.Outcome.COMPLETE, body=BODY)
    # It waits for the one to the first request.
    assert len(BODY) <= output_budget.used_bytes <= 1.1 * len(BODY)
    entry.end_attempt(_frames.Outcome.COMPLETE, body=BODY)
    entry.end_attempt(_frames.Outcome.COMPLETE, body=BODY)
    _serve(entry, second)
    held = 4 * len(BODY)
    assert held <= output_budget.used_bytes <= 1.1 * held
    second.closed(None)
    assert 0.75 * held <= output_budget.used_bytes <= 0.8 * held
    first.stream.read(2)
    entry.node.reactor.run(1.0)
    assert 0.5 * held <= output_budget.used_bytes <= 0.55 * held
    first.stream.read()
    assert output_budget.used_bytes == 0
    assert _statuses(first) == [b'200'] * 3


def test_client_that_reads_nothing_begins_nothing_while_memory_is_short(
    entry, output_budget
):
    blocked = _connect_blocked(entry, 17)
    reading = entry.connect()
    for connection in blocked:
        assert _serve(entry, connection)
        entry.node.reactor.run(0.01)
    assert output_budget.used_bytes > output_budget.limit_bytes
    entry.node.reactor.run(1.0)
    # The one that has read nothing for longest has been closed.
    kept = [connection for connection in blocked if connection.stream.is_open]
    assert kept == blocked[1:]
    assert output_budget.used_bytes <= output_budget.limit_bytes
    assert output_budget.refusals == 1
    assert not _serve(entry, kept[0])
    assert _serve(entry, reading)
    assert _statuses(reading) == [b'200']
    # It goes on when its client reads.
    kept[0].stream.is_blocked = False
    kept[0].stream.read()
    entry.end_attempt(_frames.Outcome.COMPLETE)
    assert _statuses(kept[0]) == [b'200', b'200']


def test_client_whose_requests_wait_for_it_to_read_is_disconnected(
    entry, output_budget
):
    blocked = _connect_blocked(entry, 14)
    for connection in blocked:
        _serve(entry, connection)
    assert not _serve(entry, blocked[0])
    entry.node.reactor.run(0.9 * LIMITS.idle_timeout_s)
    assert blocked[0].stream.is_open
    # Its request may be begun once the others have been disconnected.
    entry.node.reactor.run(1.5 * LIMITS.idle_timeout_s)
    assert not blocked[0].stream.is_open
    assert output_budget.used_bytes == 0


def test_request_whose_response_could_not_be_held_is_refused(
    entry, output_budget, caplog
):
    for connection in _connect_blocked(entry, 18):
        _serve(entry, connection)
    reading = entry.connect()
    assert not _serve(entry, reading)
    assert _statuses(reading) == [b'503']
    (line,) = [r for r in caplog.records if r.msg.startswith('no memory')]
    assert (line.kind, line.request_id) == ('client_output', b'r2')
    assert entry.side.in_flight == 0
    # Memory is made within a moment.
    entry.node.reactor.run(1.0)
    assert _serve(entry, reading)
    assert _statuses(reading) == [b'503', b'200']


# Guards against bodies that are counted twice, and starve other messages.
def test_bodies_that_are_counted_already_are_not_counted_again(
    entry, budget, output_budget
):
    body = _memory.HeldBuffer(BODY)
    body.hold = _memory.Hold(budget)
    body.hold.grow(len(body))
    (connection,) = _connect_blocked(entry, 1)
    _serve(entry, connection, body)
    assert 0 < output_budget.used_bytes < 1000


# Guards against a node over its memory, which is killed with the requests of
# all clients: what arrives while reading is paused was not counted.
def test_input_that_is_not_read_takes_memory(entry, connection_budget):
    connection = entry.connect()
    connection.received(SMALL * 32)
    connection.stream.unread_count = 100_000
    entry.node.reactor.run(1.0)
    held = _clients.CONNECTION_BYTES + 100_000
    assert connection_budget.used_bytes == held
    entry.end_attempt(_frames.Outcome.COMPLETE)
    entry.end_attempt(_frames.Outcome.COMPLETE)
    attempts = entry.node.peers_by_node['n1'].sent
    while attempts:
        entry.end_attempt(_frames.Outcome.COMPLETE)
    assert connection_budget.used_bytes == _clients.CONNECTION_BYTES
    connection.received(SMALL * 32)
    entry.node.reactor.run(1.0)
    assert connection_budget.used_bytes == held
    connection.closed(None)
    assert connection_budget.used_bytes == 0


# Guards against requests that are sent to a target after their deadline: they
# had waited for their client to read earlier responses.
def test_request_that_has_waited_beyond_its_deadline_is_not_sent(entry):
    blocked = _connect_blocked(entry, 14)
    for connection in blocked:
        assert _serve(entry, connection)
    first = blocked[0]
    assert not _serve(entry, first)
    entry.node.reactor.run(12.0)
    first.stream.is_blocked = False
    first.stream.read()
    assert not entry.node.peers_by_node['n1'].sent
    assert _statuses(first) == [b'200', b'503']
    assert entry.side.in_flight == 0


# Guards against limits that stay as they were at the start.
def test_new_limit_of_the_process_holds_for_all_budgets():
    changed, expected = (
        _memory.MemoryAccount(limit) for limit in (100 * MB, 200 * MB)
    )
    for account in (changed, expected):
        account.budget('requests')
        account.budget('nodes', 0.1, is_reserved=True)
    held = changed.budgets_by_name['requests']
    held.take(20 * MB)
    changed.set_limit(200 * MB)
    assert changed.limit_bytes == expected.limit_bytes
    for name, budget in expected.budgets_by_name.items():
        other = changed.budgets_by_name[name]
        assert other.limit_bytes == budget.limit_bytes
        assert other.account.limit_bytes == budget.account.limit_bytes
    assert held.take_if_fits(1000, 1000)
    changed.set_limit(50 * MB)
    assert not held.take_if_fits(1000, 1000)
