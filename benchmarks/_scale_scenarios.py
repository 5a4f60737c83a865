"""Measurements of one failure domain in virtual time."""

import statistics
import time

from benchmarks import _scale_network
from rosemarycrank import membership

STEADY_DURATION_S = 60.0
DEFAULT_SERVICE_COUNT = 80
CALLED_SERVICES_PER_NODE = 4
PAUSE_PERIOD_S = 5.0

# At the measured message rates each frame travels in a packet of its own,
# with headers of IPv4 (20 bytes) and TCP with timestamps (32) and the length
# prefix of nng (8). The receiver returns a TCP acknowledgement.
PACKET_OVERHEAD_BYTES = 20 + 32 + 8
ACKNOWLEDGEMENT_BYTES = 52


def address(domain, number):
    """Return the address of a node, similar in length to a real one."""
    return f'10.{domain}.{number // 250}.{number % 250}:7400'


def domain_name(domain):
    """Return the name of a failure domain."""
    return f'domain-{domain:02d}'


def service_name(number):
    """Return the name of a service."""
    return f'service-{number:04d}'


class Cluster:
    """Failure domains of equal size on one simulated network.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    nodes : int
        Number of nodes in each domain.
    seed : int
        Seed of all random choices.
    loss : float, default=0.0
        Fraction of messages that are lost.
    services : int, default=DEFAULT_SERVICE_COUNT
        Number of services. They are assigned to the nodes of a domain round
        robin; all domains serve the same services.
    """

    def __init__(
        self, domains, nodes, seed, loss=0.0, services=DEFAULT_SERVICE_COUNT
    ):
        self.domains = domains
        self.nodes = nodes
        self.services = services
        self.network = _scale_network.Network(seed=seed, loss=loss)
        self.seeds = tuple(
            address(domain, number)
            for domain in range(domains)
            for number in range(min(2, nodes))
        )

    def start(self, domain, number, **parameters):
        """Start one node and announce a target at it."""
        member = self.network.start(
            address(domain, number),
            domain_name(domain),
            seeds=self.seeds,
            **parameters,
        )
        member.announce(
            service_name(number % self.services), partner='north', slots=110
        )
        return member

    def start_all(self, duration_s):
        """Start all nodes in random order, spread over ``duration_s``."""
        numbers = [
            (domain, number)
            for domain in range(self.domains)
            for number in range(self.nodes)
        ]
        self.network.random.shuffle(numbers)
        for domain, number in numbers:
            self.start(domain, number)
            self.network.run(duration_s / len(numbers))

    def call_services(self):
        """Let each node look up the targets of a few random services."""
        for member in self.network.by_address.values():
            for _ in range(CALLED_SERVICES_PER_NODE):
                number = self.network.random.randrange(self.services)
                member.directory.targets(service_name(number))

    def members_of(self, domain):
        """Return the running members of a domain."""
        name = domain_name(domain)
        return [
            member
            for member in self.network.by_address.values()
            if member.directory.failure_domain == name
        ]

    def domain_complete(self, domain):
        """Return whether each node of a domain lists all of its nodes."""
        members = self.members_of(domain)
        return all(
            len(member.directory.members()) == len(members)
            for member in members
        )

    def random_address(self):
        """Return the address of a running node that is not a seed."""
        candidates = sorted(set(self.network.by_address) - set(self.seeds))
        return self.network.random.choice(candidates)


def _percentile(values, quantile):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _sum_usage(members):
    """Return sent (count, bytes), received count and time by kind."""
    sent_by_kind, received_by_kind, handle_ns_by_kind = {}, {}, {}
    for member in members:
        usage = member.usage
        for kind, amount in usage.sent_bytes.items():
            count, total = sent_by_kind.get(kind, (0, 0))
            sent_by_kind[kind] = (count + usage.sent[kind], total + amount)
        for kind, amount in usage.received.items():
            received_by_kind[kind] = received_by_kind.get(kind, 0) + amount
            handle_ns_by_kind[kind] = (
                handle_ns_by_kind.get(kind, 0) + usage.handle_ns[kind]
            )
    return sent_by_kind, received_by_kind, handle_ns_by_kind


def usage_report(members, duration_s):
    """Return the traffic and processor time of members.

    Parameters
    ----------
    members : sequence of Member
        Members over which the report averages.
    duration_s : float
        Virtual seconds since the usage was reset.

    Returns
    -------
    dict
        Rates per node and virtual second: bytes of sent and received frames,
        frames, bytes on the wire with packet overhead, and processor time
        (of which ``cpu_tick_us_s`` is that of timers). ``by_kind`` has for
        each message kind the rates, the mean size and the mean processor
        time of receiving a message.
    """
    sent_by_kind, received_by_kind, handle_ns_by_kind = _sum_usage(members)
    node_s = len(members) * duration_s
    encode_ns = sum(m.usage.encode_ns for m in members)
    tick_ns = sum(m.usage.tick_ns for m in members)
    sent_count = sum(count for count, _ in sent_by_kind.values())
    sent_bytes = sum(total for _, total in sent_by_kind.values())
    received_count = sum(received_by_kind.values())
    received_bytes = sum(sum(m.usage.received_bytes.values()) for m in members)
    frames = sent_count + received_count
    overhead_bytes_per_frame = PACKET_OVERHEAD_BYTES + ACKNOWLEDGEMENT_BYTES
    cpu_ns = encode_ns + tick_ns + sum(handle_ns_by_kind.values())
    return {
        'nodes': len(members),
        'sent_bytes_s': round(sent_bytes / node_s, 1),
        'received_bytes_s': round(received_bytes / node_s, 1),
        'frames_s': round(frames / node_s, 2),
        'wire_bytes_s': round(
            (sent_bytes + received_bytes + frames * overhead_bytes_per_frame)
            / node_s,
            1,
        ),
        'cpu_us_s': round(cpu_ns / 1000 / node_s, 1),
        'cpu_tick_us_s': round(tick_ns / 1000 / node_s, 1),
        'by_kind': {
            kind: {
                'sent_s': round(count / node_s, 3),
                'bytes': round(total / count),
                'sent_bytes_s': round(total / node_s, 1),
                'receive_us': round(
                    handle_ns_by_kind.get(kind, 0)
                    / 1000
                    / max(1, received_by_kind.get(kind, 0)),
                    1,
                ),
            }
            for kind, (count, total) in sorted(sent_by_kind.items())
        },
    }


