"""Load shedding of client requests at the entry node.

The load reports of an overloaded service determine which share of its load
has to be shed. Each entry node sheds that share of the calls that its own
clients cause there: it refuses whole requests, those of the least important
routes first, before any work has been done for them.
"""

import abc
import logging

import attrs

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _pressure
from rosemarycrank import plugins

#: Age at which a report expires, in seconds.
MAX_REPORT_AGE_S = _pressure.MAX_REPORT_AGE_S

#: Time constant of the moving average of request rates, in seconds.
DEMAND_TIME_CONSTANT_S = 0.8

#: Seconds between calculations of the shares to shed.
UPDATE_INTERVAL_S = 0.1

#: Minimum calls to an overloaded service per request at which a route is
#: shed. Below it, shedding frees next to nothing, and costs are not known
#: more precisely.
MIN_CALLS_PER_REQUEST = 0.5

#: Minimum change of a shed share, or of a factor, that is logged.
MIN_LOGGED_CHANGE = 0.1

#: Maximum share of a route's requests that is shed: in the first pass, which
#: takes the least important routes first, and in a second pass, if the first
#: did not shed enough. Requests of every route go on being admitted, so that
#: no route starves. Clients retry at least once, so more of them are served
#: than the remaining share of requests.
FIRST_PASS_MAX_SHARE = 0.93
SECOND_PASS_MAX_SHARE = 0.95

_LOG = logging.getLogger(__name__)


class FrontAdmission(abc.ABC):
    """Decides which client requests are admitted.

    Times named ``now`` are in seconds of the node's clock.
    """

    @abc.abstractmethod
    def receive_load(self, service, reporter, load, now):
        """Store the load of a target, as reported by the target's node.

        Parameters
        ----------
        service : str
            Service of the target.
        reporter : str
            Address of the target's node.
        load : rosemarycrank.dataplane.Load
            The reported load.
        now : float
            Time of the report.
        """

    @abc.abstractmethod
    def discard_load(self, service, reporter):
        """Discard the load of a target that gets no more work.

        Parameters
        ----------
        service : str
            Service of the target.
        reporter : str
            Address of the target's node.
        """

    @abc.abstractmethod
    def receive_pressure(self, service, pressure, now):
        """Store the pressure on a service, as relayed by another node.

        Parameters
        ----------
        service : str
            The overloaded service.
        pressure : rosemarycrank.dataplane.Pressure
            Share to shed, and the age of the load reports behind it.
        now : float
            Time of receipt.
        """

    @abc.abstractmethod
    def update(self, now):
        """Compute the shares to shed; called every `UPDATE_INTERVAL_S`."""

    @abc.abstractmethod
    def demands(self):
        """Return the `Demand` of this node's clients, by service."""

    @abc.abstractmethod
    def admit(self, route, service):
        """Return whether a request is admitted.

        Parameters
        ----------
        route : Route
            Route of the request.
        service : str
            Service to which it will be sent.
        """

    @abc.abstractmethod
    def refused_share(self, route, service):
        """Return the share of a route's requests to a service that is shed."""

    @abc.abstractmethod
    def pressures(self, now):
        """Return the `Pressure` of overloaded services, by service."""


@plugins.register('front_admission', 'all')
class AdmitAll(FrontAdmission):
    """Baseline that admits all requests."""

    def receive_load(self, service, reporter, load, now):
        """Ignore a load report."""

    def discard_load(self, service, reporter):
        """Do nothing."""

    def receive_pressure(self, service, pressure, now):
        """Ignore a relayed pressure."""

    def update(self, now):
        """Do nothing."""

    def demands(self):
        """Return an empty dict."""
        return {}

    def admit(self, route, service):
        """Admit the request."""
        return True

    def refused_share(self, route, service):
        """Return 0."""
        return 0.0

    def pressures(self, now):
        """Return an empty dict."""
        return {}


