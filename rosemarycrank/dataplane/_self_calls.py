"""Runs of a service that wait for calls to the same service.

If such runs held all slots of all targets, the calls that they wait for could
not start, and all of them would fail at their deadlines.
"""

#: Share of a target's limit, and least number of its slots, that runs which
#: call their own service leave free.
RESERVED_SHARE = 0.2
MIN_RESERVED_SLOTS = 1

#: Number of calls to its own service, beside itself, from which a request is
#: taken to make such calls.
MIN_SELF_CALLS = 0.05


class SelfCalls:
    """Limits the runs at the local target that call their own service.

    Parameters
    ----------
    costs : CallCosts
        Calls that requests cause.
    """

    def __init__(self, costs):
        self._costs = costs
        self._running = set()

    def may_start(self, job, limit):
        """Return whether a job may start, as far as such calls matter.

        Parameters
        ----------
        job : Job
            The attempt.
        limit : int
            Number of attempts that may run at the target at once.
        """
        if not self._calls_itself(job.attempt.route):
            return True
        reserved = max(MIN_RESERVED_SLOTS, int(RESERVED_SHARE * limit))
        return len(self._running) < max(1, limit - reserved)

    def record_start(self, job):
        """Record that a job has started."""
        if self._calls_itself(job.attempt.route):
            self._running.add(job)

    def record_end(self, job):
        """Record that the run of a job has ended, in whatever way."""
        self._running.discard(job)

    def _calls_itself(self, route):
        service = self._costs.service
        calls = self._costs.cost(service, route).get(service, 0.0)
        return calls > 1.0 + MIN_SELF_CALLS
