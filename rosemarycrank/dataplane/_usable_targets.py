"""Ready targets whose nodes take attempts."""


class UsableTargets:
    """Targets of all services that one node may use.

    Parameters
    ----------
    directory : Directory
        Known targets.
    peers_by_node : dict of str to Peer
        Nodes that this node has called, by address.
    """

    def __init__(self, directory, peers_by_node):
        self._directory = directory
        self._peers_by_node = peers_by_node
        self._unusable_nodes = set()

    def mark_unusable(self, address):
        """Record that a node takes no attempts, until its peer says so.

        Parameters
        ----------
        address : str
            Address of the node, which is stopping or cannot be reached.
        """
        self._unusable_nodes.add(address)

    def update(self):
        """Forget nodes that take attempts again; called periodically."""
        usable = filter(self._takes_attempts, self._unusable_nodes)
        self._unusable_nodes.difference_update(list(usable))

    def contains(self, address):
        """Return whether the target of a node is among them.

        Parameters
        ----------
        address : str
            Address of the node.
        """
        return self._directory.is_ready(address) and self._takes_attempts(
            address
        )

    def of_service(self, service):
        """Return the records of the usable targets of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        sequence of TargetRecord
        """
        records = self._directory.ready_targets(service)
        if not self._unusable_nodes:
            return records
        return [r for r in records if self._takes_attempts(r.node)]

    def count(self, service):
        """Return the number of usable targets of a service."""
        unusable = sum(
            1
            for address in self._unusable_nodes
            if not self._takes_attempts(address)
            and self._has_ready_target(address, service)
        )
        return len(self._directory.ready_targets(service)) - unusable

    def _has_ready_target(self, address, service):
        record = self._directory.records_by_node.get(address)
        return self._directory.is_ready(address) and record.service == service

    def _takes_attempts(self, address):
        peer = self._peers_by_node.get(address)
        return peer is None or peer.reachable and not peer.leaving
