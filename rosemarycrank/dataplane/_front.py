"""Admission of whole requests at the entry node.

Where a service somewhere below is short of room, the reports of its nodes
tell which share of its load has to be kept away. Each entry node takes that
share from what its own clients ask, least important routes first, and
refuses those requests before any work has been done for them.
"""

import abc
import logging

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _pressure
from rosemarycrank import kernel

#: Age after which a report counts no more, in seconds.
REPORT_S = _pressure.REPORT_S

#: Time over which the requests of a route are averaged, in seconds.
DEMAND_WINDOW_S = 0.8

#: Seconds between calculations of the shares to refuse.
UPDATE_INTERVAL_S = 0.1

#: Calls to a short service for each request below which a route is left
#: alone: refusing it would free next to nothing, and costs are known to about
#: that only.
LEAST_CALLS = 0.5

#: Change of a share that is worth a line of the log.
LOGGED_STEP = 0.1

#: Largest share of a route's requests that is refused before more important
#: ones are touched, and after that. Clients come back once at least, so
#: more of them are served than this leaves; none is starved for others.
FIRST_SHARE = 0.93
LAST_SHARE = 0.95

_LOG = logging.getLogger(__name__)


class FrontAdmission(abc.ABC):
    """Decides which client requests are let in."""

    @abc.abstractmethod
    def receive_load(self, service, reporter, load, now):
        """Take the load of a target, from its own node."""

    @abc.abstractmethod
    def receive_pressure(self, service, pressure, now):
        """Take what another node has heard of a service."""

    @abc.abstractmethod
    def update(self, now):
        """Work out anew what to refuse; called every `UPDATE_INTERVAL_S`."""

    @abc.abstractmethod
    def demands(self):
        """Return the `Demand` of this node's clients, by service."""

    @abc.abstractmethod
    def admit(self, route, service):
        """Return whether a request is let in.

        Parameters
        ----------
        route : Route
            Its route.
        service : str
            Service that it goes to.
        """

    @abc.abstractmethod
    def refused_share(self, route, service):
        """Return the share of a route's requests that is refused."""

    @abc.abstractmethod
    def pressures(self, now):
        """Return what is known of services that are short, by service."""


@kernel.register('front_admission', 'all')
class AdmitAll(FrontAdmission):
    """Baseline: lets everything in."""

    def receive_load(self, service, reporter, load, now):
        """Ignore a load."""

    def receive_pressure(self, service, pressure, now):
        """Ignore a relayed report."""

    def update(self, now):
        """Do nothing."""

    def demands(self):
        """Return nothing."""
        return {}

    def admit(self, route, service):
        """Let the request in."""
        return True

    def refused_share(self, route, service):
        """Return 0."""
        return 0.0

    def pressures(self, now):
        """Return nothing."""
        return {}


class _Demand:
    """Recent requests of one route to one service."""

    def __init__(self, route, service):
        self.route = route
        self.service = service
        self.count = 0
        self.rate = 0.0
        self.admitted_count = 0
        self.admitted_rate = 0.0
        self.refused_share = 0.0
        self.credit = 0.0


