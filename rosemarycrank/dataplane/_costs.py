"""How many calls a request causes at each service below it.

A node counts the runs at its target and the calls that the target makes,
by route. Routes whose runs do not wait for calls are left out, and calls are
shared out among the others by their deadlines (`_call_links`); where these
tell nothing, by least squares of the calls on the runs under way, in short
steps (`_least_squares`). Costs of the called routes come from the nodes that
run them, so each node knows whole subtrees.
"""

import msgspec

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _least_squares

#: Length of a window of counts, in seconds.
WINDOW_S = 0.5

#: Time between samples of the runs under way, in seconds: short beside a
#: run, as what tells routes apart are the moments when few of one run.
SAMPLE_S = 0.05

#: Time over which old counts lose their weight, in seconds: long, as what
#: requests call changes with releases of the targets only, and short troubles
#: distort the counts.
MEMORY_S = 60.0

#: Seconds of runs, beside few that fail, from which on the costs of a route
#: are told to others and go before what others tell of it.
CONFIDENT_S = 8.0

#: Seconds that what was kept in the store counts for.
KEPT_S = 30.0

#: Least share of the calls that has to be linked for links to be used.
LEAST_LINKED = 0.1

#: Calls for each run below which a route is taken as not calling.
LEAST_CALLS = 0.05

#: Share of runs that end badly from which on little is learned: a run that
#: fails has not made all of its calls.
FAILING_SHARE = 0.15

#: Weight of what was seen while runs fail, if it lowers a cost; and the most
#: seconds of it that count as knowledge.
FAILING_WEIGHT = 0.25
UNSURE_S = 4.0

#: Weight of what one node of another service reports.
HEARD_WEIGHT = 0.3

#: Change of a cost, relative and in calls, that is worth telling.
CHANGED_SHARE = 0.3
CHANGED_CALLS = 0.3


def differ_significantly(one, other):
    """Return whether two routes' costs differ by more than noise.

    Parameters
    ----------
    one, other : dict of str to float
        Calls by service.
    """
    for service in one.keys() | other.keys():
        calls, kept = one.get(service, 0.0), other.get(service, 0.0)
        if abs(calls - kept) > CHANGED_CALLS + CHANGED_SHARE * kept:
            return True
    return False


class KeptCall(msgspec.Struct):
    """Calls that one request of a route causes directly.

    Attributes
    ----------
    service, route : str
        What is called.
    caller : str
        Route of the request.
    count : float
        Calls for each request.
    """

    service: str
    route: str
    caller: str
    count: float


class KeptCosts(msgspec.Struct):
    """What is known of the routes that run at one service.

    Attributes
    ----------
    service : str
        The service.
    costs_by_route : dict of str to dict of str to float
        Calls at each service, the whole tree below included, by route.
    calls : list of KeptCall
        Its own calls.
    """

    service: str
    costs_by_route: dict[str, dict[str, float]]
    calls: list[KeptCall]


class _Runs:
    """Runs of one route in a window, and how they ended."""

    __slots__ = ('started', 'ended', 'failed')

    def __init__(self):
        self.started = 0
        self.ended = 0
        self.failed = 0

    def count(self):
        """Return the runs, in the middle between their start and end."""
        return 0.5 * (self.started + self.ended)


class _Calls:
    """Calls of the local target on one route of another service."""

    def __init__(self):
        self.total = 0.0
        self.in_window = 0
        self.in_sample = 0
        self.links_by_route = {}
        self.fit = _least_squares.Fit()
        self.calls_by_route = {}

    def sample(self, samples, factor):
        """Take the runs under way and the calls since the last sample."""
        self.total = self.total * factor + self.in_sample
        self.fit.add(samples, self.in_sample, factor)
        self.in_sample = 0

    def shares(self, samples, silent):
        """Return the share of these calls that each route makes.

        Parameters
        ----------
        samples : Samples
            Runs under way.
        silent : set of str
            Routes that make no calls.
        """
        linked = {
            route: links.events()
            for route, links in self.links_by_route.items()
            if route not in silent
        }
        if sum(linked.values()) < LEAST_LINKED * self.total:
            routes = [r for r in samples.runs_by_route if r not in silent]
            linked = self.fit.parts(samples, routes)
        total = sum(linked.values())
        if total <= 0.0:
            return {}
        return {route: calls / total for route, calls in linked.items()}


