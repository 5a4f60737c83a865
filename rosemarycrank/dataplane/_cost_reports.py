"""Choice of the costs of requests that a node reports to other nodes."""

from rosemarycrank.dataplane import _cost_changes
from rosemarycrank.dataplane import _costs

#: Seconds between reports of costs that have not changed significantly.
MAX_REPORT_INTERVAL_S = 5.0


class CostReports:
    """Chooses when the costs of the local service's routes are reported.

    Routes that make no calls are not reported, as nodes without a report
    take a route to make none. Receivers average the reports of all nodes.
    So a cost that differs from this average is reported until the average
    has followed it: also if the route has turned out to make no calls, does
    not run here any more, or was reported by a node that is gone.

    Parameters
    ----------
    costs : CallCosts
        Costs of the routes.
    """

    def __init__(self, costs):
        self._costs = costs
        self._reported_at = 0.0
        # Averages of the reports, as a node has them that received them all.
        self._averages_by_route = {}

    def receive(self, costs_by_route):
        """Add the report of another node of the local service.

        Parameters
        ----------
        costs_by_route : dict of str to dict of str to float
            Calls by route and service.
        """
        for route, cost in costs_by_route.items():
            self._add_to_average(route, cost)

    def close_window(self, now):
        """Close the counting window; return the costs to report.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.

        Returns
        -------
        dict of str to dict of str to float
            Calls by route and service; empty if no report is due.
        """
        self._adopt_known_costs()
        window_costs_by_route = self._costs.close_window()
        costs_by_route = self._outdated_costs() | window_costs_by_route
        averages = self._averages_by_route
        if all(
            len(cost) == 1 and len(averages.get(route, cost)) == 1
            for route, cost in costs_by_route.items()
        ):
            return {}
        changed = any(
            _cost_changes.differ_significantly(cost, averages.get(route, {}))
            for route, cost in costs_by_route.items()
        )
        if not changed and now - self._reported_at <= MAX_REPORT_INTERVAL_S:
            return {}
        self._reported_at = now
        self.receive(costs_by_route)
        return costs_by_route

    def retain(self, routes):
        """Drop the state of all routes except the given ones.

        Parameters
        ----------
        routes : set of str
            Routes of the configuration in force.
        """
        for route in self._averages_by_route.keys() - routes:
            del self._averages_by_route[route]

    def _adopt_known_costs(self):
        """Start the averages of costs that were read from the store."""
        service = self._costs.service
        for key, cost in self._costs.costs_by_service_route.items():
            if key[0] == service and key[1] not in self._averages_by_route:
                self._averages_by_route[key[1]] = dict(cost)

    def _outdated_costs(self):
        """Return the measured costs that differ from what receivers know."""
        costs_by_route = {}
        for route, average in self._averages_by_route.items():
            if not self._costs.has_measured(route):
                continue
            cost = self._costs.cost(self._costs.service, route)
            if (
                average.keys() - cost.keys()
                or _cost_changes.differ_significantly(cost, average)
            ):
                costs_by_route[route] = cost
        return costs_by_route

    def _add_to_average(self, route, cost):
        average = self._averages_by_route.get(route)
        if average is None:
            self._averages_by_route[route] = dict(cost)
            return
        _cost_changes.average_report(average, cost)
        for service in average.keys() - cost.keys():
            if average[service] < _costs.MIN_CALLS_PER_RUN:
                del average[service]
