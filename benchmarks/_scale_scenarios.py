"""Measurements of one failure domain in virtual time."""

import time

from benchmarks import _scale_cluster
from benchmarks import _scale_usage
from rosemarycrank import membership

PAUSE_PERIOD_S = 5.0


def measure_cold_start(nodes, seed):
    """Measure the start of a domain whose nodes all start within 5 s.

    Returns
    -------
    tuple of (Cluster, dict)
        The cluster, in which each node lists all nodes, and the figures.
    """
    cluster = _scale_cluster.Cluster(1, nodes, seed)
    cluster.network.measures_usage = True
    started_at = time.perf_counter()
    cluster.start_all(duration_s=5.0)
    complete_s = cluster.network.run_until(
        lambda: cluster.domain_complete(0), timeout_s=120
    )
    cluster.network.run(1.0)
    report = _scale_usage.usage_report(
        cluster.members_of(0), cluster.network.now
    )
    return cluster, {
        'complete_s_after_last_start': round(complete_s, 1),
        'window_s': round(cluster.network.now, 1),
        'bytes_a_node': round(
            (report['sent_bytes_s'] + report['received_bytes_s'])
            * cluster.network.now
        ),
        'wall_s': round(time.perf_counter() - started_at, 1),
    }


def count_false_suspicions(cluster, duration_s, loss, pauses):
    """Count suspicions and declared failures of nodes that are running.

    Parameters
    ----------
    cluster : Cluster
        Cluster in which each node lists all nodes. Its message loss is set
        to ``loss`` and at the end to zero.
    duration_s : float
        Virtual seconds to run.
    loss : float
        Fraction of messages that are lost.
    pauses : bool
        Whether a random node is paused every 5 s, for 1 to 3 s.

    Returns
    -------
    dict
        Counts; a node that several others declared failed counts once.
    """
    network = cluster.network
    network.loss = loss
    _clear_notices(cluster)
    before = _sum_counter(cluster, 'membership_suspicions')
    pause_count = 0
    end = network.now + duration_s
    while network.now < end:
        period_end = network.now + PAUSE_PERIOD_S
        if pauses:
            _pause_random_node(cluster)
            pause_count += 1
        network.run(period_end - network.now)
    network.loss = 0.0
    return {
        'virtual_s': duration_s,
        'loss': loss,
        'pauses': pause_count,
        'suspicions': _sum_counter(cluster, 'membership_suspicions') - before,
        'nodes_declared_failed': len(_declared_failed(cluster)),
    }


def _pause_random_node(cluster):
    node_address = cluster.random_address()
    cluster.network.pause(node_address)
    cluster.network.run(cluster.network.random.uniform(1, 3))
    cluster.network.resume(node_address)


def _declared_failed(cluster):
    return {
        notice.address
        for member in cluster.network.by_address.values()
        for _, notice in member.notices
        if isinstance(notice, membership.MemberFailed)
    }


def _clear_notices(cluster):
    for member in cluster.network.by_address.values():
        member.notices.clear()


def _sum_counter(cluster, name):
    return sum(
        member.context.counters.get(name, 0)
        for member in cluster.network.by_address.values()
    )


def measure_restarts(cluster, duration_s, period_s):
    """Measure usage while a random node restarts every ``period_s``."""
    restart_count = int(duration_s / period_s)
    with _scale_usage.measuring(cluster.network):
        for _ in range(restart_count):
            _restart_random_node(cluster)
            cluster.network.run(period_s)
    report = _scale_usage.usage_report(cluster.members_of(0), duration_s)
    return {
        'replaced': restart_count,
        'period_s': period_s,
        **{k: report[k] for k in ('sent_bytes_s', 'wire_bytes_s', 'cpu_us_s')},
    }


def _restart_random_node(cluster):
    node_address = cluster.random_address()
    service = cluster.served_service(node_address)
    cluster.network.kill(node_address)
    member = cluster.network.start(
        node_address, _scale_cluster.domain_name(0), seeds=cluster.seeds
    )
    member.announce(service, partner='north', slots=110)


def measure_partition(cluster, cut_s):
    """Measure a network partition between two halves of a domain.

    Returns
    -------
    dict
        Duration of the partition (``cut_s``), the largest number of nodes
        that a node lists at its end, virtual seconds from its end until each
        node lists all nodes (``healed_s``), and traffic during the latter.
    """
    network = cluster.network
    half_addresses = set(sorted(network.by_address)[::2])
    network.is_cut = lambda sender, receiver: (
        (sender in half_addresses) != (receiver in half_addresses)
    )
    network.run(cut_s)
    view_sizes = [
        len(m.directory.members()) for m in network.by_address.values()
    ]
    network.is_cut = lambda sender, receiver: False
    with _scale_usage.measuring(network):
        healed_s = network.run_until(
            lambda: cluster.domain_complete(0), timeout_s=180, step_s=0.5
        )
    report = _scale_usage.usage_report(
        cluster.members_of(0), max(healed_s, 0.5)
    )
    return {
        'cut_s': cut_s,
        'largest_view_at_end_of_cut': max(view_sizes),
        'healed_s': round(healed_s, 1),
        'sent_bytes_s_while_healing': report['sent_bytes_s'],
        'wire_bytes_s_while_healing': report['wire_bytes_s'],
    }
