"""Checks of every registered admission, balancing and retry plug-in.

Guards against a plug-in that breaks the contract of its base class, for
example by losing a ticket, choosing an excluded target or refusing the first
retry.
"""

import inspect
import random

import pytest

from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import retry

KINDS = {
    'admission': admission.AdmissionController,
    'balancing': balancing.Balancer,
    'retry': retry.RetryBudget,
}
PLUGINS = [
    (kind, name)
    for kind in sorted(KINDS)
    for name in kernel.plugin_names(kind)
]
BALANCERS = kernel.plugin_names('balancing')
CONTROLLERS = kernel.plugin_names('admission')
REQUIRED = {'failure_domain': 'fd-a', 'random': random.Random(1)}


def _create(kind, name):
    required = REQUIRED if kind == 'balancing' else {}
    return kernel.create(kind, name, **required)


def _targets(count):
    return tuple(
        balancing.Target(
            address=f'127.0.0.1:{number}',
            incarnation=number,
            service='previews',
            failure_domain=f'fd-{"ab"[number % 2]}',
            slots=4,
        )
        for number in range(count)
    )


def _reply(**fields):
    return messages.AttemptReply('a', 100, 1, 0.0, **fields)


@pytest.mark.parametrize('kind, name', PLUGINS)
def test_plugin_derives_from_the_base_class_of_its_kind(kind, name):
    assert issubclass(kernel.plugin_classes(kind)[name], KINDS[kind])


@pytest.mark.parametrize('kind, name', PLUGINS)
def test_parameters_are_stored_unchanged(kind, name):
    plugin = _create(kind, name)
    parameters = inspect.signature(type(plugin)).parameters.values()
    for parameter in parameters:
        expected = REQUIRED.get(parameter.name, parameter.default)
        assert getattr(plugin, parameter.name) == expected


@pytest.mark.parametrize('name', CONTROLLERS)
def test_every_ticket_finishes_once_and_load_returns_to_zero(name):
    random_source = random.Random(7)
    controller = _create('admission', name)
    running, queued, finished = [], {}, []
    now = 0.0
    for number in range(3000):
        now += random_source.expovariate(500)
        ticket = admission.Ticket(
            f'a{number}',
            random_source.randrange(4),
            random_source.random(),
            now + 0.5,
        )
        decision = controller.offer(ticket, now)
        if decision.verdict is admission.Verdict.ADMIT:
            running.append(ticket)
        elif decision.verdict is admission.Verdict.QUEUE:
            queued[ticket.attempt_id] = ticket
        else:
            assert decision.result is not None
            finished.append(ticket)
        for displaced in decision.displaced:
            finished.append(queued.pop(displaced.attempt_id))
        if running and random_source.random() < 0.6:
            finished.append(running.pop(random_source.randrange(len(running))))
            sample = admission.Sample(0.02, random_source.random() < 0.9)
            for waiting in controller.release(finished[-1], sample, now):
                running.append(queued.pop(waiting.attempt_id))
        for expired in controller.expire(now):
            finished.append(queued.pop(expired.attempt_id))
    while running:
        ticket = running.pop()
        finished.append(ticket)
        sample = admission.Sample(0.02, True)
        for waiting in controller.release(ticket, sample, now):
            running.append(queued.pop(waiting.attempt_id))
    for expired in controller.expire(now):
        finished.append(queued.pop(expired.attempt_id))
    assert not queued
    assert sorted(t.attempt_id for t in finished) == sorted(
        f'a{number}' for number in range(3000)
    )
    load = controller.load(now)
    assert (load.in_flight, load.queued) == (0, 0)


@pytest.mark.parametrize('name', CONTROLLERS)
def test_idle_controller_sheds_nothing(name):
    controller = _create('admission', name)
    assert not controller.shed_level(5.0).sheds(1 << 20, 0.999)
    assert controller.retry_after_s(5.0) > 0.0
    assert controller.service_time_s(5.0) == 0.0


@pytest.mark.parametrize('name', BALANCERS)
def test_choice_is_a_candidate_that_is_not_excluded(name):
    balancer = _create('balancing', name)
    candidates = _targets(6)
    excluded = {candidates[0].address, candidates[3].address}
    for step in range(200):
        now = step * 0.01
        choice = balancer.choose(candidates, step % 4, excluded, now)
        assert choice in candidates and choice.address not in excluded
        balancer.record_sent(choice, now)
        reply = _reply(in_flight=3, limit=4) if step % 3 else None
        balancer.record_finished(choice, 0.005, reply, now)


@pytest.mark.parametrize('name', BALANCERS)
def test_choice_is_none_when_all_candidates_are_excluded(name):
    balancer = _create('balancing', name)
    candidates = _targets(2)
    all_addresses = {target.address for target in candidates}
    assert balancer.choose(candidates, 0, all_addresses, 0.0) is None
    assert balancer.choose((), 0, set(), 0.0) is None


@pytest.mark.parametrize('name', BALANCERS)
def test_only_target_is_chosen_even_after_failures(name):
    balancer = _create('balancing', name)
    (target,) = _targets(1)
    for _ in range(5):
        assert balancer.choose((target,), 0, set(), 1.0) is target
        balancer.record_sent(target, 1.0)
        balancer.record_finished(target, 0.1, None, 1.0)


@pytest.mark.parametrize('name', BALANCERS)
def test_service_without_replies_is_not_shed(name):
    balancer = _create('balancing', name)
    assert balancer.shed_retry_after_s('previews', 9, 0.99, 0.0) == 0.0


@pytest.mark.parametrize('name', kernel.plugin_names('retry'))
def test_first_retry_is_permitted(name):
    budget = _create('retry', name)
    budget.deposit('previews', 1.0)
    assert budget.spend('previews', 1.0)
