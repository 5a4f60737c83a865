"""Choice of target, backoff, spill-over and early refusal.

Guards against requests that leave their failure domain needlessly or stay
in one that sheds them, against attempts sent to failing or not yet warmed-up
targets, against unequal numbers of connections, and against early refusals
that are premature or last after the overload.
"""

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


def _receive_reply(balancer, target, now=0.0, **fields):
    balancer.record_sent(target, now)
    balancer.record_finished(target, 0.01, _reply(limit=10, **fields), now)


def _choices(balancer, targets, rank=0, now=0.0, count=400):
    chosen = collections.Counter()
    for _ in range(count):
        chosen[balancer.choose(targets, rank, set(), now).address] += 1
    return chosen


def test_local_failure_domain_is_chosen_while_it_has_capacity(balancer):
    local, remote = _target(1), _target(2, 'fd-b')
    assert _choices(balancer, (local, remote)) == {local.address: 400}


def test_less_loaded_of_two_targets_is_chosen(balancer):
    busy, idle = _target(1), _target(2)
    _receive_reply(balancer, busy, in_flight=7)
    _receive_reply(balancer, idle, in_flight=1)
    assert _choices(balancer, (busy, idle)) == {idle.address: 400}


def test_important_requests_spill_from_a_busy_domain_first(balancer):
    local, remote = _target(1), _target(2, 'fd-b')
    _receive_reply(balancer, local, in_flight=9)
    _receive_reply(balancer, remote, in_flight=7)
    assert balancer.choose((local, remote), 0, set(), 0.0) == remote
    assert balancer.choose((local, remote), 3, set(), 0.0) == local


def test_request_of_a_shed_rank_spills_to_another_domain(balancer):
    local, remote = _target(1), _target(2, 'fd-b')
    _receive_reply(
        balancer, local, in_flight=2, shed_rank=2, shed_fraction=1.0
    )
    _receive_reply(balancer, remote, in_flight=9)
    assert balancer.choose((local, remote), 3, set(), 0.0) == remote


@pytest.mark.parametrize(
    'reply', [None, _reply(results.Result.UPSTREAM_REFUSED.number)]
)
def test_backoff_from_a_failing_target_grows(balancer, reply):
    failing, healthy = _target(1), _target(2)
    for failures, now in ((1, 0.0), (2, 1.0)):
        balancer.record_sent(failing, now)
        balancer.record_finished(failing, 0.1, reply, now)
        just_before = now + 0.1 * 2 ** (failures - 1) - 0.01
        chosen = _choices(balancer, (failing, healthy), now=just_before)
        assert failing.address not in chosen
        assert failing.address in _choices(
            balancer, (failing, healthy), now=now + 0.5
        )


def test_new_target_gets_few_attempts_at_first():
    balancer = balancing.LocalFirst('fd-a', random.Random(3))
    warm, cold = _target(1), _target(2)
    balancer.choose((warm,), 0, set(), 0.0)
    _receive_reply(balancer, warm)
    early = _choices(balancer, (warm, cold), now=10.0)[cold.address]
    later = _choices(balancer, (warm, cold), now=13.0)[cold.address]
    assert 0 < early < later / 2


def test_new_incarnation_resets_the_backoff(balancer):
    target = _target(1)
    balancer.record_sent(target, 0.0)
    balancer.record_finished(target, 0.1, None, 0.0)
    restarted = attrs.evolve(target, incarnation=2)
    other = _target(2)
    assert restarted.address in _choices(balancer, (restarted, other))


def test_subset_is_limited_and_stable(balancer):
    targets = tuple(_target(n) for n in range(200))
    chosen = set(_choices(balancer, targets, count=2000))
    assert len(chosen) == balancer.subset_size
    fewer = tuple(t for t in targets if t.address not in list(chosen)[:1])
    unchanged = set(_choices(balancer, fewer, count=2000)) & chosen
    assert len(unchanged) == balancer.subset_size - 1


def test_connections_are_spread_over_the_targets():
    targets = tuple(_target(n) for n in range(40))
    connections = collections.Counter()
    for seed in range(100):
        entry = balancing.LocalFirst(
            'fd-a', random.Random(seed), subset_size=8, cold_s=0.0
        )
        connections.update(set(_choices(entry, targets, count=400)))
    # Mean of 100 * 8 / 40 = 20 connections.
    assert max(connections.values()) <= 40


def test_request_is_refused_early_only_if_all_targets_shed_it():
    balancer = balancing.LocalFirst('fd-a', random.Random(3), probe_share=0)
    first, second = _target(1), _target(2)
    _receive_reply(balancer, first, shed_rank=1, shed_fraction=0.5)
    assert balancer.shed_retry_after_s('previews', 2, 0.0, 0.0) > 0
    assert balancer.shed_retry_after_s('previews', 1, 0.6, 0.0) > 0
    assert balancer.shed_retry_after_s('previews', 1, 0.4, 0.0) == 0
    _receive_reply(balancer, second, shed_rank=2, shed_fraction=0.5)
    assert balancer.shed_retry_after_s('previews', 1, 0.6, 0.0) == 0
    assert balancer.shed_retry_after_s('previews', 2, 0.6, 0.0) > 0


def test_level_expires_and_is_probed(balancer):
    _receive_reply(balancer, _target(1), shed_rank=0, shed_fraction=1.0)
    assert balancer.shed_retry_after_s('previews', 0, 0.0, 1.5) == 0
    probes = sum(
        balancer.shed_retry_after_s('previews', 0, 0.0, 0.5) == 0
        for _ in range(4000)
    )
    assert 0 < probes < 80
