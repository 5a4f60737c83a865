"""Measurements of how long changes take to reach all nodes of a domain."""

import statistics

from benchmarks import _scale_cluster


def measure_propagation(cluster, event_count):
    """Measure how long joins, leaves and failures take to reach all nodes.

    Parameters
    ----------
    cluster : Cluster
        Cluster in which each node lists all nodes.
    event_count : int
        Number of events of each kind.

    Returns
    -------
    dict
        By kind of event, the median and largest virtual seconds until all
        nodes have recorded it. A failed node is suspected first; from then
        on calls go to other targets.
    """
    seconds_by_event = {
        'join_s': [],
        'leave_s': [],
        'suspected_s': [],
        'failed_s': [],
    }
    for number in range(event_count):
        seconds_by_event['join_s'].append(_time_join(cluster, 1000 + number))
    for _ in range(event_count):
        seconds_by_event['leave_s'].append(_time_leave(cluster))
    for _ in range(event_count):
        suspected_s, failed_s = _time_failure(cluster)
        seconds_by_event['suspected_s'].append(suspected_s)
        seconds_by_event['failed_s'].append(failed_s)
    return {
        name: {
            'events': len(values),
            'median': round(statistics.median(values), 2),
            'max': round(max(values), 2),
        }
        for name, values in seconds_by_event.items()
    }


def _time_join(cluster, number):
    member = cluster.start(0, number)
    service = _scale_cluster.service_name(number % cluster.services)
    other_count = len(cluster.network.by_address) - 1
    return cluster.network.run_until(
        lambda: (
            _count_listing_members(cluster, service, member.address)
            == other_count
        ),
        timeout_s=60,
    )


def _time_leave(cluster):
    target_address = cluster.random_address()
    service = cluster.served_service(target_address)
    cluster.network.by_address[target_address].directory.leave()
    elapsed_s = cluster.network.run_until(
        lambda: _count_listing_members(cluster, service, target_address) == 0,
        timeout_s=60,
    )
    cluster.network.run(2.0)
    cluster.network.kill(target_address)
    return elapsed_s


def _time_failure(cluster):
    target_address = cluster.random_address()
    cluster.network.kill(target_address)
    members = list(cluster.network.by_address.values())
    statuses = ('suspect', 'failed')
    suspected_s = cluster.network.run_until(
        lambda: all(
            m.directory.status(target_address) in statuses for m in members
        ),
        timeout_s=60,
    )
    confirmation_s = cluster.network.run_until(
        lambda: all(
            m.directory.status(target_address) == 'failed' for m in members
        ),
        timeout_s=60,
    )
    return suspected_s, suspected_s + confirmation_s


def _count_listing_members(cluster, service, target_address):
    return sum(
        target_address in [t.address for t in m.directory.targets(service)]
        for m in cluster.network.by_address.values()
        if m.address != target_address
    )
