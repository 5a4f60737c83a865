"""Directory of the targets of all services."""

import hashlib
import logging

import msgspec

from rosemarycrank import addresses
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _ranges

READY = 'ready'
DRAINING = 'draining'
GONE = 'gone'

_PRECEDENCE_BY_STATE = {READY: 0, DRAINING: 1, GONE: 2}

#: Maximum number of removed records that are remembered.
MAX_REMOVED = 10000

#: Length of the digest of a record, in bytes.
_DIGEST_BYTES = 7

_LOG = logging.getLogger(__name__)


def is_newer(record, known):
    """Return whether a record replaces another one of the same node.

    A later start of the target takes precedence. Within one start, gone
    takes precedence over draining, and draining over ready, regardless of
    the order of arrival: a target that is draining or gone never accepts
    work again, so a delayed copy of an older record must not make it ready.
    Otherwise the higher sequence number takes precedence.

    Parameters
    ----------
    record, known : TargetRecord
        The received record and the current one.
    """
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if record.instance == known.instance:
        precedence = _PRECEDENCE_BY_STATE[record.state]
        known_precedence = _PRECEDENCE_BY_STATE[known.state]
        if precedence != known_precedence:
            return precedence > known_precedence
    return record.sequence > known.sequence


def later_state(state, other):
    """Return the one of two states that a target reaches later."""
    return max(state, other, key=_PRECEDENCE_BY_STATE.get)


def check_record(record):
    """Check a record that another process has sent or stored.

    Raises
    ------
    ValueError
        If the address of its node is not an IP address with a port, its state
        is unknown, or a number is out of range.
    """
    addresses.check_ip(record.node)
    if record.state not in _PRECEDENCE_BY_STATE:
        raise ValueError(f'state: got {record.state!r}')
    check_numbers(record.slots, record.born_ms, record.sequence)


def check_numbers(slots, born_ms, sequence):
    """Check the numbers that a target states.

    Raises
    ------
    ValueError
        If one is out of range.
    """
    _ranges.check('slots', slots)
    _ranges.check('start', born_ms)
    _ranges.check('sequence', sequence)


def range_of(node):
    """Return the hash range of the record of a node."""
    return _hash(node.encode()) % _frames.DIGEST_RANGES


def digest_of(records):
    """Return the digest of a directory that has just these records."""
    digest = 0
    for record in records:
        digest ^= _hash(msgspec.msgpack.encode(record))
    return digest


def _hash(data):
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


class Directory:
    """Newest record of the target of each node.

    Parameters
    ----------
    on_change : callable, optional
        Called with each record that is added or replaces an older one.

    Attributes
    ----------
    records_by_node : dict of str to TargetRecord
        The records.
    digests : list of int, shape (DIGEST_RANGES,)
        Exclusive or of the hashes of the records in each hash range.
    digest : int
        Exclusive or of the hashes of all records.
    """

    def __init__(self, on_change=None):
        self.records_by_node = {}
        self.digests = [0] * _frames.DIGEST_RANGES
        self.digest = 0
        self.on_change = on_change
        self._removed_by_node = {}
        self._ended_by_node = {}
        self._node_by_instance = {}
        self._ready_by_service = {}

    def merge(self, record):
        """Add a record if it is newer than the current one of its node.

        A node that starts again may have another address. Its record then
        replaces the one of its target at the earlier address.

        Returns
        -------
        bool
            Whether the record was added.
        """
        known = self.records_by_node.get(record.node)
        removed = self._removed_by_node.get(record.node)
        moved = self._record_elsewhere(record)
        for earlier in (known, removed, moved):
            if earlier is not None and not is_newer(record, earlier):
                return False
        if moved is not None:
            self.remove(moved.node)
        self._removed_by_node.pop(record.node, None)
        self._ended_by_node.pop(record.node, None)
        if known is not None:
            self._forget_node(known)
            self._toggle(known)
        self._toggle(record)
        self.records_by_node[record.node] = record
        self._node_by_instance[record.instance] = record.node
        _LOG.info(
            'target %s of service %s at node %s is %s',
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
        """Remove the record of a node, for example if its row was removed.

        It is remembered, as nodes that have not removed it yet send it again.
        """
        record = self.records_by_node.pop(node, None)
        if record is None:
            return
        self._ended_by_node.pop(node, None)
        self._forget_node(record)
        self._toggle(record)
        self._removed_by_node[node] = record
        if len(self._removed_by_node) > MAX_REMOVED:
            del self._removed_by_node[next(iter(self._removed_by_node))]

    def mark_ended(self, instance, born_ms):
        """Record that the process of a target has ended.

        It gets no work until its node has a newer record.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        born_ms : int
            Its start time in Unix milliseconds.

        Returns
        -------
        TargetRecord or None
            Its record; None if it is not among the ready ones.
        """
        for record in self.records_by_node.values():
            start = (record.instance, record.born_ms)
            if start == (instance, born_ms) and record.state == READY:
                self._ended_by_node[record.node] = record
                self._ready_by_service.pop(record.service, None)
                return record
        return None

    def forget_end(self, record):
        """Give work again to a target whose node has no newer record.

        Parameters
        ----------
        record : TargetRecord
            Record of the target whose process has ended.
        """
        if self._ended_by_node.get(record.node) is record:
            del self._ended_by_node[record.node]
            self._ready_by_service.pop(record.service, None)

    def is_ended(self, node):
        """Return whether the target of a node is taken for ended.

        Parameters
        ----------
        node : str
            Address of the node.
        """
        return node in self._ended_by_node

    def is_ready(self, node):
        """Return whether the target of a node accepts new work.

        Parameters
        ----------
        node : str
            Address of the node.
        """
        record = self.records_by_node.get(node)
        return (
            record is not None
            and record.state == READY
            and node not in self._ended_by_node
        )

    def ready_targets(self, service):
        """Return the targets of a service that accept new work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        tuple of TargetRecord
            Ready targets, in no particular order.
        """
        ready = self._ready_by_service.get(service)
        if ready is None:
            ready = tuple(
                record
                for record in self.records_by_node.values()
                if record.service == service and self.is_ready(record.node)
            )
            self._ready_by_service[service] = ready
        return ready

    def records(self):
        """Return the records of all nodes."""
        return list(self.records_by_node.values())

    def records_in_range(self, index):
        """Return the records of the nodes in a hash range."""
        return [
            record
            for node, record in self.records_by_node.items()
            if range_of(node) == index
        ]

    def _record_elsewhere(self, record):
        """Return the record of the same target at another node, or None."""
        node = self._node_by_instance.get(record.instance)
        if node is None or node == record.node:
            return None
        return self.records_by_node[node]

    def _forget_node(self, record):
        if self._node_by_instance.get(record.instance) == record.node:
            del self._node_by_instance[record.instance]

    def _toggle(self, record):
        """Add a record to the digests, or take it out of them."""
        digest = digest_of([record])
        self.digests[range_of(record.node)] ^= digest
        self.digest ^= digest
        self._ready_by_service.pop(record.service, None)
