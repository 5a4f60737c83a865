"""From a client's request to its answer."""

import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _origins
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes


class _IdleTarget:
    def idle_s(self, now):
        return 0.0


class _Node:
    def __init__(self, reactor):
        self.reactor = reactor
        self.configuration = fakes.configuration(
            fakes.route(),
            fakes.route('pay', path_prefix=b'/pay/', idempotent=False),
        )
        self.directory = _directory.Directory()
        self.peers_by_node = {}
        self.last_attempt_number = 0
        self.costs = _costs.CallCosts('archive')
        self.front = _front.AdmitAll()
        self.target_side = _IdleTarget()
        self.origins = _origins.RouteOrigins(0.0, lambda _route: None)
        self.origins.add_client_route('read')

    def peer(self, address):
        if address not in self.peers_by_node:
            self.peers_by_node[address] = fakes.RecordingPeer()
        return self.peers_by_node[address]


class _RefuseAll(_front.AdmitAll):
    def admit(self, route, service):
        return False


@pytest.fixture
def node(reactor):
    node = _Node(reactor)
    for name in ('n1', 'n2', 'n3'):
        node.directory.merge(fakes.record(name))
    return node


@pytest.fixture
def entry(node):
    source = random.Random(1)
    return _entry.EntrySide(
        node,
        _names.HeaderNames(),
        'front-desk',
        _balance.RandomTarget('fd-a', source),
        _routes.ServicePicker(source),
        _node.RetryBudgetSettings(0.2, 48.0),
        _counters.Counters(),
        source,
    )


@pytest.fixture
def connection():
    return fakes.RecordingConnection()


@pytest.fixture
def send(entry, connection):
    def send(**options):
        exchange = entry.open(fakes.request(**options), connection)
        entry.begin(exchange)
        return exchange

    return send


def _sent(node):
    """Return all attempts in order, with their callbacks."""
    sent = [pair for peer in node.peers_by_node.values() for pair in peer.sent]
    return sorted(sent, key=lambda pair: pair[0].number)


def _end(node, outcome='COMPLETE', reason='NONE', status=200):
    attempt, on_result = _sent(node)[-1]
    on_result(
        fakes.result(
            attempt.number,
            _frames.Outcome[outcome],
            _frames.Reason[reason],
            status,
        )
    )


def _statuses(connection):
    return [int(answer.split(b' ')[1]) for answer in connection.answers]


def test_request_is_passed_on_and_its_answer_returned(node, send, connection):
    send()
    _end(node)
    assert _statuses(connection) == [200]
    assert connection.answers[0].endswith(b'\r\n\r\nok')


def test_caller_is_set_by_the_node_whatever_was_sent(node, send):
    send(rosemarycrank_caller_service=b'forged')
    head = _sent(node)[0][0].head
    assert b'rosemarycrank-caller-service: front-desk\r\n' in head
    assert b'forged' not in head


def test_shorter_of_deadline_and_timeout_is_passed_on(node, send):
    send(rosemarycrank_deadline_ms=b'700')
    send(rosemarycrank_deadline_ms=b'9000')
    assert [a.remaining_ms for a, _ in _sent(node)] == [700, 2000]


@pytest.mark.parametrize(
    'options, status',
    [
        ({'target': b'/none/'}, 404),
        ({'rosemarycrank_deadline_ms': b'soon'}, 400),
        ({'rosemarycrank_request_id': b''}, 400),
    ],
)
def test_bad_request_has_no_retry_after(send, connection, options, status):
    send(**options)
    assert _statuses(connection) == [status]
    assert b'Retry-After' not in connection.answers[0]


def test_node_without_configuration_never_says_not_found(
    node, send, connection
):
    node.configuration = None
    send(target=b'/none/')
    assert _statuses(connection) == [503]


def test_refusal_at_the_front_says_when_to_come_back(node, send, connection):
    node.front = _RefuseAll()
    send()
    assert _statuses(connection) == [503]
    assert b'Retry-After: ' in connection.answers[0]
    assert _sent(node) == []


