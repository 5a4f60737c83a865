"""How many requests run at the local target at once."""

#: Weight of a new sample in the usual time of a run.
SAMPLE_WEIGHT = 0.05

#: Usual time of a run before the first sample, in seconds.
FIRST_SERVICE_S = 0.02

#: Share of the stated slots that is used: targets slow down when they are
#: nearly full, by more than the last slots would add.
USED_SHARE = 0.945

#: Weight of a sample in the least time of a route: of one that is faster,
#: and of one that is slower.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01

#: Share of a route's least time that must be left for a run to begin: work
#: that cannot end in time takes room from what can.
LEAST_SHARE_LEFT = 0.9

#: Slots assumed of a target that states none.
DEFAULT_SLOTS = 32


class ConcurrencyLimit:
    """Limit from the slots that the target states.

    Attributes
    ----------
    value : int
        Requests that may run at once.
    service_s : float
        Usual seconds from sending a request to its answer.
    """

    def __init__(self):
        self.value = DEFAULT_SLOTS
        self.service_s = 0.0
        self._least_s_by_route = {}

    def reset(self, slots):
        """Start anew for a target that has just started.

        Parameters
        ----------
        slots : int
            Slots that it states; 0 for none.
        """
        slots = slots if slots > 0 else DEFAULT_SLOTS
        self.value = max(1, int(slots * USED_SHARE))
        self.service_s = 0.0
        self._least_s_by_route.clear()

    def observe(self, route, took_s, complete):
        """Learn from the end of a run.

        Parameters
        ----------
        route : str
            Route of the request.
        took_s : float
            Seconds from sending to the answer.
        complete : bool
            Whether it gave a whole answer and no failure.
        """
        if not complete:
            return
        if self.service_s == 0.0:
            self.service_s = took_s
        self.service_s += SAMPLE_WEIGHT * (took_s - self.service_s)
        least_s = self._least_s_by_route.get(route, took_s)
        weight = FASTER_WEIGHT if took_s < least_s else SLOWER_WEIGHT
        self._least_s_by_route[route] = least_s + weight * (took_s - least_s)

    def min_remaining_s(self, route):
        """Return the seconds that a run of a route has to have left.

        It follows the fast runs: the usual time grows while the service
        below is slow, and would keep away what could end in time.
        """
        return LEAST_SHARE_LEFT * self._least_s_by_route.get(route, 0.0)

    def expected_wait_s(self, ahead):
        """Return the seconds until a place is free.

        Parameters
        ----------
        ahead : int
            Attempts that start before.
        """
        return self.service_s * (ahead + 1) / self.value