def measure_usage(cluster, members, duration_s):
    """Run for ``duration_s`` virtual seconds; report the members' usage."""
    cluster.network.measures_usage = True
    cluster.network.reset_usage()
    cluster.network.run(duration_s)
    cluster.network.measures_usage = False
    return usage_report(members, duration_s)


def measure_cold_start(nodes, seed):
    """Measure the start of a domain whose nodes all start within 5 s.

    Returns
    -------
    tuple of (Cluster, dict)
        The cluster, in which each node lists all nodes, and the figures.
    """
    cluster = Cluster(1, nodes, seed)
    cluster.network.measures_usage = True
    started_at = time.perf_counter()
    cluster.start_all(duration_s=5.0)
    complete_s = cluster.network.run_until(
        lambda: cluster.domain_complete(0), timeout_s=120
    )
    cluster.network.run(1.0)
    report = usage_report(cluster.members_of(0), cluster.network.now)
    return cluster, {
        'complete_s_after_last_start': round(complete_s, 1),
        'window_s': round(cluster.network.now, 1),
        'bytes_a_node': round(
            (report['sent_bytes_s'] + report['received_bytes_s'])
            * cluster.network.now
        ),
        'wall_s': round(time.perf_counter() - started_at, 1),
    }


def _count_listing_members(cluster, service, target_address):
    return sum(
        target_address in [t.address for t in m.directory.targets(service)]
        for m in cluster.network.by_address.values()
        if m.address != target_address
    )


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


def _served_service(cluster, target_address):
    member = cluster.network.by_address[target_address]
    return next(
        service_name(number)
        for number in range(cluster.services)
        if target_address in member.target_addresses(service_name(number))
    )


def _time_join(cluster, number):
    member = cluster.start(0, number)
    service = service_name(number % cluster.services)
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
    service = _served_service(cluster, target_address)
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
    cluster.network.loss = loss
    _clear_notices(cluster)
    before = _sum_counter(cluster, 'membership_suspicions')
    pause_count = 0
    end = cluster.network.now + duration_s
    while cluster.network.now < end:
        if pauses:
            node_address = cluster.random_address()
            pause_s = cluster.network.random.uniform(1, 3)
            cluster.network.pause(node_address)
            cluster.network.run(pause_s)
            cluster.network.resume(node_address)
            cluster.network.run(PAUSE_PERIOD_S - pause_s)
            pause_count += 1
        else:
            cluster.network.run(PAUSE_PERIOD_S)
    cluster.network.loss = 0.0
    failed = {
        notice.address
        for member in cluster.network.by_address.values()
        for _, notice in member.notices
        if isinstance(notice, membership.MemberFailed)
    }
    return {
        'virtual_s': duration_s,
        'loss': loss,
        'pauses': pause_count,
        'suspicions': _sum_counter(cluster, 'membership_suspicions') - before,
        'nodes_declared_failed': len(failed),
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
    network = cluster.network
    network.measures_usage = True
    network.reset_usage()
    restart_count = int(duration_s / period_s)
    for _ in range(restart_count):
        node_address = cluster.random_address()
        service = _served_service(cluster, node_address)
        network.kill(node_address)
        member = network.start(
            node_address, domain_name(0), seeds=cluster.seeds
        )
        member.announce(service, partner='north', slots=110)
        network.run(period_s)
    network.measures_usage = False
    report = usage_report(cluster.members_of(0), duration_s)
    return {
        'replaced': restart_count,
        'period_s': period_s,
        **{k: report[k] for k in ('sent_bytes_s', 'wire_bytes_s', 'cpu_us_s')},
    }


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
    network.measures_usage = True
    network.reset_usage()
    healed_s = network.run_until(
        lambda: cluster.domain_complete(0), timeout_s=180, step_s=0.5
    )
    network.measures_usage = False
    report = usage_report(cluster.members_of(0), max(healed_s, 0.5))
    return {
        'cut_s': cut_s,
        'largest_view_at_end_of_cut': max(view_sizes),
        'healed_s': round(healed_s, 1),
        'sent_bytes_s_while_healing': report['sent_bytes_s'],
        'wire_bytes_s_while_healing': report['wire_bytes_s'],
    }
