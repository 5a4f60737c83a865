"""Base class and data of admission controllers."""

import abc
import enum

import attrs

from rosemarycrank import results


@attrs.frozen
class Ticket:
    """What an admission controller knows about one attempt.

    Attributes
    ----------
    attempt_id : str
        Identifier of the attempt.
    rank : int
        Order of shedding; 0 is shed last.
    shed_hash : float
        Stable hash of the client request in [0, 1); within a rank the
        highest are shed first, so every hop sheds the same requests.
    deadline : float
        Time at which the caller gives up, in seconds of the local clock.
    """

    attempt_id: str
    rank: int
    shed_hash: float
    deadline: float


class Verdict(enum.Enum):
    """What becomes of an offered ticket."""

    ADMIT = 'admit'
    QUEUE = 'queue'
    REFUSE = 'refuse'


@attrs.frozen
class Decision:
    """Answer to an offer.

    ``displaced`` are queued tickets of lower importance that lost their
    place to the offered one; they are to be refused at once.
    """

    verdict: Verdict
    result: results.Result | None = None
    displaced: tuple[Ticket, ...] = ()


@attrs.frozen
class Sample:
    """What an admitted attempt showed.

    ``latency_s`` is the time at the upstream, ``refused`` tells whether
    the upstream itself shed it, ``complete`` whether it answered whole.
    """

    latency_s: float
    complete: bool
    refused: bool = False


@attrs.frozen
class ShedLevel:
    """Ranks above ``rank`` are shed; of ``rank`` itself, ``fraction``.

    A request is shed when its rank is greater than ``rank``, or equal with
    ``shed_hash >= 1 - fraction``.
    """

    rank: int = 1 << 30
    fraction: float = 0.0

    def sheds(self, rank, shed_hash):
        """Return whether a request would be shed.

        Parameters
        ----------
        rank : int
            Rank of the request.
        shed_hash : float
            Its hash in [0, 1).

        Returns
        -------
        bool
            True if it is shed.
        """
        if rank != self.rank:
            return rank > self.rank
        return shed_hash >= 1.0 - self.fraction


@attrs.frozen
class Load:
    """Load of one target: attempts running, their limit, and queued."""

    in_flight: int
    limit: int
    queued: int


class AdmissionController(abc.ABC):
    """Decides which attempts run at the local upstream, and when.

    Every ticket ends exactly once: by `release` after it was admitted, by
    `withdraw`, by being displaced, or by `expire`.
    """

    @abc.abstractmethod
    def offer(self, ticket, now):
        """Decide on a new attempt.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        Decision
            The verdict, and which queued tickets lose their place.
        """

    @abc.abstractmethod
    def release(self, ticket, sample, now):
        """Record the end of an admitted attempt.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        sample : Sample
            What it showed.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Ticket
            Queued tickets that are admitted now.
        """

    @abc.abstractmethod
    def withdraw(self, ticket, now):
        """Take a queued ticket out; unknown tickets are ignored.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def expire(self, now):
        """Take out queued tickets that can no longer be served in time.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of Ticket
            Tickets to refuse at once.
        """

    @abc.abstractmethod
    def shed_level(self, now):
        """Return the shedding level that entry nodes should apply.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        ShedLevel
            The level.
        """

    @abc.abstractmethod
    def load(self, now):
        """Return the current load.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Load
            The load.
        """

    def start_cold(self, slots, now):
        """Start anew for an upstream that has just announced itself.

        Parameters
        ----------
        slots : int
            Slots that the upstream announced; 0 when not known.
        now : float
            Current time in seconds.
        """

    def record_upstream_report(self, in_flight, slots, healthy, now):
        """Take the upstream's own report, which may lag or mislead.

        Parameters
        ----------
        in_flight : int
            Reported requests in flight.
        slots : int
            Reported slots.
        healthy : bool
            Reported health.
        now : float
            Current time in seconds.
        """

    def set_goodput_weight(self, goodput_weight):
        """Take the bundle's weight of goodput against recovery time.

        Parameters
        ----------
        goodput_weight : float
            From 0, recovery time alone, to 1, goodput alone.
        """

    def retry_after_s(self, now):
        """Return after how many seconds a refused caller may come back.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds, without jitter.
        """
        return 1.0

    def service_time_s(self, now):
        """Return the shortest time in which an attempt can be served.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 when not known.
        """
        return 0.0
