"""Memory that requests of clients take, against the limit of the process."""

import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
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
        return _http1.RequestReader(
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
    reader = _http1.RequestReader(
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
    readers = [make_reader() for _ in range(400)]
    lines = b'a: b\r\n' * 2000
    with pytest.raises(_http1.NoMemoryError):
        for reader in readers:
            reader.feed(b'GET / HTTP/1.1\r\n' + lines)
    assert budget.used_bytes <= 0.25 * LIMIT_BYTES


class _Stream:
    """Stream that records what is written."""

    unsent_bytes = 0

    def __init__(self, _reactor, _sock, owner):
        self.owner = owner
        self.sent = []
        self.is_open = True
        self.on_drained = None

    def write(self, data):
        self.sent.append(data)

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


class _Entry:
    """Node with one target, and clients connected to it."""

    def __init__(self, reactor, budget):
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
        self.server = _clients.ClientServer(reactor, self.side, budget=budget)
        self.server.limits = LIMITS

    def connect(self):
        known = set(self.server._connections)
        self.server._add_connection(None, '')
        (connection,) = self.server._connections - known
        return connection

    def end_attempt(self, outcome, status=200):
        attempt, on_result = self.node.peers_by_node['n1'].sent.pop()
        on_result(
            fakes.result(
                attempt.number, outcome, _frames.Reason.ANSWER_LOST, status
            )
        )


@pytest.fixture
def entry(reactor, budget, monkeypatch):
    monkeypatch.setattr(_reactor, 'Stream', _Stream)
    return _Entry(reactor, budget)


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
