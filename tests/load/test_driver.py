"""The load driver against a fake node that forwards calls."""

import attrs
import gevent
import pytest

from rosemarycrank import http_client
from rosemarycrank import load
from rosemarycrank.load import _keys
from rosemarycrank.load import _scenario

REFUSING_ADDRESS = '127.0.0.1:1'


def _make_scenario(**fields):
    kinds = (
        load.RequestKind(name='read', service='s', rate=100),
        load.RequestKind(
            name='renewal', service='s', method='POST', rate=50, paid=True
        ),
    )
    return load.Scenario(requests=kinds, duration_s=0.5, seed=3, **fields)


@pytest.fixture
def drive(fake_node, start_upstream):
    """A function that runs a scenario and returns its results."""
    upstream, _ = start_upstream(service='s')
    fake_node.upstreams_by_service['s'] = upstream.server.bound_address

    def drive(scenario, nodes=()):
        events = []
        nodes = [fake_node.address, *nodes]
        driver = load.Driver(scenario, nodes, events.append)
        driver.run()
        report = load.check(events, upstream.run_log.events)
        return driver.statistics, events, report

    return drive


def test_arrivals_follow_the_seed():
    """Two runs with one seed must send the same requests."""
    first = list(_scenario.arrivals(_make_scenario()))
    assert first == list(_scenario.arrivals(_make_scenario()))
    assert first == sorted(first)
    assert len({arrival.nonce for arrival in first}) == len(first)
    other = attrs.evolve(_make_scenario(), seed=4)
    assert first != list(_scenario.arrivals(other))


def test_phases_multiply_rates():
    phase = _scenario.Phase(10, 20, 4.0, ('read',))
    scenario = attrs.evolve(_make_scenario(), duration_s=30.0, phases=(phase,))
    times = [
        arrival.at_s
        for arrival in _scenario.arrivals(scenario)
        if arrival.kind.name == 'read'
    ]
    before = sum(at_s < 10 for at_s in times)
    during = sum(10 <= at_s < 20 for at_s in times)
    assert 3.5 < during / before < 4.5


def test_sound_run(drive):
    statistics, _, report = drive(_make_scenario())
    assert report.passed
    assert report.calls == report.successful == statistics.ended > 40
    assert statistics.as_dict()['classes']['read']['p99_ms'] > 0


@pytest.mark.parametrize('mode', ['obey', 'hard'])
def test_retries_keep_the_key(drive, fake_node, mode):
    """A retry under another key could run a paid request twice."""
    fake_node.refusals_left = 20
    scenario = _make_scenario()
    kinds = tuple(
        attrs.evolve(kind, retries=_scenario.Retries(mode), max_sends=30)
        for kind in scenario.requests
    )
    _, events, report = drive(attrs.evolve(scenario, requests=kinds))
    assert report.passed
    assert report.sends == report.calls + 20
    assert report.successful == report.calls
    keys = {e.nonce: e.key for e in events if e.event == 'begin'}
    sent = {
        h['IDEMPOTENCY-KEY']
        for h in fake_node.headers
        if 'IDEMPOTENCY-KEY' in h
    }
    assert sent == set(keys.values()) - {''}


def test_client_tries_the_next_node_if_one_refuses_connections(drive):
    _, events, report = drive(_make_scenario(), [REFUSING_ADDRESS])
    assert report.passed
    assert report.successful == report.calls
    assert any(event.detail == 'not sent' for event in events)


def test_all_nodes_refuse(drive):
    events = []
    driver = load.Driver(_make_scenario(), [REFUSING_ADDRESS], events.append)
    driver.run()
    report = load.check(events, [])
    assert report.passed
    assert report.not_run == report.calls > 0


def test_swapped_answers_are_caught(drive, fake_node):
    fake_node.swaps_answers = True
    _, _, report = drive(_make_scenario())
    assert report.wrong_answers == report.calls > 0


def test_duplicate_dispatches_are_caught(drive, fake_node):
    fake_node.dispatches_twice = True
    _, events, report = drive(_make_scenario())
    paid = sum(e.event == 'begin' and e.paid for e in events)
    assert report.duplicate_paid_runs == paid > 0
    assert report.attempts_by_depth[0].most_attempts == 2


def test_forged_not_run_answers_are_caught(drive, fake_node):
    fake_node.forges_not_run = True
    _, _, report = drive(_make_scenario())
    assert report.runs_reported_not_run == report.calls > 0


def test_keys_of_unknown_outcomes_are_queried(
    drive, start_upstream, fake_node
):
    """Each paid request with unknown outcome is queried once at the end.

    The upstream runs each request and drops its connection, so that all
    outcomes are unknown.
    """
    dropping = start_upstream(service='s')[0]
    fake_node.upstreams_by_service['s'] = dropping.server.bound_address
    dropping.runner.behaviour = attrs.evolve(
        dropping.runner.behaviour, drop_rate=1
    )
    _, events, report = drive(_make_scenario())
    assert report.unknown == report.calls
    queried = [event.nonce for event in events if event.event == 'asked']
    paid = [e.nonce for e in events if e.event == 'begin' and e.paid]
    assert sorted(queried) == sorted(paid)


def test_keys_issued_by_nodes(drive, fake_node):
    scenario = _make_scenario(keys=_scenario.Keys.NODE)
    _, events, report = drive(scenario)
    assert report.successful == report.calls
    paid = [e.key for e in events if e.event == 'begin' and e.paid]
    assert all(key.startswith('issued-') for key in paid)
    assert len(set(paid)) == len(paid)


def test_sessions_that_ask_at_once_get_different_keys(fake_node):
    """Sessions that find no unused key request a batch each."""
    host, _, port = fake_node.address.partition(':')
    client = http_client.Client(host, int(port), max_connections=3)
    source = _keys.NodeKeys({fake_node.address: client}, batch_size=2)
    sessions = [
        gevent.spawn(source.key_for, f'n{number}', fake_node.address)
        for number in range(3)
    ]
    gevent.joinall(sessions, raise_error=True)
    client.close()
    assert fake_node.paths == ['/keys'] * 3
    keys = {session.value for session in sessions}
    assert len(keys - {''}) == 3


def test_key_of_a_node_that_cannot_be_reached_is_replaced(drive, fake_node):
    """Every paid request gets a key from a node that can be reached."""
    scenario = _make_scenario(keys=_scenario.Keys.NODE)
    _, _, report = drive(scenario, [REFUSING_ADDRESS])
    assert report.successful == report.calls
    sent = [
        h['IDEMPOTENCY-KEY']
        for h in fake_node.headers
        if 'IDEMPOTENCY-KEY' in h
    ]
    assert all(key.startswith('issued-') for key in sent)


def test_no_node_issues_keys():
    events = []
    scenario = _make_scenario(keys=_scenario.Keys.NODE)
    load.Driver(scenario, [REFUSING_ADDRESS], events.append).run()
    ends = [event for event in events if event.event == 'end']
    assert {event.outcome for event in ends} == {'not-run'}
