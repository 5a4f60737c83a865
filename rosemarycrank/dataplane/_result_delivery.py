"""Delivery of results to the senders of attempts, after all other work.

A sender may act on a result at once: cancel attempts, send others, or find
that its client has left. Results are delivered by themselves at the end of
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
        self._results_by_attempt = {}

    def __bool__(self):
        return bool(self._results_by_attempt)

    def add(self, caller, result):
        """Deliver a result at the end of the turn.

        Parameters
        ----------
        caller : Caller
            Node that sent the attempt.
        result : rosemarycrank.dataplane.Result
            The result.
        """
        self._results_by_attempt[caller, result.number] = result
        if not self._is_scheduled:
            self._is_scheduled = True
            self._reactor.call_soon(self._deliver_scheduled)

    def discard(self, caller, number):
        """Drop the result of an attempt, whose sender does not wait for it.

        Parameters
        ----------
        caller : Caller
            Node that sent the attempt.
        number : int
            Number of the attempt, whose result may have been delivered.
        """
        self._results_by_attempt.pop((caller, number), None)

    def deliver_all(self):
        """Deliver the results now, also those that are added meanwhile.

        Not to be called during a change of state.
        """
        while self._results_by_attempt:
            self._deliver_batch()

    def _deliver_scheduled(self):
        self._is_scheduled = False
        self._deliver_batch()

    def _deliver_batch(self):
        """Deliver what waits now; others get their turn before the rest."""
        results_by_attempt = self._results_by_attempt
        for key in list(results_by_attempt):
            # A sender that got its result may have cancelled this attempt.
            result = results_by_attempt.pop(key, None)
            send = key[0].send
            if result is not None and send is not None:
                self._reactor.guard.call(send, result)
