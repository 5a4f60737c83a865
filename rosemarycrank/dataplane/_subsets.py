"""Subset of the targets of each service to which a node sends attempts.

Bounds the connections of a node, its pings and the load reports that it gets,
in services of any size.
"""

from rosemarycrank.dataplane import _rendezvous

#: Maximum number of targets of a service in a subset, and how many of them
#: are in the node's own failure domain if it has that many.
MAX_SUBSET_TARGETS = 12
MAX_LOCAL_TARGETS = 6


class Subsets:
    """Subsets of the targets of all services, for one node.

    Parameters
    ----------
    address : str
        Address of the node.
    failure_domain : str
        Failure domain of the node.
    """

    def __init__(self, address, failure_domain):
        self._address = address
        self._failure_domain = failure_domain
        self._subset_by_service = {}

    def select(self, service, records):
        """Return the targets of a service that the node uses.

        Parameters
        ----------
        service : str
            Name of the service.
        records : tuple of TargetRecord
            Ready targets of the service.

        Returns
        -------
        sequence of TargetRecord
            All of them if they are few.
        """
        if len(records) <= MAX_SUBSET_TARGETS:
            return records
        known, subset = self._subset_by_service.get(service, (None, ()))
        if known is not records:
            subset = self._choose(records)
            self._subset_by_service[service] = (records, subset)
        return subset

    def _choose(self, records):
        ranked = _rendezvous.ranked(self._address, records)
        local = [r for r in ranked if r.failure_domain == self._failure_domain]
        chosen = local[:MAX_LOCAL_TARGETS]
        others = [
            r for r in ranked if r.failure_domain != self._failure_domain
        ]
        chosen += others[: MAX_SUBSET_TARGETS - len(chosen)]
        chosen += local[MAX_LOCAL_TARGETS:]
        return tuple(chosen[:MAX_SUBSET_TARGETS])
