"""Runs of suspected requests at the local target, and reports about them."""

import logging

from rosemarycrank.dataplane import _frames

#: Maximum number of requests in a line of the log.
MAX_LOGGED = 50

#: Longest time after a crash for which the next run of a suspected request
#: waits, in seconds, and longest share of the time that it has left. Runs of
#: the same request that began at other targets before the crash was known end
#: meanwhile, and show more.
MAX_DELAY_S = 0.25
MAX_DELAY_SHARE = 0.5

#: Time in which the suspected requests that wait at a target should have run,
#: in seconds, and maximum number of them that run at once for that.
CLEARING_S = 2.0
MAX_RUNS = 8

#: Maximum number of requests in each of the two sets of those that have run
#: well.
MAX_PROVEN = 10_000

#: Statuses of answers that do not show that a request is harmless: the target
#: may have failed or refused it before it came to the cause.
FIRST_FAILURE_STATUS = 500
TOO_MANY_REQUESTS = 429

_LOG = logging.getLogger(__name__)


class SuspectRuns:
    """Limits the runs of suspected requests, and reports their outcomes.

    A suspected request runs at one target of its service only, and few of them
    run there at a time, so that a crash shows which one is the cause.

    Parameters
    ----------
    history : CrashHistory
        Facts about crashes.
    tell_all : callable
        Sends new facts to all other nodes.
    is_place : callable
        Returns whether the request of a digest may run at this target.
    """

    def __init__(self, history, tell_all, is_place):
        self.history = history
        self._tell_all = tell_all
        self._is_place = is_place
        self._unreported = []
        self._proven = set()
        self._proven_before = set()

    def refusal_reason(self, job):
        """Return why a request is refused; None if it may run.

        Parameters
        ----------
        job : Job
            The attempt.

        Returns
        -------
        Reason or None
        """
        if not self.history:
            return None
        attempt = job.attempt
        if self.history.refused_for_s(attempt.digest):
            return _frames.Reason.CRASH_SUSPECT
        if not self._is_suspect(job):
            return None
        # A sender that knows of the suspicion may reach fewer targets.
        if not attempt.is_suspect and not self._is_place(attempt.digest):
            return _frames.Reason.SUSPECT_ELSEWHERE
        return None

    def may_start(self, job, running, held_s, now):
        """Return whether a job may start, as far as suspicion matters.

        Parameters
        ----------
        job : Job
            The attempt.
        running : iterable of Job
            Those that run at the target.
        held_s : float
            Service time of all suspected requests that wait, in seconds.
        now : float
            Seconds of the node's clock.
        """
        if not self.history or not self._is_suspect(job):
            return True
        crashed_at = self.history.last_crash_at(job.attempt.digest)
        left_s = job.deadline_at - crashed_at
        if now < crashed_at + min(MAX_DELAY_S, MAX_DELAY_SHARE * left_s):
            return False
        suspects = [other for other in running if self._is_suspect(other)]
        if self._is_probe(job) or any(map(self._is_probe, suspects)):
            return not suspects
        max_runs = min(MAX_RUNS, 1 + int(held_s / CLEARING_S))
        return len(suspects) < max_runs

    def _is_probe(self, job):
        return self.history.is_probed(job.attempt.digest)

    def record_start(self, job):
        """Record that a job has started."""
        if not self.history:
            return
        job.crashed_starts = self.history.starts_of(job.attempt.digest)
        if not job.crashed_starts:
            return
        job.is_watched = self._is_suspect(job)
        _LOG.info(
            'suspected request starts to run',
            extra={
                'event': 'crash_suspect_started',
                'request_id': job.attempt.request_id,
                'digest': '%x' % job.attempt.digest,
                'crashes': len(job.crashed_starts),
                'is_watched': job.is_watched,
                'instance': job.attempt.instance,
            },
        )

    def record_answer(self, job, status):
        """Clear a request of one crash if it has run well since.

        Parameters
        ----------
        job : Job
            The attempt, with a complete answer.
        status : int
            HTTP status of the answer.
        """
        if status >= FIRST_FAILURE_STATUS or status == TOO_MANY_REQUESTS:
            return
        self._remember_good_run(job.attempt.digest)
        if not job.crashed_starts:
            return
        self._unreported += self.history.clear(
            job.attempt.digest, job.crashed_starts
        )

    def _remember_good_run(self, digest):
        """Remember some thousands of requests that ran well lately."""
        if digest in self._proven:
            return
        if len(self._proven) >= MAX_PROVEN:
            self._proven_before = self._proven
            self._proven = set()
        self._proven.add(digest)

    def _has_run_well(self, digest):
        return digest in self._proven or digest in self._proven_before

    def has_crashed(self, record):
        """Return whether a crash of a target has been recorded."""
        return self.history.has_crashed(record)

    def record_crash(self, record, jobs):
        """Record and report a crash of the target.

        Parameters
        ----------
        record : TargetRecord
            The target that has crashed.
        jobs : list of Job
            Attempts that ran there.
        """
        attempts = [job.attempt for job in jobs]
        logged = attempts[:MAX_LOGGED]
        _LOG.warning(
            'the target has crashed while %d requests ran',
            len(jobs),
            extra={
                'event': 'crash_suspected',
                'instance': record.instance,
                'born_ms': record.born_ms,
                'digests': ['%x' % attempt.digest for attempt in logged],
                'request_ids': [
                    attempt.request_id.decode('latin-1') for attempt in logged
                ],
                'requests': [_summarize(attempt) for attempt in logged],
            },
        )
        digests = [attempt.digest for attempt in attempts if attempt.digest]
        watched = [
            job.attempt.digest
            for job in jobs
            if job.crashed_starts and job.is_watched
        ]
        self._tell_all(
            self.history.record_crash(
                record.instance,
                record.born_ms,
                digests,
                filter(self._has_run_well, digests),
                watched,
            )
        )

    def report_cleared(self):
        """Report the requests that were cleared since the last call."""
        if self._unreported:
            facts, self._unreported = self._unreported, []
            self._tell_all(facts)

    def _is_suspect(self, job):
        return self.history.is_watched(job.attempt.digest)


def _summarize(attempt):
    """Return what makes two requests the same, for the log."""
    lines = attempt.head.decode('latin-1').split('\r\n')
    request_line = lines[0].removesuffix(' HTTP/1.1')
    fields = [line for line in lines[1:] if _is_identifying(line)]
    return '; '.join([request_line, attempt.route, *fields])


def _is_identifying(line):
    name, _, _ = line.lower().partition(':')
    return name == 'host' or name.endswith('caller-service')
