"""Lookup of the targets of a service."""

from rosemarycrank import balancing
from rosemarycrank.membership import _messages

Status = _messages.Status


class TargetLookup:
    """Targets by service, cached until a record or its use changes.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    own_domain : OwnDomain
        Protocol within the own failure domain.
    remote : RemoteView
        Records of other failure domains.
    """

    def __init__(self, context, own_domain, remote):
        self.context = context
        self.own_domain = own_domain
        self.remote = remote
        self._cached_by_service = {}

    def clear(self):
        """Clear the cache."""
        self._cached_by_service.clear()

    def targets(self, service):
        """Return the targets of a service that accept work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        tuple of rosemarycrank.balancing.Target
            Targets in all failure domains.
        """
        found = self._cached_by_service.get(service)
        if found is None:
            records = self._records(service)
            # Suspected nodes are only used if no target is alive.
            alive = [r for r in records if r.status is Status.ALIVE]
            found = tuple(_target(record) for record in alive or records)
            self._cached_by_service[service] = found
        return found

    def _records(self, service):
        by_address = self.own_domain.view.table.up_by_service.get(service, {})
        if self.own_domain.cut_off:
            own_record = by_address.get(self.context.address)
            return [own_record] if own_record else []
        return [*by_address.values(), *self.remote.usable_records(service)]


def _target(record):
    return balancing.Target(
        record.address,
        record.incarnation,
        record.service,
        record.failure_domain,
        record.partner,
        record.slots,
    )
