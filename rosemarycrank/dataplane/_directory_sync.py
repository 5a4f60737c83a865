"""Comparison of the directories of two nodes, and exchange of differences.

A handshake names a digest of all records instead of the records. The node that
opened the connection then asks for the hash ranges that differ, so that what
is sent grows with the number of changes and not with that of the nodes.
"""

from rosemarycrank.dataplane import _due_comparisons
from rosemarycrank.dataplane import _frames

#: Seconds between two comparisons of a node. The interval doubles up to the
#: maximum while comparisons change nothing.
MIN_SYNC_INTERVAL_S = 0.5
MAX_SYNC_INTERVAL_S = 8.0

#: Maximum delay of a comparison after a handshake, in seconds. Of many nodes
#: that connect to one that has just started, few send it their records.
MAX_SYNC_DELAY_S = 0.3

#: Number of records in a part, above which no further hash range is added.
MAX_PART_RECORDS = 500


class DirectorySync:
    """Comparisons of a node's directory with those of other nodes.

    Parameters
    ----------
    directory : Directory
        Records of this node.
    merge : callable
        Adds the records that were received on a connection.
    random : random.Random
        Random source.
    """

    def __init__(self, directory, merge, random):
        self._directory = directory
        self._merge = merge
        self._due = _due_comparisons.DueComparisons(MAX_SYNC_DELAY_S, random)
        self._next_at = 0.0
        self._interval_s = MIN_SYNC_INTERVAL_S
        self._last_digest = 0

    def receive_digest(self, digest, connection, now):
        """Compare the digest of another node with the own one.

        Parameters
        ----------
        digest : int
            Digest of the records of the other node; 0 if it sends none.
        connection : Peer
            Connection to that node.
        now : float
            Seconds of the node's clock.
        """
        differs = digest not in (0, self._directory.digest)
        self._due.report(connection, differs, now)

    def check(self, now):
        """Ask the next node whose records differ, if it is time.

        Called periodically.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if now < self._next_at:
            return
        connection = self._due.take(now)
        if connection is not None and connection.connected:
            self._delay_next(now)
            connection.notify(
                _frames.DirectoryDigests(list(self._directory.digests))
            )

    def answer(self, frame, connection):
        """Send the own records of the hash ranges that differ.

        Parameters
        ----------
        frame : DirectoryDigests
            Digests of the other node.
        connection : InboundConnection
            Connection to it.
        """
        ranges = []
        records = []
        for index, digest in enumerate(frame.digests):
            if digest == self._directory.digests[index]:
                continue
            if len(records) > MAX_PART_RECORDS:
                break
            ranges.append(index)
            records += self._directory.records_in_range(index)
        if ranges:
            connection.notify(_frames.DirectoryPart(ranges, records))

    def receive_part(self, frame, connection):
        """Add the received records, and send those that the other node lacks.

        Parameters
        ----------
        frame : DirectoryPart
            Records of the other node in the hash ranges that differ.
        connection : Peer
            Connection to it.
        """
        self._merge(frame.records, connection)
        received = set(frame.records)
        missing = [
            record
            for index in frame.ranges
            for record in self._directory.records_in_range(index)
            if record not in received
        ]
        if missing:
            connection.notify(_frames.Announcement(missing))

    def _delay_next(self, now):
        if self._directory.digest != self._last_digest:
            self._last_digest = self._directory.digest
            self._interval_s = MIN_SYNC_INTERVAL_S
        self._next_at = now + self._interval_s
        self._interval_s = min(MAX_SYNC_INTERVAL_S, 2.0 * self._interval_s)
