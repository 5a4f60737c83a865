"""Load of the local target, as it is reported to other nodes."""

import math

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _pressure

#: Share of the offered requests below which requests count as shed.
MAX_SHARE_WITH_SHEDDING = 0.98


class TargetLoad:
    """Rates and limits of the local target, and the reports about them.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Limit on the attempts that run at once.
    rate_limit : RateLimit
        Limit on the attempts that start per second.
    rank_waits : RankWaits
        Corrections of admission by the waits of calls.
    front : FrontAdmission
        Source of the pressures on overloaded services.

    Attributes
    ----------
    arrivals : ArrivalRate
        Rate of attempts for which this target is the first choice.
    demand : ExpectedDemand
        Calls that the entry nodes expect.
    pressures : dict of str to Pressure
        Pressures on overloaded services, by service.
    """

    def __init__(self, limit, rate_limit, rank_waits, front):
        self.arrivals = _pressure.ArrivalRate()
        self.demand = _pressure.ExpectedDemand()
        self.pressures = {}
        self._limit = limit
        self._rate_limit = rate_limit
        self._rank_waits = rank_waits
        self._front = front
        self._demand_per_s = (0.0, 0.0)

    def report(self, running_count, waiting_count):
        """Return the load.

        Parameters
        ----------
        running_count, waiting_count : int
            Numbers of attempts.

        Returns
        -------
        rosemarycrank.dataplane.Load
        """
        limit, service_s = self._capacity()
        return _frames.Load(
            running_count,
            waiting_count,
            limit,
            service_s,
            self.arrivals.per_s,
            *self._demand_per_s,
            self.pressures,
            self._rank_waits.factors(),
        )

    def _capacity(self):
        """Return the concurrency limit and service time that are reported.

        Their ratio is the capacity, by which other nodes admit requests and
        choose targets, so a lower rate limit is reported as fewer slots.
        """
        limit, service_s = self._limit.value, self._limit.service_s
        rate_per_s = self._rate_limit.applied_per_s
        if rate_per_s * service_s >= limit or rate_per_s == math.inf:
            return limit, service_s
        limit = max(1, int(rate_per_s * service_s))
        return limit, limit / rate_per_s

    def update(self, now, running_count, waiting_jobs, report_interval_s):
        """Update the rates, periodically.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        running_count : int
            Number of attempts that run.
        waiting_jobs : list of Job
            Attempts in the queue.
        report_interval_s : float
            Time until the next update, in seconds.
        """
        self.arrivals.update(now)
        self._demand_per_s = self.demand.total_per_s(now)
        self._rank_waits.update(
            now, waiting_jobs, self._may_admit_more(running_count)
        )
        # Sent until the next update, so the ages are those at its time.
        # Otherwise nodes that relay a report to each other keep it recent.
        self.pressures = self._front.pressures(now + report_interval_s)

    def _may_admit_more(self, running_count):
        """Return whether requests are shed while slots are free."""
        offered_per_s, admitted_per_s = self._demand_per_s
        return (
            running_count < self._limit.value
            and admitted_per_s < MAX_SHARE_WITH_SHEDDING * offered_per_s
        )
