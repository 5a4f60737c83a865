"""Admission, queueing and runs of attempts at the local target."""

import logging

import pytest

from rosemarycrank.dataplane import _callers
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _pauses
from rosemarycrank.dataplane import _rank_waits
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

#: Time for which the target serves after it announced its leaving, in
#: seconds.
DRAIN_S = 2.0


@pytest.fixture
def side(make_side):
    return make_side(slots=2, drain_s=DRAIN_S)


@pytest.fixture
def results():
    return []


@pytest.fixture
def caller(side, results):
    caller = side.callers.get(77)
    caller.send = results.append
    return caller


def _complete(body=b'ok'):
    return _upstream.Answer(_frames.Outcome.COMPLETE, 0, 200, b'', body)


def _restore(side, caller, send):
    side.restore_caller(caller, 'n2', send, lambda _number: None)


def _end_turn(side):
    """Let the target side do what it does at the end of a turn."""
    side.reactor.run(0.0)


def _reasons(results):
    return [_frames.Reason(r.reason).name for r in results]


def test_attempt_is_fenced_to_the_target(side, caller, pool):
    side.accept(caller, fakes.attempt())
    data = pool.calls[0].data
    assert b'\r\nrosemarycrank-expected-instance: i-n1\r\n' in data
    assert b'\r\nrosemarycrank-deadline-ms: 1000\r\n' in data


def test_deadline_shrinks_while_an_attempt_waits(side, caller, pool, reactor):
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2))
    reactor.run(0.3)
    pool.calls[0].on_answer(_complete())
    assert b'rosemarycrank-deadline-ms: 700\r\n' in pool.calls[1].data


def test_the_same_attempt_runs_once(side, caller, pool, results):
    for _ in range(3):
        side.accept(caller, fakes.attempt())
    assert len(pool.calls) == 1
    pool.calls[0].on_answer(_complete())
    _end_turn(side)
    side.accept(caller, fakes.attempt())
    assert len(pool.calls) == 1
    _end_turn(side)
    assert [r.body for r in results] == [b'ok', b'ok']


def test_discarded_attempt_is_unknown_and_does_not_run_again(
    side, caller, pool, results
):
    side.accept(caller, fakes.attempt())
    pool.calls[0].on_answer(_complete())
    caller.discard_results_before(2)
    side.accept(caller, fakes.attempt())
    assert len(pool.calls) == 1
    _end_turn(side)
    assert results[-1].outcome == _frames.Outcome.UNKNOWN


def test_most_urgent_attempt_starts_first(side, caller, pool):
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2, soft_deadline_ms=900))
    side.accept(caller, fakes.attempt(3, soft_deadline_ms=100))
    pool.calls[0].on_answer(_complete())
    assert pool.calls[1].request_id == b'r3'


@pytest.mark.parametrize(
    'record, reason',
    [
        (fakes.record(instance='i-other', born_ms=2000), 'OTHER_TARGET'),
        (fakes.record(state='draining', sequence=2), 'LEAVING'),
        (fakes.record(state='gone', sequence=2), 'LEAVING'),
    ],
)
def test_attempt_for_an_unavailable_target_is_not_run(
    side, caller, pool, results, record, reason
):
    side.update_record(record)
    side.accept(caller, fakes.attempt())
    _end_turn(side)
    assert _reasons(results) == [reason]
    assert results[0].outcome == _frames.Outcome.NOT_RUN
    assert pool.calls == []


def test_nothing_runs_before_the_target_announced_itself(
    reactor, pool, results
):
    # A node that has just started has no record of its target, which may
    # have announced that it is leaving.
    side = _target.TargetSide(
        reactor,
        pool,
        _names.HeaderNames(),
        _counters.Counters(),
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
    )
    caller = side.callers.get(1)
    caller.send = results.append
    side.accept(caller, fakes.attempt())
    _end_turn(side)
    assert _reasons(results) == ['NOT_ANNOUNCED']


def test_queued_attempt_at_a_leaving_target_ends_as_not_run(
    side, caller, pool, results, reactor
):
    side.accept(caller, fakes.attempt(1, remaining_ms=9000))
    side.accept(caller, fakes.attempt(2, remaining_ms=9000))
    side.update_record(fakes.record(slots=2, state='draining', sequence=2))
    reactor.run(DRAIN_S - _upstream.CONNECT_TIMEOUT_S)
    assert _reasons(results) == ['LEAVING']
    assert results[0].number == 2


def test_cancelled_attempt_in_the_queue_does_not_start(side, caller, pool):
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2))
    side.cancel(caller, 2)
    pool.calls[0].on_answer(_complete())
    assert len(pool.calls) == 1


