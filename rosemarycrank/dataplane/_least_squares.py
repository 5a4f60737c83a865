"""Attribution of calls to routes by regularised least squares.

The calls to one route are regressed on the numbers of runs in flight of the
routes that may have made them.
"""

#: Weight of the prior that all routes make calls at the same rate, in
#: squared runs.
PRIOR_WEIGHT = 4.0

#: Weight of a new sample in an exponential moving average.
AVERAGE_WEIGHT = 0.1


def solve(matrix, vector):
    """Solve a small symmetric positive definite system.

    Uses Gaussian elimination with partial pivoting. Unknowns whose pivot is
    nearly 0 are set to 0.

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
        pivot_index = max(
            range(column, size), key=lambda row: abs(rows[row][column])
        )
        rows[column], rows[pivot_index] = rows[pivot_index], rows[column]
        pivot_row = rows[column]
        if abs(pivot_row[column]) < 1e-12:
            continue
        for row in range(column + 1, size):
            factor = rows[row][column] / pivot_row[column]
            for k in range(column, size + 1):
                rows[row][k] -= factor * pivot_row[k]
    solution = [0.0] * size
    for row in range(size - 1, -1, -1):
        remainder = rows[row][size] - sum(
            rows[row][k] * solution[k] for k in range(row + 1, size)
        )
        pivot = rows[row][row]
        solution[row] = remainder / pivot if abs(pivot) >= 1e-12 else 0.0
    return solution


class _MovingAverage:
    """Exponential moving average that yields deviations from it."""

    __slots__ = ('value',)

    def __init__(self, value):
        self.value = value

    def update(self, value):
        """Return the deviation from the average, then update the average."""
        deviation = value - self.value
        self.value += AVERAGE_WEIGHT * deviation
        return deviation


class RunSamples:
    """Decayed sums over samples of the runs in flight, by route.

    The regression uses deviations from a moving average rather than counts.
    Rising traffic increases the runs of all routes and their calls at the
    same time, so the counts themselves do not show which route makes calls.

    Attributes
    ----------
    run_sums_by_route : dict of str to float
        Decayed sums of the runs in flight.
    deviations_by_route : dict of str to float
        Deviations of the newest sample from the moving averages.
    """

    def __init__(self):
        self.run_sums_by_route = {}
        self.deviations_by_route = {}
        self._averages_by_route = {}
        self._products_by_pair = {}

    def add(self, running_by_route, decay):
        """Add a sample.

        Parameters
        ----------
        running_by_route : dict of str to int
            Runs in flight.
        decay : float
            Factor applied to the weight of older samples.
        """
        sums = self.run_sums_by_route
        deviations = self.deviations_by_route
        for route in sums.keys() | running_by_route.keys():
            count = running_by_route.get(route, 0)
            sums[route] = sums.get(route, 0.0) * decay + count
            average = self._averages_by_route.get(route)
            if average is None:
                average = self._averages_by_route[route] = _MovingAverage(
                    count
                )
            deviations[route] = average.update(count)
        products = self._products_by_pair
        for route, deviation in deviations.items():
            for other_route, other_deviation in deviations.items():
                pair = (route, other_route)
                products[pair] = (
                    products.get(pair, 0.0) * decay
                    + deviation * other_deviation
                )

    def retain(self, routes):
        """Drop the sums of all routes except the given ones.

        Parameters
        ----------
        routes : set of str
            Routes to keep.
        """
        for by_route in (
            self.run_sums_by_route,
            self.deviations_by_route,
            self._averages_by_route,
        ):
            for route in by_route.keys() - routes:
                del by_route[route]
        products = self._products_by_pair
        for pair in [pair for pair in products if not routes >= set(pair)]:
            del products[pair]

    def products(self, route, other_route):
        """Return the decayed sum of products of two routes' deviations."""
        return self._products_by_pair.get((route, other_route), 0.0)


class CallFit:
    """Fit of the calls to one route against the runs of all routes.

    Attributes
    ----------
    products_by_route : dict of str to float
        Decayed sums of the products of the deviations of the calls and of
        the runs, by the route of the runs.
    """

    def __init__(self):
        self._total = 0.0
        self._average = None
        self.products_by_route = {}

    def add(self, samples, calls, decay):
        """Add the calls that belong to the newest sample.

        Parameters
        ----------
        samples : RunSamples
            Samples of the runs in flight.
        calls : int
            Calls since the previous sample.
        decay : float
            Factor applied to the weight of older samples.
        """
        self._total = self._total * decay + calls
        if self._average is None:
            self._average = _MovingAverage(calls)
        calls_deviation = self._average.update(calls)
        products = self.products_by_route
        for route, deviation in samples.deviations_by_route.items():
            products[route] = (
                products.get(route, 0.0) * decay + deviation * calls_deviation
            )

    def estimate(self, samples, routes):
        """Estimate how many of the calls each route made.

        Parameters
        ----------
        samples : RunSamples
            Samples of the runs in flight.
        routes : list of str
            Routes that may have made the calls.

        Returns
        -------
        dict of str to float
            Calls by route, none below 0. Empty if no route had runs.
        """
        runs = sum(samples.run_sums_by_route[route] for route in routes)
        if runs <= 0.0:
            return {}
        mean = self._total / runs
        matrix = [
            [
                samples.products(route, other_route)
                + (PRIOR_WEIGHT if route == other_route else 0.0)
                for other_route in routes
            ]
            for route in routes
        ]
        vector = [
            self.products_by_route.get(route, 0.0) + PRIOR_WEIGHT * mean
            for route in routes
        ]
        return {
            route: max(0.0, calls_per_run) * samples.run_sums_by_route[route]
            for route, calls_per_run in zip(routes, solve(matrix, vector))
        }
