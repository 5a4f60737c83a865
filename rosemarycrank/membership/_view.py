"""Records of the nodes of this node's failure domain."""

import msgspec

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _notices
from rosemarycrank.membership import _table

Status = _messages.Status


class DomainView:
    """Records of the own failure domain.

    Suspected nodes are declared failed after a time-out, and the records of
    stopped nodes are removed after a retention period.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    suspicion_s : float
        Seconds after which a suspected node is declared failed.
    retention_s : float
        Seconds for which the record of a node that does not run is kept.
    on_change : callable
        Called with each record that was stored.

    Attributes
    ----------
    table : RecordTable
        Records of the nodes.
    """

    def __init__(self, context, suspicion_s, retention_s, on_change):
        self.context = context
        self.suspicion_s = suspicion_s
        self.retention_s = retention_s
        self.table = _table.RecordTable()
        self._on_change = on_change
        self._suspicion_deadline_by_address = {}
        self._down_since_by_address = {}
        self._running_peers = ()
        self._running_peers_version = None

    def record(self, address):
        """Return the record of an address, or None if there is none."""
        return self.table.by_address.get(address)

    def is_up(self, address):
        """Return whether a node has a record and is considered running."""
        record = self.record(address)
        return record is not None and _table.is_up(record)

    def running_peers(self):
        """Return the addresses of the other nodes considered running.

        Returns
        -------
        tuple of str
            Sorted addresses.
        """
        if self._running_peers_version != self.table.version:
            self._running_peers_version = self.table.version
            own_address = self.context.address
            self._running_peers = tuple(
                address
                for address in self.table.up_addresses()
                if address != own_address
            )
        return self._running_peers

    def failed_addresses(self):
        """Return the addresses of the failed nodes, which may come back.

        Returns
        -------
        list of str
            Addresses, without those of nodes that left.
        """
        return [
            address
            for address in self._down_since_by_address
            if self.record(address).status is Status.FAILED
        ]

    def apply(self, record):
        """Store a record if it takes precedence over the current one.

        Parameters
        ----------
        record : Record
            Record of a node of this failure domain.

        Returns
        -------
        bool
            Whether the record was stored.
        """
        previous = self.record(record.address)
        if not self.table.apply(record):
            return False
        self._update_deadlines(record)
        if record.address != self.context.address:
            _notices.publish_change(self.context, previous, record)
        self._on_change(record)
        return True

    def mark_suspect(self, address):
        """Mark a node that did not reply to a probe as suspected.

        Parameters
        ----------
        address : str
            Address of the node.

        Returns
        -------
        Record or None
            The new record; None if the node is unknown or not alive.
        """
        record = self.record(address)
        if record is None or record.status is not Status.ALIVE:
            return None
        self.context.count('membership_suspicions')
        suspected = msgspec.structs.replace(record, status=Status.SUSPECT)
        self.apply(suspected)
        return suspected

    def mark_failed(self, address):
        """Declare a node failed.

        Parameters
        ----------
        address : str
            Address of a node that has a record.
        """
        record = self.record(address)
        self.context.count('membership_failures')
        self.apply(msgspec.structs.replace(record, status=Status.FAILED))

    def tick(self, now):
        """Declare overdue suspects failed, and remove expired records.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for address, deadline in list(
            self._suspicion_deadline_by_address.items()
        ):
            if deadline <= now:
                self.mark_failed(address)
        for address, down_since in list(self._down_since_by_address.items()):
            if (
                down_since + self.retention_s <= now
                and address != self._own_address()
            ):
                del self._down_since_by_address[address]
                self.table.remove(address)

    def postpone_deadlines(self, delay_s):
        """Postpone the deadlines of all suspicions.

        Parameters
        ----------
        delay_s : float
            Seconds by which to postpone them, for instance the length of a
            pause of this process.
        """
        for address in self._suspicion_deadline_by_address:
            self._suspicion_deadline_by_address[address] += delay_s

    def _own_address(self):
        return self.context.address

    def _update_deadlines(self, record):
        address = record.address
        self._suspicion_deadline_by_address.pop(address, None)
        if record.status is Status.SUSPECT:
            self._suspicion_deadline_by_address[address] = (
                self.context.now + self.suspicion_s
            )
        if _table.is_up(record):
            self._down_since_by_address.pop(address, None)
        else:
            self._down_since_by_address.setdefault(address, self.context.now)
