"""Reports of the demand for a service to few nodes of its targets.

Each of them adds up the reports of all entry nodes and answers with its load,
which has the sum.
"""

from rosemarycrank.dataplane import _rendezvous

#: Seconds between reports of the demand for a service: while the service is
#: overloaded or the demand has changed, and otherwise.
REPORT_INTERVAL_S = 0.3
MAX_REPORT_INTERVAL_S = 1.0

#: Relative change of the demand above which it is reported at the shorter
#: interval.
MAX_UNREPORTED_CHANGE = 0.3

#: Number of nodes that add up the demand for a service, in as many failure
#: domains. More than one, so that one may be lost or cut off.
COLLECTOR_COUNT = 3


def collectors(service, records):
    """Return the targets whose nodes add up the demand for a service.

    Parameters
    ----------
    service : str
        Name of the service.
    records : sequence of TargetRecord
        Ready targets of the service whose nodes take attempts.

    Returns
    -------
    list of TargetRecord
        At most `COLLECTOR_COUNT`, the same at all nodes with the same
        records.
    """
    ranked = _rendezvous.ranked(service, records)
    chosen = []
    domains = set()
    for record in ranked:
        if record.failure_domain not in domains:
            domains.add(record.failure_domain)
            chosen.append(record)
    chosen += [record for record in ranked if record not in chosen]
    return chosen[:COLLECTOR_COUNT]


class DemandReports:
    """Reports of one entry node.

    Parameters
    ----------
    node : Node
        The entry node.
    """

    def __init__(self, node):
        self._node = node
        self._reported_by_service = {}

    def send(self, now):
        """Send the reports that are due.

        Called every `REPORT_INTERVAL_S`.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        node = self._node
        pressures = node.front.pressures(now)
        for service, demand in node.front.demands().items():
            if service not in pressures and not self._is_due(
                service, demand, now
            ):
                continue
            self._reported_by_service[service] = (demand.offered_per_s, now)
            usable = node.usable_targets.of_service(service)
            for record in collectors(service, usable):
                node.reactor.guard.call(
                    self._send_to, record.node, demand, now
                )

    def _send_to(self, address, demand, now):
        node = self._node
        if address == node.address:
            node.target_side.demand.receive(address, demand, now)
        else:
            peer = node.peer(address)
            peer.keep_connected()
            peer.notify(demand)

    def _is_due(self, service, demand, now):
        offered_per_s, reported_at = self._reported_by_service.get(
            service, (0.0, 0.0)
        )
        change = abs(demand.offered_per_s - offered_per_s)
        return (
            now - reported_at > MAX_REPORT_INTERVAL_S
            or change > MAX_UNREPORTED_CHANGE * offered_per_s
        )
