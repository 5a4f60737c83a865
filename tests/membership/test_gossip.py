"""Membership within one failure domain, in virtual time."""

import pytest

from rosemarycrank import kernel
from rosemarycrank import membership
from rosemarycrank.membership import _messages
from tests.membership import network as networks

MAX_DETECTION_S = 12


def members_listing(network, address):
    return [
        member.address
        for member in network.by_address.values()
        if address in member.target_addresses('gallery')
    ]


def addresses_in_notices(network, notice_type):
    return {
        notice.address
        for member in network.by_address.values()
        for _, notice in member.notices
        if isinstance(notice, notice_type)
    }


@pytest.fixture
def eight_nodes(network, start_domain):
    return start_domain(network, 8)


def test_parameters_are_stored_unchanged():
    directory = kernel.create(
        'membership', 'gossip', failure_domain='a', seeds=['x:1']
    )
    assert directory.seeds == ['x:1']
    assert directory.failure_domain == 'a'
    assert directory.probe_period_s == 1.0


def test_nodes_that_join_know_all_targets(eight_nodes):
    all_addresses = sorted(eight_nodes.by_address)
    for member in eight_nodes.by_address.values():
        assert sorted(member.directory.members()) == all_addresses
        assert member.target_addresses('gallery') == all_addresses


def test_withdrawn_target_is_dropped(eight_nodes):
    eight_nodes.by_address['a3:1'].directory.set_local_target(None)
    eight_nodes.run(3)
    assert members_listing(eight_nodes, 'a3:1') == []
    assert 'a3:1' in eight_nodes.by_address['a0:1'].directory.members()


def test_failure_is_detected(eight_nodes):
    eight_nodes.kill('a3:1')
    eight_nodes.run(MAX_DETECTION_S)
    assert members_listing(eight_nodes, 'a3:1') == []
    assert addresses_in_notices(eight_nodes, membership.MemberFailed) == {
        'a3:1'
    }


def test_false_suspicion_is_refuted(eight_nodes):
    eight_nodes.is_cut = lambda sender, receiver: 'a3:1' in (sender, receiver)
    eight_nodes.run_until(
        lambda: (
            eight_nodes.by_address['a0:1'].directory.status('a3:1')
            == 'suspect'
        ),
        timeout_s=5,
    )
    eight_nodes.is_cut = lambda sender, receiver: False
    eight_nodes.run(MAX_DETECTION_S)
    assert addresses_in_notices(eight_nodes, membership.MemberFailed) == set()
    assert len(members_listing(eight_nodes, 'a3:1')) == 8


def test_late_joiner_is_probed_within_seconds(network, start_domain):
    start_domain(network, 40)
    network.start('late:1', 'a')
    network.run(3)
    network.kill('late:1')
    elapsed_s = network.run_until(
        lambda: (
            network.by_address['a0:1'].directory.status('late:1') == 'failed'
        ),
        timeout_s=60,
    )
    assert elapsed_s < MAX_DETECTION_S


def test_restart_replaces_the_previous_incarnation(eight_nodes):
    old = eight_nodes.kill('a3:1').context.incarnation
    new = eight_nodes.start('a3:1', 'a', seeds=('a0:1',))
    new.announce('gallery')
    eight_nodes.run(4)
    for member in eight_nodes.by_address.values():
        found = {
            target.address: target.incarnation
            for target in member.directory.targets('gallery')
        }
        assert found['a3:1'] == new.context.incarnation != old


def test_older_record_does_not_replace_a_newer_one(eight_nodes):
    old = eight_nodes.by_address['a3:1'].directory.record()
    eight_nodes.by_address['a3:1'].directory.set_local_target(None)
    eight_nodes.run(3)
    for member in eight_nodes.by_address.values():
        event = kernel.Received('a1:1', _messages.Gossip([old]))
        member.kernel.handle(event, eight_nodes.now)
    assert members_listing(eight_nodes, 'a3:1') == []


def test_isolated_node_does_not_declare_its_peers_failed(
    network, start_domain
):
    start_domain(network, 20)
    network.is_cut = lambda sender, receiver: 'a3:1' in (sender, receiver)
    network.run(30)
    isolated = network.by_address['a3:1']
    assert isolated.directory.members() == ('a3:1',)
    assert isolated.target_addresses('gallery') == ['a3:1']
    network.is_cut = lambda sender, receiver: False
    network.run(15)
    # At most the few nodes that it probed before it detected that it was
    # isolated.
    failed = addresses_in_notices(network, membership.MemberFailed) - {'a3:1'}
    assert len(failed) <= 3
    assert len(isolated.directory.members()) == 20


@pytest.mark.parametrize('seed', range(5))
def test_leave_is_known_within_3_s_despite_loss(seed, start_site):
    network = networks.Network(seed=seed, loss=0.05)
    start_site(network, 8)
    leaving = network.by_address['b3:1']
    leaving.directory.leave()
    network.run(3)
    assert members_listing(network, 'b3:1') == []
    assert leaving.directory.is_idle()
    assert 'b3:1' in addresses_in_notices(network, membership.MemberLeft)


def test_callers_are_notified_directly(eight_nodes, monkeypatch):
    receivers = []
    eight_nodes.by_address['a3:1'].directory.on_attempt('z:1', None)
    eight_nodes.on_send = lambda member, effect: receivers.append(
        effect.address
    )
    eight_nodes.by_address['a3:1'].directory.leave()
    eight_nodes.run(0.5)
    assert 'z:1' in receivers


def test_one_broken_link_raises_no_suspicion(eight_nodes):
    eight_nodes.is_cut = lambda sender, receiver: (
        {sender, receiver}
        == {
            'a0:1',
            'a3:1',
        }
    )
    eight_nodes.run(60)
    assert not any(
        member.context.counters.get('membership_suspicions')
        for member in eight_nodes.by_address.values()
    )


def test_missed_update_is_found_by_digest_comparison(network, start_domain):
    start_domain(network, 16)
    network.is_cut = lambda sender, receiver: 'a3:1' in (sender, receiver)
    network.by_address['a5:1'].directory.leave()
    # Long enough for the gossip to end, too short for a failure to be
    # declared.
    network.run(1.8)
    network.kill('a5:1')
    network.is_cut = lambda sender, receiver: False
    network.run(15)
    directory = network.by_address['a3:1'].directory
    assert directory.status('a5:1') == 'left'


def test_halves_of_a_domain_find_each_other_without_seeds(network):
    for number in range(8):
        member = network.start(f'a{number}:1', 'a', ('a0:1',))
        member.announce('gallery')
    network.run(8)
    half = {f'a{number}:1' for number in range(4)}
    network.is_cut = lambda sender, receiver: (
        (sender in half) != (receiver in half)
    )
    network.kill('a0:1')
    network.run(20)
    assert len(network.by_address['a5:1'].directory.members()) == 4
    network.is_cut = lambda sender, receiver: False
    network.run(30)
    for member in network.by_address.values():
        assert len(member.target_addresses('gallery')) == 7
