"""Correction of admission by how long calls of each rank wait at a target.

The share of requests that entry nodes shed is worked out from estimated
costs. Where more requests are admitted than fit, those of the least important
rank wait at the target behind all others, one call after the other, until
their time is up. The queue does not grow by that, as a request that waits
makes no further calls: only the wait shows it. A factor for each rank follows
the wait.
"""

#: Longest wait of a call that is taken for short, in seconds and as a share
#: of its latency goal; the larger one applies. A request may make ten calls.
MIN_WAIT_GOAL_S = 0.05
WAIT_GOAL_SHARE = 0.15

#: Share by which a factor falls in one update while calls wait for twice as
#: long as their goal or longer, and step by which it rises while none does.
MAX_DECREASE = 0.04
INCREASE = 0.02

#: Bounds of a factor. One above 1 admits more than was worked out, while slots
#: of the target are free and requests are shed.
MIN_FACTOR = 0.02
MAX_FACTOR = 2.0

#: Factor to which those of less important ranks fall before one falls.
MAX_FACTOR_BELOW = 0.2

#: Longest wait that counts, in units of the longest short one.
LONGEST_WAIT = 2.0

#: Bounds of the delay in the queue that one rank is worth, in seconds: an
#: attempt precedes those of the next lower rank that arrived up to this much
#: earlier. The largest exceeds the usual time in the queue, and is short
#: enough to prevent starvation.
MIN_RANK_DELAY_S = 0.01
MAX_RANK_DELAY_S = 0.5

#: Wait of the most important calls above which ranks count for more, in units
#: of the longest short one, and how the delay grows and falls in one update.
URGENT_WAIT = 0.5
RANK_DELAY_GROWTH = 1.5
RANK_DELAY_DECAY = 0.98

#: Distance from 1 up to which a factor is not reported.
REPORTED_CHANGE = 0.02


class RankWaits:
    """Factors by which the admitted requests of each rank are multiplied.

    Attributes
    ----------
    rank_delay_s : float
        Delay in the queue that one rank is worth, in seconds.
    """

    def __init__(self):
        self.rank_delay_s = MIN_RANK_DELAY_S
        self._factor_by_rank = {}
        self._refused_ranks = set()

    def record_refusal(self, rank):
        """Record that a call was refused, or expired, for want of room."""
        self._refused_ranks.add(int(rank))
        self._factor_by_rank.setdefault(int(rank), 1.0)

    def record_start(self, rank):
        """Record that a call has started."""
        self._factor_by_rank.setdefault(int(rank), 1.0)

    def update(self, now, waiting, may_admit_more):
        """Follow the waits.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        waiting : iterable of Job
            Attempts in the queue.
        may_admit_more : bool
            Whether requests are shed although the target could run more.
        """
        # Waits in units of the longest short one.
        wait_by_rank = dict.fromkeys(self._refused_ranks, LONGEST_WAIT)
        self._refused_ranks.clear()
        for job in waiting:
            rank = int(job.attempt.rank)
            wait = (now - job.arrived_at) / _wait_goal_s(job.attempt)
            wait_by_rank[rank] = max(wait_by_rank.get(rank, 0.0), wait)
            self._factor_by_rank.setdefault(rank, 1.0)
        self._follow_urgent_wait(wait_by_rank)
        wait = 0.0
        for rank in sorted(self._factor_by_rank):
            # Calls wait for those of less important ranks that run, too.
            wait = max(wait, min(LONGEST_WAIT, wait_by_rank.get(rank, 0.0)))
            if wait <= 1.0:
                self._raise(rank, may_admit_more)
            elif self._is_next_to_fall(rank):
                self._lower(rank, wait)

    def _is_next_to_fall(self, rank):
        """Return whether the less important ranks have fallen already."""
        return all(
            factor <= MAX_FACTOR_BELOW
            for other, factor in self._factor_by_rank.items()
            if other > rank
        )

    def _follow_urgent_wait(self, wait_by_rank):
        """Let ranks count for more while the most important calls wait."""
        urgent_rank = min(self._factor_by_rank, default=None)
        if wait_by_rank.get(urgent_rank, 0.0) > URGENT_WAIT:
            delay_s = self.rank_delay_s * RANK_DELAY_GROWTH
        else:
            delay_s = self.rank_delay_s * RANK_DELAY_DECAY
        self.rank_delay_s = min(
            MAX_RANK_DELAY_S, max(MIN_RANK_DELAY_S, delay_s)
        )

    def _lower(self, rank, wait):
        decrease = MAX_DECREASE * (wait - 1.0)
        factor = self._factor_by_rank[rank] * (1.0 - decrease)
        self._factor_by_rank[rank] = max(MIN_FACTOR, factor)

    def _raise(self, rank, may_admit_more):
        factor = self._factor_by_rank[rank]
        if factor < 1.0 or may_admit_more:
            limit = MAX_FACTOR if may_admit_more else 1.0
            factor = min(limit, factor + INCREASE)
        else:
            factor = max(1.0, factor - INCREASE)
        self._factor_by_rank[rank] = factor

    def factors(self):
        """Return the factors that differ from 1, by rank."""
        return {
            rank: round(factor, 3)
            for rank, factor in self._factor_by_rank.items()
            if abs(factor - 1.0) > REPORTED_CHANGE
        }


def _wait_goal_s(attempt):
    """Return the longest wait of a call that is taken for short."""
    return max(
        MIN_WAIT_GOAL_S, WAIT_GOAL_SHARE * attempt.soft_deadline_ms / 1000.0
    )
