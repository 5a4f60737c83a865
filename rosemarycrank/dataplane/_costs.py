"""Estimates of how many calls a request causes at each downstream service.

A node counts the runs at its target and the calls that the target makes, by
route. Calls are attributed to the routes whose runs wait for calls. Deadlines
that a run passes on to its calls decide the shares (`_call_links`); if too
few calls can be attributed that way, the shares come from least squares of
the calls against the runs in flight, sampled at short intervals
(`_least_squares`). The costs of the called routes are reported by the nodes
that run them, so the costs of a route cover its whole call tree.
"""

from rosemarycrank.dataplane import _call_counts
from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _cost_changes
from rosemarycrank.dataplane import _least_squares
from rosemarycrank.dataplane import _stored_costs

#: Length of a counting window, in seconds.
WINDOW_S = 0.5

#: Interval between samples of the runs in flight, in seconds. It is short
#: compared with the duration of a run, because routes are distinguished by
#: the moments at which few runs of one of them are in flight.
SAMPLE_INTERVAL_S = 0.05

#: Time constant of the decay of old counts, in seconds. It is long, because
#: the calls of a request change only with releases of the targets, and short
#: disturbances distort the counts.
DECAY_TIME_S = 60.0

#: Observation time, with few failed runs, from which on the measured costs of
#: a route are trusted, in seconds. Trusted costs replace those that other
#: nodes reported, and are written to the store.
MIN_TRUSTED_OBSERVED_S = 8.0

#: Observation time that is credited to costs read from the store, in seconds.
STORED_OBSERVED_S = 30.0

#: Calls per run below which a route is taken to make no calls.
MIN_CALLS_PER_RUN = 0.05

#: Share of failed runs in a window above which many runs count as failing. A
#: run that fails has not made all of its calls, so trusted costs are then left
#: unchanged, and others are lowered slowly.
MAX_FAILED_SHARE = 0.15

#: Factor on the weight of a measurement that lowers a cost while many runs
#: fail.
FAILING_DECREASE_FACTOR = 0.25

#: Observation time up to which windows with many failed runs are credited, in
#: seconds.
MAX_FAILING_OBSERVED_S = 4.0


