"""Shedding level of a service, from what its target sheds.

The histogram over rank and hash follows DAGOR (Zhou et al., "Overload
Control for Scaling WeChat Microservices", SoCC 2018). Every hop sheds the
same client requests, so requests that survive are whole.
"""

import math

from rosemarycrank.admission import _base

#: Least length of a window in seconds.
WINDOW_S = 0.1
#: Tickets below which a window goes on, up to the greatest length: what is
#: lost of a few shows little about the demand.
MIN_TICKETS = 10
MAX_WINDOW_S = 0.4
#: Buckets of the hash within a rank.
BUCKETS = 32
#: Ranks that are told apart; more are counted as the least important.
MAX_RANKS = 64
#: Lost tickets that count as a burst, as a multiple of their square root.
BURST = 1.0
#: First rise of the level, in ranks, after a window that lost nothing, and
#: its growth with each further one.
FIRST_RISE = 0.05
RISE_GROWTH = 2.0
#: Windows without a call that are made up for at most.
MAX_IDLE_WINDOWS = 64
#: Share of tickets lost in a window up to which the level rises.
CLEAN_SHARE = 0.01


class _Histogram:
    """Tickets of one window by index of the rank and bucket of the hash."""

    def __init__(self):
        self.total = 0
        self.lost = 0
        self._counts_by_index = {}
        self._lost_by_index = {}

    def add(self, position):
        """Count a ticket."""
        self.total += 1
        _count(self._counts_by_index, position)

    def lose(self, position):
        """Count a ticket as lost."""
        self.lost += 1
        _count(self._lost_by_index, position)

    def quantile(self):
        """Return the position above which the excess tickets lie.

        Returns
        -------
        float
            Index of a rank plus hash.
        """
        # A few lost tickets may be a burst: only what is beyond it counts.
        excess = self.lost - BURST * math.sqrt(self.lost)
        if excess <= 0.0:
            return math.inf
        for index in sorted(self._counts_by_index, reverse=True):
            counts = self._counts_by_index[index]
            for bucket in range(BUCKETS - 1, -1, -1):
                count = counts[bucket]
                if count >= excess:
                    return index + (bucket + 1 - excess / count) / BUCKETS
                excess -= count
        return 0.0

    def lost_above(self, position):
        """Return how many of the lost tickets lie above a position."""
        return sum(
            count
            for index, counts in self._lost_by_index.items()
            for bucket, count in enumerate(counts)
            if index + (bucket + 1) / BUCKETS > position
        )


class ShedEstimator:
    """Finds the level above which tickets are shed.

    Tickets above the level of the moment say nothing about where it should
    be: they were sent before it was known. Only the others count.

    Attributes
    ----------
    ranks_ : list of int
        Ranks seen, sorted.
    position_ : float
        Level as index of a rank plus hash; tickets at or above are shed.
    """

    def __init__(self):
        self.ranks_ = []
        self.position_ = 0.0
        self._rise = FIRST_RISE
        self._window_start = 0.0
        self._arrived = _Histogram()
        self._ended = _Histogram()

    def offered(self, ticket, now):
        """Count a ticket that arrived.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Current time in seconds.
        """
        self._roll(now)
        position = self._position(ticket)
        if position < self.position_:
            self._arrived.add(position)

    def shed(self, ticket, now):
        """Count a ticket that this node shed.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Current time in seconds.
        """
        self._roll(now)
        position = self._position(ticket)
        if position < self.position_:
            self._arrived.lose(position)

    def ended(self, ticket, refused, now):
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
        self._roll(now)
        position = self._position(ticket)
        if position < self.position_:
            self._ended.add(position)
            if refused:
                self._ended.lose(position)

    def explains_refusals(self):
        """Return whether what the upstream refuses is shed by importance.

        A service further down does that; an upstream that is full itself
        refuses requests of any importance.

        Returns
        -------
        bool
            True also when there are no refusals.
        """
        return self._ended.lost == 0 or self._falls_on_least(self._ended)

    def level(self, now):
        """Return the shedding level.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        ShedLevel
            The level; it sheds nothing without overload.
        """
        self._roll(now)
        index = int(self.position_)
        if index >= len(self.ranks_):
            return _base.ShedLevel()
        fraction = 1.0 - (self.position_ - index)
        return _base.ShedLevel(self.ranks_[index], fraction)

    def overload(self, now):
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
        self._roll(now)
        top = len(self.ranks_)
        return 1.0 - self.position_ / top if top else 0.0

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
        is_top = self.position_ >= len(self.ranks_)
        self.ranks_ = sorted([*self.ranks_, rank])
        if is_top or self.ranks_.index(rank) <= self.position_:
            self.position_ += 1.0
        # Indices of the window's counts have moved.
        self._clear()

    def _clear(self):
        self._arrived = _Histogram()
        self._ended = _Histogram()

    def _roll(self, now):
        age_s = now - self._window_start
        if age_s < WINDOW_S:
            return
        tickets = self._arrived.total + self._ended.total
        if 0 < tickets < MIN_TICKETS and age_s < MAX_WINDOW_S:
            return
        self._close()
        idle = int(age_s / WINDOW_S) - 1
        for _ in range(min(idle, MAX_IDLE_WINDOWS)):
            self._raise_level()
        self._window_start = now

    def _close(self):
        goals = [
            histogram.quantile()
            for histogram in (self._arrived, self._ended)
            if self._is_short(histogram)
        ]
        if goals:
            self._rise = FIRST_RISE
            self.position_ = min(self.position_, *goals)
        else:
            self._raise_level()
        self._clear()

    def _is_short(self, histogram):
        # What is lost must be the least important. Otherwise a service
        # below that not all classes call is short: a level here would
        # shed classes that could be served.
        if histogram.lost <= CLEAN_SHARE * histogram.total:
            return False
        return self._falls_on_least(histogram)

    def _falls_on_least(self, histogram):
        goal = histogram.quantile()
        if goal == math.inf:
            # Too few to tell.
            return True
        return 2 * histogram.lost_above(goal) >= histogram.lost

    def _raise_level(self):
        top = float(len(self.ranks_))
        self.position_ = min(top, self.position_ + self._rise)
        self._rise = min(1.0, RISE_GROWTH * self._rise)
        if self.position_ >= top:
            self._rise = FIRST_RISE


def _count(counts_by_index, position):
    index = int(position)
    counts = counts_by_index.get(index)
    if counts is None:
        counts = counts_by_index[index] = [0] * BUCKETS
    counts[int((position - index) * BUCKETS)] += 1
