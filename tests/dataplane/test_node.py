"""State of a node that both sides of a call share."""

import pytest

from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _guard
from rosemarycrank.dataplane import _peers
from tests.dataplane import fakes

NODE = '127.0.0.1:7000'


class _RecordingFront(_front.AdmitAll):
    def __init__(self):
        self.reporters = []

    def receive_load(self, service, reporter, load, now):
        self.reporters.append(reporter)

    def discard_load(self, service, reporter):
        if reporter in self.reporters:
            self.reporters.remove(reporter)


@pytest.fixture
def node(reactor):
    return fakes.make_node(reactor, NODE, _RecordingFront())


# Guards against a node whose target has left and that takes the idle target
# for the state of the whole service, so that it sheds nothing for it.
@pytest.mark.parametrize('address', [NODE, '10.0.0.2:7000'])
def test_only_ready_targets_report_for_their_service(node, reactor, address):
    node.peer(address).keep_connected = lambda: None
    record = fakes.record(address)
    node.announce(record) if address == NODE else node.merge(record)
    node.receive_load(node.target_side.load(), address, reactor.now())
    assert node.front.reporters == [address]
    left = fakes.record(address, state='draining', sequence=2)
    node.announce(left) if address == NODE else node.merge(left)
    node.receive_load(node.target_side.load(), address, reactor.now())
    reactor.run(0.5)
    assert node.front.reporters == []


# Guards against load shedding that counts the targets of stopping or
# unreachable nodes as capacity, so that the remaining targets are overloaded.
@pytest.mark.parametrize('cause', ['leaving', 'unreachable'])
def test_targets_of_unusable_nodes_are_not_counted_as_capacity(
    node, reactor, cause
):
    for address in ('n2', 'n3', 'n4'):
        node.merge(fakes.record(address))
    node.receive_load(node.target_side.load(), 'n3', reactor.now())
    assert node.usable_targets.count('archive') == 3
    if cause == 'leaving':
        node.mark_leaving('n3')
    else:
        node.peer('n3').mark_unreachable('test', process_ended=False)
    assert node.usable_targets.count('archive') == 2
    assert node.front.reporters == []
    node.receive_load(node.target_side.load(), 'n3', reactor.now())
    assert node.front.reporters == []


def test_targets_count_again_once_their_node_takes_attempts(node, reactor):
    left = '10.0.0.3:7000'
    for address in ('10.0.0.2:7000', left):
        node.merge(fakes.record(address))
        node.peer(address).keep_connected = lambda: None
    node.mark_leaving(left)
    reactor.run(0.5)
    assert node.usable_targets.count('archive') == 1
    node.peer(left).leaving = False
    assert node.usable_targets.count('archive') == 2
    reactor.run(0.4)
    assert node.usable_targets.count('archive') == 2


# Guards against load shedding that counts the idle slots of a target that has
# announced its leaving as capacity until its last report expires.
@pytest.mark.parametrize('address', [NODE, 'n2'])
def test_load_of_a_leaving_target_is_discarded_at_once(node, reactor, address):
    record = fakes.record(address)
    node.announce(record) if address == NODE else node.merge(record)
    node.receive_load(node.target_side.load(), address, reactor.now())
    left = fakes.record(address, state='draining', sequence=2)
    node.announce(left) if address == NODE else node.merge(left)
    assert node.front.reporters == []


# Guards against connections that nobody checks any more, as the check of
# another one fails each time.
def test_error_at_one_peer_does_not_skip_the_others(node, monkeypatch):
    checked = []

    def maintain(peer, _now):
        checked.append(peer.address)
        if peer.address == 'n3':
            raise ValueError('test')

    monkeypatch.setattr(_peers.Peer, 'maintain', maintain)
    for address in ('n2', 'n3', 'n4'):
        node.peer(address)
    node.reactor.guard = _guard.Guard(node.reactor.now)
    node._check_peers(1.0)
    assert checked == ['n2', 'n3', 'n4']
    assert node.reactor.guard.failures_by_name.total() == 1
