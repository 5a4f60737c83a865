"""Lines of the log about attempts at the local target."""

import logging
import math

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _repeated_lines

#: Shortest time between two lines about attempts that could not connect, in
#: seconds. The entry nodes name each of them, with the same reason.
CONNECT_FAILED_LINE_INTERVAL_S = 0.25

_LOG = logging.getLogger(__name__)


class EndedAttempts:
    """Lines about attempts that ended without a complete answer.

    Parameters
    ----------
    side : TargetSide
        Target side that runs them.
    """

    def __init__(self, side):
        self._side = side
        self._connect_failed_lines = _repeated_lines.RepeatedLines(
            CONNECT_FAILED_LINE_INTERVAL_S
        )

    def log(self, job, outcome, reason, status):
        """Write the line of an attempt.

        Parameters
        ----------
        job : Job
            The attempt.
        outcome, reason : int
            Values of `Outcome` and `Reason`.
        status : int
            HTTP status of the target's answer; 0 without one.
        """
        side = self._side
        now = side.reactor.now()
        suppressed = 0
        if reason == _frames.Reason.CONNECT_FAILED:
            if self._connect_failed_lines.suppress(now):
                return
            suppressed = self._connect_failed_lines.take_suppressed()
        attempt = job.attempt
        waited_s = (job.started_at or now) - job.arrived_at
        _LOG.info(
            'attempt ended without a complete answer: %s',
            _frames.Reason(reason).name.lower(),
            extra={
                'event': 'attempt_ended',
                'request_id': attempt.request_id,
                'outcome': _frames.Outcome(outcome).name.lower(),
                'status': status,
                'suppressed': suppressed,
                'instance': attempt.instance,
                'remaining_ms': attempt.remaining_ms,
                'rank': round(attempt.rank, 2),
                'running': side.running_count,
                'waiting': side.waiting_count,
                'limit': side.limit.value,
                'service_s': round(side.limit.service_s, 4),
                'waited_s': round(waited_s, 4),
            },
        )


def log_abandoned(job, outcome, reason, now):
    """Write the line of an attempt whose sender does not wait any more.

    Parameters
    ----------
    job : Job
        The attempt.
    outcome : int
        Value of `Outcome`.
    reason : Reason
        Why it was abandoned.
    now : float
        Seconds of the node's clock.
    """
    attempt = job.attempt
    _LOG.info(
        'abandoned attempt: %s',
        reason.name.lower(),
        extra={
            'event': 'attempt_given_up',
            'request_id': attempt.request_id,
            'outcome': _frames.Outcome(outcome).name.lower(),
            'instance': attempt.instance,
            'since_arrival_s': round(now - job.arrived_at, 4),
            'since_start_s': job.started_at and round(now - job.started_at, 4),
            'caller_connected': job.caller.send is not None,
        },
    )


def log_leaving(side, job):
    """Write the line of an answer in which the target says that it leaves.

    Only the first such answer of a target is logged.

    Parameters
    ----------
    side : TargetSide
        Target side, with the record of the target.
    job : Job
        Attempt whose answer says so.
    """
    record = side.record
    is_news = (
        record is not None
        and record.instance == job.attempt.instance
        and record.state == _directory.READY
    )
    if is_news:
        _LOG.warning(
            'target %s says in an answer that it is leaving',
            record.instance,
            extra={
                'event': 'leaving_in_answer',
                'instance': record.instance,
                'request_id': job.attempt.request_id,
            },
        )


def log_rate_limit(side, job, per_s, previous_per_s):
    """Write the line of a new rate limit that the target names.

    Parameters
    ----------
    side : TargetSide
        Target side that holds the limit.
    job : Job
        Attempt whose answer names it.
    per_s, previous_per_s : float
        The limits, in requests per second; infinite for none.
    """
    _LOG.warning(
        'rate limit of the target is now %s requests/s',
        per_s,
        extra={
            'event': 'rate_limit',
            'instance': job.attempt.instance,
            'per_s': None if per_s == math.inf else per_s,
            'previous_per_s': (
                None if previous_per_s == math.inf else previous_per_s
            ),
            'request_id': job.attempt.request_id,
            'running': side.running_count,
            'waiting': side.waiting_count,
        },
    )