@attrs.frozen
class _Shortage:
    """What the targets of a service report of their overload.

    Attributes
    ----------
    share : float
        Share of the load to shed.
    factor_by_rank : dict of int to float
        Factors for the requests that are admitted then, by rank.
    reported_at : float
        Time of the report, in seconds of the node's clock.
    """

    share: float
    factor_by_rank: dict
    reported_at: float

    def differs_from(self, other):
        """Return whether the difference is worth a line of the log."""
        if self.share == 0.0 and other.share > 0.0:
            return True
        ranks = self.factor_by_rank.keys() | other.factor_by_rank.keys()
        changes = [
            self.factor_by_rank.get(rank, 1.0)
            - other.factor_by_rank.get(rank, 1.0)
            for rank in ranks
        ]
        changes.append(self.share - other.share)
        return max(map(abs, changes)) >= MIN_LOGGED_CHANGE


_NO_SHORTAGE = _Shortage(0.0, {}, 0.0)


class _RouteDemand:
    """Request rate and shed share of one route to one service."""

    def __init__(self, route, service):
        self.route = route
        self.service = service
        self.offered_count = 0
        self.offered_per_s = 0.0
        self.admitted_count = 0
        self.admitted_per_s = 0.0
        self.refused_share = 0.0
        self.shed_credit = 0.0


