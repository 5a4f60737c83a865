"""Which share of a service's load has to be kept away at the front.

Answers the pattern of fan-out onto a saturated service at the end of the
call graph: a request that is admitted at the front is lost if any one of
its calls there is refused, so the load has to be cut in whole requests
before any of them has begun.
"""

#: Wait in the queues that is aimed at, in seconds and as a share of the
#: time of a run: long enough that the targets never idle, short beside the
#: time that a request has, which may make many calls one after the other.
AIMED_WAIT_S = 0.015
AIMED_WAIT_SHARE = 0.1

#: Time in which queues that are off their aim are brought back, in seconds
#: and in runs. It has to exceed the time from a request's admission to its
#: last call.
HORIZON_S = 0.8
HORIZON_RUNS = 3.0

#: Least share of the capacity that is let in to bring a queue back.
LEAST_WANTED = 0.5

#: Time over which rates of arrival are averaged, in seconds.
RATE_WINDOW_S = 0.5

#: Largest share that is kept away; the rest keeps the reports coming.
LARGEST_SHARE = 0.95

#: Share of the distance to a new value that one step covers.
STEP_SHARE = 0.35

#: Age after which a report counts no more, in seconds; peers in use report
#: several times in that time.
REPORT_S = 1.5

#: Age after which the demand that an entry node expects counts no more, in
#: seconds; it is sent several times in that time.
DEMAND_S = 1.5

#: Time over which expected calls are compared with those that came, in
#: seconds: long, as runs that fail make fewer calls for a while.
CALIBRATION_S = 8.0

#: Largest factor between expected calls and those that came at which the
#: expectation is relied on.
LARGEST_FACTOR = 2.0


class ArrivalRate:
    """Arrivals a second, averaged.

    Attributes
    ----------
    per_s : float
        The average.
    """

    def __init__(self):
        self.per_s = 0.0
        self._count = 0
        self._updated_at = None

    def record_arrival(self):
        """Count one arrival."""
        self._count += 1

    def update(self, now):
        """Close a window of counts."""
        if self._updated_at is not None and now > self._updated_at:
            elapsed_s = now - self._updated_at
            weight = min(1.0, elapsed_s / RATE_WINDOW_S)
            self.per_s += weight * (self._count / elapsed_s - self.per_s)
            self._count = 0
        self._updated_at = now


class ExpectedDemand:
    """Sums of the calls that entry nodes expect."""

    def __init__(self):
        self._reports_by_node = {}

    def receive(self, node, demand, now):
        """Take what one entry node expects.

        Parameters
        ----------
        node : str
            The entry node.
        demand : rosemarycrank.dataplane.Demand
            What it expects.
        now : float
            Seconds of the node's clock.
        """
        self._reports_by_node[node] = (demand, now)

    def total_per_s(self, now):
        """Return the sums of what was heard lately.

        Returns
        -------
        tuple of (float, float)
            Calls a second, before any refusal and after it.
        """
        asked = admitted = 0.0
        for node, (demand, at) in list(self._reports_by_node.items()):
            if now - at > DEMAND_S:
                del self._reports_by_node[node]
            else:
                asked += demand.offered_per_s
                admitted += demand.admitted_per_s
        return asked, admitted


class ServicePressure:
    """Share to keep away from one service, from its targets' loads.

    All nodes work it out from the same sums. None of its own past enters but
    the slow correction of the costs: views that each feed on themselves
    would drift apart.

    Attributes
    ----------
    share : float
        Share of the load that is offered, from 0 to `LARGEST_SHARE`.
    offered_per_s : float
        Calls a second that would come if nothing were kept away.
    """

    def __init__(self):
        self.share = 0.0
        self.offered_per_s = 0.0
        self._factor = 1.0
        self._updated_at = None
        self._reports = {}

    def receive_load(self, reporter, load, now):
        """Take the load of one target.

        Parameters
        ----------
        reporter : str
            Its node.
        load : rosemarycrank.dataplane.Load
            What the node reports.
        now : float
            Seconds of the node's clock.
        """
        self._reports[reporter] = (load, now)

    def last_report_at(self):
        """Return when the newest report came; None without any."""
        return max((at for _, at in self._reports.values()), default=None)

    def update(self, now, targets=0, calls_others=False):
        """Work out the share anew.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        targets : int, default=0
            Targets of the service that take work; those that were not heard
            of lately are taken to be like the others.
        calls_others : bool, default=False
            Whether its runs wait for other services. The time of a run then
            tells nothing of its own room; only its queue does.
        """
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        arrivals = capacity = waiting = limit = asked = admitted = 0.0
        heard = 0
        for reporter, (load, at) in list(self._reports.items()):
            if now - at > REPORT_S:
                del self._reports[reporter]
            elif load.service_s > 0.0:
                heard += 1
                limit += load.limit
                arrivals += load.arrivals_per_s
                capacity += load.limit / load.service_s
                waiting += load.waiting
                asked = max(asked, load.demand_per_s)
                admitted = max(admitted, load.admitted_per_s)
        if not self._reports:
            self.share = 0.0
            return
        if capacity <= 0.0:
            return
        # The expected calls are those to all targets.
        asked *= heard / max(heard, targets)
        admitted *= heard / max(heard, targets)
        offered = self._offered(arrivals, asked, admitted, elapsed_s)
        self.offered_per_s = offered
        run_s = limit / capacity
        aimed_s = max(AIMED_WAIT_S, AIMED_WAIT_SHARE * run_s)
        horizon_s = max(HORIZON_S, HORIZON_RUNS * run_s)
        excess = waiting - aimed_s * capacity
        if calls_others:
            capacity = arrivals if excess > 0.0 else max(arrivals, offered)
        wanted = max(LEAST_WANTED * capacity, capacity - excess / horizon_s)
        share = 0.0
        if offered > wanted:
            share = min(LARGEST_SHARE, 1.0 - wanted / offered)
        self.share += STEP_SHARE * (share - self.share)
        if self.share < 0.005:
            self.share = 0.0

    def _offered(self, arrivals, asked, admitted, elapsed_s):
        """Return the calls a second that would come if all were let in.

        What the clients ask tells at once of a burst, before its calls come;
        the calls that come tell how far the expected costs are right.
        """
        if admitted <= 0.0:
            return arrivals
        weight = min(1.0, elapsed_s / CALIBRATION_S)
        factor = min(2.0 * LARGEST_FACTOR, arrivals / admitted)
        self._factor += weight * (factor - self._factor)
        if 1.0 / LARGEST_FACTOR <= self._factor <= LARGEST_FACTOR:
            return asked * self._factor
        return arrivals * asked / admitted
