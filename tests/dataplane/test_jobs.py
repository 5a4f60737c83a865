"""States of attempts at the local target."""

import logging

import hypothesis
import hypothesis.strategies as st
import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _guard
from rosemarycrank.dataplane import _jobs
from tests.dataplane import fakes

State = _jobs.JobState

CHANGES = ['wait', 'park', 'start', 'end_unsent', 'end_run']

#: State after each change that is allowed, by the state before.
ALLOWED = {
    State.OFFERED: {'wait': State.WAITING, 'end_unsent': State.ENDED},
    State.WAITING: {
        'start': State.RUNNING,
        'park': State.PARKED,
        'end_unsent': State.ENDED,
    },
    State.PARKED: {'wait': State.WAITING, 'end_unsent': State.ENDED},
    State.RUNNING: {'end_run': State.ENDED},
    State.ENDED: {},
}


def _job():
    return _jobs.Job(None, fakes.attempt(), 0.0, 1.0)


# Guards against attempts that are said not to have run although they do, and
# against counts that differ from what they count.
@hypothesis.settings(max_examples=300)
@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 1), st.sampled_from(CHANGES)),
        min_size=10,
        max_size=40,
    )
)
def test_only_allowed_changes_are_made_and_counts_follow(changes):
    states = _jobs.JobStates()
    jobs = [_job() for _ in range(2)]
    for index, change in changes:
        job = jobs[index]
        expected = ALLOWED[job.state].get(change)
        if expected is None:
            before = job.state
            with pytest.raises(_jobs.InvalidTransitionError):
                getattr(states, change)(job)
            assert job.state is before
        else:
            getattr(states, change)(job)
            assert job.state is expected
        waiting = [j for j in jobs if j.state in (State.WAITING, State.PARKED)]
        assert states.waiting_count == len(waiting)
        assert states.running == {j for j in jobs if j.state is State.RUNNING}


# Guards against a process, or the rest of a walk, that one such error ends.
def test_run_that_is_to_end_as_not_run_ends_as_unknown(
    make_side, pool, reactor, caplog
):
    reactor.guard = _guard.Guard()
    side = make_side(slots=1)
    results = []
    caller = side.callers.get(77)
    caller.send = results.append
    side.accept(caller, fakes.attempt())
    job = caller.jobs_by_number[1]
    with caplog.at_level(logging.ERROR):
        side._end_unsent(job, _frames.Reason.LEAVING)
    reactor.run(0.0)
    assert [_frames.Outcome(r.outcome).name for r in results] == ['UNKNOWN']
    assert pool.calls[0].aborted
    assert sum(reactor.guard.failures_by_name.values()) == 1
    assert 'cannot become ENDED' in caplog.text
