"""Virtual time of the simulation of overload control."""

import heapq
import itertools


class Clock:
    """Event queue with virtual time.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = itertools.count()

    def schedule(self, delay_s, function, *arguments):
        """Schedule a function call after a delay."""
        entry = self.now + delay_s, next(self._sequence), function, arguments
        heapq.heappush(self._heap, entry)

    def run_until(self, end):
        """Process all events up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
