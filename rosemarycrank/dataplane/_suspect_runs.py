"""Runs of suspected requests at the local target, and reports about them."""

import logging
import random

from rosemarycrank.dataplane import _crash_suspects
from rosemarycrank.dataplane import _frames

#: Maximum number of requests that a report names, and a line of the log.
MAX_REPORTED = 1000
MAX_LOGGED = 50

_LOG = logging.getLogger(__name__)


class SuspectRuns:
    """Limits how many suspected requests run at once, and reports outcomes.

    If one of few suspects crashes the target, few others are taken for the
    cause.

    Parameters
    ----------
    suspects : CrashSuspects
        Requests under suspicion.
    on_report : callable
        Called with the digests of requests under which the target has
        crashed, and of those that have run well.
    """

    def __init__(self, suspects=None, on_report=None):
        if suspects is None:
            suspects = _crash_suspects.CrashSuspects(random.Random(0))
        self.suspects = suspects
        self._on_report = on_report or (lambda crashed, served: None)
        self._running = set()
        self._served = []

    def refusal_reason(self, job, now):
        """Mark a job whose request is suspected, and return a refusal.

        Parameters
        ----------
        job : Job
            The attempt.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        Reason or None
            Why the request is refused; None if it may run.
        """
        if not self.suspects:
            return None
        request_digest = job.attempt.digest
        if request_digest not in self.suspects:
            return None
        job.suspect_digest = request_digest
        if self.suspects.refused_for_s(request_digest, now) == 0.0:
            return None
        if job.caller.features & _frames.Feature.CRASH_REPORTS:
            return _frames.Reason.CRASH_SUSPECT
        return _frames.Reason.QUEUE_FULL

    def may_start(self, job, now):
        """Return whether a job may start, as far as suspicion matters."""
        if not job.suspect_digest:
            return True
        return len(self._running) < self.suspects.max_runs(now)

    def record_start(self, job):
        """Record that a job has started."""
        if not job.suspect_digest:
            return
        self._running.add(job)
        _LOG.info(
            'suspected request starts to run',
            extra={
                'event': 'crash_suspect_started',
                'request_id': job.attempt.request_id,
                'digest': '%x' % job.suspect_digest,
                'crashes': self.suspects.count_crashes(job.suspect_digest),
                'instance': job.attempt.instance,
            },
        )

    def record_end(self, job):
        """Record that the run of a job has ended, in whatever way."""
        self._running.discard(job)

    def record_good_run(self, request_digest, now):
        """Lower the suspicion of a request after a run without a crash.

        Parameters
        ----------
        request_digest : int
            Its digest.
        now : float
            Seconds of the node's clock.
        """
        if self.suspects.record_good_run(request_digest, now):
            self._served.append(request_digest)

    def record_crash(self, jobs, now):
        """Record and report a crash.

        Parameters
        ----------
        jobs : list of Job
            Attempts that ran at the target.
        now : float
            Seconds of the node's clock.
        """
        attempts = [job.attempt for job in jobs[:MAX_REPORTED]]
        digests = [attempt.digest for attempt in attempts if attempt.digest]
        logged = attempts[:MAX_LOGGED]
        _LOG.warning(
            'the target has crashed while %d requests ran',
            len(jobs),
            extra={
                'event': 'crash_suspected',
                'instance': attempts[0].instance if attempts else '',
                'digests': ['%x' % attempt.digest for attempt in logged],
                'request_ids': [
                    attempt.request_id.decode('latin-1') for attempt in logged
                ],
                'requests': [_summarize(attempt) for attempt in logged],
            },
        )
        self.suspects.record_crash(digests, now)
        self._on_report(digests, [])

    def report_served(self):
        """Report the requests that have run well since the last call."""
        if self._served:
            served, self._served = self._served[:MAX_REPORTED], []
            self._on_report([], served)


def _summarize(attempt):
    """Return what makes two requests the same, for the log."""
    lines = attempt.head.decode('latin-1').split('\r\n')
    request_line = lines[0].removesuffix(' HTTP/1.1')
    fields = [line for line in lines[1:] if _is_identifying(line)]
    return '; '.join([request_line, attempt.route, *fields])


def _is_identifying(line):
    name, _, _ = line.lower().partition(':')
    return name == 'host' or name.endswith('caller-service')
