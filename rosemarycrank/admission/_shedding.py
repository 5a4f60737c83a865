"""Shedding level of a service, estimated from the tickets its target sheds.

The histogram over rank and shed hash follows DAGOR (Zhou et al., "Overload
Control for Scaling WeChat Microservices", SoCC 2018). Every hop sheds the
same client requests, so a request that is admitted at one hop is admitted at
the others too and completes.
"""

import math

from rosemarycrank.admission import _base

#: Minimum length of a measuring window, in seconds.
MIN_WINDOW_S = 0.1
#: A window with fewer tickets stays open, for up to ``MAX_WINDOW_S`` seconds:
#: rejections among few tickets say little about the demand.
MIN_WINDOW_TICKETS = 10
MAX_WINDOW_S = 0.4
#: Histogram buckets of the shed hash within one rank.
BUCKETS_PER_RANK = 32
#: Maximum number of distinct ranks; further ranks are counted as the least
#: important one.
MAX_RANKS = 64
#: Rejections that are attributed to a short burst and not to sustained
#: overload, in standard deviations (square roots of the number of rejections).
BURST_DEVIATIONS = 1.0
#: Rise of the threshold after the first window without overload, in ranks, and
#: the factor by which the rise grows with each further such window.
INITIAL_RISE_RANKS = 0.05
RISE_GROWTH_FACTOR = 2.0
#: When a window closes late, the threshold rises once more for each further
#: minimum window length that has elapsed, up to this number of times.
MAX_CATCH_UP_WINDOWS = 64
#: Share of rejected tickets up to which a window counts as free of overload,
#: so that the threshold rises.
TOLERATED_REJECTED_SHARE = 0.01


class _Histogram:
    """Counts of one window by index of the rank and bucket of the shed hash.

    A position is the index of a rank plus the shed hash; higher positions are
    less important.
    """

    def __init__(self):
        self.total = 0
        self.rejected = 0
        self._counts_by_index = {}
        self._rejected_by_index = {}

    def add(self, position):
        """Count a ticket."""
        self.total += 1
        _count(self._counts_by_index, position)

    def add_rejected(self, position):
        """Count a ticket as rejected."""
        self.rejected += 1
        _count(self._rejected_by_index, position)

    def excess_threshold(self):
        """Return the threshold that would shed the excess tickets.

        The excess is the number of rejected tickets beyond a burst.

        Returns
        -------
        float
            Position above which as many tickets lie as the excess; infinity
            without an excess.
        """
        excess = self.rejected - BURST_DEVIATIONS * math.sqrt(self.rejected)
        if excess <= 0.0:
            return math.inf
        for index in sorted(self._counts_by_index, reverse=True):
            counts = self._counts_by_index[index]
            for bucket in range(BUCKETS_PER_RANK - 1, -1, -1):
                count = counts[bucket]
                if count >= excess:
                    return (
                        index
                        + (bucket + 1 - excess / count) / BUCKETS_PER_RANK
                    )
                excess -= count
        return 0.0

    def rejected_above(self, position):
        """Return the number of rejected tickets above a position."""
        return sum(
            count
            for index, counts in self._rejected_by_index.items()
            for bucket, count in enumerate(counts)
            if index + (bucket + 1) / BUCKETS_PER_RANK > position
        )


