"""Delivery of results to those who wait for them, after all other work.

Whoever gets a result may act on it at once: cancel attempts, send others, or
find that a client has left. Results are delivered by themselves at the end of
the loop's turn, so that none of this meets a half-finished change of state.
"""


class ResultDelivery:
    """Results that wait for their delivery.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._is_scheduled = False
        # In the order of their ends.
        self._undelivered_by_attempt = {}

    def __bool__(self):
        return bool(self._undelivered_by_attempt)

    def add(self, node, receive, result):
        """Deliver a result at the end of the turn.

        Parameters
        ----------
        node : Caller or Peer
            Node that sent the attempt, or that got it.
        receive : callable
            Called with the result.
        result : rosemarycrank.dataplane.Result
            The result.
        """
        self._undelivered_by_attempt[node, result.number] = receive, result
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.call_soon(self._deliver_scheduled)

    def discard(self, node, number):
        """Drop the result of an attempt for which nobody waits any more.

        Parameters
        ----------
        node : Caller or Peer
            Node that sent the attempt, or that got it.
        number : int
            Number of the attempt, whose result may have been delivered.
        """
        self._undelivered_by_attempt.pop((node, number), None)

    def deliver_all(self):
        """Deliver the results now, also those that are added meanwhile.

        Not to be called during a change of state.
        """
        while self._undelivered_by_attempt:
            self._deliver_batch()

    def _deliver_scheduled(self):
        self._is_scheduled = False
        self._deliver_batch()

    def _deliver_batch(self):
        """Deliver what waits now; others get their turn before the rest."""
        for attempt in list(self._undelivered_by_attempt):
            undelivered = self._undelivered_by_attempt.pop(attempt, None)
            # An earlier one may have had this attempt cancelled.
            if undelivered is not None:
                self._reactor.guard.call(*undelivered)
