"""Measurements of many failure domains in virtual time."""

import resource
import time

from benchmarks import _scale_scenarios
from rosemarycrank import kernel
from rosemarycrank.membership import _messages

SERVICES = 1400
PAGE_RECORDS = 64


def _load_views(cluster):
    """Give every node the whole of its domain, as after long running."""
    for domain in range(cluster.domains):
        members = cluster.members_of(domain)
        records = [member.directory.record() for member in members]
        for member in members:
            for start in range(0, len(records), PAGE_RECORDS):
                page = records[start : start + PAGE_RECORDS]
                member.kernel.handle(
                    kernel.Received(cluster.seeds[0], _messages.Repair(page)),
                    cluster.network.now,
                )


def build(domains, nodes, seed):
    """Return a cluster whose domains are complete and know each other.

    Parameters
    ----------
    domains, nodes : int
        Failure domains, and nodes of each.
    seed : int
        Seed of everything random.

    Returns
    -------
    tuple of (Cluster, dict)
        The cluster, and how it was built.
    """
    cluster = _scale_scenarios.Cluster(domains, nodes, seed, services=SERVICES)
    cluster.seeds = tuple(
        _scale_scenarios.address(domain, 37 * domain)
        for domain in range(domains)
    )
    started = time.perf_counter()
    for domain in range(domains):
        for number in range(nodes):
            # Offset by domain, so that each service has targets in several.
            cluster.start(domain, number + 37 * domain)
    _load_views(cluster)
    cluster.call_services()
    linked_s = cluster.network.run_until(
        lambda: _linked(cluster), timeout_s=300, step_s=1.0
    )
    return cluster, {
        'linked_s': round(linked_s, 1),
        'wall_s': round(time.perf_counter() - started, 1),
    }


def _bridges(cluster):
    return [
        member
        for member in cluster.network.by_address.values()
        if member.directory.is_bridge()
    ]


def _linked(cluster):
    total = len(cluster.network.by_address)
    bridges = _bridges(cluster)
    expected = min(cluster.nodes, 3) * cluster.domains
    return len(bridges) == expected and all(
        member.directory.node_count() == total for member in bridges
    )


def _measure_steady(cluster, duration_s):
    """Measure usage of bridge nodes and of the others.

    Returns
    -------
    dict
        Usage of each role.
    """
    network = cluster.network
    bridges = _bridges(cluster)
    others = [
        member
        for member in network.by_address.values()
        if not member.directory.is_bridge()
    ]
    network.measures_usage = True
    network.reset_usage()
    network.run(duration_s)
    network.measures_usage = False
    report = _scale_scenarios.usage_report
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


def _callers(cluster, service, wanted):
    return [
        member
        for member in cluster.network.by_address.values()
        if member.address != wanted
        and wanted in member.target_addresses(service)
    ]


def _measure_remote_propagation(cluster, repeats):
    """Measure when callers in other domains know of a leave or a failure.

    Returns
    -------
    dict
        Seconds until no caller lists the target, and numbers of callers.
    """
    leave_s, failure_s, callers = [], [], []
    for number in range(2 * repeats):
        wanted = cluster.random_address()
        member = cluster.network.by_address[wanted]
        service = member.directory.record().service
        listing = _callers(cluster, service, wanted)
        callers.append(len(listing))
        if number < repeats:
            member.directory.leave()
        else:
            cluster.network.kill(wanted)
        elapsed_s = cluster.network.run_until(
            lambda m=listing, s=service, w=wanted: (
                not any(w in x.target_addresses(s) for x in m)
            ),
            timeout_s=60,
        )
        (leave_s if number < repeats else failure_s).append(
            round(elapsed_s, 1)
        )
        cluster.network.by_address.pop(wanted, None)
    return {
        'leave_s': leave_s,
        'failure_s': failure_s,
        'callers': callers,
    }


def _measure_domain_loss(cluster, cut_s):
    """Cut one domain off from all others and heal it.

    Returns
    -------
    dict
        Seconds until the others count it as unreachable, seconds until all
        use it again, and usage of bridges in both times.
    """
    name = _scale_scenarios.domain_name(0)
    inside = {member.address for member in cluster.members_of(0)}
    outside = [
        member
        for member in cluster.network.by_address.values()
        if member.address not in inside
    ]
    network = cluster.network
    network.is_cut = lambda sender, receiver: (
        (sender in inside) != (receiver in inside)
    )
    noticed_s = network.run_until(
        lambda: all(name in m.directory.unreachable() for m in outside),
        timeout_s=60,
        step_s=0.5,
    )
    network.run(max(0.0, cut_s - noticed_s))
    network.is_cut = lambda sender, receiver: False
    network.measures_usage = True
    network.reset_usage()
    healed_s = network.run_until(
        lambda: (
            not any(
                m.directory.unreachable() for m in network.by_address.values()
            )
        ),
        timeout_s=120,
        step_s=0.5,
    )
    network.measures_usage = False
    usage = _scale_scenarios.usage_report(
        _bridges(cluster), max(healed_s, 0.5)
    )
    return {
        'noticed_s': round(noticed_s, 1),
        'healed_s': round(healed_s, 1),
        'bridge_wire_bytes_s_while_healing': usage['wire_bytes_s'],
    }


def measure(domains, nodes, seed, steady_s=30.0):
    """Measure a cluster of many domains.

    Parameters
    ----------
    domains, nodes : int
        Failure domains, and nodes of each.
    seed : int
        Seed of everything random.
    steady_s : float, default=30.0
        Virtual seconds over which usage is taken.

    Returns
    -------
    dict
        The figures.
    """
    cluster, figures = build(domains, nodes, seed)
    figures['domains'] = domains
    figures['nodes'] = nodes
    cluster.network.run(20.0)
    figures['steady'] = _measure_steady(cluster, steady_s)
    figures['news'] = _measure_remote_propagation(cluster, 5)
    figures['lost_domain'] = _measure_domain_loss(cluster, 20.0)
    figures['process_mb'] = round(
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    )
    return figures
