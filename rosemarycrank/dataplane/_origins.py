"""Detection of the routes that clients use.

Requests of clients and calls of the local target reach a node on the same
address, and no header field distinguishes them. But a target makes calls only
while it runs a request, and its calls end with that run. So a request comes
from a client if it arrives while the local target is idle, or if its deadline
lies after those of all runs in flight. A route that one node has found to be
used by clients counts as a client route at all nodes.
"""

#: Least number of requests of a route that must be identified as coming from
#: clients before the route counts as a client route.
MIN_CLIENT_REQUESTS = 3

#: Least share of the requests of a route that must be identified so. A target
#: may make further calls for a run that was cancelled, until it notices.
MIN_CLIENT_SHARE = 0.2

#: Time without a run after which the target counts as idle, in seconds.
TARGET_IDLE_S = 0.05

#: Longest time that the target may spend on a run unknown to this node, in
#: seconds: after a restart of the node, the target may still work on what the
#: previous process sent. If the target has been idle for this long, a single
#: request suffices.
MAX_UNKNOWN_RUN_S = 7.0

#: Interval at which the counts are halved, in seconds, so that a period of
#: continuous load does not prevent detection in a later idle period.
HALVING_INTERVAL_S = 10.0


class RouteOrigins:
    """Classifies routes by whether clients use them.

    Parameters
    ----------
    started_at : float
        Start time of the node, in seconds of its clock.
    on_found : callable
        Called with the name of each client route that this node detects.

    Attributes
    ----------
    client_routes : set of str
        Names of the routes that clients are known to use.
    """

    def __init__(self, started_at, on_found):
        self.started_at = started_at
        self.on_found = on_found
        self.client_routes = set()
        # Numbers of all requests and of those identified as clients'.
        self._counts_by_route = {}
        self._halved_at = started_at

    def record_request(self, route, now, target_idle_s, outlasts_runs):
        """Count a request and classify its route.

        Parameters
        ----------
        route : str
            Name of its route.
        now : float
            Seconds of the node's clock.
        target_idle_s : float
            Seconds since the local target last ran a request; 0 while it
            runs one.
        outlasts_runs : callable
            Returns whether the deadline of the request lies after those of
            all runs in flight.

        Returns
        -------
        bool
            Whether clients are known to use the route.
        """
        if route in self.client_routes:
            return True
        if now < self.started_at + MAX_UNKNOWN_RUN_S:
            return False
        if now > self._halved_at + HALVING_INTERVAL_S:
            self._halve_counts(now)
        counts = self._counts_by_route.setdefault(route, [0, 0])
        counts[0] += 1
        if target_idle_s < TARGET_IDLE_S and not outlasts_runs():
            return False
        counts[1] += 1
        if target_idle_s < MAX_UNKNOWN_RUN_S and (
            counts[1] < MIN_CLIENT_REQUESTS
            or counts[1] < MIN_CLIENT_SHARE * counts[0]
        ):
            return False
        self.add_client_route(route)
        self.on_found(route)
        return True

    def add_client_route(self, route):
        """Add a route that clients use, for example one reported by a peer."""
        self.client_routes.add(route)
        self._counts_by_route.pop(route, None)

    def _halve_counts(self, now):
        self._halved_at = now
        for counts in self._counts_by_route.values():
            counts[0] //= 2
            counts[1] //= 2
