"""The target's side of a call: what runs at the local target, and when.

Whatever other nodes believe, this is where an attempt is admitted, refused,
queued and fenced for the target on the node's own VM.
"""

import heapq
import itertools
import logging

import attrs

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _limit
from rosemarycrank.dataplane import _pressure

#: Seconds between looks for attempts whose time has passed.
SWEEP_S = 0.05

#: Seconds between calculations of the rate of arrivals.
RATE_S = 0.1

#: Seconds that a node whose connection was lost has to come back before
#: its attempts are taken as cancelled.
CALLER_AWAY_S = 1.5

#: Seconds for which the attempts of such a node are remembered: far longer
#: than any request is waited for, so that none comes again after it.
CALLER_KEPT_S = 120.0

#: Seconds after the target announced that it leaves in which attempts that
#: wait may still start; the least bound that deployments set is 2 s.
LEAVING_START_S = 1.0

#: Seconds by which an attempt gives way to one that is more urgent by one
#: rank: more than queues last, so what matters most hardly waits, and short
#: enough that nothing waits for ever.
RANK_S = 0.5

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
_UNKNOWN = int(_frames.Outcome.UNKNOWN)
_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class Served:
    """An attempt at the local target.

    Attributes
    ----------
    caller : Caller
        Node that sent it.
    attempt : rosemarycrank.dataplane.Attempt
        What is asked.
    arrived_at, deadline_at : float
        Seconds of the node's clock.
    connection : UpstreamConnection or None
        Where it runs.
    started_at : float
        When it was sent to the target; 0 while it waits.
    run : rosemarycrank.dataplane._call_links.Run or None
        What it is for those who learn from its calls.
    result : rosemarycrank.dataplane.Result or None
        Its end.
    """

    caller: object
    attempt: object
    arrived_at: float
    deadline_at: float
    connection: object = None
    started_at: float = 0.0
    run: object = None
    result: object = None