def test_cancel_of_a_running_attempt_reaches_the_target(side, caller, pool):
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2))
    side.cancel(caller, 1)
    _end_turn(side)
    assert pool.calls[0].aborted
    assert pool.calls[1].request_id == b'r2'


# Guards against requests that are sent on although their client has left: as
# its first one was cancelled, the next ones took the slot one by one.
def test_attempts_cancelled_together_do_not_start(side, caller, pool):
    numbers = range(1, 6)
    for number in numbers:
        side.accept(caller, fakes.attempt(number))
    for number in numbers:
        side.cancel(caller, number)
    _end_turn(side)
    assert [call.request_id for call in pool.calls] == [b'r1']


# Guards against attempts that are sent on long after their cancellation: a
# node that had been paused read both and started the first at once.
def test_attempt_cancelled_during_a_pause_does_not_start(
    side, caller, pool, reactor
):
    reactor.timers.now += 0.8
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2))
    side.cancel(caller, 1)
    reactor.run(2 * _pauses.SETTLE_S)
    assert [call.request_id for call in pool.calls] == [b'r2']


def test_attempts_start_at_once_without_a_pause(side, caller, pool, reactor):
    reactor.run(1.0)
    side.accept(caller, fakes.attempt(1))
    assert len(pool.calls) == 1


def test_attempts_of_a_node_that_does_not_reconnect_are_cancelled(
    side, caller, pool, reactor
):
    side.accept(caller, fakes.attempt(remaining_ms=9000))
    side.callers.lose(caller, 'n2')
    reactor.run(_callers.CALLER_RECONNECT_TIMEOUT_S - 0.2)
    assert not pool.calls[0].aborted
    reactor.run(0.5)
    assert pool.calls[0].aborted


def test_lost_connection_of_a_calling_node_is_logged_with_its_attempts(
    side, caller, caplog
):
    for number in (1, 2, 3):
        side.accept(caller, fakes.attempt(number))
    with caplog.at_level(logging.INFO):
        side.callers.lose(caller, 'n2')
        _restore(side, caller, lambda _result: None)
    lines = [(r.event, r.unfinished) for r in caplog.records]
    assert lines == [('caller_lost', 3), ('caller_connected', 3)]


def test_attempt_past_its_deadline_is_aborted_at_the_target(
    side, caller, pool, results, reactor
):
    side.accept(caller, fakes.attempt(remaining_ms=200))
    reactor.run(0.4)
    assert pool.calls[0].aborted
    (result,) = results
    assert result.outcome == _frames.Outcome.UNKNOWN
    assert result.reason == _frames.Reason.DEADLINE


def test_attempt_that_cannot_finish_in_time_does_not_start(
    side, caller, pool, results, reactor
):
    for _ in range(3):
        side.limit.observe('read', 0.2, True)
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2, remaining_ms=500))
    reactor.run(0.45)
    assert _reasons(results) == ['QUEUE_EXPIRED']
    assert results[0].outcome == _frames.Outcome.NOT_RUN


def test_attempt_that_would_wait_too_long_is_refused_at_once(
    side, caller, results
):
    side.limit.service_s = 0.5
    for number in range(1, 5):
        side.accept(caller, fakes.attempt(number))
    _end_turn(side)
    assert _reasons(results) == ['QUEUE_FULL']


@pytest.mark.parametrize('outcome', ['NOT_RUN', 'UNKNOWN'])
def test_outcome_of_a_failed_call_is_passed_on(
    side, caller, pool, results, outcome
):
    side.accept(caller, fakes.attempt())
    pool.calls[0].on_answer(
        _upstream.Answer(_frames.Outcome[outcome], _frames.Reason.ANSWER_LOST)
    )
    _end_turn(side)
    assert results[0].outcome == _frames.Outcome[outcome]


def test_each_result_carries_the_load(side, caller, pool, results):
    for number in range(1, 4):
        side.accept(caller, fakes.attempt(number))
    pool.calls[0].on_answer(_complete())
    _end_turn(side)
    assert results[0].load.waiting == 2
    assert results[0].load.limit == 1


def test_attempt_resent_after_a_late_reconnection_does_not_run_again(
    side, caller, pool, results, reactor
):
    side.accept(caller, fakes.attempt(remaining_ms=9000, idempotent=False))
    side.callers.lose(caller, 'n2')
    reactor.run(_callers.CALLER_RECONNECT_TIMEOUT_S + 1.0)
    reconnected = side.callers.get(caller.incarnation)
    _restore(side, reconnected, results.append)
    side.accept(
        reconnected, fakes.attempt(remaining_ms=6000, idempotent=False)
    )
    assert len(pool.calls) == 1
    _end_turn(side)
    assert [r.outcome for r in results] == [_frames.Outcome.UNKNOWN]


