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
MIN_WAIT_GOAL_S = 0.03
WAIT_GOAL_SHARE = 0.15

#: Share by which a factor falls in one update while calls wait for twice as
#: long as their goal or longer, and step by which it rises while none does.
MAX_DECREASE = 0.04
INCREASE = 0.02

#: Bounds of a factor. One above 1 admits more than was worked out, while slots
#: of the target are free.
MIN_FACTOR = 0.02
MAX_FACTOR = 2.0

#: Distance from 1 up to which a factor is not reported.
REPORTED_CHANGE = 0.02


class RankWaits:
    """Factors by which the admitted requests of each rank are multiplied.

    Attributes
    ----------
    has_urgent_excess : bool
        Whether calls of the most important rank wait too long, too.
    """

    def __init__(self):
        self.has_urgent_excess = False
        self._factor_by_rank = {}
        self._refused_ranks = set()

    def record_refusal(self, rank):
        """Record that a call was refused, or expired, for want of room."""
        self._refused_ranks.add(int(rank))

    def record_start(self, rank):
        """Record that a call has started."""
        self._factor_by_rank.setdefault(int(rank), 1.0)

    def update(self, now, waiting, has_free_slots):
        """Follow the waits.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        waiting : iterable of Job
            Attempts in the queue.
        has_free_slots : bool
            Whether the target could run more than it does.
        """
        excess_by_rank = dict.fromkeys(self._refused_ranks, 1.0)
        self._refused_ranks.clear()
        for job in waiting:
            rank = int(job.attempt.rank)
            goal_s = max(
                MIN_WAIT_GOAL_S,
                WAIT_GOAL_SHARE * job.attempt.soft_deadline_ms / 1000.0,
            )
            excess = min(1.0, (now - job.arrived_at) / goal_s - 1.0)
            if excess > excess_by_rank.get(rank, 0.0):
                excess_by_rank[rank] = excess
        self.has_urgent_excess = self._has_urgent_excess(
            excess_by_rank, waiting
        )
        for rank, excess in excess_by_rank.items():
            factor = self._factor_by_rank.get(rank, 1.0)
            factor *= 1.0 - MAX_DECREASE * excess
            self._factor_by_rank[rank] = max(MIN_FACTOR, factor)
        self._raise_others(excess_by_rank, has_free_slots)

    def _has_urgent_excess(self, excess_by_rank, waiting):
        ranks = {int(job.attempt.rank) for job in waiting}
        ranks.update(self._factor_by_rank)
        return bool(ranks) and min(ranks) in excess_by_rank

    def _raise_others(self, excess_by_rank, has_free_slots):
        for rank, factor in self._factor_by_rank.items():
            if rank in excess_by_rank:
                continue
            if factor < 1.0 or has_free_slots:
                factor += INCREASE
            else:
                factor -= INCREASE
            self._factor_by_rank[rank] = min(MAX_FACTOR, factor)

    def factors(self):
        """Return the factors that differ from 1, by rank."""
        return {
            rank: round(factor, 3)
            for rank, factor in self._factor_by_rank.items()
            if abs(factor - 1.0) > REPORTED_CHANGE
        }
