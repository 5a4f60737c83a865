"""What nodes of a large fleet say to each other, counted in virtual time."""

import pytest

from rosemarycrank.dataplane import _demand_reports
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from tests.dataplane import fakes
from tests.dataplane import fleet as fleets

HELLO, PONG, ANNOUNCEMENT, DEMAND = (
    cls.__struct_config__.tag
    for cls in (
        _frames.Hello,
        _frames.Pong,
        _frames.Announcement,
        _frames.Demand,
    )
)

#: Bytes of the handshakes of a connection, both ways.
MAX_HANDSHAKE_BYTES = 500

#: Time in which all nodes know a changed record, in seconds.
SPREAD_S = 5.0

#: Growth of the frames of control of a node from 50 to 120 nodes.
MAX_CONTROL_GROWTH = 1.2

#: Reports of demand that a node sends in a second: to three nodes of each of
#: the four services.
MAX_REPORTS_PER_S = 12.0


@pytest.fixture
def make_fleet(patch_connections, reactor):
    def make(size, service_count=4):
        return patch_connections(fleets.Fleet(reactor, size, service_count))

    return make


# Guards against a start of all nodes at which each of them sends all records
# over each connection.
@pytest.mark.parametrize('size', [12, 48])
def test_size_of_a_handshake_does_not_depend_on_the_fleet(make_fleet, size):
    fleet = make_fleet(size)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    connections = size * (size - 1)
    assert fleet.bytes_by_tag[HELLO] / connections <= MAX_HANDSHAKE_BYTES


def test_all_nodes_learn_all_records_without_the_store(make_fleet):
    fleet = make_fleet(24)
    for node, address in zip(
        fleet.nodes, fleet.addresses[1:] + fleet.addresses[:1], strict=True
    ):
        fleet.send(node, address)
    fleet.reactor.run(3 * SPREAD_S, 0.05)
    assert fleet.have_same_records()
    assert len(fleet.nodes[0].directory.records()) == 24


# Guards against a target that has left and is in use again at a node whose
# announcement was lost.
@pytest.mark.parametrize('fault_kind', ['silent', 'one_way', 'reset'])
def test_leaving_is_known_where_the_announcement_was_lost(
    make_fleet, fault_kind
):
    fleet = make_fleet(12)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    address = fleet.addresses[3]
    fleet.break_connections(fault_kind, address)
    fleet.targets_by_address[address].announce(
        fleet.record(address, state='gone', sequence=2)
    )
    fleet.reactor.run(SPREAD_S, 0.05)
    assert fleet.have_same_records()
    for node in fleet.nodes:
        record = node.directory.records_by_node[address]
        assert record.state == _directory.GONE


def test_restarted_node_learns_all_records_from_its_callers(make_fleet):
    fleet = make_fleet(12)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    gone = fleet.addresses[5]
    fleet.targets_by_address[gone].announce(
        fleet.record(gone, state='gone', sequence=2)
    )
    fleet.reactor.run(1.0, 0.05)
    fleet.clear_counts()
    restarted = fleet.addresses[7]
    fleet.restart(restarted)
    for address in fleet.addresses:
        if address != restarted:
            fleet.send(fleet.targets_by_address[address], restarted)
    fleet.reactor.run(SPREAD_S, 0.05)
    node = fleet.targets_by_address[restarted]
    assert len(node.directory.records()) == 12
    assert node.directory.records_by_node[gone].state == _directory.GONE
    # Few of its callers send it the records.
    assert fleet.frames_by_tag[ANNOUNCEMENT] < 40


# Guards against a target that gets no work until the store tells of it.
def test_record_of_a_node_without_calls_spreads_soon(make_fleet):
    fleet = make_fleet(48)
    fleet.read_store()
    fleet.reactor.run(3.0, 0.05)
    address = fleet.addresses[7]
    node = fleet.targets_by_address[address]
    node.announce(fleet.record(address, born_ms=2000))
    fleet.reactor.run(SPREAD_S, 0.05)
    assert fleet.have_same_records()


