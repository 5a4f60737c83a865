"""Base class of membership components, and the notices they publish."""

import abc

import attrs

from rosemarycrank import kernel


@attrs.frozen
class MemberUp:
    """Notice: a node is considered running."""

    address: str
    incarnation: int
    failure_domain: str


@attrs.frozen
class MemberLeft:
    """Notice: a node announced its planned stop."""

    address: str
    incarnation: int


@attrs.frozen
class MemberFailed:
    """Notice: a node is considered failed.

    It may still run if only the network between the nodes failed.
    """

    address: str
    incarnation: int


class Directory(kernel.Component):
    """Membership component; provides the targets to other components."""

    name = 'membership'

    @abc.abstractmethod
    def targets(self, service):
        """Return the targets of a service that accept work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        sequence of rosemarycrank.balancing.Target
            Targets, including the one at this node; empty if none is known.
        """

    @abc.abstractmethod
    def members(self):
        """Return the addresses of the running nodes of this failure domain.

        Returns
        -------
        sequence of str
            ``host:port`` of each node that is considered running, including
            this node.
        """

    @abc.abstractmethod
    def set_local_target(self, target):
        """Announce the upstream at this node, or withdraw it.

        Parameters
        ----------
        target : rosemarycrank.balancing.Target or None
            Target to announce; None to withdraw the announced one.
        """

    @abc.abstractmethod
    def leave(self):
        """Announce to other nodes that this node will stop as planned."""
