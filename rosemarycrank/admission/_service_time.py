"""Observed service time by rank."""

import attrs

#: Weight of a new sample in the moving averages.
WEIGHT = 0.05
#: Mean deviations that an attempt needs beyond the mean.
MARGIN = 1.0
#: Without samples the estimate halves in this time, so that one which
#: refuses everything can't last.
HALF_LIFE_S = 0.5
#: Ranks that are told apart.
MAX_RANKS = 64


@attrs.define
class _Estimate:
    mean_s: float
    deviation_s: float
    updated: float


class ServiceTimes:
    """Estimate of the service time of each rank."""

    def __init__(self):
        self._by_rank = {}

    def record(self, rank, latency_s, now):
        """Learn from a whole answer.

        Parameters
        ----------
        rank : int
            Rank of the attempt.
        latency_s : float
            Time at the upstream in seconds.
        now : float
            Current time in seconds.
        """
        estimate = self._by_rank.get(rank)
        if estimate is None:
            if len(self._by_rank) < MAX_RANKS:
                self._by_rank[rank] = _Estimate(latency_s, latency_s / 2, now)
            return
        error = latency_s - estimate.mean_s
        estimate.mean_s += WEIGHT * error
        estimate.deviation_s += WEIGHT * (abs(error) - estimate.deviation_s)
        estimate.updated = now

    def needed_s(self, rank, now):
        """Return the time that an attempt needs.

        Parameters
        ----------
        rank : int
            Rank of the attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Mean with its margin, in seconds; 0 when not known.
        """
        estimate = self._by_rank.get(rank)
        if estimate is None:
            return 0.0
        idle_s = max(0.0, now - estimate.updated)
        needed_s = estimate.mean_s + MARGIN * estimate.deviation_s
        return max(0.0, needed_s) * 0.5 ** (idle_s / HALF_LIFE_S)

    def shortest_s(self, now):
        """Return the least of the ranks' estimates.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 when nothing is known.
        """
        return min(
            (self.needed_s(rank, now) for rank in self._by_rank), default=0.0
        )