class CallCosts:
    """Costs of the routes of the local target and of other services.

    The cost of a request is the number of calls that it causes at each
    service.

    Parameters
    ----------
    service : str
        Service of the local target.

    Attributes
    ----------
    costs_by_service_route : dict of (str, str) to dict of str to float
        Calls at each service that one request of a route causes, the request
        itself included, by service and route.
    """

    def __init__(self, service):
        self.service = service
        self.costs_by_service_route = {}
        self._runs_by_deadline = _call_links.RunsByDeadline()
        self._answer_ends = _call_links.AnswerEndCorrelation()
        self._samples = _least_squares.RunSamples()
        self._runs_by_route = {}
        self._run_rates = _call_counts.RunRates()
        self._calls_by_key = {}
        self._observed_s_by_route = {}
        # Routes whose costs come from this node's own counts.
        self._own_routes = set()
        # Routes that clients use; calls of them are not counted.
        self._client_routes = set()

    def record_run_start(self, run):
        """Count a run that starts at the local target.

        Parameters
        ----------
        run : rosemarycrank.dataplane._call_links.Run
            The run, with the deadline that is sent to the target.
        """
        self._runs_by_deadline.add(run)
        self._run_counts(run.route).started += 1

    def record_run_end(self, run, now, failed):
        """Count the end of a run.

        Parameters
        ----------
        run : rosemarycrank.dataplane._call_links.Run
            The same object as at its start.
        now : float
            Seconds of the node's clock.
        failed : bool
            Whether it ended without success.
        """
        self._runs_by_deadline.remove(run, failed)
        runs = self._run_counts(run.route)
        runs.ended += 1
        if failed:
            runs.failed += 1
        else:
            self._answer_ends.record_run_end(run.route, now)

    def record_answer(self, now):
        """Record that a call of the local target was answered."""
        self._answer_ends.record_answer(now)

    def record_call(self, service, route, deadline_at):
        """Count a call of the local target.

        Parameters
        ----------
        service, route : str
            Service and route that are called.
        deadline_at : float or None
            Deadline of the call; None if it has none.

        Returns
        -------
        float or None
            Rank of the request that makes the call: that of the run whose
            deadline matches, else the mean rank of the runs in flight. None
            if no run is in flight.
        """
        key = (service, route)
        calls = self._calls_by_key.get(key)
        if calls is None:
            calls = self._calls_by_key[key] = _call_counts.CallCounts()
        calls.in_window += 1
        calls.in_sample += 1
        caller = None
        if deadline_at is not None:
            caller = self._runs_by_deadline.match_call(
                deadline_at, calls.excess_by_route
            )
        return (
            self._runs_by_deadline.mean_rank()
            if caller is None
            else caller.rank
        )

    def outlasts_runs(self, deadline_at):
        """Return whether a deadline lies after those of all runs in flight.

        A call of the local target ends with the run that makes it, so a
        request with such a deadline comes from a client.
        """
        return self._runs_by_deadline.all_end_before(deadline_at)

    def drop_calls(self, route):
        """Drop the call counts of a route that clients use, not targets.

        The costs that this node has measured change at once: the routes that
        seemed to make these calls may not run here any more.
        """
        self._client_routes.add(route)
        keys = [key for key in self._calls_by_key if key[1] == route]
        for key in keys:
            del self._calls_by_key[key]
        if keys:
            self._update_costs(self._own_routes)

    def retain(self, routes):
        """Drop the state of all routes except the given ones.

        Parameters
        ----------
        routes : set of str
            Routes of the configuration in force.
        """
        self._samples.retain(routes)
        self._answer_ends.retain(routes)
        self._own_routes &= routes
        self._run_rates.retain(routes)
        for by_route in [self._observed_s_by_route, *self._by_caller()]:
            for route in by_route.keys() - routes:
                del by_route[route]
        for by_key in (self.costs_by_service_route, self._calls_by_key):
            for key in [key for key in by_key if key[1] not in routes]:
                del by_key[key]

    def _by_caller(self):
        for calls in self._calls_by_key.values():
            yield calls.excess_by_route
            yield calls.calls_by_route
            yield calls.fit.products_by_route

    def update_from_report(self, service, costs_by_route):
        """Update the costs of a service from the report of one of its nodes.

        Reports on routes whose costs this node has measured itself are
        ignored.

        Parameters
        ----------
        service : str
            Service of the reporting node.
        costs_by_route : dict of str to dict of str to float
            Calls by route and service.
        """
        for route, costs in costs_by_route.items():
            if service == self.service and route in self._own_routes:
                continue
            known = self.costs_by_service_route.get((service, route))
            if known is None:
                self.costs_by_service_route[(service, route)] = dict(costs)
            else:
                _cost_changes.average_report(known, costs)

    def restore(self, stored):
        """Load stored costs of routes for which no newer costs are known.

        Parameters
        ----------
        stored : StoredCosts
            Costs of one service.
        """
        for route, costs in stored.costs_by_route.items():
            self.costs_by_service_route.setdefault(
                (stored.service, route), dict(costs)
            )
        if stored.service != self.service:
            return
        for call in stored.calls:
            if call.route in self._client_routes:
                continue
            if not self._is_trusted(call.caller):
                calls = self._calls_by_key.setdefault(
                    (call.service, call.route), _call_counts.CallCounts()
                )
                calls.calls_by_route[call.caller] = call.count
        for route in stored.costs_by_route:
            self._observed_s_by_route[route] = max(
                STORED_OBSERVED_S, self._observed_s_by_route.get(route, 0.0)
            )

    def snapshot(self):
        """Return the costs of the local target's routes for the store.

        Routes whose costs are not trusted yet are left out.

        Returns
        -------
        StoredCosts
            Costs of the local service.
        """
        routes = [r for r in self._observed_s_by_route if self._is_trusted(r)]
        return _stored_costs.StoredCosts(
            self.service,
            {
                route: self.costs_by_service_route[(self.service, route)]
                for route in routes
            },
            [
                _stored_costs.StoredCall(
                    service, called, route, calls.calls_by_route[route]
                )
                for (service, called), calls in self._calls_by_key.items()
                for route in routes
                if route in calls.calls_by_route
            ],
        )

    def calls_others(self, service):
        """Return whether runs of a service are known to make calls."""
        return any(
            len(costs) > 1
            for (name, _), costs in self.costs_by_service_route.items()
            if name == service
        )

    def has_measured(self, route):
        """Return whether the cost of a route comes from own counts."""
        return route in self._own_routes

    def cost(self, service, route):
        """Return the calls that one request causes, by service.

        A request whose cost is unknown counts as one call at its own
        service.
        """
        costs = self.costs_by_service_route.get((service, route))
        return costs if costs is not None else {service: 1.0}

    def sample(self):
        """Sample the runs in flight and the calls since the last sample."""
        decay = 1.0 - SAMPLE_INTERVAL_S / DECAY_TIME_S
        self._samples.add(self._runs_by_deadline.running_by_route, decay)
        for calls in self._calls_by_key.values():
            calls.sample(self._samples, decay)

    def close_window(self):
        """Update the costs with the counts since the last window.

        Returns
        -------
        dict of str to dict of str to float
            Costs of the routes that ran here in the window.
        """
        runs_by_route = self._runs_by_route
        self._runs_by_route = {}
        ended = sum(runs.ended for runs in runs_by_route.values())
        failed = sum(runs.failed for runs in runs_by_route.values())
        many_fail = failed > MAX_FAILED_SHARE * ended
        decay = 1.0 - WINDOW_S / DECAY_TIME_S
        self._run_rates.add_window(runs_by_route, decay)
        self._answer_ends.decay(decay)
        excluded_routes = self._answer_ends.routes_without_calls()
        for calls in self._calls_by_key.values():
            for excess in calls.excess_by_route.values():
                excess.decay(decay)
            for route in excluded_routes & calls.calls_by_route.keys():
                # The correlation shows with certainty that the route makes
                # no calls; an earlier estimate is wrong.
                calls.calls_by_route[route] = 0.0
            shares = self._run_rates.shares_in_window(
                calls.shares(self._samples, excluded_routes), runs_by_route
            )
            for route, runs in runs_by_route.items():
                share = shares.get(route, 0.0)
                self._update_estimate(
                    calls, route, runs.mean(), share, many_fail
                )
            calls.in_window = 0
        for route, runs in runs_by_route.items():
            observed_s = self._observed_s_by_route.get(route, 0.0)
            if runs.ended and (
                not many_fail or observed_s < MAX_FAILING_OBSERVED_S
            ):
                self._observed_s_by_route[route] = observed_s + WINDOW_S
        return self._update_costs(runs_by_route)

    def _is_trusted(self, route):
        return (
            self._observed_s_by_route.get(route, 0.0) >= MIN_TRUSTED_OBSERVED_S
        )

    def _run_counts(self, route):
        runs = self._runs_by_route.get(route)
        if runs is None:
            runs = self._runs_by_route[route] = _call_counts.RunCounts()
        return runs

    def _update_estimate(self, calls, route, runs, share, many_fail):
        if runs <= 0.0:
            return
        observed_s = self._observed_s_by_route.get(route, 0.0)
        estimate = calls.calls_by_route.get(route, 0.0)
        measured = calls.in_window * share / runs
        weight = WINDOW_S / min(DECAY_TIME_S, observed_s + WINDOW_S)
        weight *= self._run_rates.relative_weight(route, runs)
        if many_fail:
            if observed_s >= MIN_TRUSTED_OBSERVED_S:
                return
            if measured < estimate:
                weight *= FAILING_DECREASE_FACTOR
        calls.calls_by_route[route] = estimate + weight * (measured - estimate)

    def _update_costs(self, routes):
        costs = {
            route: {self.service: 1.0}
            for route in routes
            if self._is_trusted(route)
            or (self.service, route) not in self.costs_by_service_route
            or route in self._own_routes
        }
        self._own_routes.update(costs)
        for key, calls in self._calls_by_key.items():
            callee_cost = self.cost(*key)
            for route, cost in costs.items():
                count = calls.calls_by_route.get(route, 0.0)
                if count < MIN_CALLS_PER_RUN:
                    continue
                for name, callee_calls in callee_cost.items():
                    cost[name] = cost.get(name, 0.0) + count * callee_calls
        for route, cost in costs.items():
            self.costs_by_service_route[(self.service, route)] = cost
        return costs
