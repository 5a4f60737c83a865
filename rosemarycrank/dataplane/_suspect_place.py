"""Choice of the one target at which a suspected request may run.

All nodes choose the same one for the same request, so that its next run is
known before it runs again, however fast the news of a crash spreads. Nodes
that do not reach each other may choose different ones.
"""

from rosemarycrank.dataplane import _rendezvous


def find(node, service, digest, gone_nodes=()):
    """Return the target at which a suspected request may run.

    Parameters
    ----------
    node : Node
        The node that chooses.
    service : str
        Service of the request.
    digest : int
        Digest of the request.
    gone_nodes : collection of str
        Nodes whose targets have turned out to be unavailable.

    Returns
    -------
    TargetRecord or None
        The target; None if there is none.
    """
    records = [
        record
        for record in node.directory.ready_targets(service)
        if record.node not in gone_nodes
        and not node.crash_history.has_crashed(record)
    ]
    for record in _rendezvous.ranked('%x' % digest, records):
        peer = node.peers_by_node.get(record.node)
        if peer is None or peer.reachable and not peer.leaving:
            return record
    return None
