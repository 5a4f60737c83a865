"""News waiting to be passed on, each a bounded number of times."""

import math

import attrs

# Of many changes at once, gossip spreads a few copies each; comparing views
# brings the rest with less repetition.
LONG_QUEUE_RECORDS = 32
SENDS_COUNTED_WHEN_LONG = 4


@attrs.define
class _QueuedRecord:
    record: object
    sends_left: int


def max_transmissions(node_count):
    """Return how often a node passes on one piece of news.

    Parameters
    ----------
    node_count : int
        Nodes that it has to reach.

    Returns
    -------
    int
        Number of sends; grows with the logarithm of the nodes.
    """
    return math.ceil(2 * math.log(node_count + 1)) + 2


class BroadcastQueue:
    """Records to piggyback, those sent least often first."""

    def __init__(self):
        self._by_address = {}

    def __len__(self):
        return len(self._by_address)

    def is_long(self):
        """Return whether many changes wait at once."""
        return len(self._by_address) > LONG_QUEUE_RECORDS

    def add(self, record, node_count):
        """Queue a record in place of an earlier one of its address.

        Parameters
        ----------
        record : Record
            News to pass on.
        node_count : int
            Nodes that it has to reach.
        """
        self._by_address[record.address] = _QueuedRecord(
            record, max_transmissions(node_count)
        )

    def discard(self, address):
        """Drop the record of an address; a later one is known.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        """
        self._by_address.pop(address, None)

    def take(self, limit):
        """Return records for one message and count them as sent once.

        Parameters
        ----------
        limit : int
            Largest number of records.

        Returns
        -------
        list of Record
            The records.
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
