"""How many calls a request causes at each service below it.

No message links a call to the request for which it is made. A node counts
the runs at its target by route and the calls that the target makes by
route, in windows, and fits calls to runs by least squares; the chance
variation of the counts separates the routes. Costs of the called routes come
from the nodes that run them, so each node knows whole subtrees.
"""

#: Length of a window of counts, in seconds.
WINDOW_S = 0.5

#: Time over which old windows lose their weight, in seconds.
MEMORY_S = 20.0

#: Weight of the prior that all routes of a service cause the same calls;
#: in squared runs.
PRIOR_WEIGHT = 4.0

#: Calls for each run below which a route is taken as not calling.
LEAST_CALLS = 0.05

#: Smoothing of counts between windows: calls come after their run began.
CARRIED_SHARE = 0.5


def solve(matrix, vector):
    """Solve a small symmetric positive definite system.

    Parameters
    ----------
    matrix : list of list of float
        Square matrix.
    vector : list of float
        Right-hand side.

    Returns
    -------
    list of float
        The solution.
    """
    size = len(vector)
    rows = [matrix[i][:] + [vector[i]] for i in range(size)]
    for column in range(size):
        pivot = max(
            range(column, size), key=lambda row: abs(rows[row][column])
        )
        rows[column], rows[pivot] = rows[pivot], rows[column]
        head = rows[column]
        if abs(head[column]) < 1e-12:
            continue
        for row in range(column + 1, size):
            factor = rows[row][column] / head[column]
            for k in range(column, size + 1):
                rows[row][k] -= factor * head[k]
    solution = [0.0] * size
    for row in range(size - 1, -1, -1):
        rest = rows[row][size] - sum(
            rows[row][k] * solution[k] for k in range(row + 1, size)
        )
        pivot = rows[row][row]
        solution[row] = rest / pivot if abs(pivot) >= 1e-12 else 0.0
    return solution


class _Fit:
    """Least squares of calls to one route on runs of all routes."""

    def __init__(self):
        self.products_by_route = {}

    def add(self, runs_by_route, calls, decay):
        products = self.products_by_route
        for route in products:
            products[route] *= decay
        for route, runs in runs_by_route.items():
            products[route] = products.get(route, 0.0) + runs * calls


class CallCosts:
    """Costs of the routes that run at the local target, and of others.

    Parameters
    ----------
    service : str
        Service of the local target.

    Attributes
    ----------
    by_route : dict of (str, str) to dict of str to float
        Calls at each service that one request of a route causes, itself
        included, by service and route.
    """

    def __init__(self, service):
        self.service = service
        self.by_route = {}
        self._runs = {}
        self._calls = {}
        self._smooth_runs = {}
        self._smooth_calls = {}
        self._moments = {}
        self._fits = {}
        self._totals = {}
        self._total_runs = 0.0

    def ran(self, route):
        """Count a run at the local target."""
        self._runs[route] = self._runs.get(route, 0) + 1

    def called(self, service, route):
        """Count a call of the local target."""
        key = (service, route)
        self._calls[key] = self._calls.get(key, 0) + 1

    def forget_calls(self, route):
        """Drop the counts of a route that targets do not call."""
        for counts in (
            self._calls,
            self._smooth_calls,
            self._fits,
            self._totals,
        ):
            for key in [key for key in counts if key[1] == route]:
                del counts[key]

    def heard(self, service, costs_by_route):
        """Take the costs that a node of another service reports.

        Parameters
        ----------
        service : str
            Its service.
        costs_by_route : dict of str to dict of str to float
            Calls by route and service.
        """
        for route, costs in costs_by_route.items():
            known = self.by_route.get((service, route))
            if known is None:
                self.by_route[(service, route)] = dict(costs)
                continue
            for name in set(known) | set(costs):
                old = known.get(name, 0.0)
                known[name] = old + 0.3 * (costs.get(name, 0.0) - old)

    def calls_others(self, service):
        """Return whether runs of a service are known to make calls."""
        return any(
            len(costs) > 1
            for (of_service, _), costs in self.by_route.items()
            if of_service == service
        )

    def cost(self, service, route):
        """Return the calls that one request causes, by service."""
        costs = self.by_route.get((service, route))
        return costs if costs is not None else {service: 1.0}

    def close_window(self):
        """Fit anew with the counts since the last window.

        Returns
        -------
        dict of str to dict of str to float
            Costs of the routes that ran here.
        """
        decay = 1.0 - WINDOW_S / MEMORY_S
        runs = self._carry(self._smooth_runs, self._runs)
        calls = self._carry(self._smooth_calls, self._calls)
        self._runs, self._calls = {}, {}
        for pair in self._moments:
            self._moments[pair] *= decay
        for one, count in runs.items():
            for other, other_count in runs.items():
                pair = (one, other)
                self._moments[pair] = (
                    self._moments.get(pair, 0.0) + count * other_count
                )
        self._total_runs = self._total_runs * decay + sum(runs.values())
        for key in set(calls) | set(self._fits):
            fit = self._fits.setdefault(key, _Fit())
            count = calls.get(key, 0.0)
            fit.add(runs, count, decay)
            self._totals[key] = self._totals.get(key, 0.0) * decay + count
        return self._publish(sorted(runs))

    @staticmethod
    def _carry(smooth, counts):
        for key in set(smooth) | set(counts):
            value = CARRIED_SHARE * smooth.get(key, 0.0) + (
                1.0 - CARRIED_SHARE
            ) * counts.get(key, 0)
            if value < 1e-3 and key not in counts:
                smooth.pop(key, None)
            else:
                smooth[key] = value
        return dict(smooth)

    def _publish(self, routes):
        if not routes or self._total_runs <= 0.0:
            return {}
        matrix = [
            [
                self._moments.get((one, other), 0.0)
                + (PRIOR_WEIGHT if one == other else 0.0)
                for other in routes
            ]
            for one in routes
        ]
        costs = {route: {self.service: 1.0} for route in routes}
        for key, fit in self._fits.items():
            mean = self._totals[key] / self._total_runs
            vector = [
                fit.products_by_route.get(route, 0.0) + PRIOR_WEIGHT * mean
                for route in routes
            ]
            for route, calls in zip(routes, solve(matrix, vector)):
                if calls < LEAST_CALLS:
                    continue
                for name, below in self.cost(*key).items():
                    costs[route][name] = (
                        costs[route].get(name, 0.0) + calls * below
                    )
        for route, cost in costs.items():
            self.by_route[(self.service, route)] = cost
        return costs
