"""Fleet whose clients repeat requests that end the targets that run them."""

import collections
import errno
import random
import re

import msgspec

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes
from tests.dataplane import fleet as fleets

#: Path of the deadly requests, and of their route.
DEADLY = b'/a/deadly'

#: Service of the deadly requests' targets, and that of the VMs on which they
#: begin.
TARGET_SERVICE = 's0'
DEADLY_CALLER = 's1'

#: Time for which a deadly request runs until its target ends, in seconds.
DEADLY_RUN_S = 0.09


class _PreferringChooser(_balance.RandomTarget):
    """Chooses the target that a node prefers, or else a random one."""

    def __init__(self, random, preferred_node):
        super().__init__('fd-0', random)
        self._preferred_node = preferred_node

    def choose(self, records, *args):
        for record in records:
            if record.node == self._preferred_node():
                return record
        return super().choose(records, *args)


class CrashFleet(fleets.Fleet):
    """Fleet with an entry side at each node.

    Attributes
    ----------
    ends : list of tuple of (float, str)
        Virtual time and node of each target that ended under the deadly
        request.
    statuses_by_path : dict of bytes to list of int
        Statuses of the answers, by path, of all callers but that of the
        deadly requests.
    deadly_statuses : list of int
        Statuses of the answers to deadly requests.
    refusals : list of tuple of (float, float)
        Virtual time and Retry-After, in seconds, of each answer of 503.
    preferred_by_address : dict of str to str
        Nodes of the targets to which requests go first, by entry node.
    """

    def __init__(self, reactor, size=12, service_count=4):
        self.ends = []
        self.statuses_by_path = collections.defaultdict(list)
        self.deadly_statuses = []
        self.refusals = []
        self.preferred_by_address = {}
        self._entries_by_address = {}
        self._cut_off = frozenset()
        self._count = 0
        self.configuration = fakes.configuration(route())
        super().__init__(reactor, size, service_count)
        self.service_s = 0.05
        self.deadly_run_s = DEADLY_RUN_S
        self.is_deadly = self._is_deadly
        self.read_store()

    def restart(self, address):
        super().restart(address)
        node = self.targets_by_address[address]
        node.configuration = self.configuration
        rng = random.Random(self.addresses.index(address))
        self._entries_by_address[address] = _entry.EntrySide(
            node,
            _names.HeaderNames(),
            self.service_of(address),
            _PreferringChooser(
                rng, lambda: self.preferred_by_address.get(address)
            ),
            _routes.ServicePicker(rng),
            _node.RetryBudgetSettings(0.2, 48.0),
            _counters.Counters(),
            rng,
        )

    def restart_and_read(self, address):
        """Restart the process of a node; the new one reads the store."""
        self.restart(address)
        self.read_directory(address)

    def read_directory(self, address):
        """Let a node know all records, as if it had read the store."""
        node = self.targets_by_address[address]
        for other in self.nodes:
            if other.target_side.record is not None:
                node.merge(other.target_side.record)

    def install(self, configuration):
        """Replace the configuration at all nodes."""
        self.configuration = configuration
        for node in self.nodes:
            node.configuration = configuration

    def service_of(self, address):
        return self.record(address).service

    def nodes_of(self, service):
        """Return the addresses of the nodes beside a service's targets."""
        return [a for a in self.addresses if self.service_of(a) == service]

    def send_request(self, address, path):
        """Send a request of a client to a node."""
        self._count += 1
        entry = self._entries_by_address[address]
        connection = fakes.RecordingConnection()
        is_deadly = (
            path == DEADLY and self.service_of(address) == DEADLY_CALLER
        )
        statuses = (
            self.deadly_statuses if is_deadly else self.statuses_by_path[path]
        )
        connection.response_ready = lambda exchange: self._record(
            exchange.response, statuses
        )
        message = fakes.request(
            path, rosemarycrank_request_id=b'r%d' % self._count
        )
        entry.begin(entry.open(message, connection))

    def _record(self, response, statuses):
        status = int(response.split(b' ')[1])
        statuses.append(status)
        if status == 503:
            retry_after = re.search(rb'Retry-After: (\S+)', response)[1]
            self.refusals.append((self.reactor.now(), float(retry_after)))

    def count_connect_failures(self):
        """Return how many attempts could not connect to their target."""
        reason = int(_frames.Reason.CONNECT_FAILED)
        return sum(
            node.target_side.counters.target_failures_by_reason[reason]
            for node in self.nodes
        )

    def send_deadly(self, count, interval_s):
        """Send deadly requests, from all VMs of their caller in turn."""
        callers = self.nodes_of(DEADLY_CALLER)
        for number in range(count):
            self.send_request(callers[number % len(callers)], DEADLY)
            self.reactor.run(interval_s)

    def connect(self, reactor, address, owner, keep_alive=False):
        near = super().connect(reactor, address, owner, keep_alive)
        if self._crosses_cut(near):
            self.links.remove(near)
            near.is_connecting = near.drops_output = True
            near.remote.drops_output = True
        return near

    def cut_off_nodes(self, addresses):
        """Separate nodes from all others; no node restores the old ones."""
        self._cut_off = frozenset(addresses)
        for near in [link for link in self.links if self._crosses_cut(link)]:
            self.links.remove(near)
            near.close(reset=True)
            near.owner.closed(OSError(errno.ECONNRESET, 'reset'))

    def domain(self, index):
        """Return the addresses of a failure domain."""
        return self.addresses[index :: self.domain_count]

    def _crosses_cut(self, near):
        caller = near.owner.peer.node.address
        return (caller in self._cut_off) != (
            near.target_address in self._cut_off
        )

    def crash(self, address):
        is_up = address not in self.crashed_addresses
        if is_up and self._runs_deadly(address):
            self.ends.append((self.reactor.now(), address))
        super().crash(address)

    def ends_since(self, time):
        """Return how many targets ended under the request since a time."""
        return sum(ended_at >= time for ended_at, _ in self.ends)

    def _runs_deadly(self, address):
        return any(
            run.target_address == address
            and not run.ended
            and self._is_deadly(run.data)
            for run in self.runs
        )

    @staticmethod
    def _is_deadly(data):
        caller = b'rosemarycrank-caller-service: %b' % DEADLY_CALLER.encode()
        return data.startswith(b'GET %b ' % DEADLY) and caller in data


def route(name='read', **changes):
    """Return a route to the service of the deadly requests' targets."""
    services = (_routes.WeightedService(TARGET_SERVICE, 1.0),)
    fields = {'services': services, 'max_attempts': 3, 'timeout_s': 6.0}
    return fakes.route(name, **(fields | changes))


def configuration(name='read', **changes):
    """Return a configuration with another route."""
    return fakes.configuration(route(name, **changes), version=2)


def drain(fleet, address):
    """Let the target at a node announce that it is leaving."""
    node = fleet.targets_by_address[address]
    record = msgspec.structs.replace(
        node.target_side.record, state='draining', sequence=9
    )
    node.announce(record)
