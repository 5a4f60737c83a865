"""Attribution of the target's calls to the runs that make them.

No message links a call to the request for which the target makes it. Two
correlations do so statistically:

- A run that waits for calls ends as soon as the last call is answered.
- A run whose remaining time is shorter than the time-out of its calls passes
  its own deadline on to them.

Both coincidences also occur by chance. Their background rate is estimated by
counting events at slightly larger distances in time, and subtracted.
"""

import collections

import attrs

#: Longest time from the answer to the last call of a run to the end of the
#: run, in seconds. Both happen on the same VM.
END_AFTER_ANSWER_S = 0.0006

#: Length of the control interval, in seconds. Answers that came earlier than
#: `END_AFTER_ANSWER_S` before the end of a run, but within this additional
#: time, precede it by chance only.
BACKGROUND_S = 0.0024

#: Number of recent answers that are stored: more than arrive within both
#: intervals.
MAX_RECENT_ANSWERS = 64

#: Width of a bucket of deadlines, in seconds. The deadlines of a call and of
#: its request differ by the time in transit and by rounding to milliseconds,
#: which together are less than two buckets.
BUCKET_S = 0.003

#: Tolerance when a deadline is compared with those of the runs, in seconds:
#: after rounding, the deadline of a call may lie after that of its request.
ROUNDING_TOLERANCE_S = 0.01

#: Bucket offsets at which a run matches the deadline of a call.
MATCH_OFFSETS = (-1, 0, 1)

#: Bucket offsets, on both sides, at which runs are found by chance only.
BACKGROUND_OFFSETS = (-6, -5, -4, 4, 5, 6)


class ExcessCount:
    """Count of coincidences and of those expected by chance.

    Attributes
    ----------
    observed : float
        Coincidences, with decay.
    expected : float
        Coincidences expected by chance, with decay.
    trials : float
        Occasions on which they were counted, with decay.
    """

    __slots__ = ('observed', 'expected', 'trials')

    #: Standard deviations by which the observed count must exceed the
    #: expected one to be significant.
    MIN_DEVIATIONS = 4.0

    def __init__(self):
        self.observed = 0.0
        self.expected = 0.0
        self.trials = 0.0

    def decay(self, factor):
        """Reduce the weight of the existing counts."""
        self.observed *= factor
        self.expected *= factor
        self.trials *= factor

    def significant_excess(self):
        """Return the excess over chance; 0 if it is not significant."""
        excess = self.observed - self.expected
        return (
            excess
            if excess > self.MIN_DEVIATIONS * self.standard_deviation()
            else 0.0
        )

    def standard_deviation(self):
        """Return the standard deviation of the excess over chance."""
        return (self.observed + 0.5 * self.expected + 1.0) ** 0.5


class AnswerEndCorrelation:
    """Detects which routes have runs that wait for calls.

    Attributes
    ----------
    excess_by_route : dict of str to ExcessCount
        Answers to calls right before the end of a run.
    """

    #: A route is taken to make no calls if its excess per run is below this
    #: share of the highest lower confidence bound among all routes.
    MIN_RELATIVE_EXCESS = 0.35

    #: Least value of that bound at which routes are taken to make no calls:
    #: below it, no route is certain to wait for calls.
    MIN_CALLER_EXCESS = 0.4

    def __init__(self):
        self.excess_by_route = {}
        self._answered_at = collections.deque(maxlen=MAX_RECENT_ANSWERS)

    def record_answer(self, now):
        """Record that a call was answered."""
        self._answered_at.append(now)

    def record_run_end(self, route, now):
        """Record that a run ended successfully."""
        excess = self.excess_by_route.get(route)
        if excess is None:
            excess = self.excess_by_route[route] = ExcessCount()
        excess.trials += 1.0
        for at in reversed(self._answered_at):
            if now - at <= END_AFTER_ANSWER_S:
                excess.observed += 1.0
            elif now - at <= END_AFTER_ANSWER_S + BACKGROUND_S:
                excess.expected += END_AFTER_ANSWER_S / BACKGROUND_S
            else:
                break

    def decay(self, factor):
        """Reduce the weight of the existing counts."""
        for excess in self.excess_by_route.values():
            excess.decay(factor)

    def retain(self, routes):
        """Drop the counts of all routes except the given ones.

        Parameters
        ----------
        routes : set of str
            Routes to keep.
        """
        for route in self.excess_by_route.keys() - routes:
            del self.excess_by_route[route]

    def routes_without_calls(self):
        """Return the routes whose runs do not wait for calls.

        Returns
        -------
        set of str
            Their names. Empty while no route is known to make calls.
        """
        rates = {
            route: (
                (excess.observed - excess.expected) / excess.trials,
                excess.standard_deviation() / excess.trials,
            )
            for route, excess in self.excess_by_route.items()
            if excess.trials > 0.0
        }
        highest_bound = max(
            (rate - 3.0 * deviation for rate, deviation in rates.values()),
            default=0.0,
        )
        if highest_bound < self.MIN_CALLER_EXCESS:
            return set()
        return {
            route
            for route, (rate, deviation) in rates.items()
            if rate + 2.0 * deviation < highest_bound
            and rate < self.MIN_RELATIVE_EXCESS * highest_bound
        }


