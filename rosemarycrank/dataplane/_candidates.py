"""Targets among which the next attempt of a request is placed."""


def select(records, tried_nodes, peers_by_node):
    """Return untried targets, those of silent peers only if needed.

    Targets of unreachable peers are the last resort; targets whose node is
    stopping are never returned.

    Parameters
    ----------
    records : iterable of TargetRecord
        Ready targets of the service.
    tried_nodes : list of str
        Nodes to which the request was sent.
    peers_by_node : dict of str to Peer
        Nodes that this node has called, by address.

    Returns
    -------
    list of TargetRecord
        The targets to choose from; empty if there are none.
    """
    usable = []
    silent = []
    unreachable = []
    for record in records:
        if record.node in tried_nodes:
            continue
        peer = peers_by_node.get(record.node)
        if peer is None or peer.responsive and not peer.leaving:
            usable.append(record)
        elif peer.leaving:
            continue
        elif peer.reachable:
            silent.append(record)
        else:
            unreachable.append(record)
    return usable or silent or unreachable
