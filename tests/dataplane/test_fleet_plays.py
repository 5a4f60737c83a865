"""Random plays of whole nodes, their targets and clients, in virtual time.

Clients send requests behind each other and leave at any point, targets leave
and come back, connections break: nothing may run twice that must not, and what
is said of a request must be true.
"""

import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations

ADDRESSES = ['10.0.0.2:7000', '10.0.0.3:7000', '10.0.0.4:7000']

#: Durations of the runs of each route, in seconds.
SERVICE_S_BY_ROUTE = {'read': 0.05, 'report': 2.5, 'pay': 0.1}

#: Slots of a target, and time-out of the routes in seconds.
SLOTS = 3
TIMEOUT_S = 5.0

#: Largest number of requests that a client sends behind each other.
MAX_PIPELINED = 32

#: Range of the time after which a node finds that a client has left, in
#: seconds, if it does not read its connection before.
NOTICED_AFTER_S = (0.0, 1.0)

#: Time for which a target serves after its leaving, and time from its leaving
#: until the next one starts, in seconds.
DRAIN_S = 4.0
AWAY_S = DRAIN_S + 1.0

#: Random plays, and steps in each of them.
PLAYS = 100
STEPS = 60


def _service_s(data):
    """Return the duration of the run of a request, in seconds."""
    route = data.split(b' ')[1].split(b'/')[1]
    return SERVICE_S_BY_ROUTE[route.decode()]


class _Client:
    """Client with a connection to one node.

    Attributes
    ----------
    statuses_by_id : dict of bytes to int
        Statuses of the responses, by the identifiers of the requests.
    request_ids : list of bytes
        Identifiers of its requests.
    has_left : bool
        Whether it has closed its connection.
    """

    def __init__(self, entry):
        self.entry = entry
        self._exchanges = []
        self._is_closed = False
        self.request_ids = []
        self.statuses_by_id = {}
        self.has_left = False

    def send(self, request_id, target):
        if self._is_closed:
            return
        self.request_ids.append(request_id)
        message = fakes.request(target, rosemarycrank_request_id=request_id)
        exchange = self.entry.open(message, self)
        self._exchanges.append(exchange)
        self.entry.begin(exchange)

    def catch_up(self):
        """Stand in for the reading of its connection by the node."""
        if self.has_left:
            self.close()

    def close(self):
        """Let the node find that the client has left."""
        if self._is_closed:
            return
        self._is_closed = True
        for exchange in self._exchanges:
            self.entry.abandon(exchange)

    def response_ready(self, exchange):
        assert not self._is_closed
        assert exchange.request_id not in self.statuses_by_id
        status = int(exchange.response.split(b' ')[1])
        self.statuses_by_id[exchange.request_id] = status


class _UnreachedPeer(fakes.RecordingPeer):
    """Peer of a process that has ended."""

    def keep_connected(self):
        pass

    def maintain(self, now):
        pass

    def close(self):
        pass


