"""Least squares of calls on the runs that are under way."""

#: Weight of the prior that all routes call alike, in squared runs.
PRIOR_WEIGHT = 4.0

#: Weight of a sample in the slow average.
LEVEL_WEIGHT = 0.1


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


class _Level:
    """Slow average, from which short deviations are taken."""

    __slots__ = ('value',)

    def __init__(self, value):
        self.value = value

    def deviation(self, value):
        """Return the distance from the average, and let it follow."""
        deviation = value - self.value
        self.value += LEVEL_WEIGHT * deviation
        return deviation


class Samples:
    """Runs under way by route: sums over samples.

    What enters is the deviation from a slow average. Traffic that rises
    moves the runs of all routes and the calls together, which would tell
    nothing of who makes them.

    Attributes
    ----------
    runs_by_route : dict of str to float
        Sums of the runs.
    deviations_by_route : dict of str to float
        Of the newest sample.
    """

    def __init__(self):
        self.runs_by_route = {}
        self.deviations_by_route = {}
        self._levels_by_route = {}
        self._products_by_pair = {}

    def add(self, running_by_route, decay):
        """Take a sample.

        Parameters
        ----------
        running_by_route : dict of str to int
            Runs under way.
        decay : float
            Weight that older samples keep.
        """
        sums = self.runs_by_route
        deviations = self.deviations_by_route
        for route in sums.keys() | running_by_route.keys():
            count = running_by_route.get(route, 0)
            sums[route] = sums.get(route, 0.0) * decay + count
            level = self._levels_by_route.get(route)
            if level is None:
                level = self._levels_by_route[route] = _Level(count)
            deviations[route] = level.deviation(count)
        products = self._products_by_pair
        for one, deviation in deviations.items():
            for other, other_deviation in deviations.items():
                pair = (one, other)
                products[pair] = (
                    products.get(pair, 0.0) * decay
                    + deviation * other_deviation
                )

    def retain(self, routes):
        """Drop the sums of all routes but some."""
        for by_route in (
            self.runs_by_route,
            self.deviations_by_route,
            self._levels_by_route,
        ):
            for route in by_route.keys() - routes:
                del by_route[route]
        products = self._products_by_pair
        for pair in [pair for pair in products if not routes >= set(pair)]:
            del products[pair]

    def products(self, one, other):
        """Return the sum of the products of two routes' deviations."""
        return self._products_by_pair.get((one, other), 0.0)


class Fit:
    """Calls to one route, against the runs of all routes.

    Attributes
    ----------
    products_by_route : dict of str to float
        Sums of the products of both deviations, by the route that runs.
    """

    def __init__(self):
        self._total = 0.0
        self._level = None
        self.products_by_route = {}

    def add(self, samples, calls, decay):
        """Take the calls of the newest sample.

        Parameters
        ----------
        samples : Samples
            The runs.
        calls : int
            Calls since the sample before.
        decay : float
            Weight that older samples keep.
        """
        self._total = self._total * decay + calls
        if self._level is None:
            self._level = _Level(calls)
        calls_deviation = self._level.deviation(calls)
        products = self.products_by_route
        for route, deviation in samples.deviations_by_route.items():
            products[route] = (
                products.get(route, 0.0) * decay + deviation * calls_deviation
            )

    def parts(self, samples, routes):
        """Return how many of the calls each route made.

        Parameters
        ----------
        samples : Samples
            The runs.
        routes : list of str
            Routes that may have made them.

        Returns
        -------
        dict of str to float
            Calls by route, none below 0.
        """
        runs = sum(samples.runs_by_route[route] for route in routes)
        if runs <= 0.0:
            return {}
        mean = self._total / runs
        matrix = [
            [
                samples.products(one, other)
                + (PRIOR_WEIGHT if one == other else 0.0)
                for other in routes
            ]
            for one in routes
        ]
        vector = [
            self.products_by_route.get(route, 0.0) + PRIOR_WEIGHT * mean
            for route in routes
        ]
        return {
            route: max(0.0, calls) * samples.runs_by_route[route]
            for route, calls in zip(routes, solve(matrix, vector))
        }
