"""Ends of the local target's process, and the runs that were lost by them."""

from rosemarycrank.dataplane import _crash_detection
from rosemarycrank.dataplane import _jobs


class TargetCrashes:
    """Records the crashes of the local target, with the requests that ran.

    A target that is leaving exits at the end of its drain period, which is no
    crash.

    Parameters
    ----------
    side : TargetSide
        Target side of the node, with the record of the target.
    run_limits : RunLimits
        Says whether the target is leaving.
    job_states : JobStates
        Says which attempts run.
    end_runs : callable
        Called with the lost runs that have not ended otherwise, once it is
        known why they were lost. A lost run is the pair of a job and its
        answer.

    Attributes
    ----------
    has_served : bool
        Whether the target has answered a request since its start.
    """

    def __init__(self, side, run_limits, job_states, end_runs):
        self._side = side
        self._run_limits = run_limits
        self._job_states = job_states
        self._end_runs = end_runs
        self.has_served = False
        self._detection = _crash_detection.CrashDetection(
            side.reactor, side.pool, self._handle_lost_runs
        )

    def add_lost_run(self, job, answer):
        """Add a run whose connection was lost; it ends later.

        Parameters
        ----------
        job : Job
            The attempt.
        answer : Answer
            Its outcome without a response.
        """
        self._detection.add(job, answer)

    def record_refused_connection(self):
        """Record the end of a target that ran nothing then.

        One that has not served yet may not listen yet.
        """
        record = self._side.record
        suspect_runs = self._side.suspect_runs
        if not self.has_served or not self._target_serves():
            return
        if not suspect_runs.has_crashed(record):
            suspect_runs.record_crash(record, [])

    def record_new_start(self, known):
        """Record the end of a target that is known by its next start only.

        Parameters
        ----------
        known : TargetRecord
            Record of the target that has ended.
        """
        jobs = self._detection.take_unexplained()
        jobs += self._job_states.running
        suspect_runs = self._side.suspect_runs
        has_run = any(job.attempt.instance == known.instance for job in jobs)
        if not has_run or not self._target_serves():
            return
        if not suspect_runs.has_crashed(known):
            suspect_runs.record_crash(known, jobs)

    def _handle_lost_runs(self, lost, has_crashed):
        """Record a crash, and have the lost runs ended.

        Some may have expired meanwhile, or were cancelled.
        """
        running = _jobs.JobState.RUNNING
        lost = [(job, answer) for job, answer in lost if job.state is running]
        if has_crashed and self._target_serves():
            self._side.suspect_runs.record_crash(
                self._side.record, [job for job, _ in lost]
            )
        self._end_runs(lost)

    def _target_serves(self):
        return self._run_limits.target_serves(self._side.reactor.now())
