"""Counts of the runs at the local target and of the calls that it makes."""

from rosemarycrank.dataplane import _least_squares

#: Least share of the calls that must be attributed by deadlines for these
#: attributions to be used.
MIN_ATTRIBUTED_SHARE = 0.1


class RunCounts:
    """Counts of the runs of one route in a window.

    Attributes
    ----------
    started, ended : int
        Runs that have started and ended.
    failed : int
        Runs that have ended without success.
    """

    __slots__ = ('started', 'ended', 'failed')

    def __init__(self):
        self.started = 0
        self.ended = 0
        self.failed = 0

    def mean(self):
        """Return the mean of the numbers of started and ended runs."""
        return 0.5 * (self.started + self.ended)


class RunRates:
    """Mean numbers of runs in a window, by route; old windows decay."""

    def __init__(self):
        self._windows = 0.0
        self._runs_by_route = {}

    def add_window(self, runs_by_route, decay):
        """Add the runs of a window.

        Parameters
        ----------
        runs_by_route : dict of str to RunCounts
            Runs in the window.
        decay : float
            Factor applied to the weight of older windows.
        """
        self._windows = self._windows * decay + 1.0
        sums = self._runs_by_route
        for route in sums.keys() | runs_by_route.keys():
            counts = runs_by_route.get(route)
            mean = 0.0 if counts is None else counts.mean()
            sums[route] = sums.get(route, 0.0) * decay + mean

    def retain(self, routes):
        """Drop the sums of all routes except the given ones.

        Parameters
        ----------
        routes : set of str
            Routes to keep.
        """
        for route in self._runs_by_route.keys() - routes:
            del self._runs_by_route[route]

    def relative_weight(self, route, runs):
        """Return the weight of a window with few runs of a route.

        Parameters
        ----------
        route : str
            Name of the route.
        runs : float
            Its runs in the window.

        Returns
        -------
        float
            From 0 to 1; 1 if there are as many runs as usual.
        """
        usual = self._runs_by_route.get(route, 0.0) / self._windows
        return min(1.0, runs / usual) if usual > 0.0 else 1.0

    def shares_in_window(self, shares_by_route, runs_by_route):
        """Return the shares of the calls of one window.

        The shares of all calls hold for the usual mix of runs; in a window
        the mix may be another one.

        Parameters
        ----------
        shares_by_route : dict of str to float
            Shares of all calls.
        runs_by_route : dict of str to RunCounts
            Runs in the window.

        Returns
        -------
        dict of str to float
            Shares by route.
        """
        weights = {}
        for route, share in shares_by_route.items():
            usual = self._runs_by_route.get(route, 0.0)
            counts = runs_by_route.get(route)
            if usual > 0.0 and counts is not None:
                weights[route] = share * counts.mean() / usual
        total = sum(weights.values())
        if total <= 0.0:
            return {}
        return {route: weight / total for route, weight in weights.items()}


class CallCounts:
    """Calls of the local target to one route of another service.

    Attributes
    ----------
    total : float
        Calls so far; old ones decay.
    in_window, in_sample : int
        Calls since the last window was closed, and since the last sample.
    excess_by_route : dict of str to ExcessCount
        Calls whose deadlines match runs, by the route of the runs.
    fit : CallFit
        Least squares of the calls against the runs in flight.
    calls_by_route : dict of str to float
        Estimated calls of one run, by the route of the run.
    """

    def __init__(self):
        self.total = 0.0
        self.in_window = 0
        self.in_sample = 0
        self.excess_by_route = {}
        self.fit = _least_squares.CallFit()
        self.calls_by_route = {}

    def sample(self, samples, decay):
        """Add the calls since the previous sample to the fit.

        Parameters
        ----------
        samples : RunSamples
            Samples of the runs in flight.
        decay : float
            Factor applied to the weight of older samples.
        """
        self.total = self.total * decay + self.in_sample
        self.fit.add(samples, self.in_sample, decay)
        self.in_sample = 0

    def shares(self, samples, excluded_routes):
        """Return the share of these calls that each route makes.

        Parameters
        ----------
        samples : RunSamples
            Samples of the runs in flight.
        excluded_routes : set of str
            Routes that make no calls.

        Returns
        -------
        dict of str to float
            Shares by route; empty if no calls can be attributed.
        """
        attributed = {
            route: excess.significant_excess()
            for route, excess in self.excess_by_route.items()
            if route not in excluded_routes
        }
        if sum(attributed.values()) < MIN_ATTRIBUTED_SHARE * self.total:
            routes = [
                r
                for r in samples.run_sums_by_route
                if r not in excluded_routes
            ]
            attributed = self.fit.estimate(samples, routes)
        total = sum(attributed.values())
        if total <= 0.0:
            return {}
        return {route: calls / total for route, calls in attributed.items()}
