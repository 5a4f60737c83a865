"""Base class and data types of admission controllers."""

import abc
import enum

import attrs

from rosemarycrank import results


@attrs.frozen
class Ticket:
    """Attempt as an admission controller sees it.

    Attributes
    ----------
    attempt_id : str
        Identifier of the attempt.
    rank : int
        Importance of the request; 0 is the most important and shed last.
    shed_hash : float
        Stable hash of the client request in [0, 1). Within a rank, requests
        with the highest hash are shed first, so every hop sheds the same
        requests.
    deadline : float
        Time at which the caller stops waiting, in seconds of the local
        clock.
    """

    attempt_id: str
    rank: int
    shed_hash: float
    deadline: float


class Verdict(enum.Enum):
    """Outcome of offering a ticket to an admission controller."""

    ADMIT = 'admit'
    QUEUE = 'queue'
    REFUSE = 'refuse'


@attrs.frozen
class Decision:
    """Decision on an offered ticket.

    Attributes
    ----------
    verdict : Verdict
        Whether the ticket is admitted, queued or refused.
    result : rosemarycrank.results.Result or None
        Reason for a refusal; None for other verdicts.
    displaced : tuple of Ticket
        Less important tickets that were removed from the queue to make
        room for the offered one. The caller must refuse them immediately.
    """

    verdict: Verdict
    result: results.Result | None = None
    displaced: tuple[Ticket, ...] = ()


@attrs.frozen
class Sample:
    """Measurements of one admitted attempt.

    Attributes
    ----------
    latency_s : float
        Time that the attempt spent at the upstream, in seconds.
    complete : bool
        Whether the upstream returned a complete answer.
    refused : bool
        Whether the upstream itself shed the attempt.
    """

    latency_s: float
    complete: bool
    refused: bool = False


@attrs.frozen
class ShedLevel:
    """Threshold of importance below which requests are shed.

    A request is shed when its rank is greater than ``rank``, or when its
    rank equals ``rank`` and ``shed_hash >= 1 - fraction``.

    Attributes
    ----------
    rank : int
        Rank that is shed in part; all ranks above it are shed entirely.
        The default sheds nothing.
    fraction : float
        Fraction of the requests of ``rank`` that is shed, in [0, 1].
    """

    rank: int = 1 << 30
    fraction: float = 0.0

    def sheds(self, rank, shed_hash):
        """Return whether this level sheds a request.

        Parameters
        ----------
        rank : int
            Rank of the request.
        shed_hash : float
            Stable hash of the request in [0, 1).

        Returns
        -------
        bool
            True if the request is shed.
        """
        if rank != self.rank:
            return rank > self.rank
        return shed_hash >= 1.0 - self.fraction


@attrs.frozen
class Load:
    """Load of one target.

    Attributes
    ----------
    in_flight : int
        Admitted attempts that have not finished.
    limit : int
        Maximum of ``in_flight``; 0 when there is no limit.
    queued : int
        Attempts in the admission queue.
    """

    in_flight: int
    limit: int
    queued: int


class AdmissionController(abc.ABC):
    """Decides which attempts run at the local upstream, and when.

    Each offered ticket leaves the controller in exactly one way: it is
    refused by `offer`, admitted and later passed to `release`, removed by
    `withdraw`, displaced by another ticket, or returned by `expire`.
    """

    @abc.abstractmethod
    def offer(self, ticket, now):
        """Admit, queue or refuse a new attempt.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        Decision
            The verdict, and the queued tickets displaced by this one.
        """

    @abc.abstractmethod
    def release(self, ticket, sample, now):
        """Free the slot of an admitted attempt and record its sample.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        sample : Sample
            Measurements of the attempt.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Ticket
            Tickets that move from the queue to running.
        """

    @abc.abstractmethod
    def withdraw(self, ticket, now):
        """Remove a ticket from the queue; ignore unknown tickets.

        Parameters
        ----------
        ticket : Ticket
            The attempt.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def expire(self, now):
        """Remove queued tickets that cannot meet their deadlines.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list of Ticket
            Removed tickets, which the caller must refuse immediately.
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
            The current level.
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
            The current load.
        """

    def start_cold(self, slots, now):
        """Reset estimates for an upstream that has just announced itself.

        Parameters
        ----------
        slots : int
            Slots that the upstream announced; 0 when not known.
        now : float
            Current time in seconds.
        """

    def record_upstream_report(self, in_flight, slots, healthy, now):
        """Record a load report of the upstream.

        The report may be stale or wrong.

        Parameters
        ----------
        in_flight : int
            Requests in flight according to the upstream.
        slots : int
            Slots according to the upstream.
        healthy : bool
            Whether the upstream reports itself as healthy.
        now : float
            Current time in seconds.
        """

    def set_goodput_weight(self, goodput_weight):
        """Set the weight of goodput against recovery time.

        Parameters
        ----------
        goodput_weight : float
            Value from the bundle's policy, from 0 (optimise recovery time
            only) to 1 (optimise goodput only).
        """

    def retry_after_s(self, now):
        """Return the time that a refused caller should wait before retrying.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Wait in seconds, without jitter.
        """
        return 1.0

    def service_time_s(self, now):
        """Return the shortest expected service time of an attempt.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Service time in seconds; 0 when not known.
        """
        return 0.0
