"""After a pause, a process must not act on its outdated view.

Other nodes may have left, failed or restarted during the pause.
"""

import pytest

from rosemarycrank import kernel
from rosemarycrank import membership
from rosemarycrank.membership import _messages


@pytest.fixture
def eight_nodes(network, start_domain):
    return start_domain(network, 8)


@pytest.fixture
def paused_network(eight_nodes):
    """Node a3 is paused until it is declared failed; then a5 leaves."""
    eight_nodes.pause('a3:1')
    eight_nodes.run(15)
    eight_nodes.by_address['a5:1'].directory.leave()
    eight_nodes.run(2)
    eight_nodes.kill('a5:1')
    return eight_nodes


def test_paused_node_is_declared_failed_and_comes_back(paused_network):
    assert (
        paused_network.by_address['a0:1'].directory.status('a3:1') == 'failed'
    )
    paused_network.resume('a3:1')
    paused_network.run(3)
    for member in paused_network.by_address.values():
        assert 'a3:1' in member.target_addresses('gallery')


def test_view_is_stale_after_a_pause_until_a_peer_replies(paused_network):
    directory = paused_network.by_address['a3:1'].directory
    paused_network.resume('a3:1')
    assert directory.stale(paused_network.now)
    while directory.stale(paused_network.now):
        paused_network.run(0.001)
    assert 'a5:1' not in [t.address for t in directory.targets('gallery')]


def test_first_event_after_a_pause_finds_the_view_stale(eight_nodes):
    member = eight_nodes.by_address['a3:1']
    assert not member.directory.stale(eight_nodes.now)
    assert member.directory.stale(eight_nodes.now + 5)


def test_buffered_replies_do_not_end_staleness(paused_network):
    paused_network.is_cut = lambda sender, receiver: True
    paused_network.resume('a3:1')
    member = paused_network.by_address['a3:1']
    for message in (
        _messages.Ack(1, 'a0:1'),
        _messages.DigestReply(1, 'a'),
        _messages.Gossip([]),
    ):
        member.kernel.handle(
            kernel.Received('a0:1', message), paused_network.now
        )
    assert member.directory.stale(paused_network.now)


def test_node_cut_off_after_a_pause_uses_only_its_own_target(paused_network):
    paused_network.is_cut = lambda sender, receiver: (
        'a3:1' in (sender, receiver)
    )
    paused_network.resume('a3:1')
    paused_network.run(4)
    member = paused_network.by_address['a3:1']
    assert not member.directory.stale(paused_network.now)
    assert member.target_addresses('gallery') == ['a3:1']
    paused_network.is_cut = lambda sender, receiver: False
    paused_network.run(15)
    assert len(member.target_addresses('gallery')) == 7


def test_short_pause_under_loss_causes_no_failure(eight_nodes):
    eight_nodes.loss = 0.05
    for _ in range(10):
        eight_nodes.pause('a3:1')
        eight_nodes.run(2.5)
        eight_nodes.resume('a3:1')
        eight_nodes.run(5)
    assert not any(
        isinstance(notice, membership.MemberFailed)
        for member in eight_nodes.by_address.values()
        for _, notice in member.notices
    )


def test_node_whose_only_peer_failed_uses_other_domains_again(
    network, start_site
):
    start_site(network, 2)
    network.kill('c0:1')
    network.pause('c1:1')
    network.run(1.5)
    network.resume('c1:1')
    network.run(20)
    member = network.by_address['c1:1']
    assert len(member.target_addresses('gallery')) == 5


def test_a_node_paused_before_its_first_tick_is_stale(eight_nodes):
    eight_nodes.start('a8:1', 'a', ('a0:1',))
    eight_nodes.pause('a8:1')
    eight_nodes.run(20)
    eight_nodes.resume('a8:1')
    assert eight_nodes.by_address['a8:1'].directory.stale(eight_nodes.now)
