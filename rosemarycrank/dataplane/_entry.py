"""Entry side of a call: routes a request, retries it and responds."""

import heapq
import itertools
import logging
import math

import attrs

from rosemarycrank.dataplane import _budget
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1

#: Seconds between checks for requests whose deadline has passed.
SWEEP_INTERVAL_S = 0.02

#: Maximum number of nodes to which one request is sent, whether or not it
#: reached a target there. Bounds the work per request while targets start
#: and stop.
MAX_NODES_TRIED = 6

#: Share of the configured retry budget that this node uses. The remainder
#: absorbs the unevenness of short measurement windows.
RETRY_BUDGET_SHARE = 0.7

#: Bounds of the Retry-After header, in seconds, while nothing is shed.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1

#: Relative growth of the upper bound of Retry-After when all requests of a
#: route are shed; the growth is proportional to the share that is shed.
RETRY_AFTER_SHED_GROWTH = 4.0

#: Minimum time left before the deadline for a retry, in seconds.
MIN_RETRY_TIME_LEFT_S = 0.02

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
_LOG = logging.getLogger(__name__)

#: Reasons of results without a response that are the target's fault.
_TARGET_FAILURE_REASONS = frozenset(
    int(reason)
    for reason in (
        _frames.Reason.REFUSED_BY_TARGET,
        _frames.Reason.ANSWER_LOST,
        _frames.Reason.ANSWER_INVALID,
    )
)


