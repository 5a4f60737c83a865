"""Measurements of membership in virtual time."""

import statistics
import time

from benchmarks import _scale_network
from rosemarycrank import membership

STEADY_DURATION_S = 60.0
SERVICES_PER_DOMAIN = 80
CALLED_SERVICES = 4
PAUSE_PERIOD_S = 5.0

# Each frame travels as one packet at these rates: IPv4, TCP with time
# stamps and nng's length prefix, and a TCP acknowledgement in return.
PACKET_OVERHEAD_BYTES = 20 + 32 + 8
ACKNOWLEDGEMENT_BYTES = 52


def address(domain, number):
    """Return the address of a node, as long as a real one."""
    return f'10.{domain}.{number // 250}.{number % 250}:7400'


def domain_name(domain):
    """Return the name of a failure domain."""
    return f'domain-{domain:02d}'


def service_name(number):
    """Return the name of a service."""
    return f'service-{number:04d}'


class Cluster:
    """Failure domains of equal size on one network.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    nodes : int
        Nodes of each.
    seed : int
        Seed of everything random.
    loss : float, default=0.0
        Share of messages that are lost.
    services : int, default=SERVICES_PER_DOMAIN
        Services that the nodes of a domain serve in turn; all domains serve
        the same ones.
    """

    def __init__(
        self, domains, nodes, seed, loss=0.0, services=SERVICES_PER_DOMAIN
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
        """Start one node with its target."""
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

    def start_all(self, spread_s):
        """Start all nodes within some virtual seconds, in random order."""
        numbers = [
            (domain, number)
            for domain in range(self.domains)
            for number in range(self.nodes)
        ]
        self.network.random.shuffle(numbers)
        for domain, number in numbers:
            self.start(domain, number)
            self.network.run(spread_s / len(numbers))

    def call_services(self):
        """Let each node ask for the targets of a few services."""
        for member in self.network.by_address.values():
            for _ in range(CALLED_SERVICES):
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
        """Return whether all of a domain know all of it."""
        members = self.members_of(domain)
        return all(
            len(member.directory.members()) == len(members)
            for member in members
        )

    def random_address(self):
        """Return the address of a running node that is not a seed."""
        candidates = sorted(set(self.network.by_address) - set(self.seeds))
        return self.network.random.choice(candidates)


def _percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _totals(members):
    sent, received, handle_ns = {}, {}, {}
    for member in members:
        usage = member.usage
        for kind, amount in usage.sent_bytes.items():
            count, total = sent.get(kind, (0, 0))
            sent[kind] = (count + usage.sent[kind], total + amount)
        for kind, amount in usage.received.items():
            received[kind] = received.get(kind, 0) + amount
            handle_ns[kind] = handle_ns.get(kind, 0) + usage.handle_ns[kind]
    return sent, received, handle_ns


def usage_report(members, duration_s):
    """Return traffic and processor time of some members.

    Parameters
    ----------
    members : sequence of Member
        The members.
    duration_s : float
        Virtual seconds since the usage was reset.

    Returns
    -------
    dict
        Per node and second: bytes of frames sent and received, packets,
        processor time by part; and by kind the bytes and microseconds of a
        message.
    """
    sent, received, handle_ns = _totals(members)
    node_s = len(members) * duration_s
    encode_ns = sum(m.usage.encode_ns for m in members)
    tick_ns = sum(m.usage.tick_ns for m in members)
    sent_count = sum(count for count, _ in sent.values())
    sent_bytes = sum(total for _, total in sent.values())
    received_count = sum(received.values())
    received_bytes = sum(sum(m.usage.received_bytes.values()) for m in members)
    frames = sent_count + received_count
    wire = PACKET_OVERHEAD_BYTES + ACKNOWLEDGEMENT_BYTES
    cpu_ns = encode_ns + tick_ns + sum(handle_ns.values())
    return {
        'nodes': len(members),
        'sent_bytes_s': round(sent_bytes / node_s, 1),
        'received_bytes_s': round(received_bytes / node_s, 1),
        'frames_s': round(frames / node_s, 2),
        'wire_bytes_s': round(
            (sent_bytes + received_bytes + frames * wire) / node_s, 1
        ),
        'cpu_us_s': round(cpu_ns / 1000 / node_s, 1),
        'cpu_tick_us_s': round(tick_ns / 1000 / node_s, 1),
        'by_kind': {
            kind: {
                'sent_s': round(count / node_s, 3),
                'bytes': round(total / count),
                'sent_bytes_s': round(total / node_s, 1),
                'receive_us': round(
                    handle_ns.get(kind, 0)
                    / 1000
                    / max(1, received.get(kind, 0)),
                    1,
                ),
            }
            for kind, (count, total) in sorted(sent.items())
        },
    }


def measure_usage(cluster, members, duration_s):
    """Run for some virtual seconds and report the usage of members."""
    cluster.network.measures_usage = True
    cluster.network.reset_usage()
    cluster.network.run(duration_s)
    cluster.network.measures_usage = False
    return usage_report(members, duration_s)


def measure_cold_start(nodes, seed):
    """Measure a domain whose nodes all start within 5 s.

    Returns
    -------
    tuple of (Cluster, dict)
        The cluster once complete, and the figures.
    """
    cluster = Cluster(1, nodes, seed)
    cluster.network.measures_usage = True
    started = time.perf_counter()
    cluster.start_all(spread_s=5.0)
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
        'wall_s': round(time.perf_counter() - started, 1),
    }


