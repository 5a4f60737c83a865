"""Costs of requests, kept in the store over a restart of all nodes.

Without them the nodes would let in too much, right after a restart, until
they had learned anew what a request causes below; and while requests fail
there is little to learn from.
"""

import logging

import msgspec

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _discovery

#: Seconds between comparisons of what is known with what is kept.
CHECK_S = 5.0

_DECODER = msgspec.json.Decoder(_costs.KeptCosts)
_LOG = logging.getLogger(__name__)


class CostRows:
    """Reads all costs at the start; keeps those of the local service.

    Of the nodes of a service only one writes, whichever `writes` says, so
    that the writes grow with the services and not with the nodes.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    store : Store
        The store.
    table : str
        Table with a row for each service.
    costs : CallCosts
        What is known.
    writes : callable
        Returns whether this node writes the row of its service.
    random : random.Random
        Random source.
    """

    def __init__(self, reactor, store, table, costs, writes, random):
        self.reactor = reactor
        self.store = store
        self.table = table
        self.costs = costs
        self.writes = writes
        self._kept_by_route = {}
        self._backoff = _discovery.Backoff(random)
        self._publisher = _discovery.RowPublisher(
            reactor, store, table, costs.service, random
        )

    def start(self):
        """Begin to read."""
        self.store.read(self.table, self._take)

    def _take(self, reply):
        if reply.kind is not _discovery.ReplyKind.OK:
            _LOG.info(
                'costs cannot be read yet: %s',
                reply.detail,
                extra={'event': 'costs_retry', 'table': self.table},
            )
            self.reactor.timers.after(
                self._backoff.next_delay_s(), lambda _now: self.start()
            )
            return
        for row in reply.rows:
            self._take_row(row)
        _LOG.warning(
            'costs of %d services read',
            len(reply.rows),
            extra={'event': 'costs', 'version': reply.version},
        )
        self.reactor.timers.every(CHECK_S, self._check)

    def _take_row(self, row):
        self._publisher.receive_row(row)
        if row.value is None:
            return
        try:
            kept = _DECODER.decode(row.value)
        except msgspec.MsgspecError as error:
            _LOG.warning(
                'costs of %s cannot be read: %s',
                row.key,
                error,
                extra={'event': 'row_invalid', 'version': row.version},
            )
            return
        if kept.service == self.costs.service:
            self._kept_by_route = kept.costs_by_route
        self.costs.restore(kept)

    def _check(self, _now):
        if not self.writes():
            return
        known = self.costs.kept()
        changed = any(
            _costs.differ(cost, self._kept_by_route.get(route, {}))
            for route, cost in known.costs_by_route.items()
        )
        if not changed:
            return
        self._kept_by_route = known.costs_by_route
        _LOG.info(
            'costs of %s kept',
            known.service,
            extra={
                'event': 'costs_kept',
                'routes': sorted(self._kept_by_route),
            },
        )
        self._publisher.publish(msgspec.json.encode(known))
