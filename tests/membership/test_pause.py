"""A paused process that wakes must not act on its old view."""

import pytest

from rosemarycrank import kernel
from rosemarycrank import membership
from rosemarycrank.membership import _messages


@pytest.fixture
def eight(network, start_domain):
    return start_domain(network, 8)


@pytest.fixture
def paused(eight):
    """a3 is paused until declared failed; a5 leaves in the meantime."""
    eight.pause('a3:1')
    eight.run(15)
    eight.by_address['a5:1'].directory.leave()
    eight.run(2)
    eight.kill('a5:1')
    return eight


def test_paused_node_is_declared_failed_and_comes_back(paused):
    assert paused.by_address['a0:1'].directory.status('a3:1') == 'failed'
    paused.wake('a3:1')
    paused.run(3)
    for member in paused.by_address.values():
        assert 'a3:1' in member.target_addresses('gallery')


def test_old_view_is_marked_stale_until_a_peer_has_answered(paused):
    directory = paused.by_address['a3:1'].directory
    paused.wake('a3:1')
    assert directory.stale(paused.now)
    while directory.stale(paused.now):
        paused.run(0.001)
    assert 'a5:1' not in [t.address for t in directory.targets('gallery')]


def test_first_event_after_a_pause_finds_the_view_stale(eight):
    member = eight.by_address['a3:1']
    assert not member.directory.stale(eight.now)
    assert member.directory.stale(eight.now + 5)


def test_buffered_answers_do_not_end_staleness(paused):
    paused.cut = lambda sender, receiver: True
    paused.wake('a3:1')
    member = paused.by_address['a3:1']
    for message in (
        _messages.Ack(1, 'a0:1'),
        _messages.DigestReply(1, 'a'),
        _messages.Gossip([]),
    ):
        member.kernel.handle(kernel.Received('a0:1', message), paused.now)
    assert member.directory.stale(paused.now)


def test_node_that_wakes_cut_off_uses_its_own_target_only(paused):
    paused.cut = lambda sender, receiver: 'a3:1' in (sender, receiver)
    paused.wake('a3:1')
    paused.run(4)
    member = paused.by_address['a3:1']
    assert not member.directory.stale(paused.now)
    assert member.target_addresses('gallery') == ['a3:1']
    paused.cut = lambda sender, receiver: False
    paused.run(15)
    assert len(member.target_addresses('gallery')) == 7


def test_short_pause_under_loss_fails_nobody(eight):
    eight.loss = 0.05
    for _ in range(10):
        eight.pause('a3:1')
        eight.run(2.5)
        eight.wake('a3:1')
        eight.run(5)
    assert not any(
        isinstance(notice, membership.MemberFailed)
        for member in eight.by_address.values()
        for _, notice in member.notices
    )


def test_node_whose_only_peer_is_dead_trusts_other_domains_again(
    network, start_site
):
    start_site(network, 2)
    network.kill('c0:1')
    network.pause('c1:1')
    network.run(1.5)
    network.wake('c1:1')
    network.run(20)
    member = network.by_address['c1:1']
    assert len(member.target_addresses('gallery')) == 5


def test_a_node_paused_before_its_first_tick_is_stale(eight):
    eight.start('a8:1', 'a', ('a0:1',))
    eight.pause('a8:1')
    eight.run(20)
    eight.wake('a8:1')
    assert eight.by_address['a8:1'].directory.stale(eight.now)