class CallCosts:
    """Costs of the routes that run at the local target, and of others.

    Parameters
    ----------
    service : str
        Service of the local target.

    Attributes
    ----------
    costs_by_service_route : dict of (str, str) to dict of str to float
        Calls at each service that one request of a route causes, itself
        included, by service and route.
    """

    def __init__(self, service):
        self.service = service
        self.costs_by_service_route = {}
        self._links = _call_links.DeadlineLinks()
        self._prompt_ends = _call_links.PromptEnds()
        self._samples = _least_squares.Samples()
        self._runs_by_route = {}
        self._calls_by_key = {}
        self._known_s_by_route = {}
        # Routes whose costs come from this node's own counts.
        self._own_routes = set()

    def started(self, run):
        """Count a run that begins at the local target.

        Parameters
        ----------
        run : rosemarycrank.dataplane._call_links.Run
            The run, with the deadline that the target is told.
        """
        self._links.started(run)
        self._runs_of(run.route).started += 1

    def ended(self, run, now, failed):
        """Count the end of a run.

        Parameters
        ----------
        run : rosemarycrank.dataplane._call_links.Run
            As at its start.
        now : float
            Seconds of the node's clock.
        failed : bool
            Whether it ended without success.
        """
        self._links.ended(run, failed)
        runs = self._runs_of(run.route)
        runs.ended += 1
        if failed:
            runs.failed += 1
        else:
            self._prompt_ends.ended(run.route, now)

    def record_answer(self, now):
        """Note that a call of the local target was answered."""
        self._prompt_ends.answered(now)

    def record_call(self, service, route, deadline_at):
        """Count a call of the local target.

        Parameters
        ----------
        service, route : str
            Where it goes.
        deadline_at : float or None
            Its deadline; None if it bears none.

        Returns
        -------
        float or None
            Rank of the request for which it was made: of the run whose
            deadline it bears, else the mean of those under way. None if
            nothing runs.
        """
        key = (service, route)
        calls = self._calls_by_key.get(key)
        if calls is None:
            calls = self._calls_by_key[key] = _Calls()
        calls.in_window += 1
        calls.in_sample += 1
        caller = None
        if deadline_at is not None:
            caller = self._links.count(deadline_at, calls.links_by_route)
        return self._links.mean_rank() if caller is None else caller.rank

    def outlasts_runs(self, deadline_at):
        """Return whether a request lasts longer than all that runs here.

        A call of the local target ends with the run that makes it, so such
        a request is a client's.
        """
        return self._links.all_end_before(deadline_at)

    def drop_calls(self, route):
        """Drop the counts of a route that targets do not call."""
        for key in [key for key in self._calls_by_key if key[1] == route]:
            del self._calls_by_key[key]

    def retain(self, routes):
        """Drop what is known of all routes but some.

        Parameters
        ----------
        routes : set of str
            Routes of the configuration in force.
        """
        self._samples.retain(routes)
        self._prompt_ends.retain(routes)
        self._own_routes &= routes
        for by_route in [self._known_s_by_route, *self._by_caller()]:
            for route in by_route.keys() - routes:
                del by_route[route]
        for by_key in (self.costs_by_service_route, self._calls_by_key):
            for key in [key for key in by_key if key[1] not in routes]:
                del by_key[key]

    def _by_caller(self):
        for calls in self._calls_by_key.values():
            yield calls.links_by_route
            yield calls.calls_by_route
            yield calls.fit.products_by_route

    def update_from_report(self, service, costs_by_route):
        """Take the costs that a node of another service reports.

        Parameters
        ----------
        service : str
            Its service.
        costs_by_route : dict of str to dict of str to float
            Calls by route and service.
        """
        for route, costs in costs_by_route.items():
            if service == self.service and route in self._own_routes:
                continue
            known = self.costs_by_service_route.get((service, route))
            if known is None:
                self.costs_by_service_route[(service, route)] = dict(costs)
                continue
            for name in set(known) | set(costs):
                old = known.get(name, 0.0)
                known[name] = old + HEARD_WEIGHT * (costs.get(name, 0.0) - old)

    def restore(self, kept):
        """Take costs that were kept, where nothing newer is known.

        Parameters
        ----------
        kept : KeptCosts
            Those of one service.
        """
        for route, costs in kept.costs_by_route.items():
            self.costs_by_service_route.setdefault(
                (kept.service, route), dict(costs)
            )
        if kept.service != self.service:
            return
        for call in kept.calls:
            if not self._confident(call.caller):
                calls = self._calls_by_key.setdefault(
                    (call.service, call.route), _Calls()
                )
                calls.calls_by_route[call.caller] = call.count
        for route in kept.costs_by_route:
            self._known_s_by_route[route] = max(
                KEPT_S, self._known_s_by_route.get(route, 0.0)
            )

    def kept(self):
        """Return what is certain of the local target's routes."""
        routes = [r for r in self._known_s_by_route if self._confident(r)]
        return KeptCosts(
            self.service,
            {
                route: self.costs_by_service_route[(self.service, route)]
                for route in routes
            },
            [
                KeptCall(service, called, route, calls.calls_by_route[route])
                for (service, called), calls in self._calls_by_key.items()
                for route in routes
                if route in calls.calls_by_route
            ],
        )

    def calls_others(self, service):
        """Return whether runs of a service are known to make calls."""
        return any(
            len(costs) > 1
            for (of_service, _), costs in self.costs_by_service_route.items()
            if of_service == service
        )

    def cost(self, service, route):
        """Return the calls that one request causes, by service."""
        costs = self.costs_by_service_route.get((service, route))
        return costs if costs is not None else {service: 1.0}

    def sample(self):
        """Take the runs under way and the calls since the last sample."""
        factor = 1.0 - SAMPLE_S / MEMORY_S
        self._samples.add(self._links.running_by_route, factor)
        for calls in self._calls_by_key.values():
            calls.sample(self._samples, factor)

    def close_window(self):
        """Work the costs out anew with the counts since the last window.

        Returns
        -------
        dict of str to dict of str to float
            Costs of the routes that ran here.
        """
        runs_by_route = self._runs_by_route
        self._runs_by_route = {}
        ended = sum(runs.ended for runs in runs_by_route.values())
        failed = sum(runs.failed for runs in runs_by_route.values())
        failing = failed > FAILING_SHARE * ended
        factor = 1.0 - WINDOW_S / MEMORY_S
        self._prompt_ends.decay(factor)
        silent = self._prompt_ends.silent_routes()
        for calls in self._calls_by_key.values():
            for links in calls.links_by_route.values():
                links.decay(factor)
            for route in silent & calls.calls_by_route.keys():
                # Known for certain, unlike what it had been taken to call.
                calls.calls_by_route[route] = 0.0
            shares = calls.shares(self._samples, silent)
            for route, runs in runs_by_route.items():
                share = shares.get(route, 0.0)
                self._learn(calls, route, runs.count(), share, failing)
            calls.in_window = 0
        for route, runs in runs_by_route.items():
            known_s = self._known_s_by_route.get(route, 0.0)
            if runs.ended and (not failing or known_s < UNSURE_S):
                self._known_s_by_route[route] = known_s + WINDOW_S
        return self._publish(runs_by_route)

    def _confident(self, route):
        return self._known_s_by_route.get(route, 0.0) >= CONFIDENT_S

    def _runs_of(self, route):
        runs = self._runs_by_route.get(route)
        if runs is None:
            runs = self._runs_by_route[route] = _Runs()
        return runs

    def _learn(self, calls, route, runs, share, failing):
        if runs <= 0.0:
            return
        known_s = self._known_s_by_route.get(route, 0.0)
        known = calls.calls_by_route.get(route, 0.0)
        seen = calls.in_window * share / runs
        weight = WINDOW_S / min(MEMORY_S, known_s + WINDOW_S)
        if failing:
            if known_s >= CONFIDENT_S:
                return
            if seen < known:
                weight *= FAILING_WEIGHT
        calls.calls_by_route[route] = known + weight * (seen - known)

    def _publish(self, routes):
        costs = {
            route: {self.service: 1.0}
            for route in routes
            if self._confident(route)
            or (self.service, route) not in self.costs_by_service_route
            or route in self._own_routes
        }
        self._own_routes.update(costs)
        for key, calls in self._calls_by_key.items():
            below = self.cost(*key)
            for route, cost in costs.items():
                count = calls.calls_by_route.get(route, 0.0)
                if count < LEAST_CALLS:
                    continue
                for name, share in below.items():
                    cost[name] = cost.get(name, 0.0) + count * share
        for route, cost in costs.items():
            self.costs_by_service_route[(self.service, route)] = cost
        return costs
