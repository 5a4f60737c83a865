"""Which share of a target's load has to be kept away at the front.

Answers the pattern of fan-out onto a saturated service at the end of the
call graph: a request that is admitted at the front is lost if any one of
its calls there is refused, so the load has to be cut in whole requests
before any of them has begun.
"""

#: Wait in the queue that is aimed at, in seconds: long enough that the
#: target never idles, short beside the time that requests have.
AIMED_WAIT_S = 0.04

#: Time in which a queue that is off its aim is brought back, in seconds.
#: It has to exceed the time from a request's admission to its last call.
HORIZON_S = 1.0

#: Time over which rates of arrival are averaged, in seconds.
RATE_WINDOW_S = 0.6

#: Largest share that is kept away; the rest keeps the reports coming.
LARGEST_SHARE = 0.95

#: Share of the distance to a new value that one step covers.
STEP_SHARE = 0.35


class Pressure:
    """Share to keep away, from arrivals, queue and speed of a target.

    Attributes
    ----------
    share : float
        Share of the load that is offered, from 0 to `LARGEST_SHARE`.
    """

    def __init__(self):
        self.share = 0.0
        self._arrivals = 0
        self._rate = 0.0
        self._applied = 0.0
        self._updated_at = None

    def arrived(self):
        """Count an attempt."""
        self._arrivals += 1

    def update(self, now, waiting, limit, service_s):
        """Work out the share anew.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        waiting, limit : int
            Attempts in the queue, and the most that run at once.
        service_s : float
            Usual seconds of a run.
        """
        if self._updated_at is None:
            self._updated_at = now
            return
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        weight = min(1.0, elapsed_s / RATE_WINDOW_S)
        self._rate += weight * (self._arrivals / elapsed_s - self._rate)
        self._applied += weight * (self.share - self._applied)
        self._arrivals = 0
        if service_s <= 0.0:
            return
        capacity = limit / service_s
        offered = self._rate / (1.0 - min(self._applied, LARGEST_SHARE))
        excess = waiting - AIMED_WAIT_S * capacity
        wanted = max(0.0, capacity - excess / HORIZON_S)
        share = 0.0
        if offered > wanted:
            share = min(LARGEST_SHARE, 1.0 - wanted / offered)
        self.share += STEP_SHARE * (share - self.share)
        if self.share < 0.005:
            self.share = 0.0
