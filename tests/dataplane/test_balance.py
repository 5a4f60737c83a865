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
            record = chooser.choose(records, peers, 0.3)
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
        chooser.choose(records, {}, 0.5).node for _ in range(600 * count)
    }
    assert len(chosen) == count
