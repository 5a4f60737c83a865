"""Fleet of nodes that call each other, in virtual time, with counts."""

import collections
import random
import struct

from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _subsets
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations

_LENGTH = struct.Struct('>I')

#: Position of the tag of a frame: after its length and the array's header.
_TAG_AT = _LENGTH.size + 1


class Demands(_front.AdmitAll):
    """Front that expects the same calls to each service of the fleet."""

    def __init__(self, services):
        self.demand = None
        self._services = services

    def demands(self):
        if self.demand is None:
            return {}
        return {service: self.demand for service in self._services}


class Fleet(simulations.Simulation):
    """Nodes with a target each, all of which may call all services.

    Parameters
    ----------
    reactor : VirtualReactor
        Clock and timers.
    size, service_count : int
        Number of nodes and of services.
    domain_count : int, default=3
        Number of failure domains.

    Attributes
    ----------
    frames_by_tag, bytes_by_tag : collections.Counter
        Number and size of the frames that were sent, by tag.
    """

    def __init__(self, reactor, size, service_count, domain_count=3):
        self.frames_by_tag = collections.Counter()
        self.bytes_by_tag = collections.Counter()
        self.domain_count = domain_count
        self.services = [f's{number}' for number in range(service_count)]
        self.addresses = [
            f'10.{1 + number % domain_count}.{number // 250}.'
            f'{1 + number % 250}:7000'
            for number in range(size)
        ]
        super().__init__(reactor, 1, self.addresses)

    @property
    def nodes(self):
        """All nodes with a target."""
        return list(self.targets_by_address.values())

    def record(self, address, **changes):
        """Return the record of the target at a node."""
        number = self.addresses.index(address)
        fields = {
            'service': self.services[number % len(self.services)],
            'failure_domain': f'fd-{number % self.domain_count}',
        }
        return super().record(address, **(fields | changes))

    def restart(self, address):
        super().restart(address)
        node = self.targets_by_address[address]
        node.front = Demands(self.services)
        if address not in self.crashed_addresses:
            node.announce(self.record(address))

    def read_store(self):
        """Let all nodes know all records, as if they had read the store."""
        records = [self.record(address) for address in self.addresses]
        for node in self.nodes:
            for record in records:
                node.merge(record)

    def connect_all(self):
        """Let each node open a connection to each other one."""
        for node in self.nodes:
            for address in self.addresses:
                if address != node.address:
                    self.send(node, address)

    def call_subsets(self):
        """Let each node call the targets in its subset of each service."""
        for node in self.nodes:
            subsets = _subsets.Subsets(
                node.address, node.target_side.record.failure_domain
            )
            for service in self.services:
                records = node.directory.ready_targets(service)
                for record in subsets.select(service, records):
                    if record.node != node.address:
                        self.send(node, record.node)

    def send(self, node, address):
        """Send an attempt from a node to a target that does not take it."""
        node.last_attempt_number += 1
        node.peer(address).send(
            fakes.attempt(node.last_attempt_number, instance='none'),
            lambda _result: None,
            fakes.RecordingConnection(),
        )

    def clear_counts(self):
        self.frames_by_tag.clear()
        self.bytes_by_tag.clear()

    def count(self, data):
        """Count the frames in written data."""
        position = 0
        while position < len(data):
            (length,) = _LENGTH.unpack_from(data, position)
            tag = data[position + _TAG_AT]
            self.frames_by_tag[tag] += 1
            self.bytes_by_tag[tag] += _LENGTH.size + length
            position += _LENGTH.size + length

    def known_demand(self, node, service):
        """Return the largest demand that targets have reported to a node."""
        loads = [
            node.target_side.load()
            if record.node == node.address
            else node.peer(record.node).load
            for record in node.directory.ready_targets(service)
        ]
        return max(
            (load.demand_per_s, load.admitted_per_s)
            for load in loads
            if load is not None
        )

    def have_same_records(self):
        """Return whether all nodes know the same records."""
        return len({frozenset(n.directory.records()) for n in self.nodes}) == 1

    def random_addresses(self, count, seed=1):
        return random.Random(seed).sample(self.addresses, count)
