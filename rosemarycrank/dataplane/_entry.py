"""The entry side of a call: from a client's request to its answer."""

import heapq
import itertools
import logging

import attrs

from rosemarycrank.dataplane import _budget
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1

#: Seconds between looks for requests whose time has passed.
SWEEP_S = 0.02

#: Most nodes that one request is offered to, whether or not it arrived at a
#: target: a bound on the work for one request while targets come and go.
MOST_OFFERS = 6

#: Share of first arrivals that may be repeated by this node, of the ratio
#: that all nodes are allowed: the rest is slack for windows that are uneven.
BUDGET_SHARE = 0.7

#: Longest Retry-After, and shortest, in seconds.
LONGEST_RETRY_AFTER_S = 1.0
SHORTEST_RETRY_AFTER_S = 0.1

#: Times by which Retry-After grows when all requests are refused.
LATER_BY_SHARE = 4.0

#: Least time left for another try, in seconds.
LEAST_RETRY_S = 0.02

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
_LOG = logging.getLogger(__name__)

#: Ends of an attempt in which it never arrived at a target.
_NEVER_ARRIVED = frozenset(
    int(reason)
    for reason in (
        _frames.Reason.OTHER_TARGET,
        _frames.Reason.LEAVING,
        _frames.Reason.NOT_ANNOUNCED,
        _frames.Reason.QUEUE_EXPIRED,
        _frames.Reason.QUEUE_FULL,
        _frames.Reason.NODE_UNREACHABLE,
        _frames.Reason.CONNECT_FAILED,
    )
)


#: Ends of an attempt without an answer that are the target's own doing.
_TARGET_FAILURES = frozenset(
    int(reason)
    for reason in (
        _frames.Reason.REFUSED_BY_TARGET,
        _frames.Reason.ANSWER_LOST,
        _frames.Reason.ANSWER_INVALID,
    )
)


@attrs.define(eq=False, slots=True)
class Exchange:
    """A client's request and its answer.

    Attributes
    ----------
    request_id : bytes
        Identifier that the client gave.
    connection : ClientConnection
        Where the answer goes.
    keep_alive : bool
        Whether the connection may carry another request.
    message : Message or None
        The request; dropped with the answer.
    arrived_at, deadline_at : float
        Seconds of the node's clock.
    route : Route or None
        Its route.
    service : str
        Service that it goes to.
    head : bytes
        Request line and headers as they are passed on.
    response : bytes or None
        The encoded answer.
    attempt_number : int
        Attempt under way; 0 for none.
    peer : object
        Where that attempt is.
    instance : str
        Target of that attempt.
    tried : list of str
        Nodes that it was offered to.
    arrivals : int
        Attempts that may have arrived at a target.
    may_have_run : bool
        Whether a target may have run it.
    from_target : bool
        Whether the local target sent it, as a call for what it runs.
    rank : float
        How urgent it is, 0 most: by the configuration, or as that for which
        the local target calls.
    """

    request_id: bytes
    connection: object
    keep_alive: bool
    message: object
    arrived_at: float
    deadline_at: float = 0.0
    route: object = None
    service: str = ''
    head: bytes = b''
    response: object = None
    attempt_number: int = 0
    peer: object = None
    instance: str = ''
    tried: list = attrs.field(factory=list)
    arrivals: int = 0
    may_have_run: bool = False
    from_target: bool = False
    rank: float = 0.0


