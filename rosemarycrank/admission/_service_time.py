"""Service times of the upstream, estimated for each rank."""

import attrs

#: Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.05
#: Safety margin above the mean, in mean absolute deviations.
MARGIN_DEVIATIONS = 1.0
#: Half-life of an estimate without new samples. Without this decay, an
#: estimate so long that every attempt is refused would never be corrected,
#: as no attempt would run.
HALF_LIFE_S = 0.5
#: Maximum number of ranks with an estimate; answers of further ranks are
#: ignored.
MAX_RANKS = 64


@attrs.define
class _Estimate:
    mean_s: float
    deviation_s: float
    updated_at: float


class ServiceTimes:
    """Moving estimates of the service time of each rank."""

    def __init__(self):
        self._estimates_by_rank = {}

    def record(self, rank, latency_s, now):
        """Update the estimate of a rank with a complete answer.

        Parameters
        ----------
        rank : int
            Rank of the attempt.
        latency_s : float
            Time that the attempt spent at the upstream, in seconds.
        now : float
            Current time in seconds.
        """
        estimate = self._estimates_by_rank.get(rank)
        if estimate is None:
            if len(self._estimates_by_rank) < MAX_RANKS:
                self._estimates_by_rank[rank] = _Estimate(
                    latency_s, latency_s / 2, now
                )
            return
        error = latency_s - estimate.mean_s
        estimate.mean_s += SAMPLE_WEIGHT * error
        estimate.deviation_s += SAMPLE_WEIGHT * (
            abs(error) - estimate.deviation_s
        )
        estimate.updated_at = now

    def expected_s(self, rank, now):
        """Return the time that an attempt is expected to take.

        Parameters
        ----------
        rank : int
            Rank of the attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Mean plus the safety margin, in seconds; 0 when not known.
        """
        estimate = self._estimates_by_rank.get(rank)
        if estimate is None:
            return 0.0
        idle_s = max(0.0, now - estimate.updated_at)
        expected_s = estimate.mean_s + MARGIN_DEVIATIONS * estimate.deviation_s
        return max(0.0, expected_s) * 0.5 ** (idle_s / HALF_LIFE_S)

    def shortest_s(self, now):
        """Return the shortest estimate of any rank.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Shortest estimate in seconds; 0 when there is none.
        """
        return min(
            (self.expected_s(rank, now) for rank in self._estimates_by_rank),
            default=0.0,
        )
