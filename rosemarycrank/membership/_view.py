"""What a node knows of the nodes of its own failure domain."""

import msgspec

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _notices
from rosemarycrank.membership import _table

Status = _messages.Status


class DomainView:
    """Records of the own failure domain, with suspicion and forgetting.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    suspicion_s : float
        Seconds from suspicion to failure.
    retention_s : float
        Seconds after which a node that does not run is forgotten.
    on_change : callable
        Called with each record that was news.

    Attributes
    ----------
    table : RecordTable
        The records.
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
        """Return the record of an address, or None."""
        return self.table.by_address.get(address)

    def is_up(self, address):
        """Return whether a node is known and taken to run."""
        record = self.record(address)
        return record is not None and _table.is_up(record)

    def running_peers(self):
        """Return the addresses of the other nodes taken to run.

        Returns
        -------
        tuple of str
            In order of address.
        """
        if self._running_peers_version != self.table.version:
            self._running_peers_version = self.table.version
            own = self.context.address
            self._running_peers = tuple(
                address
                for address in self.table.up_addresses()
                if address != own
            )
        return self._running_peers

    def failed_addresses(self):
        """Return the addresses of nodes that failed and may come back.

        Returns
        -------
        list of str
            Nodes that left are not among them.
        """
        return [
            address
            for address in self._down_since_by_address
            if self.record(address).status is Status.FAILED
        ]

    def apply(self, record):
        """Take a record if it is news.

        Parameters
        ----------
        record : Record
            News of a node of this domain.

        Returns
        -------
        bool
            Whether it was news.
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
        """Suspect a node that did not answer.

        Parameters
        ----------
        address : str
            Address of the node.

        Returns
        -------
        Record or None
            The new record; None if the node is not one to suspect.
        """
        record = self.record(address)
        if record is None or record.status is not Status.ALIVE:
            return None
        self.context.count('membership_suspicions')
        suspected = msgspec.structs.replace(record, status=Status.SUSPECT)
        self.apply(suspected)
        return suspected

    def mark_failed(self, address):
        """Take a node to have failed.

        Parameters
        ----------
        address : str
            Address of a known node.
        """
        record = self.record(address)
        self.context.count('membership_failures')
        self.apply(msgspec.structs.replace(record, status=Status.FAILED))

    def tick(self, now):
        """Fail the suspects whose time is up, and forget the long gone.

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
        for address, since in list(self._down_since_by_address.items()):
            if (
                since + self.retention_s <= now
                and address != self._own_address()
            ):
                del self._down_since_by_address[address]
                self.table.remove(address)

    def postpone_deadlines(self, delay_s):
        """Move the ends of suspicions after a pause of this process.

        Parameters
        ----------
        delay_s : float
            Length of the pause in seconds.
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
