"""Share of a service's load that the entry nodes have to shed.

Guards against fan-out onto a saturated service at the end of the call graph:
a request that an entry node admits fails if any one of its calls to that
service is refused. The load is therefore reduced by whole requests, before
any work has been done for them.
"""

#: Queue delay that the shed share is controlled to, in seconds and as a
#: ratio to the service time; the larger one applies. Long enough that the
#: targets never idle, and short compared with the deadline of a request,
#: which may make many calls one after the other.
QUEUE_DELAY_GOAL_S = 0.015
QUEUE_DELAY_GOAL_RATIO = 0.1

#: Time in which a queue is brought back to its goal, in seconds and in
#: service times; the larger one applies. Has to exceed the time from the
#: admission of a request to its last call.
QUEUE_DRAIN_S = 0.8
QUEUE_DRAIN_SERVICE_TIMES = 3.0

#: Minimum share of the capacity that is admitted while a queue drains.
MIN_ADMITTED_SHARE = 0.5

#: Time constant of the moving average of arrival rates, in seconds.
RATE_TIME_CONSTANT_S = 0.5

#: Maximum share that is shed. The requests that remain keep the load reports
#: coming.
MAX_SHED_SHARE = 0.95

#: Weight of a new value in the smoothed shed share.
SMOOTHING_WEIGHT = 0.35

#: Age at which a load report expires, in seconds. Peers in use report
#: several times in that time.
MAX_REPORT_AGE_S = 1.5

#: Age at which the demand reported by an entry node expires, in seconds.
#: Entry nodes report several times in that time.
MAX_DEMAND_AGE_S = 1.5

#: Time constant of the comparison of expected with actual calls, in seconds.
#: Long, as requests that fail make fewer calls for a while.
CALIBRATION_TIME_CONSTANT_S = 8.0

#: Maximum ratio between expected and actual calls, in either direction, at
#: which the level of the expectation is trusted. Beyond it, only the ratio
#: of offered to admitted calls is used.
MAX_CALIBRATION_FACTOR = 2.0


class ArrivalRate:
    """Moving average of an arrival rate.

    Attributes
    ----------
    per_s : float
        Average arrivals per second.
    """

    def __init__(self):
        self.per_s = 0.0
        self._count = 0
        self._updated_at = None

    def record_arrival(self):
        """Count an arrival."""
        self._count += 1

    def update(self, now):
        """Add the arrivals counted since the last update to the average."""
        if self._updated_at is not None and now > self._updated_at:
            elapsed_s = now - self._updated_at
            weight = min(1.0, elapsed_s / RATE_TIME_CONSTANT_S)
            self.per_s += weight * (self._count / elapsed_s - self.per_s)
            self._count = 0
        self._updated_at = now


class ExpectedDemand:
    """Calls to a service that all entry nodes together expect."""

    def __init__(self):
        self._reports_by_node = {}

    def receive(self, node, demand, now):
        """Store the demand reported by one entry node.

        Parameters
        ----------
        node : str
            Address of the entry node.
        demand : rosemarycrank.dataplane.Demand
            Calls that it expects its clients to cause.
        now : float
            Seconds of the node's clock.
        """
        self._reports_by_node[node] = (demand, now)

    def total_per_s(self, now):
        """Return the sums of the demand reports that have not expired.

        Returns
        -------
        tuple of (float, float)
            Calls per second before shedding at the entry nodes, and after.
        """
        offered_per_s = admitted_per_s = 0.0
        for node, (demand, received_at) in list(self._reports_by_node.items()):
            if now - received_at > MAX_DEMAND_AGE_S:
                del self._reports_by_node[node]
            else:
                offered_per_s += demand.offered_per_s
                admitted_per_s += demand.admitted_per_s
        return offered_per_s, admitted_per_s


