"""Targets among which the next attempt of a request is placed."""

#: Share of a subset that has to be usable; with less, the load of what is
#: missing would fall on few targets.
MIN_USABLE_SHARE = 0.5


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
    usable, silent, unreachable = _classify(
        records, tried_nodes, peers_by_node
    )
    return usable or silent or unreachable


def select_in_subset(subset, records, tried_nodes, peers_by_node):
    """Return untried targets of a subset, or of all if few are usable.

    Parameters
    ----------
    subset : sequence of TargetRecord
        Targets that this node prefers.
    records : sequence of TargetRecord
        All ready targets of the service.
    tried_nodes, peers_by_node
        As for `select`.

    Returns
    -------
    list of TargetRecord
        The targets to choose from; empty if there are none.
    """
    usable, _, _ = _classify(subset, tried_nodes, peers_by_node)
    if len(usable) >= MIN_USABLE_SHARE * len(subset) > 0:
        return usable
    return select(records, tried_nodes, peers_by_node)


def _classify(records, tried_nodes, peers_by_node):
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
    return usable, silent, unreachable