def test_idle_target_takes_work_after_a_slow_time(side, caller, pool):
    # After a period of long runs, an idle target must still accept work:
    # without runs, the estimated run time would never fall again.
    for _ in range(200):
        side.limit.observe('read', 3.0, True)
    side.accept(caller, fakes.attempt(remaining_ms=1000))
    assert len(pool.calls) == 1


def test_what_waits_is_judged_by_the_fast_runs(
    side, caller, pool, results, reactor
):
    # The least time of a run follows the fast runs. If it followed the usual
    # time, queued attempts that can still finish in time would be dropped.
    for step in range(200):
        side.limit.observe('read', 0.1 if step % 4 == 0 else 0.8, True)
    side.accept(caller, fakes.attempt(1, remaining_ms=9000))
    side.accept(caller, fakes.attempt(2, remaining_ms=3000))
    reactor.run(2.4)
    pool.calls[0].on_answer(_complete())
    assert len(pool.calls) == 2


def test_attempts_of_high_rank_overtake_others_in_the_queue(
    side, caller, pool
):
    # At an overloaded leaf service, an important request must not wait
    # behind less important ones that arrived before it.
    side.accept(caller, fakes.attempt(1))
    for number in range(2, 8):
        side.accept(caller, fakes.attempt(number, rank=2.0))
    side.accept(caller, fakes.attempt(8, rank=0.0))
    pool.calls[0].on_answer(_complete())
    assert pool.calls[-1].request_id == b'r8'


def test_attempt_is_not_refused_because_of_lower_ranks_in_the_queue(
    side, caller, results
):
    side.limit.service_s = 0.3
    for number in range(1, 6):
        side.accept(caller, fakes.attempt(number, rank=2.0))
    side.accept(caller, fakes.attempt(6, rank=0.0))
    _end_turn(side)
    assert [r.number for r in results] == [5]


def test_attempt_of_low_rank_is_not_starved_by_higher_ranks(
    side, caller, pool, reactor
):
    side.accept(caller, fakes.attempt(1, remaining_ms=9000))
    side.accept(caller, fakes.attempt(2, remaining_ms=9000, rank=2.0))
    reactor.run(2 * _rank_waits.MAX_RANK_DELAY_S + 0.1)
    side.accept(caller, fakes.attempt(3, remaining_ms=9000, rank=0.0))
    pool.calls[0].on_answer(_complete())
    assert pool.calls[-1].request_id == b'r2'


# Guards against reports about a calm service, and against a burst that meets
# nodes that admit twice as much as was worked out.
@pytest.mark.parametrize('admitted_per_s', [100.0, 50.0])
def test_more_than_worked_out_is_admitted_only_while_requests_are_shed(
    side, caller, reactor, admitted_per_s
):
    for tenth in range(30):
        demand = _frames.Demand(100.0, admitted_per_s)
        side.demand.receive('n1', demand, reactor.now())
        side.accept(caller, fakes.attempt(tenth + 1, rank=1.0))
        side.cancel(caller, tenth + 1)
        reactor.run(0.1)
    factors = side.load().factor_by_rank
    if admitted_per_s < 100.0:
        assert factors[1] > 1.3
    else:
        assert factors == {}


# Guards against attempts that are refused although the queue is short, since
# cancelled ones in front of them are counted.
def test_cancelled_attempts_do_not_count_as_ahead_in_the_queue(
    side, caller, results, reactor
):
    side.limit.value = 1
    side.limit.observe('read', 0.1, True)
    for number in range(1, 81):
        side.accept(caller, fakes.attempt(number, remaining_ms=60000))
    for number in range(3, 81):
        side.cancel(caller, number)
    assert side.load().waiting == 1
    side.accept(caller, fakes.attempt(81, remaining_ms=1500))
    _end_turn(side)
    assert not results
    assert side.load().waiting == 2


# Guards against a request that is reported as not run although it has run, as
# it is sent again when there is no memory to read it.
def test_attempt_that_is_not_read_is_refused_unless_it_is_known(
    make_side, pool
):
    side = make_side(slots=4)
    results = []
    caller = side.callers.get(7)
    caller.send = results.append
    side.accept(caller, fakes.attempt(1))
    side.accept(caller, fakes.attempt(2))
    pool.calls[0].on_answer(_upstream.Answer(0, 0, 200))
    _end_turn(side)
    for number in (1, 2, 3):
        side.refuse_unread(caller, number)
    _end_turn(side)
    caller.discard_results_before(3)
    side.refuse_unread(caller, 1)
    _end_turn(side)
    assert [(r.number, _frames.Outcome(r.outcome).name) for r in results] == [
        (1, 'COMPLETE'),
        (1, 'COMPLETE'),
        (3, 'NOT_RUN'),
        (1, 'UNKNOWN'),
    ]
