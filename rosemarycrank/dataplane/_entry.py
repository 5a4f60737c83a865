"""Entry side of a call: admits and routes a request, and responds."""

import heapq
import itertools
import logging

from rosemarycrank.dataplane import _attempts
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _pauses
from rosemarycrank.dataplane import _refusals
from rosemarycrank.dataplane import _request_digest

#: Seconds between checks for requests whose deadline has passed.
SWEEP_INTERVAL_S = 0.02

#: Number of answered requests that are kept until their deadlines whatever the
#: number of those in flight.
MIN_KEPT_REQUESTS = 256

#: Longest time for which a request waits at a node that has just started, in
#: seconds.
MAX_INFORMATION_WAIT_S = 0.25

_LOG = logging.getLogger(__name__)


class EntrySide:
    """Routes requests, has them sent to targets and writes the responses.

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
        self.picker = picker
        self.counters = counters
        self.in_flight = 0
        self.refuses_clients = False
        self.refuses_target_calls = False
        self._attempts = _attempts.Attempts(
            node,
            chooser,
            budget_settings,
            counters,
            self._respond,
            self._fail,
        )
        self._refusals = _refusals.Refusals(node, names, counters, random)
        self._dropped_headers = names.set_by_nodes()
        self._caller_service = caller_service.encode()
        self._caller_header = b'%b: %b\r\n' % (
            names.caller_service,
            self._caller_service,
        )
        self._deadline_heap = []
        self._tie_breakers = itertools.count()
        self._pauses = _pauses.PauseDetector(node.reactor.now())
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
        return _exchange.Exchange(
            message.values_by_name.get(self.names.request_id, b''),
            connection,
            message.keep_alive,
            message,
            self.node.reactor.now(),
        )

    def refuse_message(self, error, message, connection):
        """Return an exchange with the error response to an invalid request.

        Parameters
        ----------
        error : MessageError
            The parse error, with the status of the response.
        message : Message
            The request as far as it was parsed.
        connection : ClientConnection
            Connection on which the request arrived.
        """
        self.in_flight += 1
        now = self.node.reactor.now()
        exchange = _exchange.Exchange(
            message.values_by_name.get(self.names.request_id, b''),
            connection,
            False,
            None,
            now,
        )
        if isinstance(error, _http1.NoMemoryError):
            error.budget.log_refusal(
                now, error.size, request_id=exchange.request_id
            )
        exchange.response = self._refusals.response(
            exchange, error.status, error.reason
        )
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
        if exchange.deadline_at < self.node.reactor.now():
            # It has waited for its client to read earlier responses.
            self._refuse(exchange, 503, 'deadline')
            return
        exchange.service = self.picker.pick(route)
        exchange.rank = float(route.priority)
        exchange.digest = _request_digest.digest(
            self._caller_service,
            headers[b'host'],
            message.method,
            message.target,
            message.body,
        )
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
        if not self._pauses.is_settled(exchange.arrived_at):
            self._send_later(exchange)
        elif not self.node.is_informed():
            self._send_later(exchange)
        else:
            self._attempts.send(exchange)

    def refuse_unsent(self, exchange, budget, size):
        """Refuse a request that has not begun, as memory is short.

        Parameters
        ----------
        exchange : Exchange
            The request.
        budget : Budget
            Budget that has no room for its response.
        size : int
            Memory for which there is none, in bytes.
        """
        budget.refusals += 1
        budget.log_refusal(
            self.node.reactor.now(), size, request_id=exchange.request_id
        )
        self._refuse(exchange, 503, 'no memory for the response')

    def _send_later(self, exchange):
        """Send the first attempt after a time, if it is still wanted."""
        self.node.reactor.timers.after(
            _pauses.SETTLE_S, lambda now: self._send_if_due(exchange, now)
        )

    def _send_if_due(self, exchange, now):
        if exchange.response is not None:
            return
        waited_s = now - exchange.arrived_at
        if waited_s < MAX_INFORMATION_WAIT_S and not self.node.is_informed():
            self._send_later(exchange)
        else:
            self._attempts.send(exchange)

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
        if exchange.arrived_at >= self._attempts.latest_run_end_at:
            return 'node stopping'
        if self._is_crash_suspect(exchange):
            return _attempts.CRASH_SUSPECT_TEXT
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

    def _is_crash_suspect(self, exchange):
        history = self.node.crash_history
        if not history:
            return False
        exchange.refused_for_s = history.refused_for_s(exchange.digest)
        return exchange.refused_for_s > 0.0

    def set_retry_budget(self, settings):
        """Set the retry budget of all nodes together.

        Parameters
        ----------
        settings : RetryBudgetSettings
            The budget.
        """
        self._attempts.retry_limits.configure(settings)

    def limit_run_end(self, latest_run_end_at):
        """Limit the deadlines given to attempts, during a planned stop.

        Parameters
        ----------
        latest_run_end_at : float
            Latest deadline, in seconds of the node's clock. Requests that
            arrive later are refused.
        """
        self._attempts.latest_run_end_at = latest_run_end_at

    def abandon(self, exchange):
        """Cancel a request whose client has disconnected."""
        if exchange.response is not None:
            return
        self.counters.cancelled += 1
        self._log_client_left(exchange)
        self._attempts.cancel(exchange)
        exchange.response = b''
        exchange.connection = None
        self._finish(exchange, 0)

    def _log_client_left(self, exchange):
        is_in_flight = exchange.attempt_number != 0
        now = self.node.reactor.now()
        _LOG.info(
            'client closed its connection before the response',
            extra={
                'event': 'client_left',
                'request_id': exchange.request_id,
                'route': exchange.route.name if exchange.route else '',
                'from_target': exchange.from_target,
                'waited_s': round(now - exchange.arrived_at, 4),
                'since_sent_s': (
                    round(now - exchange.sent_at, 4) if is_in_flight else None
                ),
                'tried': exchange.tried_nodes,
                'attempt': exchange.attempt_number,
                'peer_connected': is_in_flight and exchange.peer.connected,
            },
        )

    def end_all(self):
        """Answer all requests in flight, as the node is about to exit."""
        for _, _, exchange in list(self._deadline_heap):
            if exchange.response is None:
                self._give_up(exchange, 'node stopping')

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
        exchange.response = self._refusals.response(exchange, status, reason)
        self._finish(exchange, status)
        self._pass_response(exchange)

    def _respond(self, exchange, result):
        status = result.status
        exchange.response = (
            b'HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n'
            % (
                status,
                _http1.REASON_PHRASES_BY_STATUS.get(status, b'Status'),
                result.head,
                len(result.body),
            )
        )
        exchange.response_body = result.body
        self._finish(exchange, status)
        self._pass_response(exchange)

    def _pass_response(self, exchange):
        """Pass the response to the connection.

        The exchange refers to it no more: its deadline may come long after
        the end of the connection.
        """
        connection, exchange.connection = exchange.connection, None
        connection.response_ready(exchange)

    def _finish(self, exchange, status):
        """Count a response; a status of 0 stands for a cancelled request."""
        self.in_flight -= 1
        if exchange.message is not None:
            exchange.message.release()
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
        self._pauses.tick(now)
        self._forget_answered()
        heap = self._deadline_heap
        while heap and heap[0][0] <= now:
            exchange = heapq.heappop(heap)[2]
            if exchange.response is not None:
                continue
            self._attempts.record_timeout(exchange, now)
            self._give_up(exchange, 'deadline')

    def _forget_answered(self):
        """Drop answered requests once they outnumber those in flight."""
        heap = self._deadline_heap
        if len(heap) <= 2 * self.in_flight + MIN_KEPT_REQUESTS:
            return
        heap[:] = [entry for entry in heap if entry[2].response is None]
        heapq.heapify(heap)

    def _give_up(self, exchange, reason):
        """Cancel the attempt of a request and answer the request."""
        self._attempts.cancel(exchange)
        self._fail(exchange, reason)
