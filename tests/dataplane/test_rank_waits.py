"""Correction of admission by the waits of calls at a full target."""

import attrs
import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _pressure
from rosemarycrank.dataplane import _rank_waits
from tests.dataplane import fakes

#: Latency goal of the calls, and a wait that is far too long, in seconds.
GOAL_S = 0.3
LONG_WAIT_S = 1.0


@attrs.define(eq=False)
class _Job:
    attempt: object
    arrived_at: float


@pytest.fixture
def waits():
    return _rank_waits.RankWaits()


def _waiting(rank, arrived_at):
    attempt = fakes.attempt(rank=rank, soft_deadline_ms=int(GOAL_S * 1000))
    return _Job(attempt, arrived_at)


def _update(
    waits, seconds, ranks=(), wait_s=LONG_WAIT_S, may_admit_more=False
):
    """Let calls of some ranks wait, for a time."""
    for tenth in range(int(seconds * 10)):
        now = 10.0 + tenth / 10.0
        jobs = [_waiting(rank, now - wait_s) for rank in ranks]
        waits.update(now, jobs, may_admit_more)


# Guards against important requests of which two in a hundred are refused
# though nothing waits.
def test_all_requests_are_admitted_while_no_calls_wait(waits):
    waits.record_start(0.0)
    for _ in range(20):
        _update(waits, 0.1)
        assert waits.factors() == {}


# Guards against requests that are admitted although all of their calls expire
# behind those of more important ones.
def test_fewer_requests_are_admitted_while_their_calls_wait(waits):
    _update(waits, 3.0, [2.0])
    factors = waits.factors()
    assert list(factors) == [2]
    assert factors[2] < 0.4


# Guards against important requests that are refused while less important ones,
# whose calls may wait for longer, are admitted.
def test_less_important_ranks_are_admitted_less_first(waits):
    waits.record_start(2.0)
    _update(waits, 2.0, [1.0])
    factors = waits.factors()
    assert list(factors) == [2]
    _update(waits, 10.0, [1.0])
    assert waits.factors()[1] < 0.5


def test_short_waits_change_nothing(waits):
    _update(waits, 5.0, [0.0, 2.0], wait_s=0.02)
    assert waits.factors() == {}


def test_more_requests_are_admitted_once_their_calls_do_not_wait(waits):
    _update(waits, 3.0, [2.0])
    lowest = waits.factors()[2]
    _update(waits, 1.0)
    assert waits.factors()[2] > lowest
    _update(waits, 10.0)
    assert waits.factors() == {}


# Guards against slots that stay free, as costs were estimated too high.
def test_more_requests_than_worked_out_are_admitted_to_free_slots(waits):
    waits.record_start(2.0)
    _update(waits, 3.0, may_admit_more=True)
    assert waits.factors()[2] > 1.3
    _update(waits, 60.0, may_admit_more=True)
    assert waits.factors()[2] == _rank_waits.MAX_FACTOR
    _update(waits, 10.0, may_admit_more=False)
    assert waits.factors() == {}


# Guards against a rank that is not admitted at all any more, and whose calls
# then cannot show that there is room again.
def test_some_requests_are_always_admitted(waits):
    _update(waits, 60.0, [2.0])
    assert waits.factors()[2] >= _rank_waits.MIN_FACTOR > 0.0


def test_refused_calls_count_as_waiting(waits):
    for _ in range(20):
        waits.record_refusal(2.0)
        _update(waits, 0.1)
    assert waits.factors()[2] < 0.6


# Guards against important requests that fail as their calls wait among those
# of others.
def test_ranks_count_for_more_while_the_most_important_calls_wait(waits):
    waits.record_start(0.0)
    _update(waits, 1.0, [2.0])
    assert waits.rank_delay_s == _rank_waits.MIN_RANK_DELAY_S
    _update(waits, 3.0, [0.0, 2.0])
    assert waits.rank_delay_s == _rank_waits.MAX_RANK_DELAY_S
    _update(waits, 60.0, [2.0])
    assert waits.rank_delay_s == _rank_waits.MIN_RANK_DELAY_S


def test_factors_of_several_targets_are_averaged():
    pressure = _pressure.ServicePressure()
    for node, factors in (('n1', {2: 0.4}), ('n2', {})):
        load = _frames.Load(0, 0, 10, 0.05, factor_by_rank=factors)
        pressure.receive_load(node, load, 1.0)
    pressure.update(1.1, 2)
    assert pressure.factor_by_rank == {2: pytest.approx(0.7)}
    pressure.update(10.0, 2)
    assert pressure.factor_by_rank == {}
