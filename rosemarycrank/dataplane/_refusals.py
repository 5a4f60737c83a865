"""Responses of the node itself, in place of one of a target."""

import logging

from rosemarycrank.dataplane import _http1

#: Bounds of the Retry-After header, in seconds, while nothing is shed.
MAX_RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1

#: Longest time after the expected return of a crashed target within which
#: clients are asked to come back, in seconds.
MAX_RETURN_SPREAD_S = 0.5

#: Relative growth of the upper bound of Retry-After when all requests of a
#: route are shed; the growth is proportional to the share that is shed.
RETRY_AFTER_SHED_GROWTH = 4.0

_LOG = logging.getLogger(__name__)


class Refusals:
    """Encodes, counts and logs responses to refused and failed requests.

    Parameters
    ----------
    node : Node
        The node.
    names : HeaderNames
        Names of header fields.
    counters : Counters
        Counters for the metrics page.
    random : random.Random
        Random source.
    """

    def __init__(self, node, names, counters, random):
        self.node = node
        self.names = names
        self.counters = counters
        self.random = random

    def response(self, exchange, status, reason):
        """Return the encoded response to a request; count and log it.

        Parameters
        ----------
        exchange : Exchange
            The request.
        status : int
            HTTP status.
        reason : str
            Reason, for the log and the counters.

        Returns
        -------
        bytes
            Encoded response.
        """
        self.counters.refusals_by_reason[reason] += 1
        self._log(exchange, status, reason)
        headers = b''
        if exchange.request_id:
            headers = b'%b: %b\r\n' % (
                self.names.request_id,
                exchange.request_id,
            )
        if status == 503:
            retry_after_s = self._retry_after_s(exchange)
            headers += b'Retry-After: %.2f\r\n' % retry_after_s
        return _http1.response(status, headers)

    def _retry_after_s(self, exchange):
        # A random value, so that clients do not all retry at the same time.
        # The larger the share that is shed, the longer it takes until there
        # is capacity again, and the less likely an early retry succeeds.
        if exchange.refused_for_s:
            return exchange.refused_for_s
        return_s = self._expected_return_s(exchange)
        if return_s is not None:
            return return_s + MAX_RETURN_SPREAD_S * self.random.random()
        max_s = MAX_RETRY_AFTER_S
        if exchange.route is not None:
            max_s = min(max_s, exchange.route.timeout_s / 6.0)
            share = self.node.front.refused_share(
                exchange.route, exchange.service
            )
            max_s *= 1.0 + RETRY_AFTER_SHED_GROWTH * share
        range_s = max(0.0, max_s - MIN_RETRY_AFTER_S)
        return MIN_RETRY_AFTER_S + range_s * self.random.random()

    def _expected_return_s(self, exchange):
        """Return when a service whose targets have crashed has one again."""
        node = self.node
        if exchange.route is None:
            return None
        if node.directory.ready_targets(exchange.service):
            return None
        return node.restart_times.expected_s(
            exchange.service, node.reactor.now()
        )

    def _log(self, exchange, status, reason):
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
                **self._crash_fields(exchange),
            },
        )

    def _crash_fields(self, exchange):
        """Return the fields of the log for a request that is suspected."""
        if not exchange.refused_for_s:
            return {}
        return {
            'digest': '%x' % exchange.digest,
            'crashes': self.node.crash_history.count_crashes(exchange.digest),
        }