class ServicePressure:
    """Share of one service's load to shed, from the loads of its targets.

    Every node computes the share from the same reports. Apart from the
    smoothing and the slow calibration of the expected calls, none of its
    earlier results enters: estimates that feed back on themselves would
    diverge between nodes.

    Attributes
    ----------
    share : float
        Share of the offered load to shed, from 0 to `MAX_SHED_SHARE`.
    offered_per_s : float
        Estimate of the calls per second that would arrive without shedding.
    factor_by_rank : dict of int to float
        Means of the factors that the targets report; see `Load`.
    """

    def __init__(self):
        self.share = 0.0
        self.offered_per_s = 0.0
        self.factor_by_rank = {}
        self._calibration_factor = 1.0
        self._updated_at = None
        self._reports_by_node = {}

    def receive_load(self, reporter, load, now):
        """Store the load of one target.

        The load of a target that has completed nothing since its start says
        nothing about the capacity of the service and is not stored.

        Parameters
        ----------
        reporter : str
            Address of the target's node.
        load : rosemarycrank.dataplane.Load
            The reported load.
        now : float
            Seconds of the node's clock.
        """
        if load.service_s > 0.0:
            self._reports_by_node[reporter] = (load, now)
        else:
            self._reports_by_node.pop(reporter, None)

    def discard_load(self, reporter):
        """Discard the load of a target that gets no more work.

        Parameters
        ----------
        reporter : str
            Address of the target's node.
        """
        self._reports_by_node.pop(reporter, None)

    def last_report_at(self):
        """Return when the newest report was received; None without any."""
        return max(
            (received_at for _, received_at in self._reports_by_node.values()),
            default=None,
        )

    def update(self, now, target_count=0, calls_other_services=False):
        """Compute the share to shed from the reports.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        target_count : int, default=0
            Number of ready targets of the service. Targets without a recent
            report are assumed to be as loaded as the others.
        calls_other_services : bool, default=False
            Whether requests at the service wait for other services. Their
            service time then says nothing about the capacity of this
            service, and only its queue is used.
        """
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        arrivals = capacity = waiting = limit = expected = admitted = 0.0
        reporting = 0
        for reporter, (load, received_at) in list(
            self._reports_by_node.items()
        ):
            if now - received_at > MAX_REPORT_AGE_S:
                del self._reports_by_node[reporter]
            else:
                reporting += 1
                limit += load.limit
                arrivals += load.arrivals_per_s
                capacity += load.limit / load.service_s
                waiting += load.waiting
                expected = max(expected, load.demand_per_s)
                admitted = max(admitted, load.admitted_per_s)
        self.factor_by_rank = self._mean_factors()
        if not self._reports_by_node:
            self.share = 0.0
            return
        # The expected calls are those to all targets, the other sums are
        # those of the targets that have reported.
        expected *= reporting / max(reporting, target_count)
        admitted *= reporting / max(reporting, target_count)
        offered = self._estimate_offered(
            arrivals, expected, admitted, elapsed_s
        )
        self.offered_per_s = offered
        service_s = limit / capacity
        delay_goal_s = max(
            QUEUE_DELAY_GOAL_S, QUEUE_DELAY_GOAL_RATIO * service_s
        )
        drain_s = max(QUEUE_DRAIN_S, QUEUE_DRAIN_SERVICE_TIMES * service_s)
        excess = waiting - delay_goal_s * capacity
        if calls_other_services:
            capacity = arrivals if excess > 0.0 else max(arrivals, offered)
        admissible = max(
            MIN_ADMITTED_SHARE * capacity, capacity - excess / drain_s
        )
        share = 0.0
        if offered > admissible:
            share = min(MAX_SHED_SHARE, 1.0 - admissible / offered)
        self.share += SMOOTHING_WEIGHT * (share - self.share)
        if self.share < 0.005:
            self.share = 0.0

    def _mean_factors(self):
        loads = [load for load, _ in self._reports_by_node.values()]
        ranks = {rank for load in loads for rank in load.factor_by_rank}
        return {
            rank: sum(load.factor_by_rank.get(rank, 1.0) for load in loads)
            / len(loads)
            for rank in ranks
        }

    def _estimate_offered(self, arrivals, expected, admitted, elapsed_s):
        """Return the calls per second that would arrive without shedding.

        The expected calls show a burst of client requests before its calls
        arrive. The ratio of actual arrivals to the expected admitted calls
        corrects errors of the estimated costs.
        """
        if admitted <= 0.0:
            return arrivals
        weight = min(1.0, elapsed_s / CALIBRATION_TIME_CONSTANT_S)
        ratio = min(2.0 * MAX_CALIBRATION_FACTOR, arrivals / admitted)
        self._calibration_factor += weight * (ratio - self._calibration_factor)
        if (
            1.0 / MAX_CALIBRATION_FACTOR
            <= self._calibration_factor
            <= MAX_CALIBRATION_FACTOR
        ):
            return expected * self._calibration_factor
        return arrivals * expected / admitted
