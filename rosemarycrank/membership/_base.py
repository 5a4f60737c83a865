"""Base class of membership components and their notices."""

import abc

import attrs

from rosemarycrank import kernel


@attrs.frozen
class MemberUp:
    """Notice: a node is known to run."""

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
    """Notice: a node is taken to have failed; it may only be cut off."""

    address: str
    incarnation: int


class Directory(kernel.Component):
    """Membership component that other components ask for targets."""

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
            Targets, this node's own included; empty when none is known.
        """

    @abc.abstractmethod
    def members(self):
        """Return the addresses of nodes of this failure domain.

        Returns
        -------
        sequence of str
            ``host:port`` of nodes taken to run, this node's own included.
        """

    @abc.abstractmethod
    def set_local_target(self, target):
        """Announce the local upstream, or withdraw it.

        Parameters
        ----------
        target : rosemarycrank.balancing.Target or None
            What to announce; None to withdraw.
        """

    @abc.abstractmethod
    def leave(self):
        """Announce the planned stop of this node."""
