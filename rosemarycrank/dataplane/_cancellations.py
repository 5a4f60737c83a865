"""Cancellations that another node may not have received."""

import collections


class UnconfirmedCancellations:
    """Numbers of cancelled attempts, until the peer confirms their receipt.

    A cancellation has no reply of its own. Frames on a connection keep their
    order, so the reply to a ping confirms all that was sent before the ping.
    """

    def __init__(self):
        self._numbers = {}
        self._counts_at_pings = collections.deque()

    def __bool__(self):
        return bool(self._numbers)

    def __iter__(self):
        return iter(self._numbers)

    def add(self, number):
        """Add the number of an attempt that is no longer wanted."""
        self._numbers[number] = None

    def clear(self):
        """Forget all numbers, as the peer's process has ended."""
        self._numbers.clear()
        self._counts_at_pings.clear()

    def connection_opened(self):
        """Forget the pings that were sent over an earlier connection."""
        self._counts_at_pings.clear()

    def ping_sent(self):
        """Record that a ping follows the cancellations sent so far."""
        self._counts_at_pings.append(len(self._numbers))

    def pong_received(self):
        """Remove the numbers that the oldest unanswered ping followed."""
        if not self._counts_at_pings:
            return
        confirmed = self._counts_at_pings.popleft()
        for number in list(self._numbers)[:confirmed]:
            del self._numbers[number]
        for index, count in enumerate(self._counts_at_pings):
            self._counts_at_pings[index] = count - confirmed
