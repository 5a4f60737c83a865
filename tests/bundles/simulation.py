"""Simulation of bundle holders in several failure domains, in virtual time.

Faults: links between domains and to the platform are cut, nodes are
isolated, paused and restarted, table reads return stale rows, and the
platform is down or its answers are lost.
"""

import heapq
import itertools
import random

import attrs

from rosemarycrank import bundles
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import table_service

CLUSTER_KEY = b'k' * 16
PLATFORM = 'platform'
STEP_S = 0.02
MAX_DELAY_S = 0.01


class Directory:
    """Membership view of one node; failures are detected immediately."""

    def __init__(self, cluster, address, domain):
        self._cluster = cluster
        self._address = address
        self._domain = domain

    def members(self):
        others = self._cluster.addresses(lambda d: d == self._domain)
        unavailable = self._cluster.unavailable() - {self._address}
        if self._address in self._cluster.isolated:
            return [self._address]
        return [a for a in others if a not in unavailable]

    def remote_members(self):
        return self._cluster.addresses(lambda d: d != self._domain)


@attrs.define
class Node:
    """A running node with the bundles that its holder has accepted."""

    domain: str
    kernel: kernel.Kernel
    holder: bundles.BundleHolder
    codec: messages.Codec
    accepted: list = attrs.field(factory=list)

    @property
    def version(self):
        current = self.holder.current
        return current.version if current else 0


@attrs.define
class Platform:
    """Table and object store with faults.

    ``lag_s`` is the age of the rows that reads return; ``forged_row``, if
    set, is returned in place of the current row.
    """

    rows: list = attrs.field(factory=lambda: [(0.0, None)])
    bodies: dict = attrs.field(factory=dict)
    lag_s: float = 0.0
    loses_answers: bool = False
    down: bool = False
    forged_row: object = None

    def read(self, operation, now):
        if isinstance(operation, table_service.ObjectGet):
            return self.bodies.get(operation.name)
        if self.forged_row is not None:
            return self.forged_row
        visible = [row for time, row in self.rows if time <= now - self.lag_s]
        return visible[-1] if visible else None

    def publish(self, head, content, base, now):
        base_hash = base.hash if base else ''
        self.bodies[bundles.body_name(content.hash)] = content.to_bytes()
        row = self.make_row(head, base_hash)
        self.rows.append((now, row))

    def make_row(self, head, base_hash=''):
        value = bundles.CurrentRow(head, base_hash).to_value()
        return table_service.Row('current', value, len(self.rows), 'w')


class Cluster:
    """All nodes, the links between them, and the platform.

    ``layout`` gives the number of nodes by domain; ``make_holder`` is called
    with a directory and the trusted keys.
    """

    def __init__(self, layout, trusted_keys, seed, make_holder=None):
        self.now = 0.0
        self.platform = Platform()
        self.cuts = set()
        self.paused = set()
        self.isolated = set()
        self.sent = []
        self.nodes = {}
        self._trusted_keys = trusted_keys
        self._random = random.Random(seed)
        self._make_holder = make_holder or bundles.BundleHolder
        self._queue = []
        self._buffered_by_address = {}
        self._sequence = itertools.count()
        for domain, count in layout.items():
            for number in range(count):
                self.start(f'{domain}:{number}', domain)

    def addresses(self, matches):
        return [a for a, n in self.nodes.items() if matches(n.domain)]

    def unavailable(self):
        """Return the addresses of paused and isolated nodes."""
        return self.paused | self.isolated

    def start(self, address, domain):
        """Start a node, or restart it, without a bundle."""
        context = kernel.Context(address, 1, seed=self._random.getrandbits(32))
        context.timers.advance(self.now)
        directory = Directory(self, address, domain)
        holder = self._make_holder(directory, self._trusted_keys)
        node = Node(
            domain,
            kernel.Kernel(context, [holder]),
            holder,
            messages.Codec(CLUSTER_KEY, address),
        )
        context.subscribe(
            bundles.BundleAccepted,
            lambda notice: node.accepted.append(notice.bundle),
        )
        self.nodes[address] = node

    def connected(self, one, other):
        return one == other or frozenset((one, other)) not in self.cuts

    def run(self, duration_s):
        """Advance the virtual time."""
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self._queue and self._queue[0][0] <= self.now:
                _, _, address, event = heapq.heappop(self._queue)
                self._deliver(address, event)
            for address, node in self.nodes.items():
                if address not in self.paused:
                    self._advance(address, node)

    def schedule_delivery(self, address, event):
        delay_s = self._random.uniform(0, MAX_DELAY_S)
        entry = (self.now + delay_s, next(self._sequence), address, event)
        heapq.heappush(self._queue, entry)

    def components(self):
        """Yield sets of domains that are connected, directly or indirectly.

        The platform is in such a set too while it is up.
        """
        unvisited = {
            node.domain
            for address, node in self.nodes.items()
            if address not in self.unavailable()
        }
        if not (self.platform.down or self.platform.loses_answers):
            unvisited.add(PLATFORM)
        while unvisited:
            component = {unvisited.pop()}
            while found := {
                d
                for d in unvisited
                if any(self.connected(d, e) for e in component)
            }:
                component |= found
                unvisited -= found
            yield component

    def _advance(self, address, node):
        for event in self._buffered_by_address.pop(address, ()):
            self._deliver(address, event)
        self._perform(address, node.kernel.advance(self.now))

    def _deliver(self, address, event):
        if address in self.paused:
            # The operating system buffers the event until the process
            # resumes.
            self._buffered_by_address.setdefault(address, []).append(event)
            return
        node = self.nodes[address]
        self._perform(address, node.kernel.handle(event, self.now))

    def _perform(self, address, effects):
        for effect in effects:
            if isinstance(effect, kernel.Send):
                self._send(address, effect)
            else:
                self._request_platform(address, effect)

    def _send(self, address, effect):
        sender = self.nodes[address]
        frame = sender.codec.encode(effect.message)
        self.sent.append((effect.message, len(frame)))
        target = self.nodes[effect.address]
        isolated = not self.isolated.isdisjoint((address, effect.address))
        if not isolated and self.connected(sender.domain, target.domain):
            event = kernel.Received(*target.codec.decode(frame))
            self.schedule_delivery(effect.address, event)

    def _request_platform(self, address, effect):
        operation_id = effect.operation_id
        domain = self.nodes[address].domain
        isolated = address in self.isolated
        reachable = not isolated and self.connected(domain, PLATFORM)
        if self.platform.down or not reachable:
            reply = kernel.PlatformReply(operation_id, error='unavailable')
        elif self.platform.loses_answers:
            return
        else:
            value = self.platform.read(effect.operation, self.now)
            reply = kernel.PlatformReply(operation_id, value=value)
        self.schedule_delivery(address, reply)
