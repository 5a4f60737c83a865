"""Attempts of a request: choice of the target, result and retries."""

import logging
import math

from rosemarycrank.dataplane import _candidates
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _retry_limits
from rosemarycrank.dataplane import _subsets
from rosemarycrank.dataplane import _suspect_place

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
#: Number of tries after which a request may be sent to any target, also to
#: those outside the node's subset: the subset is short of room.
MAX_TRIES_IN_SUBSET = 1

#: Reason of a refusal, in the log and the counters.
CRASH_SUSPECT_TEXT = 'suspected of crashing targets'

_LOG = logging.getLogger(__name__)

#: Reasons of results that show that the target takes no attempts at present.
_GONE_REASONS = frozenset(
    (
        _frames.Reason.OTHER_TARGET,
        _frames.Reason.LEAVING,
        _frames.Reason.NOT_ANNOUNCED,
        _frames.Reason.CONNECT_FAILED,
        _frames.Reason.NODE_UNREACHABLE,
        _frames.Reason.NODE_RESTARTED,
    )
)

#: Reasons of results without a response that are the target's fault.
_TARGET_FAILURE_REASONS = frozenset(
    int(reason)
    for reason in (
        _frames.Reason.REFUSED_BY_TARGET,
        _frames.Reason.ANSWER_LOST,
        _frames.Reason.ANSWER_INVALID,
    )
)


def _may_have_reached_target(result):
    """Return whether the attempt of a result may have reached a target.

    Only the outcome proves that it has not. The reason states what became of
    the connection, over which the attempt may have been sent before.
    """
    return (
        result.outcome != _NOT_RUN
        or result.reason == _frames.Reason.REFUSED_BY_TARGET
    )


