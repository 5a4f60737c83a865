"""A store that comes back from a copy that is some seconds old.

What was written since is lost, versions are given out again, and only the era
in the answers tells.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _routes
from rosemarycrank.dataplane import _store_era
from rosemarycrank.dataplane import _target_table
from tests.dataplane import fakes
from tests.dataplane import returning_store
from tests.dataplane import simulation as simulations

OK = _discovery.ReplyKind.OK
TABLE = 'targets'
CONFIGURATION = 'configuration'
KEY = 'config'

BOOLEANS = strategies.booleans()

#: Time within which all rows are back after a return, in seconds.
RECOVERED_S = 2.2

#: Time after which all nodes have read what the store has, in seconds.
SETTLED_S = 8.0


def _address(number):
    return f'10.0.{number // 250}.{1 + number % 250}:7000'


class _Node:
    """A node that learns of others from the store alone."""

    def __init__(self, store, address, name=None):
        self.address = address
        self.name = name or address
        self.reactor = store.reactor
        rng = random.Random(address)
        # Its connections to other nodes stay without an answer.
        simulation = simulations.Simulation(self.reactor, 1, [address])
        self.node = simulation.targets_by_address[address]
        self.versions = []
        self.node.on_configuration.append(
            lambda new: self.versions.append(new.version)
        )
        self.node.decode_configuration = _decode_configuration
        self.store = _store_era.EraStore(store.client(self.name))
        self.table = _target_table.TargetTable(
            self.reactor, self.store, TABLE, self.node, rng
        )
        self.configuration_follower = _discovery.TableFollower(
            self.reactor,
            self.store,
            CONFIGURATION,
            lambda row: self.node.install(row.value, 'store', is_stored=True),
            rng,
            0.5,
        )
        self.store.on_rise(self.table.recover)
        self.store.on_rise(self.configuration_follower.read_again)
        self.sequence = 0
        self.newest = None

    def start(self):
        self.table.start()
        self.configuration_follower.start()
        self.announce(_directory.READY)

    def announce(self, state, born_ms=1000):
        self.sequence += 1
        self.newest = fakes.record(
            self.address, state=state, born_ms=born_ms, sequence=self.sequence
        )
        self.table.publish(self.newest)

    def state_of(self, address):
        record = self.node.directory.records_by_node.get(address)
        return record.state if record else None


def _decode_configuration(body):
    version = int(body.partition(b' ')[0])
    return _routes.Configuration(version, (), _http1.Limits(), body)


def _patch_connections(patch, reactor):
    simulation = simulations.Simulation(reactor, 1, [])
    simulation.ignores_connections = True
    patch.setattr(_reactor, 'connect', simulation.connect)
    patch.setattr(_reactor, 'Stream', simulations.set_owner)


@pytest.fixture
def store(reactor, monkeypatch):
    _patch_connections(monkeypatch, reactor)
    return returning_store.ReturningStore(reactor, random.Random(1))


@pytest.fixture
def start(store):
    def start_nodes(count):
        nodes = [_Node(store, _address(number)) for number in range(count)]
        for node in nodes:
            node.start()
        store.reactor.run(SETTLED_S)
        return nodes

    return start_nodes


def _return(store, away_s=1.0):
    store.go_away()
    store.reactor.run(away_s)
    store.come_back()


def _time_until(reactor, is_reached, limit_s=60.0):
    begun_at = reactor.now()
    while not is_reached():
        assert reactor.now() - begun_at < limit_s
        reactor.run(0.05)
    return reactor.now() - begun_at


def _is_stored(store, node):
    return store.value(TABLE, node.address) == _node.encode_record(node.newest)


# Guards against rows that stay lost after a return of the store.
@pytest.mark.parametrize('count', [3, 85])
@pytest.mark.parametrize('away_s', [0.0, 1.0, 6.0])
def test_all_rows_are_back_soon_after_a_return(
    store, start, reactor, count, away_s
):
    store.take_copy()
    nodes = start(count)
    store.writes.clear()
    _return(store, away_s)
    seconds = _time_until(
        reactor, lambda: all(_is_stored(store, node) for node in nodes)
    )
    assert seconds <= RECOVERED_S
    reactor.run(SETTLED_S)
    assert len(store.writes) <= 1.1 * count
    assert [node.store.rises for node in nodes] == [1] * count


# Guards against a store that is overrun by the writes of a large fleet.
def test_writes_of_a_large_fleet_are_spread(store, start, reactor):
    (node,) = start(1)
    for number in range(1, 1000):
        node.node.merge(fakes.record(_address(number)))
    delays_s = []
    for _ in range(200):
        _return(store, 0.0)
        reactor.run(SETTLED_S)
        back_at = next(at for at, _ in store.writes[::-1])
        delays_s.append(reactor.now() - back_at)
        store.take_copy()
        node.announce(_directory.READY)
        reactor.run(1.0)
    assert max(delays_s) - min(delays_s) > 0.8 * 1000 / 200.0


# Guards against changes that are missed as their version was given out before.
def test_changes_under_versions_that_were_given_out_before_are_read(
    store, start, reactor
):
    first, second = start(2)
    store.take_copy()
    store.put(TABLE, 'other', b'lost')
    reactor.run(1.0)
    _return(store, 0.0)
    record = fakes.record(_address(7))
    store.put(TABLE, record.node, _node.encode_record(record))
    reactor.run(SETTLED_S)
    assert first.state_of(record.node) == _directory.READY
    assert second.state_of(record.node) == _directory.READY


# Guards against an answer that was on its way when the store came back.
def test_answer_of_an_earlier_era_is_dropped(store, start, reactor):
    answers = []
    fake = fakes.FakeStore()
    client = _store_era.EraStore(fake)
    client.read('t', answers.append)
    client.read('u', answers.append)
    late, timely = fake.calls
    timely[2](_discovery.StoreReply(OK, (), 9, era=1))
    client.read('u', answers.append)
    fake.calls[-1][2](_discovery.StoreReply(OK, (), 5, era=2))
    late[2](_discovery.StoreReply(OK, (), 10, era=1))
    assert [(reply.kind, reply.version) for reply in answers] == [
        (OK, 9),
        (OK, 5),
        (_discovery.ReplyKind.FAILED, 0),
    ]
    assert client.rises == 1


# Guards against a cursor that the store accepts again, as it has given out the
# version for another state.
def test_table_is_read_again_after_a_return_between_two_calls(
    store, start, reactor
):
    (node,) = start(1)
    store.put(TABLE, 'other', b'x')
    _time_until(reactor, lambda: not store.polls(TABLE))
    store.take_copy()
    for number in range(5):
        store.put(TABLE, 'other', b'%d' % number)
        reactor.run(0.15)
    _return(store, 0.0)
    node.store.read(CONFIGURATION, lambda _reply: None)
    record = fakes.record(_address(7))
    store.put(TABLE, record.node, _node.encode_record(record))
    for number in range(9):
        store.put(TABLE, 'other', b'%d' % number)
    reactor.run(SETTLED_S)
    assert node.state_of(record.node) == _directory.READY


# Guards against a target that gets requests again as the store has forgotten
# that it was leaving.
def test_target_that_has_left_stays_left(store, start, reactor):
    leaving, witness, cut = start(3)
    store.take_copy()
    leaving.announce(_directory.DRAINING)
    reactor.run(2.0)
    assert witness.state_of(leaving.address) == _directory.DRAINING
    _return(store, 0.5)
    store.cut_clients.add(leaving.address)
    reactor.run(SETTLED_S)
    started = _Node(store, _address(9))
    started.start()
    reactor.run(SETTLED_S)
    assert witness.state_of(leaving.address) == _directory.DRAINING
    assert cut.state_of(leaving.address) == _directory.DRAINING
    store.cut_clients.clear()
    reactor.run(SETTLED_S)
    assert started.state_of(leaving.address) == _directory.DRAINING


# Guards against a configuration that is older than the one in force, and
# against two nodes that differ for good.
def test_configuration_does_not_go_back(store, start, reactor):
    (node,) = start(1)
    store.put(CONFIGURATION, KEY, b'1 a')
    store.take_copy()
    store.put(CONFIGURATION, KEY, b'2 a')
    reactor.run(1.0)
    _return(store)
    reactor.run(SETTLED_S)
    assert node.versions == [1, 2]
    started = _Node(store, _address(9))
    started.start()
    reactor.run(SETTLED_S)
    assert started.versions == [1]
    store.put(CONFIGURATION, KEY, b'2 b')
    reactor.run(1.0)
    assert node.versions == [1, 2, 2]
    assert started.versions == [1, 2]
    assert node.node.configuration.body == b'2 b'


# Guards against two nodes that exchange configurations of one version for
# ever.
def test_node_keeps_its_configuration_when_others_have_another_one(start):
    (node,) = start(1)
    node.node.install(b'2 a', 'store', is_stored=True)
    node.node.install(b'2 b', 'n2')
    assert node.node.configuration.body == b'2 a'


# Guards against a row of this node that someone else has changed.
def test_row_that_another_writer_has_changed_is_written_again(
    store, start, reactor
):
    (node,) = start(1)
    store.put(TABLE, node.address, b'other')
    reactor.run(SETTLED_S)
    assert _is_stored(store, node)


def test_store_that_names_no_era_is_followed(reactor):
    store = returning_store.ReturningStore(
        reactor, random.Random(1), names_era=False
    )
    node = _Node(store, _address(0))
    node.start()
    reactor.run(SETTLED_S)
    store.put(CONFIGURATION, KEY, b'1 a')
    reactor.run(1.0)
    assert node.versions == [1]
    assert node.store.era is None


# Guards against a store that is not followed any more since its era fell.
def test_era_that_falls_is_logged_and_its_answers_are_used(
    store, start, reactor, caplog
):
    store.era = 7
    (node,) = start(1)
    store.era = 3
    store.put(CONFIGURATION, KEY, b'1 a')
    reactor.run(SETTLED_S)
    assert node.versions == [1]
    assert node.store.rises == 0
    assert 'store_era_fell' in {record.event for record in caplog.records}


def test_return_is_logged_once_with_both_eras(store, start, reactor, caplog):
    start(1)
    caplog.clear()
    _return(store)
    reactor.run(SETTLED_S)
    (record,) = [
        record
        for record in caplog.records
        if getattr(record, 'event', '') == 'store_era'
    ]
    assert (record.previous, record.era, record.rows) == (0, 1, 1)


class Returns(stateful.RuleBasedStateMachine):
    """Writes, copies, returns, restarts of nodes and cuts, in any order."""

    def __init__(self):
        super().__init__()
        reactor = fakes.VirtualReactor()
        self.patch = pytest.MonkeyPatch()
        _patch_connections(self.patch, reactor)
        self.store = returning_store.ReturningStore(reactor, random.Random(1))
        self.nodes_by_address = {}
        self.configuration_version = 0
        self.seen_leaving = set()
        for number in range(3):
            self._start(_address(number), sequence=0)

    def _start(self, address, sequence):
        node = _Node(self.store, address, f'{address}/{sequence}')
        node.sequence = sequence
        node.start()
        self.nodes_by_address[address] = node

    @stateful.rule(number=strategies.integers(0, 2))
    def restart(self, number):
        address = _address(number)
        ended = self.nodes_by_address[address]
        if ended.newest.state == _directory.READY:
            self.store.cut_clients.add(ended.name)
            self.seen_leaving = {
                (node, left)
                for node, left in self.seen_leaving
                if node != address
            }
            self._start(address, ended.sequence)

    @stateful.rule(seconds=strategies.floats(0.01, 5.0))
    def wait(self, seconds):
        self.store.reactor.run(seconds)
        self._note_leaving()

    @stateful.rule()
    def write_configuration(self):
        if not self.store.is_away:
            self.configuration_version += 1
            body = f'{self.configuration_version} a'.encode()
            self.store.put(CONFIGURATION, KEY, body)

    @stateful.rule(number=strategies.integers(0, 2), leaves=BOOLEANS)
    def announce(self, number, leaves):
        node = self.nodes_by_address[_address(number)]
        if node.newest.state == _directory.READY:
            node.announce(_directory.DRAINING if leaves else _directory.READY)

    @stateful.rule(number=strategies.integers(0, 2), is_cut=BOOLEANS)
    def cut(self, number, is_cut):
        name = self.nodes_by_address[_address(number)].name
        change = self.store.cut_clients
        (change.add if is_cut else change.discard)(name)

    @stateful.rule()
    def copy(self):
        if not self.store.is_away:
            self.store.take_copy()

    @stateful.rule(away_s=strategies.floats(0.0, 4.0))
    def come_back(self, away_s):
        _return(self.store, away_s)
        self._note_leaving()

    def _note_leaving(self):
        for node in self.nodes_by_address.values():
            for address, known in self.nodes_by_address.items():
                if node.state_of(address) == _directory.DRAINING:
                    self.seen_leaving.add((node.address, known.address))

    @stateful.invariant()
    def targets_that_have_left_stay_left(self):
        for address, left in self.seen_leaving:
            node = self.nodes_by_address[address]
            assert node.state_of(left) == _directory.DRAINING

    @stateful.invariant()
    def configuration_never_goes_back(self):
        for node in self.nodes_by_address.values():
            assert node.versions == sorted(node.versions)

    def teardown(self):
        for node in self.nodes_by_address.values():
            self.store.cut_clients.discard(node.name)
        self.write_configuration()
        self.store.reactor.run(2.0 * SETTLED_S)
        for node in self.nodes_by_address.values():
            assert _is_stored(self.store, node)
            assert node.node.configuration_version() == (
                self.configuration_version
            )
            for other in self.nodes_by_address.values():
                if other is not node:
                    state = node.state_of(other.address)
                    assert state == other.newest.state
        self.patch.undo()


Returns.TestCase.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
TestReturns = Returns.TestCase
