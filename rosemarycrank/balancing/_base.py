"""Base class and data types of balancers."""

import abc

import attrs


@attrs.frozen
class Target:
    """Upstream that attempts can be sent to, as listed by membership.

    Attributes
    ----------
    address : str
        ``host:port`` of the target's node.
    incarnation : int
        Incarnation of that node.
    service : str
        Service that its upstream serves.
    failure_domain : str
        Failure domain of the target's VM.
    partner : str
        Partner that runs the upstream.
    slots : int
        Slots that the upstream announced; 0 when not known.
    """

    address: str
    incarnation: int
    service: str
    failure_domain: str
    partner: str = ''
    slots: int = 0


class Balancer(abc.ABC):
    """Chooses the target of each attempt, using the replies to earlier ones.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Source of randomness.
    """

    def __init__(self, failure_domain, random):
        self.failure_domain = failure_domain
        self.random = random

    @abc.abstractmethod
    def choose(self, candidates, rank, excluded, now):
        """Choose a target.

        Parameters
        ----------
        candidates : sequence of Target
            Targets of the service that accept attempts.
        rank : int
            Rank of the request; 0 is the most important.
        excluded : set of str
            Addresses to which this request has already been sent.
        now : float
            Current time in seconds.

        Returns
        -------
        Target or None
            The chosen target; None when every candidate is excluded.
        """

    @abc.abstractmethod
    def record_sent(self, target, now):
        """Record that an attempt was sent.

        Parameters
        ----------
        target : Target
            Target of the attempt.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def record_finished(self, target, latency_s, reply, now):
        """Record that an attempt finished.

        Parameters
        ----------
        target : Target
            Target of the attempt.
        latency_s : float
            Time since the attempt was sent, in seconds.
        reply : rosemarycrank.messages.AttemptReply or None
            Reply, which includes the target's load; None when the target did
            not reply.
        now : float
            Current time in seconds.
        """

    def shed_retry_after_s(self, service, rank, shed_hash, now):
        """Return a retry delay if all targets would shed a request.

        Parameters
        ----------
        service : str
            Service that the request is for.
        rank : int
            Rank of the request.
        shed_hash : float
            Stable hash of the request in [0, 1).
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds after which the caller should retry; 0 when the request
            is not shed.
        """
        return 0.0

    def dump(self):
        """Return the balancer's part of the state dump.

        Returns
        -------
        dict
            Values that can be encoded as JSON.
        """
        return {}
