"""Adaptive admission: deadlines, limit, level and recovery."""

import pytest

from rosemarycrank import admission
from rosemarycrank import results

WHOLE = admission.Sample(0.02, True)


def _ticket(name, rank=0, shed_hash=0.5, deadline=100.0):
    return admission.Ticket(name, rank, shed_hash, deadline)


@pytest.fixture
def controller():
    return admission.AdaptiveLimit(
        initial_limit=4, max_limit=4, goodput_weight=1.0, min_queue=1
    )


@pytest.fixture
def full(controller):
    for number in range(4):
        controller.offer(_ticket(f'r{number}'), 0.0)
    return controller


def test_limit_that_rises_while_tickets_wait_serves_them_first(full):
    full.record_upstream_report(9, 4, False, 0.0)
    assert full.load(0.0).limit == 3
    for number in range(3):
        full.offer(_ticket(f'q{number}', rank=1), 0.0)
    # The report is forgotten, and with it the lower limit.
    late = full.offer(_ticket('late', rank=2), 9.0)
    assert late.verdict is admission.Verdict.REFUSE
    admitted = full.release(_ticket('r0'), WHOLE, 9.0)
    assert [t.attempt_id for t in admitted] == ['q0']


def test_deadline_shorter_than_the_service_time_is_refused(controller):
    for number in range(50):
        ticket = _ticket(f'a{number}')
        controller.offer(ticket, 0.0)
        controller.release(ticket, WHOLE, 0.0)
    decision = controller.offer(_ticket('short', deadline=0.005), 0.0)
    assert decision.result is results.Result.DEADLINE_TOO_SHORT
    # An estimate that nothing confirms fades, so it can't last.
    later = controller.offer(_ticket('later', deadline=5.005), 5.0)
    assert later.verdict is admission.Verdict.ADMIT


def test_queued_ticket_expires_while_it_can_still_be_refused(full):
    full.offer(_ticket('waits', deadline=1.0), 0.0)
    assert full.expire(0.5) == []
    assert [t.attempt_id for t in full.expire(1.0)] == ['waits']
    assert full.expire(1.0) == []


def test_report_alone_lowers_the_limit_by_a_tenth_at_most(controller):
    controller.start_cold(100, 0.0)
    honest = controller.load(2.5).limit
    controller.record_upstream_report(10_000, 1, False, 2.5)
    assert controller.load(2.5).limit >= 0.9 * honest - 1


def test_cold_upstream_starts_low(controller):
    controller.start_cold(100, 0.0)
    assert controller.load(0.0).limit == 10


def test_level_sheds_the_least_important_and_recovers(full):
    running = [_ticket(f'r{number}') for number in range(4)]
    now = 0.0
    for step in range(400):
        now = step * 0.002
        ticket = _ticket(f's{step}', step % 4, (step * 7 % 32) / 32)
        decision = full.offer(ticket, now)
        if decision.verdict is admission.Verdict.ADMIT:
            running.append(ticket)
        # Half of the demand can be served.
        if step % 2 and running:
            running += full.release(running.pop(0), WHOLE, now)
    level = full.shed_level(now)
    assert level.sheds(3, 0.9) and not level.sheds(0, 0.0)
    assert full.retry_after_s(now) > 0.5
    assert not full.shed_level(now + 2.0).sheds(3, 0.99)