class EntrySide:
    """Routes requests, makes attempts and gives the answers.

    Parameters
    ----------
    node : Node
        ``reactor``, ``configuration``, ``directory``, ``peer(address)`` and
        ``peers_by_node``.
    names : HeaderNames
        Names of header fields.
    caller_service : str
        Service of the VM, told to targets.
    chooser : TargetChooser
        Choice of targets.
    picker : ServicePicker
        Choice among weighted services.
    budget : RetryBudgetSettings
        Bounds on repeats.
    counters : Counters
        Counts for the metrics page.
    random : random.Random
        Random source.

    Attributes
    ----------
    under_way : int
        Requests without an answer.
    closed : bool
        Whether requests of clients are refused, as the node stops.
    closed_to_calls : bool
        Whether calls of the target are refused then too.
    """

    def __init__(
        self,
        node,
        names,
        caller_service,
        chooser,
        picker,
        budget,
        counters,
        random,
    ):
        self.node = node
        self.names = names
        self.caller_service = caller_service
        self.chooser = chooser
        self.picker = picker
        self.budget = budget
        self.counters = counters
        self.random = random
        self.under_way = 0
        self.closed = False
        self.closed_to_calls = False
        self._dropped = names.set_by_nodes()
        self._caller_header = b'%b: %b\r\n' % (
            names.caller_service,
            caller_service.encode(),
        )
        self._budgets_by_service = {}
        self._expiring = []
        self._sequence = itertools.count()
        node.reactor.timers.every(SWEEP_S, self._expire)

    def open(self, message, connection):
        """Return the exchange of a request that was read.

        Parameters
        ----------
        message : Message
            The request.
        connection : ClientConnection
            Where it came from.
        """
        self.counters.requests += 1
        self.under_way += 1
        return Exchange(
            message.values_by_name.get(self.names.request_id, b''),
            connection,
            message.keep_alive,
            message,
            self.node.reactor.now(),
        )

    def refuse_message(self, error, connection):
        """Return the answered exchange of what is not a valid request.

        Parameters
        ----------
        error : MessageError
            What is wrong with it.
        connection : ClientConnection
            Where it came from.
        """
        self.under_way += 1
        now = self.node.reactor.now()
        exchange = Exchange(b'', connection, False, None, now)
        self._log_refusal(exchange, error.status, error.reason)
        exchange.response = _http1.response(error.status)
        self._close(exchange, error.status)
        return exchange

    def begin(self, exchange):
        """Route a request and make its first attempt."""
        configuration = self.node.configuration
        if configuration is None:
            self._refuse(exchange, 503, 'no configuration yet')
            return
        message = exchange.message
        values = message.values_by_name
        route = configuration.match(values[b'host'], message.target)
        if route is None:
            self._refuse(exchange, 404, 'no route')
            return
        if not exchange.request_id:
            self._refuse(exchange, 400, 'no request id')
            return
        wait_s = route.timeout_s
        asked_until = None
        deadline_ms = values.get(self.names.deadline_ms)
        if deadline_ms is not None:
            if not deadline_ms.isdigit() or len(deadline_ms) > 9:
                self._refuse(exchange, 400, 'deadline is not a number')
                return
            asked_s = int(deadline_ms) / 1000.0
            asked_until = exchange.arrived_at + asked_s
            wait_s = min(wait_s, asked_s)
        exchange.route = route
        exchange.deadline_at = exchange.arrived_at + wait_s
        exchange.service = self.picker.pick(route)
        exchange.rank = float(route.priority)
        if not self._admit(exchange, asked_until):
            self._refuse(exchange, 503, 'shed at the front')
            return
        exchange.head = b'%b %b HTTP/1.1\r\n%b%b' % (
            message.method,
            message.target,
            _http1.forwarded_headers(message, self._dropped),
            self._caller_header,
        )
        heapq.heappush(
            self._expiring,
            (exchange.deadline_at, next(self._sequence), exchange),
        )
        self._attempt(exchange)

    def _admit(self, exchange, asked_until):
        node = self.node
        route = exchange.route
        from_client = node.origins.record_request(
            route.name,
            exchange.arrived_at,
            node.target_side.idle_s(exchange.arrived_at),
            lambda: (
                asked_until is not None
                and node.costs.outlasts_runs(asked_until)
            ),
        )
        if self.closed and (from_client or self.closed_to_calls):
            return False
        if from_client:
            return node.front.admit(route, exchange.service)
        # What targets call is never refused here: the requests for which
        # they call have been let in already.
        exchange.from_target = True
        rank = node.costs.record_call(
            exchange.service, route.name, asked_until
        )
        if rank is not None:
            exchange.rank = rank
        return True

    def abandon(self, exchange):
        """Give a request up whose client is gone."""
        if exchange.response is not None:
            return
        self.counters.cancelled += 1
        if exchange.attempt_number:
            exchange.peer.cancel(exchange.attempt_number)
        exchange.response = b''
        self._close(exchange, 0)

    def _attempt(self, exchange):
        records = self.node.directory.ready_targets(exchange.service)
        candidates = self._candidates(records, exchange.tried)
        if not candidates:
            self._give_up(exchange, 'no target')
            return
        now = self.node.reactor.now()
        route = exchange.route
        record = self.chooser.choose(
            candidates, self.node.peers_by_node, route.aim_s, now
        )
        exchange.instance = record.instance
        if not exchange.arrivals:
            self._budget_of(exchange.service).earn()
        self.node.last_attempt_number += 1
        number = self.node.last_attempt_number
        attempt = _frames.Attempt(
            number,
            record.instance,
            len(exchange.tried),
            max(1, int((exchange.deadline_at - now) * 1000.0)),
            int((exchange.arrived_at + route.aim_s - now) * 1000.0),
            exchange.rank,
            route.idempotent,
            route.name,
            exchange.request_id,
            exchange.head,
            exchange.message.body,
        )
        exchange.attempt_number = number
        exchange.tried.append(record.node)
        exchange.peer = self.node.peer(record.node)
        exchange.peer.send(
            attempt, lambda result: self._ended(exchange, result)
        )

    def _candidates(self, records, tried):
        peers = self.node.peers_by_node
        usable = []
        doubtful = []
        for record in records:
            if record.node in tried:
                continue
            peer = peers.get(record.node)
            if peer is not None and peer.leaving:
                continue
            if peer is not None and not peer.reachable:
                doubtful.append(record)
            else:
                usable.append(record)
        return usable or doubtful

    def _ended(self, exchange, result):
        if exchange.response is not None:
            return
        exchange.attempt_number = 0
        self._note_end(exchange, result)
        if result.outcome == _COMPLETE:
            exchange.arrivals += 1
            self._answer(exchange, result)
            return
        reason = _frames.Reason(result.reason)
        if result.reason not in _NEVER_ARRIVED:
            exchange.arrivals += 1
        if result.outcome != _NOT_RUN:
            exchange.may_have_run = True
        if self._may_repeat(exchange, result):
            self.counters.retries_by_reason[reason.name.lower()] += 1
            _LOG.info(
                'sent elsewhere after %s',
                reason.name.lower(),
                extra={
                    'event': 'retry',
                    'request_id': exchange.request_id,
                    'last': exchange.tried[-1],
                    'offers': len(exchange.tried),
                    'arrivals': exchange.arrivals,
                },
            )
            self._attempt(exchange)
        else:
            self._give_up(exchange, reason.name.lower())

    def _note_end(self, exchange, result):
        """Tell the chooser of what a target served, refused or failed."""
        complete = result.outcome == _COMPLETE
        if complete or result.reason in _TARGET_FAILURES:
            self.chooser.ended(
                exchange.instance,
                not complete or result.status >= 500,
                self.node.reactor.now(),
            )

    def _may_repeat(self, exchange, result):
        route = exchange.route
        if exchange.may_have_run and not route.idempotent:
            return False
        if exchange.arrivals >= route.max_attempts:
            return False
        if len(exchange.tried) >= MOST_OFFERS:
            return False
        now = self.node.reactor.now()
        if now + LEAST_RETRY_S > exchange.deadline_at:
            return False
        if exchange.arrivals == 0:
            return True
        return self._budget_of(exchange.service).spend(exchange.rank)

    def _budget_of(self, service):
        budget = self._budgets_by_service.get(service)
        if budget is None:
            settings = self.budget
            nodes = max(1, len(self.node.directory.records_by_node))
            budget = _budget.RepeatBudget(
                settings.ratio * BUDGET_SHARE,
                max(1.0, settings.slack * BUDGET_SHARE / nodes),
            )
            self._budgets_by_service[service] = budget
        return budget

    def _give_up(self, exchange, reason):
        if exchange.may_have_run:
            late = self.node.reactor.now() >= exchange.deadline_at
            self._refuse(exchange, 504 if late else 502, reason)
        else:
            self._refuse(exchange, 503, reason)

    def _refuse(self, exchange, status, reason):
        self._log_refusal(exchange, status, reason)
        headers = b''
        if exchange.request_id:
            headers = b'%b: %b\r\n' % (
                self.names.request_id,
                exchange.request_id,
            )
        if status == 503:
            retry_after_s = self._retry_after_s(exchange)
            headers += b'Retry-After: %.2f\r\n' % retry_after_s
        exchange.response = _http1.response(status, headers)
        self._close(exchange, status)
        exchange.connection.response_ready(exchange)

    def _retry_after_s(self, exchange):
        # Spread over the interval, so that clients do not come back at
        # once. The more is refused, the longer it will take until there is
        # room, and the less use is an early return.
        longest_s = LONGEST_RETRY_AFTER_S
        if exchange.route is not None:
            longest_s = min(longest_s, exchange.route.timeout_s / 6.0)
            share = self.node.front.refused_share(
                exchange.route, exchange.service
            )
            longest_s *= 1.0 + LATER_BY_SHARE * share
        span_s = max(0.0, longest_s - SHORTEST_RETRY_AFTER_S)
        return SHORTEST_RETRY_AFTER_S + span_s * self.random.random()

    def _log_refusal(self, exchange, status, reason):
        self.counters.refusals_by_reason[reason] += 1
        configuration = self.node.configuration
        now = self.node.reactor.now()
        _LOG.info(
            'answered %d: %s',
            status,
            reason,
            extra={
                'event': 'refused',
                'request_id': exchange.request_id,
                'status': status,
                'route': exchange.route.name if exchange.route else None,
                'service': exchange.service,
                'tried': exchange.tried,
                'may_have_run': exchange.may_have_run,
                'waited_s': round(now - exchange.arrived_at, 4),
                'configuration': (
                    configuration.version if configuration else None
                ),
                'targets': len(
                    self.node.directory.ready_targets(exchange.service)
                ),
                # Share to keep away and age in seconds, by service.
                'pressures': self.node.front.pressures(now),
            },
        )

    def _answer(self, exchange, result):
        status = result.status
        body = result.body
        exchange.response = (
            b'HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b'
            % (
                status,
                _http1.REASON_PHRASES_BY_STATUS.get(status, b'Status'),
                result.head,
                len(body),
                body,
            )
        )
        self._close(exchange, status)
        exchange.connection.response_ready(exchange)

    def _close(self, exchange, status):
        self.under_way -= 1
        exchange.message = None
        exchange.head = b''
        if not status:
            return
        now = self.node.reactor.now()
        self.counters.answers_by_status[status] += 1
        self.counters.request_time.observe(now - exchange.arrived_at)
        if exchange.from_target:
            self.node.costs.record_answer(now)

    def _expire(self, now):
        expiring = self._expiring
        while expiring and expiring[0][0] <= now:
            exchange = heapq.heappop(expiring)[2]
            if exchange.response is not None:
                continue
            if exchange.attempt_number:
                exchange.peer.cancel(exchange.attempt_number)
                exchange.attempt_number = 0
                exchange.may_have_run = True
                self.chooser.ended(exchange.instance, True, now)
            self._give_up(exchange, 'deadline')