@attrs.define(eq=False, slots=True)
class Exchange:
    """A request from a client or the local target, and its response.

    Attributes
    ----------
    request_id : bytes
        Request identifier set by the sender; empty if missing.
    connection : ClientConnection
        Connection on which the response is written.
    keep_alive : bool
        Whether the connection may carry another request.
    message : Message or None
        The parsed request; None once the response is set.
    arrived_at, deadline_at : float
        Arrival time and deadline, in seconds of the node's clock.
    route : Route or None
        The matching route; None until the request is routed.
    service : str
        Service to which the request is sent.
    head : bytes
        Request line and headers as they are forwarded.
    response : bytes or None
        The encoded response; None while the request is in flight.
    attempt_number : int
        Number of the attempt in flight; 0 if there is none.
    peer : object
        Peer to which the newest attempt was sent.
    instance : str
        Target to which the newest attempt was sent.
    tried_nodes : list of str
        Nodes to which the request was sent, in order.
    deliveries : int
        Number of attempts that may have reached a target.
    may_have_run : bool
        Whether a target may have run the request.
    from_target : bool
        Whether the local target sent the request as a call that it makes
        while it runs another request.
    rank : float
        Urgency; 0 is the most urgent. The priority of the route or, for a
        call of the local target, the rank of the request for which it is
        made.
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
    tried_nodes: list = attrs.field(factory=list)
    deliveries: int = 0
    may_have_run: bool = False
    from_target: bool = False
    rank: float = 0.0


def _may_have_reached_target(result):
    """Return whether the attempt of a result may have reached a target.

    Only the outcome proves that it has not. The reason states what became of
    the connection, over which the attempt may have been sent before.
    """
    return (
        result.outcome != _NOT_RUN
        or result.reason == _frames.Reason.REFUSED_BY_TARGET
    )


class EntrySide:
    """Routes requests, sends attempts to targets and writes the responses.

    Parameters
    ----------
    node : Node
        The node, with the state that both sides of a call share.
    names : HeaderNames
        Names of header fields.
    caller_service : str
        Service of the local target, sent to targets in a header field.
    chooser : TargetChooser
        Chooses the target of each attempt.
    picker : ServicePicker
        Chooses among the weighted services of a route.
    budget_settings : RetryBudgetSettings
        Limits on retries.
    counters : Counters
        Counters for the metrics page.
    random : random.Random
        Random source.

    Attributes
    ----------
    in_flight : int
        Number of requests without a response.
    refuses_clients : bool
        Whether requests from clients are refused because the node is
        stopping.
    refuses_target_calls : bool
        Whether calls of the local target are refused too; has an effect
        only while `refuses_clients` is set.
    latest_run_end_at : float
        Latest deadline given to attempts, in seconds of the node's clock.
        Infinite except during a planned stop.
    """

    def __init__(
        self,
        node,
        names,
        caller_service,
        chooser,
        picker,
        budget_settings,
        counters,
        random,
    ):
        self.node = node
        self.names = names
        self.caller_service = caller_service
        self.chooser = chooser
        self.picker = picker
        self.budget_settings = budget_settings
        self.counters = counters
        self.random = random
        self.in_flight = 0
        self.refuses_clients = False
        self.refuses_target_calls = False
        self.latest_run_end_at = math.inf
        self._dropped_headers = names.set_by_nodes()
        self._caller_header = b'%b: %b\r\n' % (
            names.caller_service,
            caller_service.encode(),
        )
        self._retry_budgets_by_service = {}
        self._deadline_heap = []
        self._tie_breakers = itertools.count()
        node.reactor.timers.every(SWEEP_INTERVAL_S, self._expire)

    def open(self, message, connection):
        """Return a new exchange for a request.

        Parameters
        ----------
        message : Message
            The parsed request.
        connection : ClientConnection
            Connection on which it arrived.
        """
        self.counters.requests += 1
        self.in_flight += 1
        return Exchange(
            message.values_by_name.get(self.names.request_id, b''),
            connection,
            message.keep_alive,
            message,
            self.node.reactor.now(),
        )

    def refuse_message(self, error, connection):
        """Return an exchange with the error response to an invalid request.

        Parameters
        ----------
        error : MessageError
            The parse error, with the status of the response.
        connection : ClientConnection
            Connection on which the request arrived.
        """
        self.in_flight += 1
        now = self.node.reactor.now()
        exchange = Exchange(b'', connection, False, None, now)
        self._log_refusal(exchange, error.status, error.reason)
        exchange.response = _http1.response(error.status)
        self._finish(exchange, error.status)
        return exchange

    def begin(self, exchange):
        """Route a request and send its first attempt, or refuse it."""
        configuration = self.node.configuration
        if configuration is None:
            self._refuse(exchange, 503, 'no configuration yet')
            return
        message = exchange.message
        headers = message.values_by_name
        route = configuration.match(headers[b'host'], message.target)
        if route is None:
            self._refuse(exchange, 404, 'no route')
            return
        if not exchange.request_id:
            self._refuse(exchange, 400, 'no request id')
            return
        timeout_s = route.timeout_s
        requested_deadline_at = None
        deadline_ms = headers.get(self.names.deadline_ms)
        if deadline_ms is not None:
            if not deadline_ms.isdigit() or len(deadline_ms) > 9:
                self._refuse(exchange, 400, 'deadline is not a number')
                return
            requested_s = int(deadline_ms) / 1000.0
            requested_deadline_at = exchange.arrived_at + requested_s
            timeout_s = min(timeout_s, requested_s)
        exchange.route = route
        exchange.deadline_at = exchange.arrived_at + timeout_s
        exchange.service = self.picker.pick(route)
        exchange.rank = float(route.priority)
        refusal = self._refusal_reason(exchange, requested_deadline_at)
        if refusal is not None:
            self._refuse(exchange, 503, refusal)
            return
        exchange.head = b'%b %b HTTP/1.1\r\n%b%b' % (
            message.method,
            message.target,
            _http1.forwarded_headers(message, self._dropped_headers),
            self._caller_header,
        )
        heapq.heappush(
            self._deadline_heap,
            (exchange.deadline_at, next(self._tie_breakers), exchange),
        )
        self._send_attempt(exchange)

    def _refusal_reason(self, exchange, requested_deadline_at):
        """Return why a request is refused unsent; None if it is admitted."""
        node = self.node
        route = exchange.route
        from_client = node.origins.record_request(
            route.name,
            exchange.arrived_at,
            node.target_side.idle_s(exchange.arrived_at),
            lambda: (
                requested_deadline_at is not None
                and node.costs.outlasts_runs(requested_deadline_at)
            ),
        )
        if self.refuses_clients and (from_client or self.refuses_target_calls):
            return 'node stopping'
        if exchange.arrived_at >= self.latest_run_end_at:
            return 'node stopping'
        if from_client:
            admitted = node.front.admit(route, exchange.service)
            return None if admitted else 'shed at the front'
        # Calls of the local target are not shed here: the requests that
        # cause them have already been admitted.
        exchange.from_target = True
        rank = node.costs.record_call(
            exchange.service, route.name, requested_deadline_at
        )
        if rank is not None:
            exchange.rank = rank
        return None

    def abandon(self, exchange):
        """Cancel a request whose client has disconnected."""
        if exchange.response is not None:
            return
        self.counters.cancelled += 1
        if exchange.attempt_number:
            exchange.peer.cancel(exchange.attempt_number)
        exchange.response = b''
        self._finish(exchange, 0)

    def end_all(self):
        """Answer all requests in flight, as the node is about to exit."""
        for _, _, exchange in list(self._deadline_heap):
            if exchange.response is None:
                self._give_up(exchange, 'node stopping')

    def _send_attempt(self, exchange):
        records = self.node.directory.ready_targets(exchange.service)
        candidates = self._candidates(records, exchange.tried_nodes)
        if not candidates:
            self._fail(exchange, 'no target')
            return
        now = self.node.reactor.now()
        route = exchange.route
        record = self.chooser.choose(
            candidates, self.node.peers_by_node, route.latency_goal_s, now
        )
        exchange.instance = record.instance
        if not exchange.tried_nodes:
            self._retry_budget(exchange.service).deposit()
        self.node.last_attempt_number += 1
        number = self.node.last_attempt_number
        attempt = _frames.Attempt(
            number,
            record.instance,
            len(exchange.tried_nodes),
            max(1, int((self._run_deadline_at(exchange) - now) * 1000.0)),
            int((exchange.arrived_at + route.latency_goal_s - now) * 1000.0),
            exchange.rank,
            route.idempotent,
            route.name,
            exchange.request_id,
            exchange.head,
            exchange.message.body,
        )
        exchange.attempt_number = number
        exchange.tried_nodes.append(record.node)
        exchange.peer = self.node.peer(record.node)
        exchange.peer.send(
            attempt, lambda result: self._handle_result(exchange, result)
        )

    def _run_deadline_at(self, exchange):
        return min(exchange.deadline_at, self.latest_run_end_at)

    def _candidates(self, records, tried_nodes):
        """Return untried targets, those of silent peers only if needed.

        Targets of unreachable peers are the last resort; targets whose node
        is stopping are never returned.
        """
        peers = self.node.peers_by_node
        usable = []
        silent = []
        unreachable = []
        for record in records:
            if record.node in tried_nodes:
                continue
            peer = peers.get(record.node)
            if peer is None or peer.responsive and not peer.leaving:
                usable.append(record)
            elif peer.leaving:
                continue
            elif peer.reachable:
                silent.append(record)
            else:
                unreachable.append(record)
        return usable or silent or unreachable

    def _handle_result(self, exchange, result):
        if exchange.response is not None:
            return
        exchange.attempt_number = 0
        self._record_outcome(exchange, result)
        if result.outcome == _COMPLETE:
            exchange.deliveries += 1
            self._respond(exchange, result)
            return
        reason = _frames.Reason(result.reason)
        if _may_have_reached_target(result):
            exchange.deliveries += 1
        if result.outcome != _NOT_RUN:
            exchange.may_have_run = True
        if self._may_retry(exchange, result):
            self.counters.retries_by_reason[reason.name.lower()] += 1
            _LOG.info(
                'retrying on another node after %s',
                reason.name.lower(),
                extra={
                    'event': 'retry',
                    'request_id': exchange.request_id,
                    'last': exchange.tried_nodes[-1],
                    'offers': len(exchange.tried_nodes),
                    'arrivals': exchange.deliveries,
                },
            )
            self._send_attempt(exchange)
        else:
            self._fail(exchange, reason.name.lower())

    def _record_outcome(self, exchange, result):
        """Report to the chooser whether the target served the attempt.

        Results that are not due to the target are not reported.
        """
        complete = result.outcome == _COMPLETE
        if complete or result.reason in _TARGET_FAILURE_REASONS:
            self.chooser.record_outcome(
                exchange.instance,
                not complete or result.status >= 500,
                self.node.reactor.now(),
            )

    def _may_retry(self, exchange, result):
        route = exchange.route
        if exchange.may_have_run and not route.idempotent:
            return False
        if exchange.deliveries >= route.max_attempts:
            return False
        if len(exchange.tried_nodes) >= MAX_NODES_TRIED:
            return False
        now = self.node.reactor.now()
        if now + MIN_RETRY_TIME_LEFT_S > self._run_deadline_at(exchange):
            return False
        if exchange.deliveries == 0:
            return True
        return self._retry_budget(exchange.service).try_spend(exchange.rank)

    def _retry_budget(self, service):
        """Return this node's retry budget for a service.

        The settings hold for all nodes together, so the slack is divided
        among the known nodes.
        """
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            settings = self.budget_settings
            node_count = max(1, len(self.node.directory.records_by_node))
            budget = _budget.RetryBudget(
                settings.ratio * RETRY_BUDGET_SHARE,
                max(1.0, settings.slack * RETRY_BUDGET_SHARE / node_count),
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    def _fail(self, exchange, reason):
        """Refuse a request after its last attempt.

        A 503 promises that the request did not run; 502 and 504 leave it
        open.
        """
        if exchange.may_have_run:
            timed_out = self.node.reactor.now() >= exchange.deadline_at
            self._refuse(exchange, 504 if timed_out else 502, reason)
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
        self._finish(exchange, status)
        exchange.connection.response_ready(exchange)

    def _retry_after_s(self, exchange):
        # A random value, so that clients do not all retry at the same time.
        # The larger the share that is shed, the longer it takes until there
        # is capacity again, and the less likely an early retry succeeds.
        max_s = MAX_RETRY_AFTER_S
        if exchange.route is not None:
            max_s = min(max_s, exchange.route.timeout_s / 6.0)
            share = self.node.front.refused_share(
                exchange.route, exchange.service
            )
            max_s *= 1.0 + RETRY_AFTER_SHED_GROWTH * share
        range_s = max(0.0, max_s - MIN_RETRY_AFTER_S)
        return MIN_RETRY_AFTER_S + range_s * self.random.random()

    def _log_refusal(self, exchange, status, reason):
        self.counters.refusals_by_reason[reason] += 1
        configuration = self.node.configuration
        now = self.node.reactor.now()
        _LOG.info(
            'responded with status %d: %s',
            status,
            reason,
            extra={
                'event': 'refused',
                'request_id': exchange.request_id,
                'status': status,
                'route': exchange.route.name if exchange.route else None,
                'service': exchange.service,
                'tried': exchange.tried_nodes,
                'may_have_run': exchange.may_have_run,
                'from_target': exchange.from_target,
                'waited_s': round(now - exchange.arrived_at, 4),
                'remaining_ms': (
                    int((exchange.deadline_at - now) * 1000.0)
                    if exchange.route
                    else None
                ),
                'configuration': (
                    configuration.version if configuration else None
                ),
                'targets': len(
                    self.node.directory.ready_targets(exchange.service)
                ),
                # Share of the load to shed and age in seconds, by service.
                'pressures': self.node.front.pressures(now),
            },
        )

    def _respond(self, exchange, result):
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
        self._finish(exchange, status)
        exchange.connection.response_ready(exchange)

    def _finish(self, exchange, status):
        """Count a response; a status of 0 stands for a cancelled request."""
        self.in_flight -= 1
        exchange.message = None
        exchange.head = b''
        if not status:
            return
        now = self.node.reactor.now()
        self.counters.responses_by_status[status] += 1
        self.counters.request_time.observe(now - exchange.arrived_at)
        if exchange.from_target:
            self.node.costs.record_answer(now)

    def _expire(self, now):
        heap = self._deadline_heap
        while heap and heap[0][0] <= now:
            exchange = heapq.heappop(heap)[2]
            if exchange.response is not None:
                continue
            if exchange.attempt_number:
                self.chooser.record_outcome(exchange.instance, True, now)
            self._give_up(exchange, 'deadline')

    def _give_up(self, exchange, reason):
        """Cancel the attempt of a request and answer the request."""
        if exchange.attempt_number:
            exchange.peer.cancel(exchange.attempt_number)
            exchange.attempt_number = 0
            exchange.may_have_run = True
        self._fail(exchange, reason)
