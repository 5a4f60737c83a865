"""Concurrency limit of the local target, and its service times."""

import math

#: Weight of a new sample in the moving average of the service time.
SAMPLE_WEIGHT = 0.05

#: Service time assumed before the first sample, in seconds.
INITIAL_SERVICE_S = 0.02

#: Share of the announced slots that is used. Targets slow down when nearly
#: full, which costs more throughput than the last slots would add.
USED_SLOTS_SHARE = 0.945

#: Weights of a sample in the estimate of a route's short service times: of a
#: sample below the estimate and of one above it.
FASTER_SAMPLE_WEIGHT = 0.2
SLOWER_SAMPLE_WEIGHT = 0.01

#: Weight of a sample below the estimate in the estimate of a route's long
#: service times; a sample above it replaces it.
SHORTER_SAMPLE_WEIGHT = 0.01

#: Minimum time left to start a request, as a share of the estimate of its
#: route's short service times. Requests that cannot complete in time would
#: take capacity from those that can.
MIN_TIME_LEFT_SHARE = 0.9

#: Slots assumed for a target that announces none.
DEFAULT_SLOTS = 32


class ConcurrencyLimit:
    """Limit derived from the slots that the target announces.

    Attributes
    ----------
    value : int
        Maximum number of requests that run at once.
    service_s : float
        Moving average of the service time, in seconds; 0 before the first
        sample.
    """

    def __init__(self):
        self.value = DEFAULT_SLOTS
        self.service_s = 0.0
        self._short_service_s_by_route = {}
        self._long_service_s_by_route = {}

    def reset(self, slots):
        """Start over for a target that has just started.

        Parameters
        ----------
        slots : int
            Slots that the target announces; 0 for none.
        """
        slots = slots if slots > 0 else DEFAULT_SLOTS
        self.value = max(1, int(slots * USED_SLOTS_SHARE))
        self.service_s = 0.0
        self._short_service_s_by_route.clear()
        self._long_service_s_by_route.clear()

    def observe(self, route, duration_s, complete):
        """Update the estimates with a request that has ended.

        Parameters
        ----------
        route : str
            Route of the request.
        duration_s : float
            Seconds from sending the request to its response.
        complete : bool
            Whether there was a complete response without a failure. Other
            requests are ignored.
        """
        if not complete:
            return
        if self.service_s == 0.0:
            self.service_s = duration_s
        self.service_s += SAMPLE_WEIGHT * (duration_s - self.service_s)
        short_s = self._short_service_s_by_route.get(route, duration_s)
        weight = (
            FASTER_SAMPLE_WEIGHT
            if duration_s < short_s
            else SLOWER_SAMPLE_WEIGHT
        )
        self._short_service_s_by_route[route] = short_s + weight * (
            duration_s - short_s
        )
        long_s = self._long_service_s_by_route.get(route, duration_s)
        self._long_service_s_by_route[route] = max(
            duration_s, long_s + SHORTER_SAMPLE_WEIGHT * (duration_s - long_s)
        )

    def min_remaining_s(self, route):
        """Return the minimum time left to start a request, in seconds.

        It is based on short service times. The average service time grows
        while a service below is slow, and would reject requests that can
        complete in time.
        """
        return MIN_TIME_LEFT_SHARE * self._short_service_s_by_route.get(
            route, 0.0
        )

    def long_service_s(self, route):
        """Return the estimate of a route's long service times, in seconds.

        It is near the longest of the latest service times, and infinite
        before the first sample.
        """
        return self._long_service_s_by_route.get(route, math.inf)

    def expected_wait_s(self, ahead):
        """Return the expected queue delay in seconds.

        Parameters
        ----------
        ahead : int
            Number of waiting attempts that start earlier.
        """
        return self.service_s * (ahead + 1) / self.value
