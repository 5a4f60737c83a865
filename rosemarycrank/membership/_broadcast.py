"""Queue of records to propagate, each sent a bounded number of times."""

import math

import attrs

# When many records are queued, each send counts several times, so that each
# record is sent less often. Digest comparisons deliver the records that a
# node misses, with fewer duplicates.
LONG_QUEUE_RECORDS = 32
SENDS_COUNTED_WHEN_LONG = 4


@attrs.define
class _QueuedRecord:
    record: object
    sends_left: int


def max_transmissions(node_count):
    """Return how many times a node sends one record at most.

    Parameters
    ----------
    node_count : int
        Number of nodes that the record has to reach.

    Returns
    -------
    int
        Number of sends; grows with the logarithm of ``node_count``.
    """
    return math.ceil(2 * math.log(node_count + 1)) + 2


class BroadcastQueue:
    """Records to propagate, with the least often sent ones first."""

    def __init__(self):
        self._by_address = {}

    def __len__(self):
        return len(self._by_address)

    def is_long(self):
        """Return whether more than `LONG_QUEUE_RECORDS` are queued."""
        return len(self._by_address) > LONG_QUEUE_RECORDS

    def add(self, record, node_count):
        """Queue a record; it replaces a queued one of the same address.

        Parameters
        ----------
        record : Record
            Record to propagate.
        node_count : int
            Number of nodes that the record has to reach.
        """
        self._by_address[record.address] = _QueuedRecord(
            record, max_transmissions(node_count)
        )

    def discard(self, address):
        """Remove the queued record of an address, if there is one.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        """
        self._by_address.pop(address, None)

    def take(self, limit):
        """Return records for one message, and count the send for each.

        Parameters
        ----------
        limit : int
            Maximum number of records.

        Returns
        -------
        list of Record
            Records to send.
        """
        items = list(self._by_address.values())
        counted = SENDS_COUNTED_WHEN_LONG if self.is_long() else 1
        if len(items) > limit:
            items.sort(key=lambda item: -item.sends_left)
            del items[limit:]
        for item in items:
            item.sends_left -= counted
            if item.sends_left <= 0:
                del self._by_address[item.record.address]
        return [item.record for item in items]