class Caller:
    """A node that sends attempts, over all of its connections.

    Parameters
    ----------
    incarnation : int
        Run of that node.

    Attributes
    ----------
    send : callable or None
        Takes a result to it; None while it is away.
    lost_at : float
        When its connection was lost.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.generation = -1
        self.send = None
        self.lost_at = 0.0
        self.served_by_number = {}
        self.forgotten_below = 0

    def forget(self, oldest):
        """Drop what ended before an attempt, as its sender allows."""
        if oldest <= self.forgotten_below:
            return
        self.forgotten_below = oldest
        ended = [
            number
            for number, served in self.served_by_number.items()
            if number < oldest and served.result is not None
        ]
        for number in ended:
            del self.served_by_number[number]


class TargetSide:
    """Admission, queue and calls of the local target.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    pool : UpstreamPool
        Connections to the target.
    names : HeaderNames
        Names of header fields.
    counters : Counters
        Counts for the metrics page.
    costs : CallCosts
        Learns which calls the runs cause.
    front : FrontAdmission
        Knows which services are short of room.

    Attributes
    ----------
    record : TargetRecord or None
        The local target; None until it has announced itself.
    stopping : bool
        Whether the node is about to stop.
    """

    def __init__(self, reactor, pool, names, counters, costs, front):
        self.reactor = reactor
        self.pool = pool
        self.names = names
        self.counters = counters
        self.costs = costs
        self.front = front
        self.arrivals = _pressure.ArrivalRate()
        self.demand = _pressure.ExpectedDemand()
        self._demand_per_s = (0.0, 0.0)
        self.pressures = {}
        self.record = None
        self.stopping = False
        self.limit = _limit.ConcurrencyLimit()
        self.callers_by_incarnation = {}
        self._running = set()
        self._waiting = []
        self._waiting_count = 0
        self._sequence = itertools.count()
        self._left_at = None
        self._last_run_at = reactor.now()
        reactor.timers.every(SWEEP_S, self._sweep)
        reactor.timers.every(RATE_S, self._update_rate)
        reactor.timers.every(_costs.SAMPLE_S, lambda _now: costs.sample())

    def announce(self, record):
        """Take what the local target says of itself.

        Parameters
        ----------
        record : TargetRecord
            Newest record.
        """
        known = self.record
        if known is None or known.instance != record.instance:
            self.limit.reset(record.slots)
            self._left_at = None
        elif known.born_ms != record.born_ms:
            self.limit.reset(record.slots)
            self._left_at = None
        self.record = record
        if record.state != _directory.READY and self._left_at is None:
            self._left_at = self.reactor.now()

    def caller(self, incarnation):
        """Return the state of a calling node, new or known."""
        caller = self.callers_by_incarnation.get(incarnation)
        if caller is None:
            caller = Caller(incarnation)
            self.callers_by_incarnation[incarnation] = caller
        return caller

    def load(self):
        """Return how busy the target is."""
        return _frames.Load(
            len(self._running),
            self._waiting_count,
            self.limit.value,
            self.limit.service_s,
            self.arrivals.per_s,
            *self._demand_per_s,
            self.pressures,
        )

    def idle_s(self, now):
        """Return the seconds since the target last ran something."""
        return 0.0 if self._running else now - self._last_run_at

    def busy(self):
        """Return whether attempts run or wait."""
        return bool(self._running) or self._waiting_count > 0

    def accept(self, caller, attempt):
        """Take an attempt: start it, queue it or refuse it.

        Parameters
        ----------
        caller : Caller
            Node that sent it.
        attempt : rosemarycrank.dataplane.Attempt
            The attempt; one that is known already is not run again.
        """
        number = attempt.number
        known = caller.served_by_number.get(number)
        if known is not None:
            if known.result is not None and caller.send is not None:
                caller.send(known.result)
            return
        now = self.reactor.now()
        served = Served(
            caller, attempt, now, now + attempt.remaining_ms / 1000.0
        )
        if number < caller.forgotten_below:
            self._end(served, _UNKNOWN, _frames.Reason.FORGOTTEN)
            return
        caller.served_by_number[number] = served
        if not attempt.offers:
            self.arrivals.record_arrival()
        reason = self._refusal(attempt, served, now)
        if reason is not None:
            self._end(served, _NOT_RUN, reason)
        elif len(self._running) < self.limit.value:
            self._start(served, now)
        else:
            urgent_at = self._urgent_at(attempt, now)
            heapq.heappush(
                self._waiting, (urgent_at, next(self._sequence), served)
            )
            self._waiting_count += 1

    def cancel(self, caller, number):
        """Give an attempt up, as its sender asks."""
        served = caller.served_by_number.get(number)
        if served is None or served.result is not None:
            return
        self._cancel(served, _frames.Reason.CANCELLED)
        self._fill()

    def _refusal(self, attempt, served, now):
        record = self.record
        if record is None:
            return _frames.Reason.NOT_ANNOUNCED
        if self.stopping:
            return _frames.Reason.LEAVING
        if attempt.instance != record.instance:
            return _frames.Reason.OTHER_TARGET
        if record.state != _directory.READY:
            return _frames.Reason.LEAVING
        if len(self._running) < self.limit.value:
            return None
        urgent_at = self._urgent_at(attempt, now)
        ahead = sum(1 for entry in self._waiting if entry[0] <= urgent_at)
        expected_s = self.limit.expected_wait_s(ahead)
        expected_s += self.limit.min_remaining_s(attempt.route)
        if now + expected_s > served.deadline_at:
            return _frames.Reason.QUEUE_FULL
        return None

    @staticmethod
    def _urgent_at(attempt, now):
        return now + attempt.urgency_ms / 1000.0 + RANK_S * attempt.rank

    def _start(self, served, now):
        attempt = served.attempt
        served.started_at = now
        served.run = _call_links.Run(
            attempt.route, attempt.rank, served.deadline_at
        )
        self.costs.started(served.run)
        self._running.add(served)
        connection = self.pool.acquire(attempt.idempotent)
        served.connection = connection
        remaining_ms = max(1, int((served.deadline_at - now) * 1000.0))
        data = b'%b%b: %d\r\n%b: %b\r\nContent-Length: %d\r\n\r\n%b' % (
            attempt.head,
            self.names.deadline_ms,
            remaining_ms,
            self.names.expected_instance,
            attempt.instance.encode(),
            len(attempt.body),
            attempt.body,
        )
        self.counters.target_sends += 1
        connection.start(
            attempt.request_id,
            data,
            attempt.head.startswith(b'HEAD '),
            lambda answer: self._answered(served, answer),
        )

    def _answered(self, served, answer):
        now = self.reactor.now()
        failed = answer.outcome != _COMPLETE or answer.status >= 500
        self._stopped(served, now, failed)
        took_s = now - served.started_at
        # What fails at once tells nothing of the time that work takes.
        self.limit.observe(served.attempt.route, took_s, not failed)
        self.counters.service_time.observe(took_s)
        self._end(
            served,
            answer.outcome,
            answer.reason,
            answer.status,
            answer.head,
            answer.body,
        )
        self._fill()

    def _stopped(self, served, now, failed):
        if served not in self._running:
            return
        self._running.remove(served)
        self.costs.ended(served.run, now, failed)
        served.connection = None
        self._last_run_at = now

    def _end(self, served, outcome, reason, status=0, head=b'', body=b''):
        attempt = served.attempt
        served.result = _frames.Result(
            attempt.number,
            int(outcome),
            int(reason),
            status,
            head,
            body,
            self.load(),
        )
        if outcome != _COMPLETE:
            self.counters.target_failures_by_reason[int(reason)] += 1
            _LOG.info(
                'attempt ended: %s',
                _frames.Reason(reason).name.lower(),
                extra={
                    'event': 'attempt_ended',
                    'request_id': attempt.request_id,
                    'outcome': _frames.Outcome(outcome).name.lower(),
                    'status': status,
                    'instance': attempt.instance,
                    'remaining_ms': attempt.remaining_ms,
                    'rank': round(attempt.rank, 2),
                    'running': len(self._running),
                    'waiting': self._waiting_count,
                    'limit': self.limit.value,
                    'service_s': round(self.limit.service_s, 4),
                    'waited_s': round(
                        (served.started_at or self.reactor.now())
                        - served.arrived_at,
                        4,
                    ),
                },
            )
        # The request is not needed again; the answer may be.
        attempt.head = attempt.body = b''
        if served.caller.send is not None:
            served.caller.send(served.result)

    def _cancel(self, served, reason):
        attempt = served.attempt
        if served.connection is not None:
            served.connection.abort()
            self._stopped(served, self.reactor.now(), True)
            outcome = _UNKNOWN
        else:
            self._waiting_count -= 1
            outcome = _NOT_RUN
        _LOG.info(
            'attempt given up: %s',
            reason.name.lower(),
            extra={
                'event': 'attempt_given_up',
                'request_id': attempt.request_id,
                'outcome': _frames.Outcome(outcome).name.lower(),
                'instance': attempt.instance,
                'since_arrival_s': round(
                    self.reactor.now() - served.arrived_at, 4
                ),
                'since_start_s': served.started_at
                and round(self.reactor.now() - served.started_at, 4),
            },
        )
        served.result = _frames.Result(
            attempt.number, outcome, int(reason), 0, b'', b'', None
        )
        attempt.head = attempt.body = b''

    def _fill(self):
        waiting = self._waiting
        now = self.reactor.now()
        while waiting and len(self._running) < self.limit.value:
            _, _, served = heapq.heappop(waiting)
            if served.result is not None:
                continue
            self._waiting_count -= 1
            least_s = self.limit.min_remaining_s(served.attempt.route)
            if now + least_s > served.deadline_at:
                self._end(served, _NOT_RUN, _frames.Reason.QUEUE_EXPIRED)
            elif (
                self._left_at is not None
                and now > self._left_at + LEAVING_START_S
            ):
                self._end(served, _NOT_RUN, _frames.Reason.LEAVING)
            else:
                self._start(served, now)

    def _sweep(self, now):
        left = (
            self._left_at is not None and now > self._left_at + LEAVING_START_S
        )
        if self._waiting_count:
            for _, _, served in list(self._waiting):
                if served.result is not None:
                    continue
                least_s = self.limit.min_remaining_s(served.attempt.route)
                if left or now + least_s > served.deadline_at:
                    reason = (
                        _frames.Reason.LEAVING
                        if left
                        else _frames.Reason.QUEUE_EXPIRED
                    )
                    self._waiting_count -= 1
                    self._end(served, _NOT_RUN, reason)
        elif self._waiting:
            self._waiting.clear()
        for served in list(self._running):
            if now > served.deadline_at + SWEEP_S:
                self._cancel(served, _frames.Reason.DEADLINE)
        self._drop_lost_callers(now)
        self._fill()

    def _update_rate(self, now):
        self.arrivals.update(now)
        self._demand_per_s = self.demand.total_per_s(now)
        self.pressures = self.front.pressures(now)

    def _drop_lost_callers(self, now):
        for caller in list(self.callers_by_incarnation.values()):
            if caller.send is not None or now < caller.lost_at + CALLER_AWAY_S:
                continue
            for served in caller.served_by_number.values():
                if served.result is None:
                    self._cancel(served, _frames.Reason.CANCELLED)
            # What it had sent must be known when it comes back, or it
            # would run again.
            if now > caller.lost_at + CALLER_KEPT_S:
                del self.callers_by_incarnation[caller.incarnation]
