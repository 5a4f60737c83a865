"""Deadlines, limit, shedding level and recovery of adaptive admission.

Guards against queued attempts that new ones overtake or that wait past their
deadlines, against a lasting refusal after a wrong estimate or report, and
against a shedding level that stays after the overload.
"""

import pytest

from rosemarycrank import admission
from rosemarycrank import results

COMPLETE_SAMPLE = admission.Sample(0.02, True)


def _ticket(name, rank=0, shed_hash=0.5, deadline=100.0):
    return admission.Ticket(name, rank, shed_hash, deadline)


@pytest.fixture
def controller():
    return admission.AdaptiveLimit(
        initial_limit=4, max_limit=4, goodput_weight=1.0, min_queue=1
    )


@pytest.fixture
def full_controller(controller):
    for number in range(4):
        controller.offer(_ticket(f'r{number}'), 0.0)
    return controller


def test_queued_tickets_get_the_slots_of_a_higher_limit_first(full_controller):
    full_controller.record_upstream_report(9, 4, False, 0.0)
    assert full_controller.load(0.0).limit == 3
    for number in range(3):
        full_controller.offer(_ticket(f'q{number}', rank=1), 0.0)
    # The report has expired, so the limit is no longer reduced.
    offered_later = full_controller.offer(_ticket('late', rank=2), 9.0)
    assert offered_later.verdict is admission.Verdict.REFUSE
    admitted = full_controller.release(_ticket('r0'), COMPLETE_SAMPLE, 9.0)
    assert [t.attempt_id for t in admitted] == ['q0']


def test_deadline_shorter_than_the_service_time_is_refused(controller):
    for number in range(50):
        ticket = _ticket(f'a{number}')
        controller.offer(ticket, 0.0)
        controller.release(ticket, COMPLETE_SAMPLE, 0.0)
    decision = controller.offer(_ticket('short', deadline=0.005), 0.0)
    assert decision.result is results.Result.DEADLINE_TOO_SHORT
    # The estimate decays without new samples, so refusals do not last.
    later = controller.offer(_ticket('later', deadline=5.005), 5.0)
    assert later.verdict is admission.Verdict.ADMIT


def test_queued_ticket_expires_once_when_its_deadline_is_too_near(
    full_controller,
):
    full_controller.offer(_ticket('waits', deadline=1.0), 0.0)
    assert full_controller.expire(0.5) == []
    assert [t.attempt_id for t in full_controller.expire(1.0)] == ['waits']
    assert full_controller.expire(1.0) == []


def test_report_alone_lowers_the_limit_by_a_tenth_at_most(controller):
    controller.start_cold(100, 0.0)
    limit_without_report = controller.load(2.5).limit
    controller.record_upstream_report(10_000, 1, False, 2.5)
    assert controller.load(2.5).limit >= 0.9 * limit_without_report - 1


def test_cold_upstream_starts_with_a_low_limit(controller):
    controller.start_cold(100, 0.0)
    assert controller.load(0.0).limit == 10


def test_level_sheds_the_least_important_and_recovers(full_controller):
    running = [_ticket(f'r{number}') for number in range(4)]
    now = 0.0
    for step in range(400):
        now = step * 0.002
        ticket = _ticket(f's{step}', step % 4, (step * 7 % 32) / 32)
        decision = full_controller.offer(ticket, now)
        if decision.verdict is admission.Verdict.ADMIT:
            running.append(ticket)
        # The upstream finishes attempts at half the rate of demand.
        if step % 2 and running:
            running += full_controller.release(
                running.pop(0), COMPLETE_SAMPLE, now
            )
    level = full_controller.shed_level(now)
    assert level.sheds(3, 0.9) and not level.sheds(0, 0.0)
    assert full_controller.retry_after_s(now) > 0.5
    assert not full_controller.shed_level(now + 2.0).sheds(3, 0.99)