class _Play:
    """Nodes with a target and clients each, and random events."""

    def __init__(self, seed, simulation, reactor):
        self.source = random.Random(seed)
        self.simulation = simulation
        self.reactor = reactor
        self.clients = []
        self.paid_ids = []
        self.leaving = set()
        self.born_ms = 1000
        self.count = 0
        self.entries = [
            self._make_entry(node)
            for node in simulation.targets_by_address.values()
        ]

    def _make_entry(self, node):
        node.configuration = fakes.configuration(
            *(
                fakes.route(
                    name,
                    path_prefix=b'/%b/' % name.encode(),
                    idempotent=name != 'pay',
                    timeout_s=TIMEOUT_S,
                )
                for name in SERVICE_S_BY_ROUTE
            )
        )
        for route in SERVICE_S_BY_ROUTE:
            node.origins.add_client_route(route)
        for address in ADDRESSES:
            node.merge(self.simulation.record(address))
        node.target_side.limit.value = SLOTS
        node.target_side.set_drain_s(DRAIN_S)
        rng = random.Random(self.source.random())
        return _entry.EntrySide(
            node,
            _names.HeaderNames(),
            'front-desk',
            _balance.RandomTarget('fd-a', rng),
            _routes.ServicePicker(rng),
            _node.RetryBudgetSettings(),
            _counters.Counters(),
            rng,
        )

    def step(self):
        (event,) = self.source.choices(
            [
                self.read,
                self.pay,
                self.leave,
                self.replace_target,
                self.break_connections,
                self.wait,
                self.release,
                self.restart_node,
            ],
            [8, 8, 6, 2, 2, 8, 4, 1],
        )
        event()

    def read(self):
        count = self.source.choice([1, 4, MAX_PIPELINED])
        routes = self.source.choices(['read', 'report'], [4, 1], k=count)
        self._send(self._connect(self.source.choice(self.entries)), routes)

    def pay(self, max_count=15):
        count = self.source.randint(1, max_count)
        client = self._connect(self.source.choice(self.entries))
        self._send(client, ['pay'] * count)
        self.paid_ids += client.request_ids

    def release(self):
        """Replace a target while a client of its node occupies it.

        The client leaves during the drain period, and others pay meanwhile.
        """
        entry = self.source.choice(self.entries)
        client = self._connect(entry)
        self._send(client, ['report'] * SLOTS)
        for _ in range(self.source.randint(1, 6)):
            self._send(client, ['read'])
            self.pay(3)
            self.reactor.run(self.source.choice([0.0, 0.01]))
        self.reactor.run(self.source.uniform(0.0, 0.5))
        self.replace_target(entry.node.address)
        self.reactor.run(self.source.uniform(0.0, DRAIN_S / 2))
        self.leave(client)

    def _connect(self, entry):
        client = _Client(entry)
        self.clients.append(client)
        return client

    def _send(self, client, routes):
        for route in routes:
            self.count += 1
            request_id = b'r%d' % self.count
            client.send(request_id, b'/%b/1' % route.encode())

    def leave(self, client=None):
        if not self.clients:
            return
        client = client or self.source.choice(self.clients)
        client.has_left = True
        self.reactor.timers.after(
            self.source.uniform(*NOTICED_AFTER_S), lambda _now: client.close()
        )

    def replace_target(self, address=None):
        """Have a target leave, and another one start in its place."""
        address = address or self.source.choice(ADDRESSES)
        if address in self.leaving:
            return
        self.leaving.add(address)
        node = self.simulation.targets_by_address[address]
        record = node.target_side.record
        node.announce(
            self.simulation.record(
                address,
                state='draining',
                instance=record.instance,
                born_ms=record.born_ms,
                sequence=record.sequence + 1,
            )
        )
        self.reactor.timers.after(AWAY_S, lambda _now: self._return(node))

    def _return(self, node):
        self.leaving.discard(node.address)
        self.born_ms += 1
        node.announce(
            self.simulation.record(
                node.address,
                instance=f'i-{self.born_ms}',
                born_ms=self.born_ms,
            )
        )
        node.target_side.limit.value = SLOTS

    def break_connections(self):
        kind = self.source.choice(['reset', 'silent', 'one_way'])
        address = self.source.choice(ADDRESSES)
        self.simulation.break_connections(kind, address)

    def restart_node(self):
        """Replace the process of a node; its clients are cut off."""
        index = self.source.randrange(len(ADDRESSES))
        address = ADDRESSES[index]
        if address in self.leaving:
            return
        old = self.entries[index]
        self.clients = [c for c in self.clients if c.entry is not old]
        self.simulation.restart(address)
        # The timers of the old process stay, and reach no other node.
        old.node.close()
        old.node.peers_by_node.clear()
        old.node.peer = lambda _address: _UnreachedPeer()
        node = self.simulation.targets_by_address[address]
        self.entries[index] = self._make_entry(node)

    def wait(self):
        self.reactor.run(self.source.choice([0.0, 0.05, 0.2, 1.0]))

    def check(self):
        """Check what must hold once all requests have ended."""
        for request_id in self.paid_ids:
            assert self.simulation.count_runs(request_id) <= 1
        for client in self.clients:
            for request_id in client.request_ids:
                status = client.statuses_by_id.get(request_id)
                assert client.has_left or status is not None
                if status == 503:
                    assert self.simulation.count_runs(request_id) == 0
        for entry in self.entries:
            side = entry.node.target_side
            assert entry.in_flight == 0
            assert (side.running_count, side.waiting_count) == (0, 0)
            for peer in entry.node.peers_by_node.values():
                assert peer.outstanding == 0


# Guards against payments that run twice and requests that are called not run
# although they have run, as clients leave while targets give requests back.
@pytest.mark.parametrize('seed', range(PLAYS))
def test_nothing_runs_twice_and_what_is_said_is_true(
    seed, patch_connections, reactor
):
    simulation = patch_connections(
        simulations.Simulation(reactor, seed, ADDRESSES)
    )
    simulation.service_s = _service_s
    play = _Play(seed, simulation, reactor)
    for _ in range(STEPS):
        play.step()
    reactor.run(2 * TIMEOUT_S)
    play.check()
