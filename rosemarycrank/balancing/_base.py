"""Base class and data of balancers."""

import abc

import attrs


@attrs.frozen
class Target:
    """A target as membership knows it.

    Attributes
    ----------
    address : str
        ``host:port`` of the target's node.
    incarnation : int
        Incarnation of that node.
    service : str
        Service that its upstream serves.
    failure_domain : str
        Failure domain of the VM.
    partner : str
        Partner that runs the upstream.
    slots : int
        Announced slots of the upstream; 0 when not known.
    """

    address: str
    incarnation: int
    service: str
    failure_domain: str
    partner: str = ''
    slots: int = 0


class Balancer(abc.ABC):
    """Chooses the target of an attempt and learns from what comes back.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Random source.
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
            Targets of the service that accept work.
        rank : int
            Rank of the request; 0 matters most.
        excluded : set of str
            Addresses tried already by this request.
        now : float
            Current time in seconds.

        Returns
        -------
        Target or None
            The choice; None when no candidate is left.
        """

    @abc.abstractmethod
    def record_sent(self, target, now):
        """Record that an attempt was sent.

        Parameters
        ----------
        target : Target
            Where it went.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def record_finished(self, target, latency_s, reply, now):
        """Record the end of an attempt.

        Parameters
        ----------
        target : Target
            Where it went.
        latency_s : float
            Time since it was sent, in seconds.
        reply : rosemarycrank.messages.AttemptReply or None
            The answer with the target's load; None when none came.
        now : float
            Current time in seconds.
        """

    def shed_retry_after_s(self, service, rank, shed_hash, now):
        """Return whether the service's targets would all shed a request.

        Parameters
        ----------
        service : str
            The service.
        rank : int
            Rank of the request.
        shed_hash : float
            Its hash in [0, 1).
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds after which to come back; 0 when it is not shed.
        """
        return 0.0

    def dump(self):
        """Return the state for the state dump.

        Returns
        -------
        dict
            Values that JSON can carry.
        """
        return {}
