"""What a node knows of the targets of all services."""

import logging

READY = 'ready'
DRAINING = 'draining'
GONE = 'gone'

_RANK_BY_STATE = {READY: 0, DRAINING: 1, GONE: 2}

_LOG = logging.getLogger(__name__)


def is_newer(record, known):
    """Return whether a record replaces another one of the same node.

    A later start of the target wins. Within one start, leaving wins over
    ready whatever the order of arrival: a target that has said that it
    leaves never takes work again, so a late copy cannot bring it back.

    Parameters
    ----------
    record, known : TargetRecord
        The new record and the one that stands.
    """
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if record.instance == known.instance:
        rank = _RANK_BY_STATE.get(record.state, 0)
        known_rank = _RANK_BY_STATE.get(known.state, 0)
        if rank != known_rank:
            return rank > known_rank
    return record.sequence > known.sequence


class Directory:
    """Records of targets by node, newest first.

    Parameters
    ----------
    on_change : callable, optional
        Called with each record that is new.
    """

    def __init__(self, on_change=None):
        self.records_by_node = {}
        self.on_change = on_change
        self._ready_by_service = {}

    def merge(self, record):
        """Take a record if it is newer than what is known.

        Returns
        -------
        bool
            Whether it was.
        """
        known = self.records_by_node.get(record.node)
        if known is not None and not is_newer(record, known):
            return False
        self.records_by_node[record.node] = record
        self._ready_by_service.clear()
        _LOG.info(
            'target %s of %s at %s is %s',
            record.instance,
            record.service,
            record.node,
            record.state,
            extra={
                'event': 'target',
                'instance': record.instance,
                'born_ms': record.born_ms,
                'sequence': record.sequence,
            },
        )
        if self.on_change is not None:
            self.on_change(record)
        return True

    def remove(self, node):
        """Forget a node, for example one whose row was removed."""
        if self.records_by_node.pop(node, None) is not None:
            self._ready_by_service.clear()

    def ready_targets(self, service):
        """Return the targets of a service that take new work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        tuple of TargetRecord
            In no order.
        """
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = tuple(
                record
                for record in self.records_by_node.values()
                if record.service == service and record.state == READY
            )
            self._ready_by_service[service] = ready
        return ready

    def records(self):
        """Return all records."""
        return list(self.records_by_node.values())
