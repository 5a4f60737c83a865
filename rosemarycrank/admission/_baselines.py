"""Simple admission controllers, kept as baselines for measurement."""

from rosemarycrank.admission import _base
from rosemarycrank import kernel
from rosemarycrank import results

#: Limit where none is set and no slots are announced.
DEFAULT_LIMIT = 64


@kernel.register('admission', 'pass-through')
class PassThrough(_base.AdmissionController):
    """Admits everything.

    Attributes
    ----------
    in_flight_ : int
        Attempts running.
    """

    def __init__(self):
        self.in_flight_ = 0

    def offer(self, ticket, now):
        """Admit the ticket."""
        self.in_flight_ += 1
        return _base.Decision(_base.Verdict.ADMIT)

    def release(self, ticket, sample, now):
        """Count the ticket out."""
        self.in_flight_ -= 1
        return []

    def withdraw(self, ticket, now):
        """Do nothing: there is no queue."""

    def expire(self, now):
        """Return nothing: there is no queue."""
        return []

    def shed_level(self, now):
        """Return the level that sheds nothing."""
        return _base.ShedLevel()

    def load(self, now):
        """Return the attempts running, without a limit."""
        return _base.Load(self.in_flight_, 0, 0)


@kernel.register('admission', 'static-limit')
class StaticLimit(PassThrough):
    """Admits up to a fixed number of attempts and refuses the rest.

    Parameters
    ----------
    limit : int, default=0
        Attempts that may run at once; 0 takes the announced slots, and 64
        where none are announced.

    Attributes
    ----------
    limit_ : int
        The limit in use.
    """

    def __init__(self, limit=0):
        super().__init__()
        self.limit = limit
        self.limit_ = limit or DEFAULT_LIMIT

    def start_cold(self, slots, now):
        """Take the announced slots, unless a limit is set."""
        self.limit_ = self.limit or slots or DEFAULT_LIMIT

    def offer(self, ticket, now):
        """Admit the ticket below the limit."""
        if self.in_flight_ >= self.limit_:
            return _base.Decision(_base.Verdict.REFUSE, results.Result.SHED)
        return super().offer(ticket, now)

    def load(self, now):
        """Return the attempts running and the limit."""
        return _base.Load(self.in_flight_, self.limit_, 0)
