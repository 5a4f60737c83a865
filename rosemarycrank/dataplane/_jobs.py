"""Attempts at the local target, with the states that they pass through."""

import enum

import attrs


class JobState(enum.IntEnum):
    """State of a job. All changes are made by `JobStates`.

    Attributes
    ----------
    OFFERED
        It has arrived, and is neither accepted nor refused.
    WAITING
        It waits for its turn.
    PARKED
        Its turn has come while its sender was lost.
    RUNNING
        It was sent to the target.
    ENDED
        It has a result.
    """

    OFFERED = 0
    WAITING = 1
    PARKED = 2
    RUNNING = 3
    ENDED = 4


_OFFERED = JobState.OFFERED
_WAITING = JobState.WAITING
_PARKED = JobState.PARKED
_RUNNING = JobState.RUNNING
_ENDED = JobState.ENDED

_NEXT_STATES = {
    _OFFERED: (_WAITING, _ENDED),
    _WAITING: (_RUNNING, _PARKED, _ENDED),
    _PARKED: (_WAITING, _ENDED),
    _RUNNING: (_ENDED,),
    _ENDED: (),
}


class InvalidTransitionError(Exception):
    """A job was to enter a state that does not follow its present one.

    Parameters
    ----------
    job : Job
        The job.
    state : JobState
        The state that it was to enter.
    """

    def __init__(self, job, state):
        super().__init__(
            f'attempt {job.attempt.number} is {job.state.name} and cannot '
            f'become {state.name}'
        )
        self.job = job
        self.state = state


@attrs.define(eq=False, slots=True)
class Job:
    """An attempt that was accepted or refused for the local target.

    Attributes
    ----------
    caller : Caller
        Node that sent it.
    attempt : rosemarycrank.dataplane.Attempt
        The attempt as received.
    arrived_at, deadline_at : float
        Seconds of the node's clock.
    state : JobState
        Its state.
    connection : UpstreamConnection or None
        Connection on which it runs; None while it does not run.
    started_at : float
        When it was sent to the target; 0 while it is queued.
    run : rosemarycrank.dataplane._call_links.Run or None
        The run as counted by `CallCosts`; None while it is queued.
    result : rosemarycrank.dataplane.Result or None
        Its result; None until it has ended.
    crashed_starts : tuple of tuple of (str, int)
        Starts of targets that had crashed under the request when its run
        began.
    is_watched : bool
        Whether its run is watched for a crash, and so has few others beside
        it.
    held_bytes : int
        Memory that it takes of the budget of its caller.
    """

    caller: object
    attempt: object
    arrived_at: float
    deadline_at: float
    state: JobState = _OFFERED
    connection: object = None
    started_at: float = 0.0
    run: object = None
    result: object = None
    crashed_starts: tuple = ()
    is_watched: bool = False
    held_bytes: int = 0


class JobStates:
    """Changes the states of jobs, and keeps what follows from them.

    Attributes
    ----------
    running : set of Job
        Jobs that run at the target.
    waiting_count : int
        Number of jobs that have been accepted and have neither started nor
        ended.
    """

    def __init__(self):
        self.running = set()
        self.waiting_count = 0

    def wait(self, job):
        """Record that a job waits for its turn."""
        self._leave(job, _WAITING)
        self.waiting_count += 1

    def park(self, job):
        """Record that the turn of a job has come while its sender is lost."""
        self._leave(job, _PARKED)
        self.waiting_count += 1

    def start(self, job):
        """Record that a job is about to be sent to the target."""
        self._leave(job, _RUNNING)
        self.running.add(job)

    def end_unsent(self, job):
        """Record the end of a job that was never sent to the target.

        Raises
        ------
        InvalidTransitionError
            If it runs or has ended, so that it cannot be said of it that it
            has not run.
        """
        if job.state is _RUNNING:
            raise InvalidTransitionError(job, _ENDED)
        self._leave(job, _ENDED)

    def end_run(self, job):
        """Record the end of a run, in whatever way.

        Raises
        ------
        InvalidTransitionError
            If the job does not run.
        """
        if job.state is not _RUNNING:
            raise InvalidTransitionError(job, _ENDED)
        self._leave(job, _ENDED)
        self.running.remove(job)

    def _leave(self, job, state):
        """Replace the state of a job, and count it out of the earlier one."""
        previous = job.state
        if state not in _NEXT_STATES[previous]:
            raise InvalidTransitionError(job, state)
        if previous is _WAITING or previous is _PARKED:
            self.waiting_count -= 1
        job.state = state
