"""Simple admission controllers, used as baselines in benchmarks."""

from rosemarycrank.admission import _base
from rosemarycrank import kernel
from rosemarycrank import results

#: Limit in attempts when none is configured and the upstream announces no
#: slots.
DEFAULT_LIMIT = 64


@kernel.register('admission', 'pass-through')
class PassThrough(_base.AdmissionController):
    """Admits every attempt.

    Attributes
    ----------
    in_flight_ : int
        Admitted attempts that have not finished.
    """

    def __init__(self):
        self.in_flight_ = 0

    def offer(self, ticket, now):
        """Admit the ticket."""
        self.in_flight_ += 1
        return _base.Decision(_base.Verdict.ADMIT)

    def release(self, ticket, sample, now):
        """Remove the ticket from the attempts in flight."""
        self.in_flight_ -= 1
        return []

    def withdraw(self, ticket, now):
        """Do nothing: there is no queue."""

    def expire(self, now):
        """Return nothing: there is no queue."""
        return []

    def shed_level(self, now):
        """Return a level that sheds nothing."""
        return _base.ShedLevel()

    def load(self, now):
        """Return the attempts in flight, without a limit."""
        return _base.Load(self.in_flight_, 0, 0)


@kernel.register('admission', 'static-limit')
class StaticLimit(PassThrough):
    """Admits up to a fixed number of attempts and refuses the rest.

    Parameters
    ----------
    limit : int, default=0
        Maximum number of attempts in flight. 0 means the slots that the
        upstream announces, or 64 if it announces none.

    Attributes
    ----------
    limit_ : int
        The limit in effect.
    """

    def __init__(self, limit=0):
        super().__init__()
        self.limit = limit
        self.limit_ = limit or DEFAULT_LIMIT

    def start_cold(self, slots, now):
        """Set the limit to the announced slots, unless it is configured."""
        self.limit_ = self.limit or slots or DEFAULT_LIMIT

    def offer(self, ticket, now):
        """Admit the ticket if fewer attempts than the limit are in flight."""
        if self.in_flight_ >= self.limit_:
            return _base.Decision(_base.Verdict.REFUSE, results.Result.SHED)
        return super().offer(ticket, now)

    def load(self, now):
        """Return the attempts in flight and the limit."""
        return _base.Load(self.in_flight_, self.limit_, 0)
