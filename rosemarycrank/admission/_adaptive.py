"""Admission with an adaptive concurrency limit and a short queue."""

from rosemarycrank.admission import _base
from rosemarycrank.admission import _limit
from rosemarycrank.admission import _queue
from rosemarycrank.admission import _service_time
from rosemarycrank.admission import _shedding
from rosemarycrank import kernel
from rosemarycrank import results

#: Ratio of latency to its baseline above which a lower limit is tried: the
#: value at goodput weight 0, and the amount added at weight 1.
BASE_TOLERANCE = 1.3
TOLERANCE_GAIN = 0.7
#: Maximum length of the queue as a share of the limit, in the same form.
BASE_QUEUE_SHARE = 0.25
QUEUE_SHARE_GAIN = 0.75
#: Maximum share by which a report of the upstream lowers the limit; small, as
#: reports may be stale or wrong.
MAX_REPORT_REDUCTION = 0.1
#: Age at which a report of the upstream expires.
MAX_REPORT_AGE_S = 5.0
#: Wait suggested to refused callers when nothing is shed, and when everything
#: is shed.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@kernel.register('admission', 'adaptive')
class AdaptiveLimit(_base.AdmissionController):
    """Admits attempts up to a limit that adapts to the upstream.

    Attempts over the limit wait in a short queue, ordered by importance.
    When the queue is full, a new attempt displaces the least important
    queued one if it is more important than that; otherwise it is refused
    immediately.

    Parameters
    ----------
    initial_limit : int, default=16
        Limit in attempts until the upstream announces its slots.
    min_limit : int, default=1
        Minimum limit, in attempts.
    max_limit : int, default=4096
        Maximum limit, in attempts.
    goodput_weight : float, default=0.5
        Weight in [0, 1]: 1 favours goodput, with longer queues, and 0
        favours a quick recovery. It may be changed at any time.
    window_samples : int, default=32
        Number of samples on which a decision on the limit is based.
    cold_s : float, default=2.0
        Duration in seconds over which the limit of a newly started upstream
        rises to its slots.
    min_queue : int, default=8
        Lower bound of the maximum queue length, for upstreams with few
        slots.

    Attributes
    ----------
    in_flight_ : int
        Admitted attempts that have not finished.
    """

    def __init__(
        self,
        initial_limit=16,
        min_limit=1,
        max_limit=4096,
        goodput_weight=0.5,
        window_samples=32,
        cold_s=2.0,
        min_queue=8,
    ):
        self.initial_limit = initial_limit
        self.min_limit = min_limit
        self.max_limit = max_limit
        self.goodput_weight = goodput_weight
        self.window_samples = window_samples
        self.cold_s = cold_s
        self.min_queue = min_queue
        self.in_flight_ = 0
        self._limit = _limit.ConcurrencyLimit(
            initial_limit, min_limit, max_limit, window_samples, cold_s
        )
        self._queue = _queue.TicketQueue()
        self._expired = {}
        self._shed_estimator = _shedding.ShedEstimator()
        self._service_times = _service_time.ServiceTimes()
        self._report_factor = 1.0
        self._report_expires_at = 0.0
        self._applied_limit = initial_limit

    def set_goodput_weight(self, goodput_weight):
        """Set the weight of goodput against recovery time."""
        self.goodput_weight = goodput_weight

    def offer(self, ticket, now):
        """Admit, queue or refuse the ticket."""
        self._shed_estimator.record_offered(ticket, now)
        if self._misses_deadline(ticket, now):
            return _base.Decision(
                _base.Verdict.REFUSE, results.Result.DEADLINE_TOO_SHORT
            )
        if self._can_admit(ticket, now):
            self.in_flight_ += 1
            return _base.Decision(_base.Verdict.ADMIT)
        return self._enqueue(ticket, now)

    def release(self, ticket, sample, now):
        """Record the sample and admit queued tickets up to the limit."""
        self._record_sample(ticket, sample, now)
        self.in_flight_ -= 1
        admitted = []
        limit = self._applied_limit = self._latest_limit(now)
        while self._queue and self.in_flight_ < limit:
            waiting = self._queue.pop_first()
            if self._misses_deadline(waiting, now):
                self._expired[waiting.attempt_id] = waiting
                continue
            self.in_flight_ += 1
            admitted.append(waiting)
        return admitted

    def withdraw(self, ticket, now):
        """Remove the ticket from the queue."""
        self._queue.remove(ticket.attempt_id)
        self._expired.pop(ticket.attempt_id, None)

    def expire(self, now):
        """Remove queued tickets that cannot meet their deadlines."""
        self._expire_queue(now)
        expired, self._expired = list(self._expired.values()), {}
        for ticket in expired:
            self._shed_estimator.record_shed(ticket, now)
        return expired

    def shed_level(self, now):
        """Return the level estimated from recently shed tickets."""
        return self._shed_estimator.level(now)

    def load(self, now):
        """Return the attempts in flight and queued, and the limit."""
        return _base.Load(
            self.in_flight_, self._effective_limit(now), len(self._queue)
        )

    def start_cold(self, slots, now):
        """Start with a low limit; running attempts stay in flight."""
        self._limit.start_cold(slots, now)
        self._service_times = _service_time.ServiceTimes()

    def record_upstream_report(self, in_flight, slots, healthy, now):
        """Lower the limit if the upstream reports as full or unhealthy."""
        full = slots > 0 and in_flight >= slots
        reduction = 0.0 if healthy and not full else MAX_REPORT_REDUCTION
        self._report_factor = 1.0 - reduction
        self._report_expires_at = now + MAX_REPORT_AGE_S

    def retry_after_s(self, now):
        """Return a wait that grows with the share of the ranks shed."""
        shed_share = self._shed_estimator.shed_share(now)
        span_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        return MIN_RETRY_AFTER_S + span_s * shed_share

    def service_time_s(self, now):
        """Return the shortest estimated service time of any rank."""
        return self._service_times.shortest_s(now)

    def _can_admit(self, ticket, now):
        if self.in_flight_ >= self._effective_limit(now):
            return False
        return not self._queue or _is_more_important(
            ticket, self._queue.first()
        )

    def _enqueue(self, ticket, now):
        max_length = self._max_queue_length(now)
        if len(self._queue) >= max_length:
            self._expire_queue(now)
        displaced = []
        while len(self._queue) >= max_length:
            if not _is_more_important(ticket, self._queue.last()):
                self._shed_estimator.record_shed(ticket, now)
                return _base.Decision(
                    _base.Verdict.REFUSE,
                    results.Result.SHED,
                    tuple(displaced),
                )
            least_important = self._queue.pop_last()
            self._shed_estimator.record_shed(least_important, now)
            displaced.append(least_important)
        self._queue.push(ticket)
        return _base.Decision(_base.Verdict.QUEUE, displaced=tuple(displaced))

    def _record_sample(self, ticket, sample, now):
        self._shed_estimator.record_finished(ticket, sample.refused, now)
        if (
            not sample.refused
            or not self._shed_estimator.refusals_follow_importance()
        ):
            tolerance = BASE_TOLERANCE + TOLERANCE_GAIN * self.goodput_weight
            self._limit.record(sample, self.in_flight_, tolerance, now)
        if sample.complete:
            self._service_times.record(ticket.rank, sample.latency_s, now)

    def _expire_queue(self, now):
        late = self._queue.pop_where(lambda t: self._misses_deadline(t, now))
        self._expired.update((t.attempt_id, t) for t in late)

    def _misses_deadline(self, ticket, now):
        expected_s = self._service_times.expected_s(ticket.rank, now)
        return ticket.deadline - now <= expected_s

    def _effective_limit(self, now):
        # While tickets are queued, only `release` applies a higher limit.
        # Otherwise new tickets would take the added slots before queued ones.
        latest = self._latest_limit(now)
        if not self._queue or latest < self._applied_limit:
            self._applied_limit = latest
        return self._applied_limit

    def _latest_limit(self, now):
        limit = self._limit.value(now)
        if now < self._report_expires_at:
            return max(1, int(limit * self._report_factor))
        return limit

    def _max_queue_length(self, now):
        share = BASE_QUEUE_SHARE + QUEUE_SHARE_GAIN * self.goodput_weight
        return max(self.min_queue, int(share * self._effective_limit(now)))


def _is_more_important(ticket, other):
    return (ticket.rank, ticket.shed_hash) < (other.rank, other.shed_hash)
