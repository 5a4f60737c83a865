"""Attempts that wait at the node of their target, in the order of turns."""

import heapq
import itertools


class WaitingQueue:
    """Queue ordered by arrival, latency goal and rank.

    Parameters
    ----------
    rank_waits : RankWaits
        Says for how long one rank counts.
    """

    def __init__(self, rank_waits):
        self._rank_waits = rank_waits
        self._heap = []
        self._sequence = itertools.count()

    def add(self, job):
        """Add a job at its place."""
        key = self._key(job.attempt, job.arrived_at)
        heapq.heappush(self._heap, (key, next(self._sequence), job))

    def pop(self):
        """Remove and return the entry of the job whose turn it is.

        Returns
        -------
        tuple or None
            Entry for `put_back`, whose last element is the job; None if no
            job waits.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            if entry[-1].result is None:
                return entry
        return None

    def put_back(self, entries):
        """Add entries again that `pop` has returned, at their places."""
        for entry in entries:
            heapq.heappush(self._heap, entry)

    def jobs(self):
        """Return the jobs that wait, in no order."""
        return [entry[-1] for entry in self._heap if entry[-1].result is None]

    def jobs_in_order(self):
        """Return the jobs that wait, the next one first."""
        return [
            entry[-1]
            for entry in sorted(self._heap)
            if entry[-1].result is None
        ]

    def count_ahead(self, attempt, now):
        """Return how many jobs precede an attempt that arrives now.

        Parameters
        ----------
        attempt : rosemarycrank.dataplane.Attempt
            The attempt.
        now : float
            Seconds of the node's clock.
        """
        key = self._key(attempt, now)
        return sum(
            entry[0] <= key and entry[-1].result is None
            for entry in self._heap
        )

    def clear(self):
        """Remove all jobs, those that have ended too."""
        self._heap.clear()

    def _key(self, attempt, arrived_at):
        """Return the sort key of an attempt; the lowest is first."""
        goal_at = arrived_at + attempt.soft_deadline_ms / 1000.0
        return goal_at + self._rank_waits.rank_delay_s * attempt.rank
