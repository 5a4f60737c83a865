"""Admission by an adaptive limit and a short queue by importance."""

from rosemarycrank.admission import _base
from rosemarycrank.admission import _limit
from rosemarycrank.admission import _queue
from rosemarycrank.admission import _service_time
from rosemarycrank.admission import _shedding
from rosemarycrank import kernel
from rosemarycrank import results

#: Ratio of latency to its baseline from which on a lower limit is tried,
#: at goodput weight 0 and what is added at 1.
TOLERANCE = 1.3
TOLERANCE_GAIN = 0.7
#: Length of the queue as a share of the limit, likewise.
QUEUE_SHARE = 0.25
QUEUE_SHARE_GAIN = 0.75
#: Effect of the upstream's own report on the limit, at most.
REPORT_EFFECT = 0.1
#: A report is forgotten after this time.
REPORT_VALID_S = 5.0
#: Return of refused callers, without and with complete overload.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@kernel.register('admission', 'adaptive')
class AdaptiveLimit(_base.AdmissionController):
    """Admits as many attempts as the upstream is seen to serve.

    Attempts over the limit wait in a short queue in order of importance.
    An attempt for which the queue has no place takes that of the least
    important one, if that is less important, or is refused at once.

    Parameters
    ----------
    initial_limit : int, default=16
        Limit until the upstream announces its slots.
    min_limit : int, default=1
        Lowest limit.
    max_limit : int, default=4096
        Highest limit.
    goodput_weight : float, default=0.5
        In [0, 1]; 1 favours goodput by longer queues, 0 a quick recovery.
        It may be assigned at any time.
    window_samples : int, default=32
        Samples between two decisions on the limit.
    cold_s : float, default=2.0
        Time over which a cold upstream may reach its slots, in seconds.
    min_queue : int, default=8
        Places in the queue of an upstream with few slots.

    Attributes
    ----------
    in_flight_ : int
        Attempts running.
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
        self._shedding = _shedding.ShedEstimator()
        self._service_times = _service_time.ServiceTimes()
        self._report_factor = 1.0
        self._report_until = 0.0
        self._granted = initial_limit

    def set_goodput_weight(self, goodput_weight):
        """Weigh goodput as the bundle says."""
        self.goodput_weight = goodput_weight

    def offer(self, ticket, now):
        """Admit, queue or refuse the ticket."""
        self._shedding.offered(ticket, now)
        if self._is_late(ticket, now):
            return _base.Decision(
                _base.Verdict.REFUSE, results.Result.DEADLINE_TOO_SHORT
            )
        if self._may_run(ticket, now):
            self.in_flight_ += 1
            return _base.Decision(_base.Verdict.ADMIT)
        return self._enqueue(ticket, now)

    def release(self, ticket, sample, now):
        """Learn from the attempt and admit what its slot allows."""
        self._learn(ticket, sample, now)
        self.in_flight_ -= 1
        admitted = []
        limit = self._granted = self._fresh_limit(now)
        while self._queue and self.in_flight_ < limit:
            waiting = self._queue.pop_first()
            if self._is_late(waiting, now):
                self._expired[waiting.attempt_id] = waiting
                continue
            self.in_flight_ += 1
            admitted.append(waiting)
        return admitted

    def withdraw(self, ticket, now):
        """Take the ticket out of the queue."""
        self._queue.remove(ticket.attempt_id)
        self._expired.pop(ticket.attempt_id, None)

    def expire(self, now):
        """Take out what can no longer be served in time."""
        self._expire_queue(now)
        expired, self._expired = list(self._expired.values()), {}
        for ticket in expired:
            self._shedding.shed(ticket, now)
        return expired

    def shed_level(self, now):
        """Return the level from what was shed in the last windows."""
        return self._shedding.level(now)

    def load(self, now):
        """Return attempts running and queued, and the limit."""
        return _base.Load(
            self.in_flight_, self._limit_value(now), len(self._queue)
        )

    def start_cold(self, slots, now):
        """Begin with a low limit; what runs goes on to count."""
        self._limit.start_cold(slots, now)
        self._service_times = _service_time.ServiceTimes()

    def record_upstream_report(self, in_flight, slots, healthy, now):
        """Lower the limit a little if the upstream says that it is full."""
        full = slots > 0 and in_flight >= slots
        effect = 0.0 if healthy and not full else REPORT_EFFECT
        self._report_factor = 1.0 - effect
        self._report_until = now + REPORT_VALID_S

    def retry_after_s(self, now):
        """Return a time that grows with what is shed."""
        overload = self._shedding.overload(now)
        span_s = MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S
        return MIN_RETRY_AFTER_S + span_s * overload

    def service_time_s(self, now):
        """Return the estimate of the quickest rank."""
        return self._service_times.shortest_s(now)

    def _may_run(self, ticket, now):
        if self.in_flight_ >= self._limit_value(now):
            return False
        return not self._queue or _is_before(ticket, self._queue.first())

    def _enqueue(self, ticket, now):
        bound = self._queue_bound(now)
        if len(self._queue) >= bound:
            self._expire_queue(now)
        displaced = []
        while len(self._queue) >= bound:
            if not _is_before(ticket, self._queue.last()):
                self._shedding.shed(ticket, now)
                return _base.Decision(
                    _base.Verdict.REFUSE,
                    results.Result.SHED,
                    tuple(displaced),
                )
            loser = self._queue.pop_last()
            self._shedding.shed(loser, now)
            displaced.append(loser)
        self._queue.push(ticket)
        return _base.Decision(_base.Verdict.QUEUE, displaced=tuple(displaced))

    def _learn(self, ticket, sample, now):
        self._shedding.ended(ticket, sample.refused, now)
        if not sample.refused or not self._shedding.explains_refusals():
            tolerance = TOLERANCE + TOLERANCE_GAIN * self.goodput_weight
            self._limit.record(sample, self.in_flight_, tolerance, now)
        if sample.complete:
            self._service_times.record(ticket.rank, sample.latency_s, now)

    def _expire_queue(self, now):
        late = self._queue.pop_where(lambda t: self._is_late(t, now))
        self._expired.update((t.attempt_id, t) for t in late)

    def _is_late(self, ticket, now):
        needed_s = self._service_times.needed_s(ticket.rank, now)
        return ticket.deadline - now <= needed_s

    def _limit_value(self, now):
        # While tickets wait, a higher limit takes effect in `release`
        # only: slots that open elsewhere would go to newcomers first.
        fresh = self._fresh_limit(now)
        if not self._queue or fresh < self._granted:
            self._granted = fresh
        return self._granted

    def _fresh_limit(self, now):
        limit = self._limit.value(now)
        if now < self._report_until:
            return max(1, int(limit * self._report_factor))
        return limit

    def _queue_bound(self, now):
        share = QUEUE_SHARE + QUEUE_SHARE_GAIN * self.goodput_weight
        return max(self.min_queue, int(share * self._limit_value(now)))


def _is_before(ticket, other):
    return (ticket.rank, ticket.shed_hash) < (other.rank, other.shed_hash)
