"""Shedding level of a service, from what its target sheds.

The histogram over rank and hash follows DAGOR (Zhou et al., "Overload
Control for Scaling WeChat Microservices", SoCC 2018). Every hop sheds the
same client requests, so requests that survive are whole.
"""

import attrs

from rosemarycrank.admission import _base

#: Length of a window in seconds.
WINDOW_S = 0.1
#: Buckets of the hash within a rank.
BUCKETS = 32
#: Ranks that are told apart; more are counted as the least important.
MAX_RANKS = 64
#: First rise of the level, in ranks, after a window that shed nothing;
#: doubled with each further one.
FIRST_RISE = 0.02
#: Windows without a call that are made up for at most.
MAX_IDLE_WINDOWS = 64
#: Share of shed tickets in a window up to which the level rises.
CLEAN_SHARE = 0.005


@attrs.define
class _Histogram:
    offered: list = attrs.field(factory=lambda: [0] * BUCKETS)
    refused: list = attrs.field(factory=lambda: [0] * BUCKETS)


class ShedEstimator:
    """Finds the level above which tickets are shed.

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
        self._window_end = 0.0
        self._clear()

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
        histogram = self._histogram(ticket.rank)
        histogram.offered[int(ticket.shed_hash * BUCKETS)] += 1
        self._offered += 1

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
        self._shed += 1

    def refused(self, ticket, now):
        """Count an admitted ticket that the upstream refused.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Current time in seconds.
        """
        self._roll(now)
        histogram = self._histogram(ticket.rank)
        histogram.refused[int(ticket.shed_hash * BUCKETS)] += 1
        self._refused += 1

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

    def _histogram(self, rank):
        histogram = self._by_rank.get(rank)
        if histogram is None:
            rank = self._known(rank)
            histogram = self._by_rank.setdefault(rank, _Histogram())
        return histogram

    def _known(self, rank):
        if rank in self.ranks_:
            return rank
        if len(self.ranks_) >= MAX_RANKS:
            return self.ranks_[-1]
        level = self.position_ >= len(self.ranks_)
        self.ranks_.append(rank)
        self.ranks_.sort()
        index = self.ranks_.index(rank)
        if level or index <= self.position_:
            self.position_ += 1.0
        return rank

    def _clear(self):
        self._by_rank = {}
        self._offered = 0
        self._shed = 0
        self._refused = 0

    def _roll(self, now):
        if now < self._window_end:
            return
        self._close()
        idle = int((now - self._window_end) / WINDOW_S)
        for _ in range(min(idle, MAX_IDLE_WINDOWS)):
            self._raise_level()
        self._window_end = now + WINDOW_S

    def _close(self):
        excess = self._shed + self._confirmed_refusals()
        if excess > CLEAN_SHARE * self._offered:
            self._rise = FIRST_RISE
            self.position_ = min(self.position_, self._quantile(excess))
        else:
            self._raise_level()
        self._clear()

    def _raise_level(self):
        top = len(self.ranks_)
        self.position_ = min(float(top), self.position_ + self._rise)
        self._rise = min(1.0, 2 * self._rise)
        if self.position_ >= top:
            self._rise = FIRST_RISE

    def _confirmed_refusals(self):
        # Refusals below count only if they fall on the least important
        # tickets; others mean that a service further down, which not all
        # classes call, is short, and this level can't tell them apart.
        if not self._refused:
            return 0
        position = self._quantile(self._refused)
        above = sum(
            histogram.refused[bucket]
            for index, bucket, histogram in self._buckets()
            if index + (bucket + 1) / BUCKETS > position
        )
        return self._refused if 2 * above >= self._refused else 0

    def _buckets(self):
        for index in range(len(self.ranks_) - 1, -1, -1):
            histogram = self._by_rank.get(self.ranks_[index])
            if histogram is not None:
                for bucket in range(BUCKETS - 1, -1, -1):
                    yield index, bucket, histogram

    def _quantile(self, excess):
        for index, bucket, histogram in self._buckets():
            count = histogram.offered[bucket]
            if count >= excess:
                return index + (bucket + 1 - excess / count) / BUCKETS
            excess -= count
        return 0.0
