"""Which running requests make calls, and which of them made a call.

No message links a call to the request for which a target makes it. Two
things do so on the average. A run that waits for calls ends as soon as the
last one is answered. And a run that has less time left than its calls have
of their own passes its deadline on to them. Both happen by chance too; how
often is told by counting what lies a little further apart.
"""

import collections

import attrs

#: Seconds in which a run ends after the answer to its last call, on one VM.
PROMPT_S = 0.0006

#: Seconds of answers before that, which are there by chance only.
CHANCE_S = 0.0024

#: Answers that are remembered: more than arrive in that time.
ANSWERS_KEPT = 64

#: Width of a bucket of deadlines, in seconds. A call and its request differ
#: by the time on the way and the rounding to milliseconds, under two buckets.
BUCKET_S = 0.003

#: Seconds by which the deadline of a call may lie after that of its request,
#: as both are rounded.
ROUNDING_S = 0.01

#: Offsets, in buckets, at which a run counts as linked.
NEAR = (-1, 0, 1)

#: Offsets at which runs are there by chance only, on both sides.
BY_CHANCE = (-6, -5, -4, 4, 5, 6)


class Excess:
    """Events that were counted, and how many are expected by chance.

    Attributes
    ----------
    near : float
        Events.
    by_chance : float
        How many of these are expected by chance.
    trials : float
        Occasions on which they were counted.
    """

    __slots__ = ('near', 'by_chance', 'trials')

    #: Standard deviations above chance at which an excess is taken as real.
    SURE = 4.0

    def __init__(self):
        self.near = 0.0
        self.by_chance = 0.0
        self.trials = 0.0

    def decay(self, factor):
        """Let old counts lose weight."""
        self.near *= factor
        self.by_chance *= factor
        self.trials *= factor

    def events(self):
        """Return the events above chance; 0 where that is not sure."""
        events = self.near - self.by_chance
        return events if events > self.SURE * self.spread() else 0.0

    def spread(self):
        """Return the standard deviation of the events above chance."""
        return (self.near + 0.5 * self.by_chance + 1.0) ** 0.5


class PromptEnds:
    """Tells the routes whose runs wait for calls from the others.

    Attributes
    ----------
    by_route : dict of str to Excess
        Answers right before the end of a run.
    """

    #: Share of the most certain caller's prompt ends under which a route is
    #: taken to make no calls.
    LEAST_SHARE = 0.35

    #: Least prompt ends for each run of that caller.
    LEAST_PROMPT = 0.4

    def __init__(self):
        self.by_route = {}
        self._answered_at = collections.deque(maxlen=ANSWERS_KEPT)

    def answered(self, now):
        """Note that a call was answered."""
        self._answered_at.append(now)

    def ended(self, route, now):
        """Note that a run ended well."""
        excess = self.by_route.get(route)
        if excess is None:
            excess = self.by_route[route] = Excess()
        excess.trials += 1.0
        for at in reversed(self._answered_at):
            if now - at <= PROMPT_S:
                excess.near += 1.0
            elif now - at <= PROMPT_S + CHANCE_S:
                excess.by_chance += PROMPT_S / CHANCE_S
            else:
                break

    def decay(self, factor):
        """Let old counts lose weight."""
        for excess in self.by_route.values():
            excess.decay(factor)

    def retain(self, routes):
        """Drop the counts of all routes but some."""
        for route in self.by_route.keys() - routes:
            del self.by_route[route]

    def silent_routes(self):
        """Return the routes whose runs do not wait for calls."""
        shares = {
            route: (
                (excess.near - excess.by_chance) / excess.trials,
                excess.spread() / excess.trials,
            )
            for route, excess in self.by_route.items()
            if excess.trials > 0.0
        }
        highest = max(
            (share - 3.0 * spread for share, spread in shares.values()),
            default=0.0,
        )
        if highest < self.LEAST_PROMPT:
            return set()
        return {
            route
            for route, (share, spread) in shares.items()
            if share + 2.0 * spread < highest
            and share < self.LEAST_SHARE * highest
        }


@attrs.frozen
class Run:
    """A request that runs at the local target.

    Attributes
    ----------
    route : str
        Its route.
    rank : float
        How urgent it is; 0 matters most.
    deadline_at : float
        Its deadline, in seconds of the node's clock.
    """

    route: str
    rank: float
    deadline_at: float


class DeadlineLinks:
    """Running requests by their deadlines.

    Attributes
    ----------
    running_by_route : dict of str to int
        Runs under way.
    """

    def __init__(self):
        self.running_by_route = {}
        self._runs_by_bucket = {}
        self._running = 0
        self._rank_sum = 0.0
        self._given_up_until = 0.0

    def started(self, run):
        """Note that a run began."""
        running = self.running_by_route
        running[run.route] = running.get(run.route, 0) + 1
        self._running += 1
        self._rank_sum += run.rank
        bucket = int(run.deadline_at / BUCKET_S)
        self._runs_by_bucket.setdefault(bucket, []).append(run)

    def ended(self, run, failed):
        """Note that a run ended.

        One that failed may have been given up, and its target may go on
        with it.
        """
        if failed:
            self._given_up_until = max(self._given_up_until, run.deadline_at)
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

    def count(self, deadline_at, excess_by_route):
        """Count the runs that may have made a call.

        Parameters
        ----------
        deadline_at : float
            Deadline of the call.
        excess_by_route : dict of str to Excess
            Counts to add to.

        Returns
        -------
        Run or None
            The run that is nearest, if any is near.
        """
        buckets = self._runs_by_bucket
        bucket = int(deadline_at / BUCKET_S)
        nearest, least_s = None, float('inf')
        for offset in NEAR:
            for run in buckets.get(bucket + offset, ()):
                self._of(run.route, excess_by_route).near += 1.0
                distance_s = abs(run.deadline_at - deadline_at)
                if distance_s < least_s:
                    nearest, least_s = run, distance_s
        for offset in BY_CHANCE:
            for run in buckets.get(bucket + offset, ()):
                self._of(run.route, excess_by_route).by_chance += 0.5
        return nearest

    def all_end_before(self, deadline_at):
        """Return whether no run may last until a time."""
        if deadline_at < self._given_up_until + ROUNDING_S:
            return False
        last = max(self._runs_by_bucket, default=0)
        return deadline_at > (last + 1) * BUCKET_S + ROUNDING_S

    def mean_rank(self):
        """Return the mean rank of the runs under way; None without any."""
        return self._rank_sum / self._running if self._running else None

    @staticmethod
    def _of(route, excess_by_route):
        excess = excess_by_route.get(route)
        if excess is None:
            excess = excess_by_route[route] = Excess()
        return excess
