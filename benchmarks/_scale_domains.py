"""Measurements of several failure domains in virtual time."""

import resource
import time

from benchmarks import _scale_cluster
from benchmarks import _scale_usage
from rosemarycrank import kernel
from rosemarycrank.membership import _messages

SERVICE_COUNT = 1400
RECORDS_PER_MESSAGE = 64


def _load_views(cluster):
    """Give every node the records of its whole domain, as after a long run."""
    for domain in range(cluster.domains):
        members = cluster.members_of(domain)
        records = [member.directory.record() for member in members]
        for member in members:
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                page = records[start : start + RECORDS_PER_MESSAGE]
                member.kernel.handle(
                    kernel.Received(cluster.seeds[0], _messages.Repair(page)),
                    cluster.network.now,
                )


def build(domains, nodes, seed):
    """Return a cluster in which every bridge node knows all nodes.

    Parameters
    ----------
    domains, nodes : int
        Number of failure domains, and of nodes in each.
    seed : int
        Seed of all random choices.

    Returns
    -------
    tuple of (Cluster, dict)
        The cluster; and the virtual seconds until the bridge nodes knew all
        nodes (``linked_s``) and the real seconds of building (``wall_s``).
    """
    cluster = _scale_cluster.Cluster(
        domains, nodes, seed, services=SERVICE_COUNT
    )
    cluster.seeds = tuple(
        _scale_cluster.address(domain, 37 * domain)
        for domain in range(domains)
    )
    started_at = time.perf_counter()
    for domain in range(domains):
        for number in range(nodes):
            # The offset gives each service targets in several domains.
            cluster.start(domain, number + 37 * domain)
    _load_views(cluster)
    cluster.call_services()
    complete_s = cluster.network.run_until(
        lambda: _bridges_complete(cluster), timeout_s=300, step_s=1.0
    )
    return cluster, {
        'linked_s': round(complete_s, 1),
        'wall_s': round(time.perf_counter() - started_at, 1),
    }


def _bridge_members(cluster):
    return [
        member
        for member in cluster.network.by_address.values()
        if member.directory.is_bridge()
    ]


def _bridges_complete(cluster):
    """Return whether each domain has its bridges and they know all nodes."""
    total = len(cluster.network.by_address)
    bridges = _bridge_members(cluster)
    expected = min(cluster.nodes, 3) * cluster.domains
    return len(bridges) == expected and all(
        member.directory.node_count() == total for member in bridges
    )


def _measure_steady_usage(cluster, duration_s):
    """Measure the usage of bridge nodes and of other nodes.

    Returns
    -------
    dict
        Usage reports by role; ``busiest_bridge`` is the bridge node that
        received the most bytes.
    """
    network = cluster.network
    bridges = _bridge_members(cluster)
    others = [
        member
        for member in network.by_address.values()
        if not member.directory.is_bridge()
    ]
    with _scale_usage.measuring(network):
        network.run(duration_s)
    report = _scale_usage.usage_report
    busiest = max(bridges, key=lambda m: sum(m.usage.received_bytes.values()))
    return {
        'bridge': report(bridges, duration_s),
        'busiest_bridge': {
            key: value
            for key, value in report([busiest], duration_s).items()
            if key != 'by_kind'
        },
        'node': report(others, duration_s),
    }


def _members_listing(cluster, service, target_address):
    return [
        member
        for member in cluster.network.by_address.values()
        if member.address != target_address
        and target_address in member.target_addresses(service)
    ]


def _measure_remote_propagation(cluster, event_count):
    """Measure how fast leaves and failures reach the callers of a target.

    Callers are nodes of any domain that list the target for its service.
    The target leaves in the first ``event_count`` events, and its node is
    killed in as many further ones.

    Returns
    -------
    dict
        For each event, the virtual seconds until no caller lists the target
        (``leave_s``, ``failure_s``) and the number of callers (``callers``).
    """
    leave_s, failure_s, callers = [], [], []
    for number in range(2 * event_count):
        target_address = cluster.random_address()
        member = cluster.network.by_address[target_address]
        service = member.directory.record().service
        members = _members_listing(cluster, service, target_address)
        callers.append(len(members))
        if number < event_count:
            member.directory.leave()
        else:
            cluster.network.kill(target_address)
        elapsed_s = cluster.network.run_until(
            lambda members=members, service=service, address=target_address: (
                not any(
                    address in m.target_addresses(service) for m in members
                )
            ),
            timeout_s=60,
        )
        (leave_s if number < event_count else failure_s).append(
            round(elapsed_s, 1)
        )
        cluster.network.by_address.pop(target_address, None)
    return {
        'leave_s': leave_s,
        'failure_s': failure_s,
        'callers': callers,
    }


def _measure_domain_loss(cluster, cut_s):
    """Measure a network partition between one domain and all others.

    Returns
    -------
    dict
        Virtual seconds until all nodes of the other domains report the domain
        as unreachable (``noticed_s``); virtual seconds from the end of the
        partition until no node reports an unreachable domain (``healed_s``);
        and traffic of the bridge nodes during the latter.
    """
    name = _scale_cluster.domain_name(0)
    inside_addresses = {member.address for member in cluster.members_of(0)}
    outside_members = [
        member
        for member in cluster.network.by_address.values()
        if member.address not in inside_addresses
    ]
    network = cluster.network
    network.is_cut = lambda sender, receiver: (
        (sender in inside_addresses) != (receiver in inside_addresses)
    )
    unreachable_s = network.run_until(
        lambda: all(
            name in m.directory.unreachable() for m in outside_members
        ),
        timeout_s=60,
        step_s=0.5,
    )
    network.run(max(0.0, cut_s - unreachable_s))
    network.is_cut = lambda sender, receiver: False
    with _scale_usage.measuring(network):
        healed_s = network.run_until(
            lambda: (
                not any(
                    m.directory.unreachable()
                    for m in network.by_address.values()
                )
            ),
            timeout_s=120,
            step_s=0.5,
        )
    usage = _scale_usage.usage_report(
        _bridge_members(cluster), max(healed_s, 0.5)
    )
    return {
        'noticed_s': round(unreachable_s, 1),
        'healed_s': round(healed_s, 1),
        'bridge_wire_bytes_s_while_healing': usage['wire_bytes_s'],
    }


def measure(domains, nodes, seed, steady_duration_s=30.0):
    """Measure a cluster of several failure domains.

    Parameters
    ----------
    domains, nodes : int
        Number of failure domains, and of nodes in each.
    seed : int
        Seed of all random choices.
    steady_duration_s : float, default=30.0
        Virtual seconds over which steady usage is measured.

    Returns
    -------
    dict
        The measured figures, as written to the results file.
    """
    cluster, figures = build(domains, nodes, seed)
    figures['domains'] = domains
    figures['nodes'] = nodes
    cluster.network.run(20.0)
    figures['steady'] = _measure_steady_usage(cluster, steady_duration_s)
    figures['news'] = _measure_remote_propagation(cluster, 5)
    figures['lost_domain'] = _measure_domain_loss(cluster, 20.0)
    figures['process_mb'] = round(
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    )
    return figures
