"""Storage of request costs, so that they survive a restart of all nodes.

Without stored costs the nodes would admit too many requests right after a
restart, until they had measured again how many calls a request causes; and
while requests fail there is little to measure.
"""

import logging

import msgspec

from rosemarycrank.dataplane import _cost_changes
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _ranges
from rosemarycrank.dataplane import _stored_costs
from rosemarycrank import decoding

#: Interval between comparisons of the measured with the stored costs, in
#: seconds.
CHECK_INTERVAL_S = 5.0

_DECODER = msgspec.json.Decoder(_stored_costs.StoredCosts)
_LOG = logging.getLogger(__name__)


class CostRows:
    """Reads all costs at the start, and writes those of the local service.

    Only one node of each service writes, so that the number of writes grows
    with the number of services, not of nodes.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    store : Store
        Store that holds the table.
    table : str
        Name of the table, which has a row for each service.
    costs : CallCosts
        Costs that are loaded from the table and written to it.
    is_writer : callable
        Returns whether this node writes the row of its service.
    random : random.Random
        Random source.
    """

    def __init__(self, reactor, store, table, costs, is_writer, random):
        self.reactor = reactor
        self.store = store
        self.table = table
        self.costs = costs
        self.is_writer = is_writer
        self._stored_costs_by_route = {}
        self._backoff = _discovery.Backoff(random)
        self._publisher = _discovery.RowPublisher(
            reactor, store, table, costs.service, random
        )

    def start(self):
        """Start reading the table."""
        self.store.read(self.table, self._on_read)

    def recover(self):
        """Write again what the store may have lost; return the row count."""
        return self._publisher.write_again() if self.is_writer() else 0

    def _on_read(self, reply):
        if reply.kind is not _discovery.ReplyKind.OK:
            _LOG.info(
                'cannot read the stored costs, will retry: %s',
                reply.detail,
                extra={'event': 'costs_retry', 'table': self.table},
            )
            self.reactor.timers.after(
                self._backoff.next_delay_s(), lambda _now: self.start()
            )
            return
        for row in reply.rows:
            self._load_row(row)
        _LOG.warning(
            'read the stored costs of %d services',
            len(reply.rows),
            extra={'event': 'costs', 'version': reply.version},
        )
        self.reactor.timers.every(CHECK_INTERVAL_S, self._check)

    def _load_row(self, row):
        self._publisher.receive_row(row)
        if row.value is None:
            return
        try:
            stored = decoding.decode(_DECODER, row.value)
            _check_costs(stored)
        except ValueError as error:
            _LOG.warning(
                'cannot decode the stored costs of %s: %s',
                row.key,
                error,
                extra={'event': 'row_invalid', 'version': row.version},
            )
            return
        if stored.service == self.costs.service:
            self._stored_costs_by_route = stored.costs_by_route
        self.costs.restore(stored)

    def _check(self, _now):
        if not self.is_writer():
            return
        snapshot = self.costs.snapshot()
        changed = any(
            _cost_changes.differ_significantly(
                cost, self._stored_costs_by_route.get(route, {})
            )
            for route, cost in snapshot.costs_by_route.items()
        )
        if not changed:
            return
        self._stored_costs_by_route = snapshot.costs_by_route
        _LOG.info(
            'writing the costs of %s to the store',
            snapshot.service,
            extra={
                'event': 'costs_kept',
                'routes': sorted(self._stored_costs_by_route),
            },
        )
        self._publisher.publish(msgspec.json.encode(snapshot))


def _check_costs(stored):
    for cost in stored.costs_by_route.values():
        for count in cost.values():
            _ranges.check('calls_per_request', count)
    for call in stored.calls:
        _ranges.check('calls_per_request', call.count)
