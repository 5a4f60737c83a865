"""Target side of a call: admission, queueing and runs at the local target.

Other nodes choose targets from possibly stale records and loads. The node on
the VM of the target decides: it admits, queues or refuses each attempt, and
fences it to the current instance of the target.
"""

import math

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _callers
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _crash_history
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _jobs
from rosemarycrank.dataplane import _limit
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _pauses
from rosemarycrank.dataplane import _rank_waits
from rosemarycrank.dataplane import _rate_limit
from rosemarycrank.dataplane import _result_delivery
from rosemarycrank.dataplane import _run_limits
from rosemarycrank.dataplane import _self_calls
from rosemarycrank.dataplane import _suspect_runs
from rosemarycrank.dataplane import _target_crashes
from rosemarycrank.dataplane import _target_load
from rosemarycrank.dataplane import _target_log
from rosemarycrank.dataplane import _waiting_queue

#: Interval between checks for attempts past their deadlines, in seconds.
SWEEP_INTERVAL_S = 0.05

#: Interval between updates of the rates of arrival and demand, in seconds.
RATE_UPDATE_INTERVAL_S = 0.1

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
_UNKNOWN = int(_frames.Outcome.UNKNOWN)
_NO_ROOM_REASONS = (
    _frames.Reason.QUEUE_FULL,
    _frames.Reason.QUEUE_EXPIRED,
)