# Guards against a node that restarts while the store is away, and is ready
# before it knows the targets to which it has to send.
def test_restarted_node_learns_all_records_before_a_configuration(
    make_fleet, monkeypatch
):
    fleet = make_fleet(12)
    fleet.read_store()
    restarted, caller = fleet.addresses[7], fleet.nodes[3]
    configuration = fakes.configuration(fakes.route())
    caller.configuration = configuration
    fleet.restart(restarted)
    node = fleet.targets_by_address[restarted]
    node.configuration = None
    counts = []
    monkeypatch.setattr(
        node,
        'install',
        lambda _body, _source: counts.append(len(node.directory.records())),
    )
    fleet.send(caller, restarted)
    fleet.reactor.run(0.2, 0.01)
    assert counts and counts[0] == 12


def test_comparisons_that_change_nothing_become_rare(make_fleet):
    fleet = make_fleet(2)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    first, second = fleet.nodes
    # Neither of the two is newer, and their node answers nobody.
    fleet.cut_addresses.add('10.9.9.9:7000')
    for node, slots in ((first, 1), (second, 2)):
        node.merge(fakes.record('10.9.9.9:7000', slots=slots, state='gone'))
    fleet.clear_counts()
    fleet.reactor.run(60.0, 0.1)
    tag = _frames.DirectoryDigests.__struct_config__.tag
    assert 2 <= fleet.frames_by_tag[tag] <= 30


# Guards against a node that cannot connect to its contacts, as a peer has sent
# it records whose addresses are none.
def test_malformed_records_of_a_peer_are_ignored(make_fleet):
    fleet = make_fleet(6)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    malformed = [fakes.record(f'nowhere{number}') for number in range(6)]
    fleet.nodes[0].broadcast(_frames.Announcement(malformed))
    fleet.reactor.run(SPREAD_S, 0.05)
    assert len(fleet.nodes[1].directory.records()) == 6


# Guards against a target whose row was removed from the store, and that comes
# back from a node that reads the store later.
def test_removed_record_does_not_come_back_from_a_peer(make_fleet):
    fleet = make_fleet(6)
    fleet.read_store()
    fleet.connect_all()
    fleet.reactor.run(1.0, 0.05)
    removed = fleet.addresses[5]
    fleet.cut_off('silent', removed)
    fleet.targets_by_address[removed].peers_by_node.clear()
    for node in fleet.nodes[:5]:
        node.directory.remove(removed)
        fleet.reactor.run(1.5, 0.05)
    fleet.reactor.run(2 * SPREAD_S, 0.05)
    for node in fleet.nodes[:5]:
        assert removed not in node.directory.records_by_node


# Guards against reports of demand that grow with the nodes and the targets.
@pytest.mark.parametrize('size', [12, 48, 96])
def test_reports_of_demand_do_not_grow_with_the_fleet(make_fleet, size):
    fleet = make_fleet(size)
    fleet.read_store()
    for node in fleet.nodes:
        node.front.demand = _frames.Demand(10.0, 10.0)
    fleet.reactor.run(3.0, 0.05)
    fleet.clear_counts()
    fleet.reactor.run(5.0, 0.05)
    reports_per_s = fleet.frames_by_tag[DEMAND] / size / 5.0
    assert 0.5 * MAX_REPORTS_PER_S <= reports_per_s <= MAX_REPORTS_PER_S


# Guards against entry nodes that see less than the demand of all of them, in
# either part of a fleet that is cut in two.
def test_entry_nodes_learn_the_demand_of_all(make_fleet):
    fleet = make_fleet(24)
    fleet.read_store()
    for node in fleet.nodes:
        node.front.demand = _frames.Demand(10.0, 8.0)
    fleet.reactor.run(4.0, 0.05)
    for node in fleet.nodes:
        for service in fleet.services:
            assert fleet.known_demand(node, service) == (240.0, 192.0)


