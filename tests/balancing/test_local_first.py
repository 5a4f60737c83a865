"""Choice of target, avoidance, spilling and early refusal."""

import collections
import random

import attrs
import pytest

from rosemarycrank import balancing
from rosemarycrank import messages
from rosemarycrank import results

OK = results.Result.OK.number


def _target(number, domain='fd-a', incarnation=1):
    return balancing.Target(
        address=f'127.0.0.1:{number}',
        incarnation=incarnation,
        service='previews',
        failure_domain=domain,
        slots=10,
    )


def _reply(result=OK, **fields):
    return messages.AttemptReply('a', result, 1, 0.0, **fields)


@pytest.fixture
def balancer():
    return balancing.LocalFirst('fd-a', random.Random(3), cold_s=0.0)


def _hear(balancer, target, now=0.0, **fields):
    balancer.record_sent(target, now)
    balancer.record_finished(target, 0.01, _reply(limit=10, **fields), now)


def _choices(balancer, targets, rank=0, now=0.0, count=400):
    chosen = collections.Counter()
    for _ in range(count):
        chosen[balancer.choose(targets, rank, set(), now).address] += 1
    return chosen


def test_own_failure_domain_is_chosen_while_it_has_capacity(balancer):
    own, other = _target(1), _target(2, 'fd-b')
    assert _choices(balancer, (own, other)) == {own.address: 400}


def test_less_loaded_of_two_targets_is_chosen(balancer):
    busy, idle = _target(1), _target(2)
    _hear(balancer, busy, in_flight=7)
    _hear(balancer, idle, in_flight=1)
    assert _choices(balancer, (busy, idle)) == {idle.address: 400}


def test_important_requests_leave_a_busy_domain_first(balancer):
    own, other = _target(1), _target(2, 'fd-b')
    _hear(balancer, own, in_flight=9)
    _hear(balancer, other, in_flight=7)
    assert balancer.choose((own, other), 0, set(), 0.0) == other
    assert balancer.choose((own, other), 3, set(), 0.0) == own


def test_shed_rank_leaves_its_domain(balancer):
    own, other = _target(1), _target(2, 'fd-b')
    _hear(balancer, own, in_flight=2, shed_rank=2, shed_fraction=1.0)
    _hear(balancer, other, in_flight=9)
    assert balancer.choose((own, other), 3, set(), 0.0) == other


@pytest.mark.parametrize(
    'reply', [None, _reply(results.Result.UPSTREAM_REFUSED.number)]
)
def test_failing_target_is_avoided_for_a_growing_time(balancer, reply):
    bad, good = _target(1), _target(2)
    for failures, now in ((1, 0.0), (2, 1.0)):
        balancer.record_sent(bad, now)
        balancer.record_finished(bad, 0.1, reply, now)
        just_before = now + 0.1 * 2 ** (failures - 1) - 0.01
        chosen = _choices(balancer, (bad, good), now=just_before)
        assert bad.address not in chosen
        assert bad.address in _choices(balancer, (bad, good), now=now + 0.5)


def test_cold_target_gets_little_at_first():
    balancer = balancing.LocalFirst('fd-a', random.Random(3))
    warm, cold = _target(1), _target(2)
    balancer.choose((warm,), 0, set(), 0.0)
    _hear(balancer, warm)
    early = _choices(balancer, (warm, cold), now=10.0)[cold.address]
    later = _choices(balancer, (warm, cold), now=13.0)[cold.address]
    assert 0 < early < later / 2


def test_new_incarnation_starts_anew(balancer):
    target = _target(1)
    balancer.record_sent(target, 0.0)
    balancer.record_finished(target, 0.1, None, 0.0)
    renewed = attrs.evolve(target, incarnation=2)
    other = _target(2)
    assert renewed.address in _choices(balancer, (renewed, other))


def test_subset_is_bounded_and_keeps_its_members(balancer):
    targets = tuple(_target(n) for n in range(200))
    chosen = set(_choices(balancer, targets, count=2000))
    assert len(chosen) == balancer.subset_size
    fewer = tuple(t for t in targets if t.address not in list(chosen)[:1])
    kept = set(_choices(balancer, fewer, count=2000)) & chosen
    assert len(kept) == balancer.subset_size - 1


def test_connections_of_targets_are_shared_evenly():
    targets = tuple(_target(n) for n in range(40))
    callers = collections.Counter()
    for seed in range(100):
        entry = balancing.LocalFirst(
            'fd-a', random.Random(seed), subset_size=8, cold_s=0.0
        )
        callers.update(set(_choices(entry, targets, count=400)))
    # Mean of 100 * 8 / 40 = 20 connections.
    assert max(callers.values()) <= 40


def test_request_is_shed_early_only_if_all_targets_shed_it():
    balancer = balancing.LocalFirst('fd-a', random.Random(3), probe_share=0)
    first, second = _target(1), _target(2)
    _hear(balancer, first, shed_rank=1, shed_fraction=0.5)
    assert balancer.shed_retry_after_s('previews', 2, 0.0, 0.0) > 0
    assert balancer.shed_retry_after_s('previews', 1, 0.6, 0.0) > 0
    assert balancer.shed_retry_after_s('previews', 1, 0.4, 0.0) == 0
    _hear(balancer, second, shed_rank=2, shed_fraction=0.5)
    assert balancer.shed_retry_after_s('previews', 1, 0.6, 0.0) == 0
    assert balancer.shed_retry_after_s('previews', 2, 0.6, 0.0) > 0


def test_level_is_forgotten_and_probed(balancer):
    _hear(balancer, _target(1), shed_rank=0, shed_fraction=1.0)
    assert balancer.shed_retry_after_s('previews', 0, 0.0, 1.5) == 0
    probes = sum(
        balancer.shed_retry_after_s('previews', 0, 0.0, 0.5) == 0
        for _ in range(4000)
    )
    assert 0 < probes < 80
