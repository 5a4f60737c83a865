"""Which routes clients use, and which are calls of targets only.

Both reach a node on the same address, and no field tells them apart. But a
target calls only while it runs something, and its calls end with that: a
route whose requests arrive while the local target has been idle, or last
longer than all that it runs, is one that clients use. What one node has
found out holds for all.
"""

#: Requests that have to arrive so.
LEAST_IDLE_ARRIVALS = 3

#: Share of the requests of a route that these have to be: a target that
#: does not notice at once that a run was cancelled may still call.
LEAST_IDLE_SHARE = 0.2

#: Seconds without a run after which the target counts as idle.
IDLE_AFTER_S = 0.05

#: Seconds in which a target may still run what the node knows nothing of:
#: after the start of the node, what an earlier process sent it. A single
#: request after so long without a run tells enough.
UNSURE_S = 7.0

#: Seconds between halvings of the counts, so that a later lull can tell.
HALVING_S = 10.0


class RouteOrigins:
    """Routes that clients are known to use.

    Parameters
    ----------
    started_at : float
        When the node started, in seconds of its clock.
    on_found : callable
        Called with the name of each route that this node has found out.

    Attributes
    ----------
    client_routes : set of str
        Their names.
    """

    def __init__(self, started_at, on_found):
        self.started_at = started_at
        self.on_found = on_found
        self.client_routes = set()
        self._arrivals_by_route = {}
        self._halved_at = started_at

    def record_request(self, route, now, target_idle_s, outlasts_runs):
        """Count a request.

        Parameters
        ----------
        route : str
            Name of its route.
        now : float
            Seconds of the node's clock.
        target_idle_s : float
            Seconds since the local target last ran something.
        outlasts_runs : callable
            Returns whether the request lasts longer than all that runs.

        Returns
        -------
        bool
            Whether clients are known to use the route.
        """
        if route in self.client_routes:
            return True
        if now < self.started_at + UNSURE_S:
            return False
        if now > self._halved_at + HALVING_S:
            self._halve(now)
        counts = self._arrivals_by_route.setdefault(route, [0, 0])
        counts[0] += 1
        if target_idle_s < IDLE_AFTER_S and not outlasts_runs():
            return False
        counts[1] += 1
        if target_idle_s < UNSURE_S and (
            counts[1] < LEAST_IDLE_ARRIVALS
            or counts[1] < LEAST_IDLE_SHARE * counts[0]
        ):
            return False
        self.add_client_route(route)
        self.on_found(route)
        return True

    def add_client_route(self, route):
        """Take what another node has found out."""
        self.client_routes.add(route)
        self._arrivals_by_route.pop(route, None)

    def _halve(self, now):
        self._halved_at = now
        for counts in self._arrivals_by_route.values():
            counts[0] //= 2
            counts[1] //= 2