def test_calls_of_targets_are_not_refused_at_the_front(node, send):
    node.front = _RefuseAll()
    node.origins.client_routes.clear()
    send()
    assert len(_sent(node)) == 1


@pytest.mark.parametrize('target', [b'/a/1', b'/pay/1'])
def test_attempt_that_did_not_run_goes_to_another_target(
    node, send, connection, target
):
    send(target=target)
    _end(node, 'NOT_RUN', 'LEAVING')
    _end(node, 'NOT_RUN', 'QUEUE_FULL')
    _end(node)
    assert _statuses(connection) == [200]
    assert len({a.instance for a, _ in _sent(node)}) == 3


def test_unknown_outcome_is_repeated_only_if_idempotent(
    node, send, connection
):
    send(target=b'/a/1')
    _end(node, 'UNKNOWN', 'ANSWER_LOST')
    _end(node)
    send(target=b'/pay/1')
    _end(node, 'UNKNOWN', 'ANSWER_LOST')
    assert _statuses(connection) == [200, 502]


def test_no_target_is_an_honest_refusal_only_if_nothing_ran(
    node, send, connection
):
    for name in ('n2', 'n3'):
        node.directory.merge(fakes.record(name, state='gone', sequence=2))
    send(target=b'/a/1')
    _end(node, 'UNKNOWN', 'ANSWER_LOST')
    send(target=b'/pay/1')
    _end(node, 'NOT_RUN', 'LEAVING')
    assert _statuses(connection) == [502, 503]


def test_attempts_that_arrived_stay_within_the_route(node, send, connection):
    send()
    _end(node, 'NOT_RUN', 'REFUSED_BY_TARGET')
    _end(node, 'NOT_RUN', 'REFUSED_BY_TARGET')
    assert len(_sent(node)) == 2
    assert _statuses(connection) == [503]


def test_repeats_stay_within_the_budget(node, send):
    for _ in range(300):
        send()
        first = len(_sent(node))
        _end(node, 'UNKNOWN', 'ANSWER_LOST')
        if len(_sent(node)) > first:
            _end(node)
    repeats = len(_sent(node)) - 300
    # The share of one of three nodes in the stock, and what 300 earn.
    assert repeats <= 48 / 3 + 0.2 * 300


def test_timeout_is_answered_and_the_attempt_cancelled(
    node, send, connection, reactor
):
    send(rosemarycrank_deadline_ms=b'500')
    reactor.run(0.45)
    assert connection.answers == []
    reactor.run(0.1)
    assert _statuses(connection) == [504]
    assert [p.cancelled for p in node.peers_by_node.values()] == [[1]]


def test_late_result_after_the_timeout_is_dropped(
    node, send, connection, reactor
):
    send(rosemarycrank_deadline_ms=b'500')
    reactor.run(0.6)
    _end(node)
    assert _statuses(connection) == [504]


def test_client_that_left_cancels_its_attempt(node, entry, send):
    exchange = send()
    entry.abandon(exchange)
    assert [p.cancelled for p in node.peers_by_node.values()] == [[1]]
    assert entry.under_way == 0


def test_nodes_that_leave_or_are_lost_are_passed_over(node, send):
    node.peer('n1').leaving = True
    node.peer('n2').reachable = False
    for _ in range(5):
        send()
    assert {a.instance for a, _ in _sent(node)} == {'i-n3'}


def test_answer_of_a_failed_run_is_the_targets_own(node, send, connection):
    send(target=b'/pay/1')
    _end(node, status=500)
    assert _statuses(connection) == [500]


def test_node_that_stops_lets_calls_of_its_target_in_only(
    node, entry, send, connection
):
    entry.closed = True
    send()
    assert _statuses(connection) == [503]
    send(target=b'/pay/1')
    assert len(_sent(node)) == 1


def test_last_second_of_a_stop_takes_nothing_new(
    node, entry, send, connection
):
    entry.closed = entry.closed_to_calls = True
    send(target=b'/pay/1')
    assert _statuses(connection) == [503]
