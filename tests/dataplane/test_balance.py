"""Choice of targets: slow ones among fast ones, own domain, new ones."""

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


def _play(chooser, records, service_by_node, rate, seconds=20.0, limit=34):
    """Queueing in virtual time; returns what was done and the waits."""
    peers = {
        node: _Peer(limit, service_s)
        for node, service_s in service_by_node.items()
    }
    work = {node: 0.0 for node in peers}
    done = collections.Counter()
    waits = []
    step_s = 0.005
    source = random.Random(2)
    for step in range(int(seconds / step_s)):
        arrivals = int(rate * step_s + source.random())
        for _ in range(arrivals):
            record = chooser.choose(records, peers, 0.3, 0.0)
            peers[record.node].sent_since_load += 1
            work[record.node] += 1
        for node, peer in peers.items():
            per_step = limit / service_by_node[node] * step_s
            # The limit binds what runs; what runs ends after its time.
            running = min(work[node], limit)
            ended = min(work[node], running / service_by_node[node] * step_s)
            ended = min(ended, per_step)
            work[node] -= ended
            done[node] += ended
            waiting = max(0.0, work[node] - limit)
            waits.append(waiting * service_by_node[node] / limit)
            if step % 5 == 0:
                peer.load = _frames.Load(
                    int(min(work[node], limit)),
                    int(waiting),
                    limit,
                    service_by_node[node],
                )
                peer.sent_since_load = 0
    return done, waits


def test_slow_target_is_used_when_the_fast_ones_are_full(chooser):
    # A third of the service's room would be lost otherwise.
    records = _records('fd-a', 'fd-a', 'fd-a')
    service_s = {'n0': 0.04, 'n1': 0.05, 'n2': 0.09}
    capacity = sum(34 / seconds for seconds in service_s.values())
    done, waits = _play(chooser, records, service_s, 0.95 * capacity)
    assert done['n2'] > 0.75 * 20.0 * 34 / 0.09
    assert sorted(waits)[int(0.95 * len(waits))] < 0.08


def test_own_domain_is_used_while_it_has_room(chooser):
    records = _records('fd-a', 'fd-b', 'fd-b')
    service_s = dict.fromkeys(('n0', 'n1', 'n2'), 0.05)
    done, _ = _play(chooser, records, service_s, 0.5 * 34 / 0.05)
    assert done['n0'] > 0.9 * sum(done.values())


def test_other_domains_take_what_the_own_cannot(chooser):
    records = _records('fd-a', 'fd-b', 'fd-b')
    service_s = dict.fromkeys(('n0', 'n1', 'n2'), 0.05)
    done, waits = _play(chooser, records, service_s, 2.0 * 34 / 0.05)
    assert sum(done.values()) > 0.97 * 20.0 * 2.0 * 34 / 0.05
    assert sorted(waits)[int(0.95 * len(waits))] < 0.08


@pytest.mark.parametrize('name', kernel.names('target_chooser'))
@pytest.mark.parametrize('count', [1, 3, 40])
def test_every_target_is_chosen_at_times(name, count):
    # A new or slow target that nobody calls is never heard of.
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


def _play_failures(chooser, records, fails_by_node, start=0.0, seconds=10.0):
    """Attempts with the given chances to fail; returns them by node."""
    source = random.Random(4)
    peers = {node: _Peer(34, 0.05) for node in fails_by_node}
    # What fails at once looks fast and idle.
    for node, chance in fails_by_node.items():
        peers[node].load.service_s = 0.05 * (1.0 - 0.9 * chance)
    sent = collections.Counter()
    for step in range(int(50 * seconds)):
        now = start + 0.02 * step
        record = chooser.choose(records, peers, 0.3, now)
        sent[record.node] += 1
        failed = source.random() < fails_by_node[record.node]
        chooser.record_outcome(record.instance, failed, now)
    return sent


@pytest.mark.parametrize('chance', [0.45, 1.0])
def test_target_that_fails_at_once_does_not_draw_the_load(chooser, chance):
    # Grey failure: its health is good, and it answers before all others.
    records = _records('fd-a', 'fd-a', 'fd-a')
    sent = _play_failures(chooser, records, {'n0': 0, 'n1': 0, 'n2': chance})
    assert sent['n2'] < 0.12 * sum(sent.values())


def test_target_that_has_recovered_gets_its_share_again(chooser):
    records = _records('fd-a', 'fd-a', 'fd-a')
    _play_failures(chooser, records, {'n0': 0, 'n1': 0, 'n2': 1.0})
    fails = dict.fromkeys(('n0', 'n1', 'n2'), 0.0)
    _play_failures(chooser, records, fails, start=10.0, seconds=8.0)
    sent = _play_failures(chooser, records, fails, start=18.0)
    assert sent['n2'] > 0.25 * sum(sent.values())


def test_failures_of_all_targets_change_nothing(chooser):
    # Runs that fail for want of a service below fail everywhere.
    records = _records('fd-a', 'fd-b', 'fd-b')
    sent = _play_failures(chooser, records, {'n0': 0.5, 'n1': 0.5, 'n2': 0.5})
    assert sent['n0'] > 0.8 * sum(sent.values())


def test_targets_that_are_gone_are_forgotten(chooser):
    for number in range(1000):
        chooser.record_outcome(f'i-{number}', True, number * 1.0)
    assert len(chooser._failures_by_instance) < 100