class Attempts:
    """Sends requests to targets, again if an attempt fails and may be retried.

    Parameters
    ----------
    node : Node
        The node.
    chooser : TargetChooser
        Chooses the target of each attempt.
    budget_settings : RetryBudgetSettings
        Limits on retries.
    counters : Counters
        Counters for the metrics page.
    on_complete : callable
        Called with the exchange and the `Result` that answers it.
    on_failure : callable
        Called with the exchange and a reason when no further attempt is made.

    Attributes
    ----------
    retry_limits : RetryLimits
        Limits on attempts and retries.
    latest_run_end_at : float
        Latest deadline given to attempts, in seconds of the node's clock.
        Infinite except during a planned stop.
    """

    def __init__(
        self,
        node,
        chooser,
        budget_settings,
        counters,
        on_complete,
        on_failure,
    ):
        self.node = node
        self.chooser = chooser
        self.counters = counters
        self.on_complete = on_complete
        self.on_failure = on_failure
        self.latest_run_end_at = math.inf
        self._subsets = _subsets.Subsets(node.address, chooser.failure_domain)
        self.retry_limits = _retry_limits.RetryLimits(
            node.directory, budget_settings
        )

    def send(self, exchange):
        """Send a request to a target that has not been tried.

        Not if its client turns out to have left, which abandons the request.
        """
        exchange.connection.catch_up()
        if exchange.response is not None:
            return
        if self._refuse_suspect(exchange):
            return
        is_suspect = self._is_suspect(exchange)
        now = self.node.reactor.now()
        if is_suspect:
            record = self._find_place(exchange)
        else:
            record = self._choose(exchange, now)
        if record is None:
            self.on_failure(exchange, 'no target')
            return
        route = exchange.route
        exchange.instance = record.instance
        if not exchange.tried_nodes:
            self.retry_limits.budget(exchange.service).deposit()
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
            exchange.digest,
            is_suspect,
        )
        exchange.attempt_number = number
        exchange.sent_at = now
        exchange.tried_nodes.append(record.node)
        exchange.peer = self.node.peer(record.node)
        if is_suspect:
            self.node.crash_exchange.tell_of_request(
                exchange.digest, exchange.peer
            )
        exchange.peer.send(
            attempt,
            lambda result: self._handle_result(exchange, result),
            exchange.connection,
        )

    def _is_suspect(self, exchange):
        history = self.node.crash_history
        return bool(history) and history.is_watched(exchange.digest)

    def _refuse_suspect(self, exchange):
        """Refuse a request under which several targets have crashed."""
        history = self.node.crash_history
        exchange.refused_for_s = history.refused_for_s(exchange.digest)
        if not exchange.refused_for_s:
            return False
        self.on_failure(exchange, CRASH_SUSPECT_TEXT)
        return True

    def _find_place(self, exchange):
        """Return the target at which a suspected request may run.

        None also if it has been there: others must not run it meanwhile.
        """
        record = _suspect_place.find(
            self.node, exchange.service, exchange.digest, exchange.gone_nodes
        )
        if record is not None and record.node in exchange.tried_nodes:
            return None
        return record

    def _choose(self, exchange, now):
        candidates = self._find_candidates(exchange)
        if not candidates:
            return None
        return self.chooser.choose(
            candidates,
            self.node.peers_by_node,
            exchange.route.latency_goal_s,
            now,
        )

    def _find_candidates(self, exchange):
        records = self.node.directory.ready_targets(exchange.service)
        subset = records
        if len(exchange.tried_nodes) <= MAX_TRIES_IN_SUBSET:
            subset = self._subsets.select(exchange.service, records)
        return _candidates.select_in_subset(
            subset, records, exchange.tried_nodes, self.node.peers_by_node
        )

    def cancel(self, exchange):
        """Cancel the attempt in flight, if there is one.

        Parameters
        ----------
        exchange : Exchange
            The request, whose response is given by other means.
        """
        if exchange.attempt_number:
            exchange.peer.cancel(exchange.attempt_number)
            exchange.attempt_number = 0
            exchange.may_have_run = True

    def record_timeout(self, exchange, now):
        """Report to the chooser that an attempt has no result in time."""
        if exchange.attempt_number:
            self.chooser.record_outcome(exchange.instance, True, now)

    def _run_deadline_at(self, exchange):
        return min(exchange.deadline_at, self.latest_run_end_at)

    def _handle_result(self, exchange, result):
        if exchange.response is not None:
            return
        exchange.attempt_number = 0
        self._record_outcome(exchange, result)
        if result.outcome == _COMPLETE:
            exchange.deliveries += 1
            self.on_complete(exchange, result)
            return
        reason = _frames.Reason(result.reason)
        if _may_have_reached_target(result):
            exchange.deliveries += 1
        if result.outcome != _NOT_RUN:
            exchange.may_have_run = True
        elif reason is _frames.Reason.LEAVING:
            self._avoid_stopping_node(exchange)
        if reason in _GONE_REASONS:
            exchange.gone_nodes.add(exchange.tried_nodes[-1])
        if self._may_repeat(exchange, reason):
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
            self.send(exchange)
        else:
            self.on_failure(exchange, reason.name.lower())

    def _may_repeat(self, exchange, reason):
        """Return whether a request is sent again; spend the retry budget."""
        now = self.node.reactor.now()
        if reason is _frames.Reason.CRASH_SUSPECT:
            return False
        if not self._may_run_again(exchange, reason):
            return False
        return self.retry_limits.allow_retry(
            exchange, now, self._run_deadline_at(exchange)
        )

    def _may_run_again(self, exchange, reason):
        """Return whether a request may run again, as to its crashes.

        A target that refuses connections may just have ended under the same
        request, which its node is about to tell.
        """
        if self.node.crash_history.refused_for_s(exchange.digest):
            return False
        if not self._is_suspect(exchange):
            return True
        if reason is _frames.Reason.CONNECT_FAILED:
            return False
        return self._find_place(exchange) is not None

    def _avoid_stopping_node(self, exchange):
        """Avoid a node that refuses attempts of a target that stays.

        An announcement of the target would have arrived before the refusal,
        so the node itself is stopping and accepts short runs at most.
        """
        address = exchange.tried_nodes[-1]
        record = self.node.directory.records_by_node.get(address)
        if record is not None and record.state == _directory.READY:
            self.node.mark_leaving(address)

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