@kernel.register('front_admission', 'by_cost')
class AdmitByCost(FrontAdmission):
    """Refuse what frees the services that are short, by importance.

    The order is the configuration's priority, then the cost at the short
    service: what needs more of it for one answer goes first.

    Parameters
    ----------
    costs : CallCosts
        What requests cost below.
    count_targets : callable
        Returns how many targets of a service take work.
    """

    def __init__(self, costs, count_targets):
        self.costs = costs
        self.count_targets = count_targets
        self._own_by_service = {}
        self._relayed_by_service = {}
        self._demands = {}
        self._updated_at = None
        self._logged_by_service = {}

    def receive_load(self, service, reporter, load, now):
        """Take the load of a target, from its own node."""
        own = self._own_by_service.get(service)
        if own is None:
            own = _pressure.ServicePressure()
            self._own_by_service[service] = own
        own.receive_load(reporter, load, now)

    def receive_pressure(self, service, pressure, now):
        """Take what another node has heard, if it is fresher."""
        at = now - pressure.age_s
        known = self._relayed_by_service.get(service)
        if known is None or at > known[1]:
            self._relayed_by_service[service] = (pressure.share, at)

    def demands(self):
        """Return the calls that clients cause, by service."""
        by_service = {}
        for demand in self._demands.values():
            cost = self.costs.cost(demand.service, demand.route.name)
            for service, calls in cost.items():
                sums = by_service.setdefault(service, _frames.Demand(0.0, 0.0))
                sums.offered_per_s += calls * demand.rate
                sums.admitted_per_s += calls * demand.admitted_rate
        return by_service

    def admit(self, route, service):
        """Return whether a request is let in."""
        key = (route.name, service)
        demand = self._demands.get(key)
        if demand is None:
            demand = self._demands[key] = _Demand(route, service)
        demand.route = route
        demand.count += 1
        share = demand.refused_share
        # Spreads the refusals evenly over the requests.
        demand.credit += share
        if demand.credit >= 1.0:
            demand.credit -= 1.0
            return False
        demand.admitted_count += 1
        return True

    def refused_share(self, route, service):
        """Return the share of a route's requests that is refused."""
        demand = self._demands.get((route.name, service))
        return demand.refused_share if demand is not None else 0.0

    def pressures(self, now):
        """Return what is known of services that are short, by service."""
        return {
            service: _frames.Pressure(share, now - at)
            for service, (share, at) in self._newest(now).items()
            if share > 0.0
        }

    def update(self, now):
        """Work out anew what to refuse."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        for service, pressure in self._own_by_service.items():
            pressure.update(
                now,
                self.count_targets(service),
                self.costs.calls_others(service),
            )
        if elapsed_s <= 0.0:
            return
        weight = min(1.0, elapsed_s / DEMAND_WINDOW_S)
        for key, demand in list(self._demands.items()):
            demand.rate += weight * (demand.count / elapsed_s - demand.rate)
            admitted_rate = demand.admitted_count / elapsed_s
            demand.admitted_rate += weight * (
                admitted_rate - demand.admitted_rate
            )
            demand.count = demand.admitted_count = 0
            demand.refused_share = 0.0
            if demand.rate < 1e-3:
                del self._demands[key]
        for service, (share, _) in self._newest(now).items():
            if share > 0.0:
                self._keep_away(service, share)
            self._log(service, share)

    def _newest(self, now):
        """Return share and time by service, own reports before others'."""
        newest = {}
        for service, own in self._own_by_service.items():
            at = own.last_report_at()
            if at is not None and now - at <= REPORT_S:
                newest[service] = (own.share, at)
        for service, (share, at) in list(self._relayed_by_service.items()):
            if now - at > REPORT_S:
                del self._relayed_by_service[service]
            elif service not in newest:
                newest[service] = (share, at)
        return newest

    def _log(self, service, share):
        logged = self._logged_by_service.get(service, 0.0)
        if abs(share - logged) < LOGGED_STEP and (share > 0.0 or not logged):
            return
        self._logged_by_service[service] = share
        own = self._own_by_service.get(service)
        _LOG.info(
            'share of %s kept away is %.2f',
            service,
            share,
            extra={
                'event': 'pressure',
                'offered_per_s': round(own.offered_per_s, 1) if own else None,
                'calls_by_route': {
                    demand.route.name: round(
                        self.costs.cost(demand.service, demand.route.name).get(
                            service, 0.0
                        ),
                        2,
                    )
                    for demand in self._demands.values()
                },
                'refused': {
                    demand.route.name: round(demand.refused_share, 2)
                    for demand in self._demands.values()
                    if demand.refused_share > 0.0
                },
            },
        )

    def _keep_away(self, service, share):
        loads = []
        for demand in self._demands.values():
            cost = self.costs.cost(demand.service, demand.route.name)
            calls = cost.get(service, 0.0)
            if calls >= LEAST_CALLS:
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