@plugins.register('front_admission', 'by_cost')
class AdmitByCost(FrontAdmission):
    """Sheds requests that cause calls to overloaded services.

    Requests of the least important routes, by the priority in the
    configuration, are shed first. Among routes of equal priority, those
    whose requests cause more calls to the overloaded service are shed first.

    Parameters
    ----------
    costs : CallCosts
        Estimates of the calls that requests cause at each service.
    count_targets : callable
        Returns the number of ready targets of a service.
    """

    def __init__(self, costs, count_targets):
        self.costs = costs
        self.count_targets = count_targets
        self._direct_by_service = {}
        self._relayed_by_service = {}
        self._demands_by_key = {}
        self._updated_at = None
        self._logged_by_service = {}

    def receive_load(self, service, reporter, load, now):
        """Store the load of a target, as reported by the target's node."""
        direct = self._direct_by_service.get(service)
        if direct is None:
            direct = _pressure.ServicePressure()
            self._direct_by_service[service] = direct
        direct.receive_load(reporter, load, now)

    def discard_load(self, service, reporter):
        """Discard the load of a target that gets no more work."""
        direct = self._direct_by_service.get(service)
        if direct is not None:
            direct.discard_load(reporter)

    def receive_pressure(self, service, pressure, now):
        """Store the pressure on a service if it is newer than the stored."""
        reported_at = now - pressure.age_s
        relayed = self._relayed_by_service.get(service)
        if relayed is None or reported_at > relayed.reported_at:
            self._relayed_by_service[service] = _Shortage(
                pressure.share, pressure.factor_by_rank, reported_at
            )

    def demands(self):
        """Return the calls that this node's clients cause, by service."""
        by_service = {}
        for demand in self._demands_by_key.values():
            cost = self.costs.cost(demand.service, demand.route.name)
            for service, calls in cost.items():
                sums = by_service.setdefault(service, _frames.Demand(0.0, 0.0))
                sums.offered_per_s += calls * demand.offered_per_s
                sums.admitted_per_s += calls * demand.admitted_per_s
        return by_service

    def admit(self, route, service):
        """Return whether a request is admitted."""
        key = (route.name, service)
        demand = self._demands_by_key.get(key)
        if demand is None:
            demand = self._demands_by_key[key] = _RouteDemand(route, service)
        demand.route = route
        demand.offered_count += 1
        share = demand.refused_share
        # Spreads the refusals evenly over the requests.
        demand.shed_credit += share
        if demand.shed_credit >= 1.0:
            demand.shed_credit -= 1.0
            return False
        demand.admitted_count += 1
        return True

    def refused_share(self, route, service):
        """Return the share of a route's requests to a service that is shed."""
        demand = self._demands_by_key.get((route.name, service))
        return demand.refused_share if demand is not None else 0.0

    def pressures(self, now):
        """Return the `Pressure` of overloaded services, by service."""
        return {
            service: _frames.Pressure(
                shortage.share,
                now - shortage.reported_at,
                shortage.factor_by_rank,
            )
            for service, shortage in self._current_shortages(now).items()
            if shortage.share > 0.0 or shortage.factor_by_rank
        }

    def update(self, now):
        """Update the request rates and compute the shares to shed."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        for service, pressure in self._direct_by_service.items():
            pressure.update(
                now,
                self.count_targets(service),
                self.costs.calls_others(service),
            )
        if elapsed_s <= 0.0:
            return
        weight = min(1.0, elapsed_s / DEMAND_TIME_CONSTANT_S)
        for key, demand in list(self._demands_by_key.items()):
            demand.offered_per_s += weight * (
                demand.offered_count / elapsed_s - demand.offered_per_s
            )
            admitted_per_s = demand.admitted_count / elapsed_s
            demand.admitted_per_s += weight * (
                admitted_per_s - demand.admitted_per_s
            )
            demand.offered_count = demand.admitted_count = 0
            demand.refused_share = 0.0
            if demand.offered_per_s < 1e-3:
                del self._demands_by_key[key]
        for service, shortage in self._current_shortages(now).items():
            if shortage.share > 0.0 or shortage.factor_by_rank:
                self._shed(service, shortage)
            self._log_shortage(service, shortage)

    def _current_shortages(self, now):
        """Return the `_Shortage` of each service that is reported on.

        One computed from reports of the service's own targets takes
        precedence over one relayed by another node.
        """
        shortages = {}
        for service, direct in self._direct_by_service.items():
            reported_at = direct.last_report_at()
            if (
                reported_at is not None
                and now - reported_at <= MAX_REPORT_AGE_S
            ):
                shortages[service] = _Shortage(
                    direct.share, direct.factor_by_rank, reported_at
                )
        for service, relayed in list(self._relayed_by_service.items()):
            if now - relayed.reported_at > MAX_REPORT_AGE_S:
                del self._relayed_by_service[service]
            elif service not in shortages:
                shortages[service] = relayed
        return shortages

    def _log_shortage(self, service, shortage):
        known = self._logged_by_service.get(service, _NO_SHORTAGE)
        if not shortage.differs_from(known):
            return
        self._logged_by_service[service] = shortage
        direct = self._direct_by_service.get(service)
        _LOG.info(
            'load shedding for service %s: share is now %.2f',
            service,
            shortage.share,
            extra={
                'event': 'pressure',
                'factor_by_rank': shortage.factor_by_rank,
                'offered_per_s': round(direct.offered_per_s, 1)
                if direct
                else None,
                'calls_by_route': {
                    demand.route.name: round(
                        self.costs.cost(demand.service, demand.route.name).get(
                            service, 0.0
                        ),
                        2,
                    )
                    for demand in self._demands_by_key.values()
                },
                'refused': {
                    demand.route.name: round(demand.refused_share, 2)
                    for demand in self._demands_by_key.values()
                    if demand.refused_share > 0.0
                },
            },
        )

    def _shed(self, service, shortage):
        """Shed a share of the calls that clients cause at a service."""
        candidates = []
        for demand in self._demands_by_key.values():
            cost = self.costs.cost(demand.service, demand.route.name)
            calls = cost.get(service, 0.0)
            if calls >= MIN_CALLS_PER_REQUEST:
                candidates.append((demand.route.priority, calls, demand))
        total_per_s = sum(
            calls * demand.offered_per_s for _, calls, demand in candidates
        )
        excess_per_s = shortage.share * total_per_s
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        shed_shares = dict.fromkeys(
            (
                (demand.route.name, demand.service)
                for _, _, demand in candidates
            ),
            0.0,
        )
        for max_share in (FIRST_PASS_MAX_SHARE, SECOND_PASS_MAX_SHARE):
            for _, calls, demand in candidates:
                key = (demand.route.name, demand.service)
                load_per_s = calls * demand.offered_per_s
                if excess_per_s <= 0.0 or load_per_s <= 0.0:
                    continue
                shed_per_s = min(
                    excess_per_s, load_per_s * (max_share - shed_shares[key])
                )
                shed_shares[key] += shed_per_s / load_per_s
                excess_per_s -= shed_per_s
        for priority, _, demand in candidates:
            key = (demand.route.name, demand.service)
            factor = shortage.factor_by_rank.get(int(priority), 1.0)
            admitted = min(1.0, factor * (1.0 - shed_shares[key]))
            demand.refused_share = max(demand.refused_share, 1.0 - admitted)
