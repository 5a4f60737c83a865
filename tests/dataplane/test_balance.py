"""Load balancing over targets that are slow, failing, new or elsewhere.

Guards against the loss of a slow target's capacity, needless calls to other
failure domains, and a target that fails fast and so attracts all of the load.
"""

import collections
import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _frames
from rosemarycrank import kernel
from tests.dataplane import fakes


class _Peer:
    def __init__(self, limit, service_s):
        self.load = _frames.Load(0, 0, limit, service_s)
        self.sent_since_load = 0
        self.outstanding = 0


@pytest.fixture
def chooser():
    return _balance.ExpectedFinish('fd-a', random.Random(1))


def _records(*domains):
    return tuple(
        fakes.record(f'n{number}', failure_domain=domain)
        for number, domain in enumerate(domains)
    )


def _simulate_queues(
    chooser, records, service_s_by_node, rate, seconds=20.0, limit=34
):
    """Simulate queueing in virtual time.

    Returns
    -------
    tuple of (collections.Counter, list of float)
        Completed attempts by node, and the queue delays in seconds.
    """
    peers = {
        node: _Peer(limit, service_s)
        for node, service_s in service_s_by_node.items()
    }
    attempts = {node: 0.0 for node in peers}
    completed = collections.Counter()
    queue_delays_s = []
    step_s = 0.005
    rng = random.Random(2)
    for step in range(int(seconds / step_s)):
        arrivals = int(rate * step_s + rng.random())
        for _ in range(arrivals):
            record = chooser.choose(records, peers, 0.3, 0.0)
            peers[record.node].sent_since_load += 1
            attempts[record.node] += 1
        for node, peer in peers.items():
            max_completed = limit / service_s_by_node[node] * step_s
            # The limit bounds the running attempts, and each of them takes
            # the service time.
            running = min(attempts[node], limit)
            newly_completed = min(
                attempts[node], running / service_s_by_node[node] * step_s
            )
            newly_completed = min(newly_completed, max_completed)
            attempts[node] -= newly_completed
            completed[node] += newly_completed
            waiting = max(0.0, attempts[node] - limit)
            queue_delays_s.append(waiting * service_s_by_node[node] / limit)
            if step % 5 == 0:
                peer.load = _frames.Load(
                    int(min(attempts[node], limit)),
                    int(waiting),
                    limit,
                    service_s_by_node[node],
                )
                peer.sent_since_load = 0
    return completed, queue_delays_s


def test_slow_target_is_used_when_the_fast_ones_are_full(chooser):
    # Otherwise the capacity of one of three targets would be lost.
    records = _records('fd-a', 'fd-a', 'fd-a')
    service_s_by_node = {'n0': 0.04, 'n1': 0.05, 'n2': 0.09}
    capacity = sum(34 / seconds for seconds in service_s_by_node.values())
    completed, queue_delays_s = _simulate_queues(
        chooser, records, service_s_by_node, 0.95 * capacity
    )
    assert completed['n2'] > 0.75 * 20.0 * 34 / 0.09
    assert sorted(queue_delays_s)[int(0.95 * len(queue_delays_s))] < 0.08


def test_own_domain_is_used_while_it_has_capacity(chooser):
    records = _records('fd-a', 'fd-b', 'fd-b')
    service_s_by_node = dict.fromkeys(('n0', 'n1', 'n2'), 0.05)
    completed, _ = _simulate_queues(
        chooser, records, service_s_by_node, 0.5 * 34 / 0.05
    )
    assert completed['n0'] > 0.9 * sum(completed.values())


def test_other_domains_take_the_excess_load(chooser):
    records = _records('fd-a', 'fd-b', 'fd-b')
    service_s_by_node = dict.fromkeys(('n0', 'n1', 'n2'), 0.05)
    completed, queue_delays_s = _simulate_queues(
        chooser, records, service_s_by_node, 2.0 * 34 / 0.05
    )
    assert sum(completed.values()) > 0.97 * 20.0 * 2.0 * 34 / 0.05
    assert sorted(queue_delays_s)[int(0.95 * len(queue_delays_s))] < 0.08


@pytest.mark.parametrize('name', kernel.plugin_names('target_chooser'))
@pytest.mark.parametrize('count', [1, 3, 40])
def test_every_target_is_chosen_sometimes(name, count):
    # The load of a target that is never called is never reported.
    chooser = kernel.create(
        'target_chooser',
        name,
        failure_domain='fd-a',
        random=random.Random(3),
    )
    records = _records(*(f'fd-{"ab"[n % 2]}' for n in range(count)))
    chosen = {
        chooser.choose(records, {}, 0.5, 0.0).node for _ in range(600 * count)
    }
    assert len(chosen) == count


def _simulate_failures(
    chooser, records, failure_share_by_node, start=0.0, seconds=10.0
):
    """Choose targets that fail the given shares; return attempts by node."""
    rng = random.Random(4)
    peers = {node: _Peer(34, 0.05) for node in failure_share_by_node}
    # A target that fails fast reports a short service time and low load.
    for node, failure_share in failure_share_by_node.items():
        peers[node].load.service_s = 0.05 * (1.0 - 0.9 * failure_share)
    sent = collections.Counter()
    for step in range(int(50 * seconds)):
        now = start + 0.02 * step
        record = chooser.choose(records, peers, 0.3, now)
        sent[record.node] += 1
        failed = rng.random() < failure_share_by_node[record.node]
        chooser.record_outcome(record.instance, failed, now)
    return sent


@pytest.mark.parametrize('failure_share', [0.45, 1.0])
def test_target_that_fails_fast_does_not_attract_the_load(
    chooser, failure_share
):
    # Gray failure: the target passes its health checks and is the fastest.
    records = _records('fd-a', 'fd-a', 'fd-a')
    sent = _simulate_failures(
        chooser, records, {'n0': 0, 'n1': 0, 'n2': failure_share}
    )
    assert sent['n2'] < 0.12 * sum(sent.values())


def test_recovered_target_regains_its_share(chooser):
    records = _records('fd-a', 'fd-a', 'fd-a')
    _simulate_failures(chooser, records, {'n0': 0, 'n1': 0, 'n2': 1.0})
    failure_share_by_node = dict.fromkeys(('n0', 'n1', 'n2'), 0.0)
    _simulate_failures(
        chooser, records, failure_share_by_node, start=10.0, seconds=8.0
    )
    sent = _simulate_failures(
        chooser, records, failure_share_by_node, start=18.0
    )
    assert sent['n2'] > 0.25 * sum(sent.values())


def test_equal_failures_of_all_targets_have_no_effect(chooser):
    # Requests that fail because of a service below fail at all targets.
    records = _records('fd-a', 'fd-b', 'fd-b')
    sent = _simulate_failures(
        chooser, records, {'n0': 0.5, 'n1': 0.5, 'n2': 0.5}
    )
    assert sent['n0'] > 0.8 * sum(sent.values())


def test_failure_shares_of_removed_targets_are_dropped(chooser):
    for number in range(1000):
        chooser.record_outcome(f'i-{number}', True, number * 1.0)
    assert len(chooser._failures_by_instance) < 100