def test_sum_of_demand_outlasts_the_loss_of_two_collectors(make_fleet):
    fleet = make_fleet(24)
    fleet.read_store()
    for node in fleet.nodes:
        node.front.demand = _frames.Demand(10.0, 8.0)
    fleet.reactor.run(2.0, 0.05)
    service = fleet.services[0]
    records = fleet.nodes[0].directory.ready_targets(service)
    collectors = _demand_reports.collectors(service, records)
    assert len({record.failure_domain for record in collectors}) == 3
    for record in collectors[:2]:
        fleet.cut_off('silent', record.node)
    fleet.reactor.run(4.0, 0.05)
    lost = {record.node for record in collectors[:2]}
    for node in fleet.nodes:
        if node.address not in lost:
            offered_per_s, _ = fleet.known_demand(node, service)
            assert offered_per_s >= 220.0


# Guards against frames of control that grow with the fleet, beside those of a
# node's own calls.
def test_frames_of_control_are_bounded(make_fleet):
    frames_per_s = {}
    for size in (50, 120):
        fleet = make_fleet(size)
        fleet.read_store()
        fleet.call_subsets()
        for node in fleet.nodes:
            node.front.demand = _frames.Demand(10.0, 10.0)
        fleet.reactor.run(3.0, 0.05)
        fleet.clear_counts()
        fleet.reactor.run(2.0, 0.05)
        frames_per_s[size] = fleet.frames_by_tag.total() / size / 2.0
    assert frames_per_s[120] <= MAX_CONTROL_GROWTH * frames_per_s[50]


def test_node_of_an_earlier_build_gets_all_records(make_fleet):
    fleet = make_fleet(3)
    first, second, third = fleet.nodes
    first.merge(fleet.record(third.address))
    hello = second.hello(1, 'n9', features=0)
    assert hello.records == second.directory.records()
    peer = first.peer(second.address)
    sent = []
    peer.notify = sent.append
    earlier = _frames.Hello(2, second.address, 5, 0, -1, [], [])
    first.receive_hello(earlier, peer)
    assert sent == [_frames.Announcement(first.directory.records())]


# Guards against connections that are closed as silent and opened again, with
# handshakes, while only the node that was called has something to tell.
def test_connection_on_which_only_one_side_tells_something_stays_open(
    make_fleet,
):
    fleet = make_fleet(2)
    fleet.send(fleet.nodes[0], fleet.addresses[1])
    fleet.reactor.run(1.0, 0.05)
    fleet.clear_counts()
    for _ in range(100):
        for connection in fleet.nodes[1].inbound_connections:
            connection.notify(_frames.Crashes([]))
        fleet.reactor.run(0.2, 0.05)
    assert fleet.frames_by_tag[HELLO] == 0


# Guards against a node that stays unknown while the store is away: it was
# killed before any other one had connected to it, and no call needs it.
@pytest.mark.parametrize('down_s', [5.0, 45.0])
@pytest.mark.parametrize('state', ['ready', 'draining', 'gone'])
def test_node_that_nobody_had_met_becomes_known_without_the_store(
    make_fleet, state, down_s
):
    fleet = make_fleet(36)
    addresses = fleet.addresses[::3]
    for node in fleet.nodes:
        for address in fleet.addresses:
            if node.address in addresses:
                continue
            changes = {'state': state} if address in addresses else {}
            node.merge(fleet.record(address, **changes))
    fleet.cut_addresses.update(addresses)
    fleet.reactor.run(down_s, 0.05)
    fleet.cut_addresses.clear()
    for address in addresses:
        node = fleet.targets_by_address[address]
        node.announce(fleet.record(address, born_ms=2000))
    fleet.reactor.run(2 * SPREAD_S, 0.05)
    assert fleet.have_same_records()
    assert len(fleet.nodes[0].directory.records()) == 36
    for address in addresses:
        assert fleet.nodes[1].directory.is_ready(address)
