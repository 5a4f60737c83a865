"""What an entry node observes of one target."""

import attrs

#: Avoidance of a silent or refusing target: the first time, doubled with
#: each further failure up to the maximum.
MIN_AVOID_S = 0.1
MAX_AVOID_S = 4.0
#: Reported load of other entry nodes halves in this time.
LOAD_HALF_LIFE_S = 0.25
#: A shedding level that was not heard again is dropped after this time.
LEVEL_VALID_S = 1.0


@attrs.define
class ObservedTarget:
    """State of one target as its replies and silences show it.

    Attributes
    ----------
    incarnation : int
        Incarnation that the state is of.
    first_seen : float
        Time at which this incarnation was first seen, in seconds.
    in_flight : int
        Attempts of this node without an end.
    limit : int
        Limit of the last reply; 0 when none.
    others : float
        Attempts of other entry nodes at the last reply.
    heard : float
        Time of the last reply.
    failures : int
        Failures in a row.
    avoid_until : float
        End of the avoidance.
    shed_rank, shed_fraction : int, float
        Shedding level of the last reply.
    retry_after_s : float
        Return of refused callers in the last refusal, in seconds.
    """

    incarnation: int
    first_seen: float
    in_flight: int = 0
    limit: int = 0
    others: float = 0.0
    heard: float = -1e9
    failures: int = 0
    avoid_until: float = -1e9
    shed_rank: int = 1 << 30
    shed_fraction: float = 0.0
    retry_after_s: float = 0.0

    def hear(self, reply, now):
        """Take the load and level of a reply."""
        self.heard = now
        self.limit = reply.limit
        self.others = max(0.0, reply.in_flight - self.in_flight)
        self.shed_rank = reply.shed_rank
        self.shed_fraction = reply.shed_fraction
        self.retry_after_s = reply.retry_after_s

    def fail(self, now):
        """Avoid the target, for longer with each failure in a row."""
        delay_s = MIN_AVOID_S * 2 ** min(self.failures, 16)
        self.failures += 1
        self.avoid_until = now + min(MAX_AVOID_S, delay_s)

    def succeed(self):
        """End the avoidance."""
        self.failures = 0
        self.avoid_until = -1e9

    def utilisation(self, slots, now):
        """Return the share of the target's capacity in use.

        Parameters
        ----------
        slots : int
            Announced slots, used until a reply brings a limit.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Attempts over the limit; 1 is full.
        """
        capacity = self.limit or slots or 1
        age_s = now - self.heard
        others = self.others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return (self.in_flight + others) / capacity

    def sheds(self, rank, shed_hash, now):
        """Return whether the last level heard sheds a request."""
        if now - self.heard > LEVEL_VALID_S:
            return False
        if rank != self.shed_rank:
            return rank > self.shed_rank
        return shed_hash >= 1.0 - self.shed_fraction
