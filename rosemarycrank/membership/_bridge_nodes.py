"""Choice of the bridge nodes of a failure domain."""

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _table


def rank_by_hash(addresses, count):
    """Return the nodes that rendezvous hashing selects.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the nodes to choose from.
    count : int
        Number of nodes to choose.

    Returns
    -------
    tuple of str
        At most ``count`` addresses, in order of rank.
    """
    ranked = sorted(addresses, key=_table.hash64, reverse=True)
    return tuple(ranked[:count])


class BridgeNodes:
    """Bridge nodes of the own failure domain.

    Each node derives them from its own view, without a lease. If views
    differ, more nodes than needed act as bridges, which is harmless.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    view : DomainView
        Records of the own failure domain.
    failure_domain : str
        Name of the own failure domain.
    count : int
        Number of bridge nodes.
    """

    def __init__(self, context, view, failure_domain, count):
        self.context = context
        self.view = view
        self.failure_domain = failure_domain
        self.count = count
        self._addresses = ()
        self._version = None

    def addresses(self):
        """Return the bridge nodes in order of rank.

        Returns
        -------
        tuple of str
            Addresses.
        """
        table = self.view.table
        if self._version != table.version:
            self._version = table.version
            self._addresses = rank_by_hash(table.up_addresses(), self.count)
        return self._addresses

    def include_self(self):
        """Return whether this node is one of the bridge nodes."""
        return self.context.address in self.addresses()

    def contact(self):
        """Return the contact of the own failure domain.

        Returns
        -------
        DomainContact
            The own failure domain and its bridge nodes.
        """
        return _messages.DomainContact(
            self.failure_domain, list(self.addresses())
        )

    def counterparts(self, remote_bridges):
        """Return the bridge nodes of another domain that this node serves.

        Bridge nodes of equal rank exchange messages, so that each bridge
        node receives a change once, not from every bridge node of the other
        domain.

        Parameters
        ----------
        remote_bridges : sequence of str
            Bridge nodes of the other domain in order of rank.

        Returns
        -------
        sequence of str
            Addresses.
        """
        own_bridges = self.addresses()
        rank = own_bridges.index(self.context.address)
        if not remote_bridges:
            return []
        if rank >= len(remote_bridges):
            return [remote_bridges[rank % len(remote_bridges)]]
        return remote_bridges[rank :: len(own_bridges)]