def _listing(cluster, service, wanted):
    return sum(
        wanted in [t.address for t in m.directory.targets(service)]
        for m in cluster.network.by_address.values()
        if m.address != wanted
    )


def measure_propagation(cluster, repeats):
    """Measure how long joins, leaves and failures take to reach all.

    Parameters
    ----------
    cluster : Cluster
        A complete cluster.
    repeats : int
        Events of each kind.

    Returns
    -------
    dict
        Median and largest seconds until the last node knew. A failure is
        first a suspicion: calls then go elsewhere.
    """
    found = {'join_s': [], 'leave_s': [], 'suspected_s': [], 'failed_s': []}
    for number in range(repeats):
        found['join_s'].append(_time_join(cluster, 1000 + number))
    for _ in range(repeats):
        found['leave_s'].append(_time_leave(cluster))
    for _ in range(repeats):
        suspected_s, failed_s = _time_failure(cluster)
        found['suspected_s'].append(suspected_s)
        found['failed_s'].append(failed_s)
    return {
        name: {
            'events': len(values),
            'median': round(statistics.median(values), 2),
            'max': round(max(values), 2),
        }
        for name, values in found.items()
    }


def _service_of(cluster, wanted):
    member = cluster.network.by_address[wanted]
    return next(
        service_name(number)
        for number in range(cluster.services)
        if wanted in member.target_addresses(service_name(number))
    )


def _time_join(cluster, number):
    member = cluster.start(0, number)
    service = service_name(number % cluster.services)
    others = len(cluster.network.by_address) - 1
    return cluster.network.run_until(
        lambda: _listing(cluster, service, member.address) == others,
        timeout_s=60,
    )


def _time_leave(cluster):
    wanted = cluster.random_address()
    service = _service_of(cluster, wanted)
    cluster.network.by_address[wanted].directory.leave()
    elapsed_s = cluster.network.run_until(
        lambda: _listing(cluster, service, wanted) == 0, timeout_s=60
    )
    cluster.network.run(2.0)
    cluster.network.kill(wanted)
    return elapsed_s


def _time_failure(cluster):
    wanted = cluster.random_address()
    cluster.network.kill(wanted)
    members = list(cluster.network.by_address.values())
    statuses = ('suspect', 'failed')
    suspected_s = cluster.network.run_until(
        lambda: all(m.directory.status(wanted) in statuses for m in members),
        timeout_s=60,
    )
    rest_s = cluster.network.run_until(
        lambda: all(m.directory.status(wanted) == 'failed' for m in members),
        timeout_s=60,
    )
    return suspected_s, suspected_s + rest_s


def count_false_suspicions(cluster, duration_s, loss, pauses):
    """Count suspicions and failures of nodes that run.

    Parameters
    ----------
    cluster : Cluster
        A complete cluster; its loss is changed.
    duration_s : float
        Virtual seconds.
    loss : float
        Share of messages that are lost.
    pauses : bool
        Whether a node is paused each 5 s, for 1 to 3 s.

    Returns
    -------
    dict
        Counts; failures are counted by node that was declared failed.
    """
    cluster.network.loss = loss
    _forget_notices(cluster)
    before = _counter(cluster, 'membership_suspicions')
    paused = 0
    end = cluster.network.now + duration_s
    while cluster.network.now < end:
        if pauses:
            victim = cluster.random_address()
            pause_s = cluster.network.random.uniform(1, 3)
            cluster.network.pause(victim)
            cluster.network.run(pause_s)
            cluster.network.resume(victim)
            cluster.network.run(PAUSE_PERIOD_S - pause_s)
            paused += 1
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
        'pauses': paused,
        'suspicions': _counter(cluster, 'membership_suspicions') - before,
        'nodes_declared_failed': len(failed),
    }


def _forget_notices(cluster):
    for member in cluster.network.by_address.values():
        member.notices.clear()


def _counter(cluster, name):
    return sum(
        member.context.counters.get(name, 0)
        for member in cluster.network.by_address.values()
    )


def measure_restarts(cluster, duration_s, period_s):
    """Measure usage while nodes are replaced one after the other."""
    network = cluster.network
    network.measures_usage = True
    network.reset_usage()
    steps = int(duration_s / period_s)
    for _ in range(steps):
        victim = cluster.random_address()
        service = _service_of(cluster, victim)
        network.kill(victim)
        member = network.start(victim, domain_name(0), seeds=cluster.seeds)
        member.announce(service, partner='north', slots=110)
        network.run(period_s)
    network.measures_usage = False
    report = usage_report(cluster.members_of(0), duration_s)
    return {
        'replaced': steps,
        'period_s': period_s,
        **{k: report[k] for k in ('sent_bytes_s', 'wire_bytes_s', 'cpu_us_s')},
    }


def measure_partition(cluster, cut_s):
    """Cut a domain in two halves and heal it.

    Returns
    -------
    dict
        Seconds until each half knows itself only, seconds until all are
        known again, and usage in the 10 s after healing.
    """
    network = cluster.network
    half = set(sorted(network.by_address)[::2])
    network.is_cut = lambda sender, receiver: (
        (sender in half) != (receiver in half)
    )
    network.run(cut_s)
    seen = [len(m.directory.members()) for m in network.by_address.values()]
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
        'largest_view_at_end_of_cut': max(seen),
        'healed_s': round(healed_s, 1),
        'sent_bytes_s_while_healing': report['sent_bytes_s'],
        'wire_bytes_s_while_healing': report['wire_bytes_s'],
    }
