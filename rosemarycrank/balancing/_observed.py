"""State of one target as an entry node observes it."""

import attrs

#: Backoff from a target that does not reply or refuses; it doubles with each
#: consecutive failure up to the maximum.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 4.0
#: Half-life of the estimated load from other entry nodes since the last reply.
LOAD_HALF_LIFE_S = 0.25
#: Age at which the shedding level of the last reply expires.
MAX_LEVEL_AGE_S = 1.0


@attrs.define
class ObservedTarget:
    """State of one target, derived from its replies and failures.

    Attributes
    ----------
    incarnation : int
        Incarnation of the target's node that this state describes.
    first_seen_time : float
        Time at which this entry node first considered the incarnation, in
        seconds.
    in_flight : int
        Unfinished attempts from this entry node.
    limit : int
        Concurrency limit in the last reply; 0 when there is none.
    others_in_flight : float
        Unfinished attempts from other entry nodes at the last reply.
    last_reply_time : float
        Time of the last reply that included the load, in seconds.
    failures : int
        Number of consecutive failures.
    backoff_until : float
        End of the backoff, in seconds.
    shed_rank, shed_fraction : int, float
        Shedding level in the last reply; see `admission.ShedLevel`.
    retry_after_s : float
        Retry delay for refused callers in the last reply, in seconds; 0 when
        it named none.
    """

    incarnation: int
    first_seen_time: float
    in_flight: int = 0
    limit: int = 0
    others_in_flight: float = 0.0
    last_reply_time: float = -1e9
    failures: int = 0
    backoff_until: float = -1e9
    shed_rank: int = 1 << 30
    shed_fraction: float = 0.0
    retry_after_s: float = 0.0

    def record_reply(self, reply, now):
        """Store the load and shedding level of a reply."""
        self.last_reply_time = now
        self.limit = reply.limit
        self.others_in_flight = max(0.0, reply.in_flight - self.in_flight)
        self.shed_rank = reply.shed_rank
        self.shed_fraction = reply.shed_fraction
        self.retry_after_s = reply.retry_after_s

    def record_failure(self, now):
        """Back off from the target, longer with each consecutive failure."""
        delay_s = MIN_BACKOFF_S * 2 ** min(self.failures, 16)
        self.failures += 1
        self.backoff_until = now + min(MAX_BACKOFF_S, delay_s)

    def record_success(self):
        """End the backoff."""
        self.failures = 0
        self.backoff_until = -1e9

    def utilisation(self, slots, now):
        """Return the estimated share of the target's capacity in use.

        Parameters
        ----------
        slots : int
            Announced slots, used until a reply includes a limit.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Attempts in flight divided by the limit; 1 when full.
        """
        capacity = self.limit or slots or 1
        age_s = now - self.last_reply_time
        others_in_flight = self.others_in_flight * 0.5 ** (
            age_s / LOAD_HALF_LIFE_S
        )
        return (self.in_flight + others_in_flight) / capacity

    def sheds(self, rank, shed_hash, now):
        """Return whether the last known shedding level sheds a request."""
        if now - self.last_reply_time > MAX_LEVEL_AGE_S:
            return False
        if rank != self.shed_rank:
            return rank > self.shed_rank
        return shed_hash >= 1.0 - self.shed_fraction