class ShedEstimator:
    """Estimates the threshold of importance above which tickets are shed.

    Only tickets below the current threshold are counted. Those above it were
    sent before their entry node had received the threshold, so they say
    nothing about the demand that the threshold leaves.

    Attributes
    ----------
    ranks_ : list of int
        Ranks seen, sorted.
    threshold_ : float
        Index in `ranks_` plus shed hash; tickets at or above it are shed. A
        higher threshold sheds less, and one equal to the number of ranks
        sheds nothing.
    """

    def __init__(self):
        self.ranks_ = []
        self.threshold_ = 0.0
        self._rise_ranks = INITIAL_RISE_RANKS
        self._window_start = 0.0
        self._offered = _Histogram()
        self._finished = _Histogram()

    def record_offered(self, ticket, now):
        """Count a ticket that arrived.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Current time in seconds.
        """
        self._advance_window(now)
        position = self._position(ticket)
        if position < self.threshold_:
            self._offered.add(position)

    def record_shed(self, ticket, now):
        """Count a ticket that this node shed.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Current time in seconds.
        """
        self._advance_window(now)
        position = self._position(ticket)
        if position < self.threshold_:
            self._offered.add_rejected(position)

    def record_finished(self, ticket, refused, now):
        """Count the end of an admitted ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        refused : bool
            Whether the upstream refused it.
        now : float
            Current time in seconds.
        """
        self._advance_window(now)
        position = self._position(ticket)
        if position < self.threshold_:
            self._finished.add(position)
            if refused:
                self._finished.add_rejected(position)

    def refusals_follow_importance(self):
        """Return whether the upstream refuses the least important attempts.

        Such refusals come from shedding at a service that the upstream calls.
        An upstream that is full itself refuses attempts of any importance.

        Returns
        -------
        bool
            True also when this window has no refusals.
        """
        return self._finished.rejected == 0 or self._rejects_least_important(
            self._finished
        )

    def level(self, now):
        """Return the shedding level.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        ShedLevel
            The current level; it sheds nothing without overload.
        """
        self._advance_window(now)
        index = int(self.threshold_)
        if index >= len(self.ranks_):
            return _base.ShedLevel()
        fraction = 1.0 - (self.threshold_ - index)
        return _base.ShedLevel(self.ranks_[index], fraction)

    def shed_share(self, now):
        """Return the share of the ranks that is shed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            0 without overload, 1 when everything is shed.
        """
        self._advance_window(now)
        rank_count = len(self.ranks_)
        return 1.0 - self.threshold_ / rank_count if rank_count else 0.0

    def _position(self, ticket):
        if ticket.rank not in self.ranks_:
            self._add_rank(ticket.rank)
        index = len(self.ranks_) - 1
        if ticket.rank in self.ranks_:
            index = self.ranks_.index(ticket.rank)
        return index + ticket.shed_hash

    def _add_rank(self, rank):
        if len(self.ranks_) >= MAX_RANKS:
            return
        sheds_nothing = self.threshold_ >= len(self.ranks_)
        self.ranks_ = sorted([*self.ranks_, rank])
        if sheds_nothing or self.ranks_.index(rank) <= self.threshold_:
            self.threshold_ += 1.0
        # The histograms are indexed by rank index, which has changed.
        self._reset_histograms()

    def _reset_histograms(self):
        self._offered = _Histogram()
        self._finished = _Histogram()

    def _advance_window(self, now):
        age_s = now - self._window_start
        if age_s < MIN_WINDOW_S:
            return
        tickets = self._offered.total + self._finished.total
        if 0 < tickets < MIN_WINDOW_TICKETS and age_s < MAX_WINDOW_S:
            return
        self._close_window()
        idle_windows = int(age_s / MIN_WINDOW_S) - 1
        for _ in range(min(idle_windows, MAX_CATCH_UP_WINDOWS)):
            self._raise_threshold()
        self._window_start = now

    def _close_window(self):
        thresholds = [
            histogram.excess_threshold()
            for histogram in (self._offered, self._finished)
            if self._shows_overload(histogram)
        ]
        if thresholds:
            self._rise_ranks = INITIAL_RISE_RANKS
            self.threshold_ = min(self.threshold_, *thresholds)
        else:
            self._raise_threshold()
        self._reset_histograms()

    def _shows_overload(self, histogram):
        # Rejections of more important tickets point to an overloaded service
        # that the upstream calls for some request classes only. A threshold
        # here would also shed classes that could be served.
        if histogram.rejected <= TOLERATED_REJECTED_SHARE * histogram.total:
            return False
        return self._rejects_least_important(histogram)

    def _rejects_least_important(self, histogram):
        threshold = histogram.excess_threshold()
        if threshold == math.inf:
            # Too few rejections to distinguish.
            return True
        return 2 * histogram.rejected_above(threshold) >= histogram.rejected

    def _raise_threshold(self):
        rank_count = float(len(self.ranks_))
        self.threshold_ = min(rank_count, self.threshold_ + self._rise_ranks)
        self._rise_ranks = min(1.0, RISE_GROWTH_FACTOR * self._rise_ranks)
        if self.threshold_ >= rank_count:
            self._rise_ranks = INITIAL_RISE_RANKS


def _count(counts_by_index, position):
    index = int(position)
    counts = counts_by_index.get(index)
    if counts is None:
        counts = counts_by_index[index] = [0] * BUCKETS_PER_RANK
    counts[int((position - index) * BUCKETS_PER_RANK)] += 1
