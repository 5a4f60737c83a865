"""Admission of whole requests at the entry node.

Where a service somewhere below is short of room, its nodes report which
share of their load has to be kept away. Each entry node takes that share
from what its own clients ask, least important routes first, and refuses
those requests before any work has been done for them.
"""

import abc

from rosemarycrank import kernel

#: Age after which a report counts no more, in seconds.
REPORT_S = 1.0

#: Time over which the requests of a route are averaged, in seconds.
DEMAND_WINDOW_S = 2.0

#: Seconds between calculations of the shares to refuse.
UPDATE_S = 0.1

#: Largest share of a route that is refused before more important ones are
#: touched, and after that. No kind of request is starved for others.
FIRST_SHARE = 0.6
LAST_SHARE = 0.95


class FrontAdmission(abc.ABC):
    """Decides which client requests are let in."""

    @abc.abstractmethod
    def report(self, service, reporter, share, now):
        """Take the share that a node of a service wants kept away."""

    @abc.abstractmethod
    def admit(self, route, service, now):
        """Return whether a request is let in.

        Parameters
        ----------
        route : Route
            Its route.
        service : str
            Service that it goes to.
        now : float
            Seconds of the node's clock.
        """

    @abc.abstractmethod
    def shares_below(self, now):
        """Return the reported shares by service, for the callers."""


@kernel.register('front_admission', 'all')
class AdmitAll(FrontAdmission):
    """Baseline: lets everything in."""

    def report(self, service, reporter, share, now):
        """Ignore a report."""

    def admit(self, route, service, now):
        """Let the request in."""
        return True

    def shares_below(self, now):
        """Return nothing."""
        return {}


class _Demand:
    """Recent requests of one route to one service."""

    def __init__(self, route, service):
        self.route = route
        self.service = service
        self.count = 0
        self.rate = 0.0
        self.refused_share = 0.0
        self.credit = 0.0


@kernel.register('front_admission', 'by_cost')
class AdmitByCost(FrontAdmission):
    """Refuses what frees the services that are short, by importance.

    The order is the configuration's priority, then the cost at the short
    service: what needs more of it for one answer goes first.

    Parameters
    ----------
    costs : CallCosts
        What requests cost below.
    """

    def __init__(self, costs):
        self.costs = costs
        self._reports_by_service = {}
        self._demands = {}
        self._updated_at = None

    def report(self, service, reporter, share, now):
        """Take the share that a node of a service wants kept away."""
        reports = self._reports_by_service.get(service)
        if reports is None:
            if share <= 0.0:
                return
            reports = self._reports_by_service.setdefault(service, {})
        reports[reporter] = (share, now)

    def admit(self, route, service, now):
        """Return whether a request is let in."""
        if self._updated_at is None:
            self._updated_at = now
        elif now - self._updated_at >= UPDATE_S:
            self._update(now)
        key = (route.name, service)
        demand = self._demands.get(key)
        if demand is None:
            demand = self._demands[key] = _Demand(route, service)
        demand.route = route
        demand.count += 1
        share = demand.refused_share
        if share <= 0.0:
            return True
        # Spreads the refusals evenly over the requests.
        demand.credit += share
        if demand.credit < 1.0:
            return True
        demand.credit -= 1.0
        return False

    def shares_below(self, now):
        """Return the reported shares by service."""
        shares = {}
        for service, reports in list(self._reports_by_service.items()):
            fresh = []
            for reporter, (share, at) in list(reports.items()):
                if now - at > REPORT_S:
                    del reports[reporter]
                else:
                    fresh.append(share)
            if not fresh:
                del self._reports_by_service[service]
                continue
            mean = sum(fresh) / len(fresh)
            if mean > 0.0:
                shares[service] = mean
        return shares

    def _update(self, now):
        elapsed_s = now - self._updated_at
        self._updated_at = now
        weight = min(1.0, elapsed_s / DEMAND_WINDOW_S)
        for key, demand in list(self._demands.items()):
            demand.rate += weight * (demand.count / elapsed_s - demand.rate)
            demand.count = 0
            demand.refused_share = 0.0
            if demand.rate < 1e-3:
                del self._demands[key]
        for service, share in self.shares_below(now).items():
            self._keep_away(service, share)

    def _keep_away(self, service, share):
        loads = []
        for demand in self._demands.values():
            cost = self.costs.cost(demand.service, demand.route.name)
            calls = cost.get(service, 0.0)
            if calls > 0.0:
                loads.append((demand.route.priority, calls, demand))
        total = sum(calls * demand.rate for _, calls, demand in loads)
        left = share * total
        loads.sort(key=lambda load: load[:2], reverse=True)
        refused = dict.fromkeys(
            ((demand.route.name, demand.service) for _, _, demand in loads),
            0.0,
        )
        for largest in (FIRST_SHARE, LAST_SHARE):
            for _, calls, demand in loads:
                key = (demand.route.name, demand.service)
                load = calls * demand.rate
                if left <= 0.0 or load <= 0.0:
                    continue
                taken = min(left, load * (largest - refused[key]))
                refused[key] += taken / load
                left -= taken
        for _, _, demand in loads:
            key = (demand.route.name, demand.service)
            demand.refused_share = max(demand.refused_share, refused[key])