class TargetSide:
    """Admission, queue and runs of attempts at the local target.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    pool : UpstreamPool
        Connections to the target.
    names : HeaderNames
        Names of header fields.
    counters : Counters
        Counts for the metrics page.
    costs : CallCosts
        Estimates which calls the runs cause.
    front : FrontAdmission
        Source of the pressures on overloaded services.
    drain_s : float, default=0.0
        Seconds for which a target serves after the node acknowledged that it
        is leaving.
    memory : MemoryAccount, optional
        Account of the process; a default one if not given.
    response_budget : Budget, optional
        Memory for responses of the target, as the pool has it.

    Attributes
    ----------
    demand : ExpectedDemand
        Calls that the entry nodes expect.
    record : TargetRecord or None
        Newest record of the local target; None until it has announced
        itself.
    stopping : bool
        Whether the node is about to stop and accepts no more attempts.
    limit : ConcurrencyLimit
        Limit on the attempts that run at once.
    rate_limit : RateLimit
        Limit on the attempts that start per second.
    rank_waits : RankWaits
        Corrections of admission by the waits of calls.
    callers : Callers
        Calling nodes and their attempts.
    on_leaving : callable
        Called with the identifier of the target that says in an answer that
        it is leaving.
    suspect_runs : SuspectRuns
        Runs of requests that are suspected of crashing targets; shared with
        the node.
    """

    def __init__(
        self,
        reactor,
        pool,
        names,
        counters,
        costs,
        front,
        drain_s=0.0,
        memory=None,
        response_budget=None,
    ):
        self.reactor = reactor
        self.pool = pool
        self.names = names
        self.counters = counters
        self.costs = costs
        self.record = None
        self._target_since = 0.0
        self.stopping = False
        self.on_leaving = lambda _instance: None
        self.limit = _limit.ConcurrencyLimit()
        self.rate_limit = _rate_limit.RateLimit()
        self.rank_waits = _rank_waits.RankWaits()
        self._load = _target_load.TargetLoad(
            self.limit, self.rate_limit, self.rank_waits, front
        )
        self.demand = self._load.demand
        memory = memory or _memory.MemoryAccount()
        self.callers = _callers.Callers(
            reactor, memory.budget('target_attempts'), response_budget
        )
        self.suspect_runs = _suspect_runs.SuspectRuns(
            _crash_history.CrashHistory(reactor),
            lambda _crashes: None,
            lambda _digest: True,
        )
        self._self_calls = _self_calls.SelfCalls(costs)
        self._jobs = _jobs.JobStates()
        self._delivery = _result_delivery.ResultDelivery(reactor)
        self._waiting = _waiting_queue.WaitingQueue(self.rank_waits)
        # Those that wait as they are suspected; they say nothing of the load.
        self._held_suspects = 0
        self._run_limits = _run_limits.RunLimits(drain_s)
        self._crashes = _target_crashes.TargetCrashes(
            self, self._run_limits, self._jobs, self._end_lost_runs
        )
        self._last_run_at = reactor.now()
        self._is_catching_up = False
        self._is_start_scheduled = False
        self._pauses = _pauses.PauseDetector(reactor.now())
        self._ended_attempts = _target_log.EndedAttempts(self)
        reactor.timers.every(SWEEP_INTERVAL_S, self._sweep)
        reactor.timers.every(RATE_UPDATE_INTERVAL_S, self._update_rates)
        reactor.timers.every(
            _costs.SAMPLE_INTERVAL_S, lambda _now: costs.sample()
        )

    def update_record(self, record):
        """Update the record of the local target.

        A new instance, or one with a new birth time, resets the limits and
        the drain period.

        Parameters
        ----------
        record : TargetRecord
            Newest record that the target announced.
        """
        known = self.record
        if known is None or _run_limits.is_new_start(record, known):
            self.limit.reset(record.slots)
            self.rate_limit.reset()
            self._crashes.has_served = False
            self._target_since = self.reactor.now()
        if known is not None and _run_limits.is_new_start(record, known):
            self._crashes.record_new_start(known)
        self.record = record
        self._run_limits.update_target(record, known, self.reactor.now())
        if record.state != _directory.READY:
            # Other nodes learn of the leaving before they get attempts back.
            self.reactor.call_soon(self._give_back_waiting)

    def set_drain_s(self, drain_s):
        """Set the drain time of leavings from now on.

        Parameters
        ----------
        drain_s : float
            Seconds for which the target serves after its leaving was
            acknowledged.
        """
        self._run_limits.drain_s = drain_s

    def limit_run_end(self, runs_end_at):
        """Accept and start only attempts that are expected to end in time.

        Parameters
        ----------
        runs_end_at : float
            Time by which runs have to end because the node stops, in seconds
            of its clock.
        """
        self._run_limits.stop_node(runs_end_at)

    def load(self):
        """Return the `Load` of the target, as reported to other nodes."""
        return self._load.report(
            self.running_count,
            max(0, self.waiting_count - self._held_suspects),
        )

    @property
    def running_count(self):
        """Number of attempts that run at the target."""
        return len(self._jobs.running)

    @property
    def waiting_count(self):
        """Number of attempts in the queue."""
        return self._jobs.waiting_count

    def idle_s(self, now):
        """Return the seconds since the last run ended; 0 during a run."""
        return 0.0 if self.running_count else now - self._last_run_at

    def busy(self):
        """Return whether attempts run, wait or have undelivered results."""
        return bool(self.running_count or self.waiting_count or self._delivery)

    def accept(self, caller, attempt):
        """Start, queue or refuse an attempt.

        An attempt with a known number is not run again: its result is sent
        again if it has ended, and otherwise when it ends.

        Parameters
        ----------
        caller : Caller
            Node that sent it.
        attempt : rosemarycrank.dataplane.Attempt
            The attempt.
        """
        number = attempt.number
        known = caller.jobs_by_number.get(number)
        if known is not None:
            self._send_again(known)
            return
        now = self.reactor.now()
        job = _jobs.Job(
            caller, attempt, now, now + attempt.remaining_ms / 1000.0
        )
        if number < caller.discarded_below:
            self._end_unsent(job, _frames.Reason.FORGOTTEN, _UNKNOWN)
            return
        if not (self.callers.has_room() and caller.hold_attempt(job)):
            self._refuse_for_memory(job)
            return
        caller.jobs_by_number[number] = job
        if not attempt.previous_offers:
            self._load.arrivals.record_arrival()
        reason = self._refusal_reason(attempt, job, now)
        if reason is not None:
            self._end_unsent(job, reason)
        else:
            self._jobs.wait(job)
            if self._is_catching_up:
                self._waiting.add(job)
                self._start_waiting_soon()
            elif self._may_start(now) and self._may_start_job(job, now):
                self._start_if_wanted(job, now)
            else:
                self._waiting.add(job)

    def _refuse_for_memory(self, job):
        """Refuse an attempt, without keeping the refusal."""
        attempt = job.attempt
        self.callers.budget.log_refusal(
            self.reactor.now(),
            len(attempt.body),
            request_id=attempt.request_id,
            attempt=attempt.number,
        )
        reason = _frames.Reason.QUEUE_FULL
        self.counters.target_failures_by_reason[int(reason)] += 1
        self._ended_attempts.log(job, _NOT_RUN, reason, 0)
        self.refuse_unread(job.caller, attempt.number)

    def _send_again(self, job):
        caller = job.caller
        if job.result is not None and caller.send is not None:
            caller.hold_result(job)
            self._delivery.add(caller, caller.deliver, job.result)

    def refuse_unread(self, caller, number):
        """Refuse an attempt that was not read, as there is no memory for it.

        Parameters
        ----------
        caller : Caller
            Node that sent it.
        number : int
            Number of the attempt. It may be sent again, and known.
        """
        known = caller.jobs_by_number.get(number)
        if known is not None:
            self._send_again(known)
            return
        outcome, reason = _NOT_RUN, _frames.Reason.QUEUE_FULL
        if number < caller.discarded_below:
            outcome, reason = _UNKNOWN, _frames.Reason.FORGOTTEN
        self._delivery.add(
            caller,
            caller.deliver,
            _frames.Result(
                number, outcome, int(reason), 0, b'', b'', self.load()
            ),
        )

    def _start_if_wanted(self, job, now):
        """Start a job that counts as waiting, by what its sender sent since.

        A cancellation that has arrived may not have been read. While the
        sender has no connection it cannot cancel, so its job waits until the
        sender is back or given up.

        What the sender has sent may add jobs to the queue and end others, but
        starts none.
        """
        caller = job.caller
        self._is_catching_up = True
        try:
            caller.catch_up(job.attempt.number)
        finally:
            self._is_catching_up = False
        if job.state is not _jobs.JobState.WAITING:
            return
        if caller.is_lost:
            self._jobs.park(job)
            caller.parked_jobs.append(job)
        elif self._may_change(self._jobs.start, job):
            self._start(job, now)

    def restore_caller(self, caller, *args):
        """Record that a calling node has connected; see `Callers.restore`."""
        self.callers.restore(caller, *args)
        parked, caller.parked_jobs = caller.parked_jobs, []
        for job in parked:
            if job.state is _jobs.JobState.PARKED:
                self._jobs.wait(job)
                self._waiting.add(job)
        if parked:
            self._start_waiting_soon()

    def _may_start(self, now):
        """Return whether one more attempt may start now."""
        return (
            self.running_count < self.limit.value
            and self.rate_limit.allows_start(now)
            and self._pauses.is_settled(now)
        )

    def _may_start_job(self, job, now):
        """Return whether a job may take one of the free slots."""
        return self._may_start_suspect(
            job, now
        ) and self._self_calls.may_start(job, self.limit.value)

    def _may_start_suspect(self, job, now):
        held_s = self._held_suspects * self.limit.service_s
        return self.suspect_runs.may_start(
            job, self._jobs.running, held_s, now
        )

    def _expected_wait_s(self, ahead, now):
        """Return the expected delay in the queue, in seconds.

        Parameters
        ----------
        ahead : int
            Number of waiting attempts that start earlier.
        now : float
            Seconds of the node's clock.
        """
        return max(
            self.limit.expected_wait_s(ahead),
            self.rate_limit.expected_wait_s(ahead, now),
        )

    def cancel(self, caller, number):
        """Cancel an attempt at the request of its sender.

        Others start at the end of the turn: the sender may be about to cancel
        those, too.
        """
        self._delivery.discard(caller, number)
        job = caller.jobs_by_number.get(number)
        if job is None or job.state is _jobs.JobState.ENDED:
            return
        self._abandon(job, _frames.Reason.CANCELLED)
        self._start_waiting_soon()

    def end_all(self):
        """End all attempts, as the node is about to exit.

        Those in the queue have not run. Those that run are aborted, and
        their outcome is unknown. The results are delivered before it returns.
        """
        self._waiting.clear()
        for caller in self.callers.by_incarnation.values():
            for job in caller.unfinished_jobs():
                if job.state is not _jobs.JobState.RUNNING:
                    self._end_unsent(job, _frames.Reason.LEAVING)
        now = self.reactor.now()
        for job in list(self._jobs.running):
            self._abort(job, _frames.Reason.NODE_RESTARTED, now)
        self._delivery.deliver_all()

    def _abort(self, job, reason, now):
        """End a running attempt; its sender still waits for a result."""
        job.connection.abort()
        self._remove_running(job, now, True)
        self._finish(job, _UNKNOWN, reason)

    def _refusal_reason(self, attempt, job, now):
        record = self.record
        if record is None:
            return _frames.Reason.NOT_ANNOUNCED
        if self.stopping:
            return _frames.Reason.LEAVING
        if attempt.instance != record.instance:
            return _frames.Reason.OTHER_TARGET
        if record.state != _directory.READY:
            return _frames.Reason.LEAVING
        suspect_reason = self.suspect_runs.refusal_reason(job)
        if suspect_reason is not None:
            return suspect_reason
        start_at = now
        if not self._may_start(now):
            ahead = self._waiting.count_ahead(attempt, now)
            start_at += self._expected_wait_s(ahead, now)
            least_s = self.limit.min_remaining_s(attempt.route)
            if start_at + least_s > job.deadline_at:
                return _frames.Reason.QUEUE_FULL
        if self._ends_too_late(job, start_at):
            return _frames.Reason.LEAVING
        return None

    def _start(self, job, now):
        attempt = job.attempt
        job.started_at = now
        job.run = _call_links.Run(attempt.route, attempt.rank, job.deadline_at)
        self.costs.record_run_start(job.run)
        self.suspect_runs.record_start(job)
        self._self_calls.record_start(job)
        self.rate_limit.record_start(now)
        self.rank_waits.record_start(attempt.rank)
        connection = self.pool.acquire(attempt.idempotent)
        job.connection = connection
        remaining_ms = max(1, int((job.deadline_at - now) * 1000.0))
        head = b'%b%b: %d\r\n%b: %b\r\nContent-Length: %d\r\n\r\n' % (
            attempt.head,
            self.names.deadline_ms,
            remaining_ms,
            self.names.expected_instance,
            attempt.instance.encode(),
            len(attempt.body),
        )
        self.counters.target_sends += 1
        connection.start(
            attempt.request_id,
            head,
            attempt.body,
            attempt.head.startswith(b'HEAD '),
            lambda answer: self._on_answer(job, answer),
        )

    def _update_rate_limit(self, job, per_s):
        known = self.rate_limit.per_s
        if self.rate_limit.set(per_s, self.reactor.now()):
            _target_log.log_rate_limit(self, job, per_s, known)

    def _on_answer(self, job, answer):
        if answer.is_leaving and job.started_at >= self._target_since:
            _target_log.log_leaving(self, job)
            # Other nodes learn of it before the caller gets the response.
            self.on_leaving(job.attempt.instance)
        if answer.reason == _frames.Reason.ANSWER_LOST:
            self._crashes.add_lost_run(job, answer)
            return
        if answer.outcome == _frames.Outcome.COMPLETE:
            self._crashes.has_served = True
            self.suspect_runs.record_answer(job, answer.status)
        elif answer.is_refused:
            self._crashes.record_refused_connection()
        self._end_run(job, answer)
        self._start_waiting()

    def _end_lost_runs(self, lost):
        for job, answer in lost:
            self._end_run(job, answer)
        self._start_waiting()

    def _end_run(self, job, answer):
        now = self.reactor.now()
        if answer.rate_limit_per_s is not None:
            self._update_rate_limit(job, answer.rate_limit_per_s)
        failed = answer.outcome != _COMPLETE or answer.status >= 500
        self._remove_running(job, now, failed)
        duration_s = now - job.started_at
        # A failure may come at once, so its duration is not a sample of the
        # service time.
        self.limit.observe(job.attempt.route, duration_s, not failed)
        self.counters.service_time.observe(duration_s)
        self._finish(
            job,
            answer.outcome,
            answer.reason,
            answer.status,
            answer.head,
            answer.body,
        )

    def _remove_running(self, job, now, failed):
        self._jobs.end_run(job)
        self._self_calls.record_end(job)
        self.costs.record_run_end(job.run, now, failed)
        job.connection = None
        self._last_run_at = now

    def _end_unsent(self, job, reason, outcome=_NOT_RUN):
        """End an attempt that was not sent to the target."""
        if self._may_change(self._jobs.end_unsent, job):
            self._finish(job, outcome, reason)

    def _may_change(self, change, job):
        """Change the state of a job; otherwise end it as unknown.

        Parameters
        ----------
        change : callable
            Method of `JobStates`.
        job : Job
            The job.

        Returns
        -------
        bool
            Whether its state allowed the change.
        """
        try:
            change(job)
        except _jobs.InvalidTransitionError:
            self.reactor.guard.record(change)
            if job.state is _jobs.JobState.RUNNING:
                now = self.reactor.now()
                self._abort(job, _frames.Reason.FORGOTTEN, now)
            return False
        return True

    def _finish(self, job, outcome, reason, status=0, head=b'', body=b''):
        attempt = job.attempt
        job.result = _frames.Result(
            attempt.number,
            int(outcome),
            int(reason),
            status,
            head,
            body,
            self.load(),
        )
        if reason in _NO_ROOM_REASONS:
            self.rank_waits.record_refusal(attempt.rank)
        if outcome != _COMPLETE:
            self.counters.target_failures_by_reason[int(reason)] += 1
            self._ended_attempts.log(job, outcome, reason, status)
        # The request is not needed any more; the result may be sent again.
        attempt.head = attempt.body = b''
        caller = job.caller
        caller.hold_result(job)
        self._delivery.add(caller, caller.deliver, job.result)

    def _abandon(self, job, reason):
        """End an attempt whose sender does not wait for a result any more."""
        attempt = job.attempt
        if job.state is _jobs.JobState.RUNNING:
            job.connection.abort()
            self._remove_running(job, self.reactor.now(), True)
            outcome = _UNKNOWN
        else:
            self._jobs.end_unsent(job)
            outcome = _NOT_RUN
        _target_log.log_abandoned(job, outcome, reason, self.reactor.now())
        job.result = _frames.Result(
            attempt.number, outcome, int(reason), 0, b'', b'', None
        )
        attempt.head = attempt.body = b''
        job.caller.hold_result(job)

    def _start_waiting_soon(self):
        if not self._is_start_scheduled:
            self._is_start_scheduled = True
            self.reactor.call_soon(self._start_scheduled)

    def _start_scheduled(self):
        self._is_start_scheduled = False
        self._start_waiting()

    def _start_waiting(self):
        if self._is_catching_up:
            self._start_waiting_soon()
            return
        held_back = []
        held_suspects = 0
        now = self.reactor.now()
        while self._may_start(now):
            entry = self._waiting.pop()
            if entry is None:
                break
            job = entry[-1]
            reason = self.suspect_runs.refusal_reason(job)
            if reason is not None:
                self._end_unsent(job, reason)
                continue
            if not self._may_start_job(job, now):
                held_back.append(entry)
                held_suspects += not self._may_start_suspect(job, now)
                continue
            least_s = self.limit.min_remaining_s(job.attempt.route)
            if now + least_s > job.deadline_at:
                self._end_unsent(job, _frames.Reason.QUEUE_EXPIRED)
            elif self._ends_too_late(job, now):
                self._end_unsent(job, _frames.Reason.LEAVING)
            else:
                self._start_if_wanted(job, now)
        self._held_suspects = held_suspects
        self._waiting.put_back(held_back)

    def _ends_too_late(self, job, start_at):
        """Return whether a run may outlast the target or its node.

        Parameters
        ----------
        job : Job
            The attempt.
        start_at : float
            Start of its run, in seconds of the node's clock.
        """
        limits = self._run_limits
        if limits.runs_end_at == math.inf:
            return False
        duration_s = max(
            self.limit.long_service_s(job.attempt.route),
            self._oldest_run_age_s(job.attempt.route),
        )
        return not limits.allow(start_at, duration_s, job.deadline_at)

    def _oldest_run_age_s(self, route):
        """Return for how long a route's oldest run has lasted, in seconds.

        While a service below is slow, it exceeds the times of ended runs.
        """
        started_at = min(
            (
                job.started_at
                for job in self._jobs.running
                if job.attempt.route == route
            ),
            default=math.inf,
        )
        return max(0.0, self.reactor.now() - started_at)

    def _give_back_waiting(self):
        """Give back the attempts in the queue that would end too late.

        Their nodes send them elsewhere. This includes attempts that are
        expected to start too late, so that most of their time is left.
        """
        if self._run_limits.runs_end_at == math.inf:
            return
        now = self.reactor.now()
        ahead = 0
        for job in self._waiting.jobs_in_order():
            start_at = now + self._expected_wait_s(ahead, now)
            if self._ends_too_late(job, start_at):
                self._end_unsent(job, _frames.Reason.LEAVING)
            else:
                ahead += 1

    def _sweep(self, now):
        self._pauses.tick(now)
        self.suspect_runs.report_cleared()
        self._give_back_waiting()
        if self.waiting_count:
            for job in self._waiting.jobs():
                least_s = self.limit.min_remaining_s(job.attempt.route)
                if now + least_s > job.deadline_at:
                    self._end_unsent(job, _frames.Reason.QUEUE_EXPIRED)
        else:
            self._waiting.clear()
        for job in list(self._jobs.running):
            if now > job.deadline_at + SWEEP_INTERVAL_S:
                self._abort(job, _frames.Reason.DEADLINE, now)
        for job in self.callers.expire(now):
            self._abandon(job, _frames.Reason.CANCELLED)
        self._start_waiting()

    def _update_rates(self, now):
        self._load.update(
            now,
            self.running_count,
            self._waiting.jobs(),
            RATE_UPDATE_INTERVAL_S,
        )