@attrs.frozen
class Run:
    """A request that runs at the local target.

    Attributes
    ----------
    route : str
        Name of its route.
    rank : float
        Its importance; 0 is the highest.
    deadline_at : float
        Its deadline, in seconds of the node's clock.
    """

    route: str
    rank: float
    deadline_at: float


class RunsByDeadline:
    """Runs in flight, indexed by their deadlines.

    Attributes
    ----------
    running_by_route : dict of str to int
        Numbers of runs in flight.
    """

    def __init__(self):
        self.running_by_route = {}
        self._runs_by_bucket = {}
        self._running = 0
        self._rank_sum = 0.0
        self._abandoned_until = 0.0

    def add(self, run):
        """Add a run that has started."""
        running = self.running_by_route
        running[run.route] = running.get(run.route, 0) + 1
        self._running += 1
        self._rank_sum += run.rank
        bucket = int(run.deadline_at / BUCKET_S)
        self._runs_by_bucket.setdefault(bucket, []).append(run)

    def remove(self, run, failed):
        """Remove a run that has ended.

        A failed run may have been abandoned by the node only, while the
        target goes on with it until its deadline.

        Parameters
        ----------
        run : Run
            The same object as at its start.
        failed : bool
            Whether it ended without success.
        """
        if failed:
            self._abandoned_until = max(self._abandoned_until, run.deadline_at)
        running = self.running_by_route
        running[run.route] -= 1
        if not running[run.route]:
            del running[run.route]
        self._running -= 1
        self._rank_sum -= run.rank
        bucket = int(run.deadline_at / BUCKET_S)
        runs = self._runs_by_bucket[bucket]
        runs.remove(run)
        if not runs:
            del self._runs_by_bucket[bucket]

    def match_call(self, deadline_at, excess_by_route):
        """Count the runs that may have made a call.

        Parameters
        ----------
        deadline_at : float
            Deadline of the call.
        excess_by_route : dict of str to ExcessCount
            Counts that are updated.

        Returns
        -------
        Run or None
            The run whose deadline is nearest to that of the call; None if no
            run matches.
        """
        buckets = self._runs_by_bucket
        bucket = int(deadline_at / BUCKET_S)
        nearest, nearest_distance_s = None, float('inf')
        for offset in MATCH_OFFSETS:
            for run in buckets.get(bucket + offset, ()):
                self._excess(run.route, excess_by_route).observed += 1.0
                distance_s = abs(run.deadline_at - deadline_at)
                if distance_s < nearest_distance_s:
                    nearest, nearest_distance_s = run, distance_s
        for offset in BACKGROUND_OFFSETS:
            for run in buckets.get(bucket + offset, ()):
                self._excess(run.route, excess_by_route).expected += 0.5
        return nearest

    def all_end_before(self, deadline_at):
        """Return whether every run ends before the given time.

        Runs that failed count until their deadlines, as the target may go on
        with them.
        """
        if deadline_at < self._abandoned_until + ROUNDING_TOLERANCE_S:
            return False
        last = max(self._runs_by_bucket, default=0)
        return deadline_at > (last + 1) * BUCKET_S + ROUNDING_TOLERANCE_S

    def mean_rank(self):
        """Return the mean rank of the runs in flight; None without runs."""
        return self._rank_sum / self._running if self._running else None

    @staticmethod
    def _excess(route, excess_by_route):
        excess = excess_by_route.get(route)
        if excess is None:
            excess = excess_by_route[route] = ExcessCount()
        return excess
