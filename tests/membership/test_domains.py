"""Targets of other failure domains, received through bridge nodes."""

import pytest

from rosemarycrank.membership import _bridge_nodes
from tests.membership import network as networks

SEEDS = ('a0:1', 'b0:1', 'c0:1')


def domains_of_targets(member):
    return sorted({a[0] for a in member.target_addresses('gallery')})


def cut_domain(network, name):
    network.is_cut = lambda sender, receiver: (
        (sender[0] == name) != (receiver[0] == name)
    )


def heal(network):
    network.is_cut = lambda sender, receiver: False


def test_all_targets_of_a_small_site_are_known(site):
    for member in site.by_address.values():
        assert len(member.target_addresses('gallery')) == 12
        assert len(member.directory.remote_members()) == 6


def test_cut_off_domain_keeps_its_own_targets(site):
    cut_domain(site, 'c')
    site.run(20)
    for member in site.by_address.values():
        expected = ['c'] if member.address[0] == 'c' else ['a', 'b']
        assert domains_of_targets(member) == expected
    heal(site)
    site.run(15)
    for member in site.by_address.values():
        assert domains_of_targets(member) == ['a', 'b', 'c']


def test_changes_during_a_cut_are_known_after_it(site):
    cut_domain(site, 'c')
    site.run(20)
    for number in range(3):
        site.kill(f'c{number}:1')
    site.start('c9:1', 'c', seeds=('c3:1',)).announce('gallery')
    site.run(15)
    heal(site)
    site.run(15)
    found = site.by_address['a2:1'].target_addresses('gallery')
    assert [a for a in found if a[0] == 'c'] == ['c3:1', 'c9:1']


def test_domain_with_all_nodes_replaced_is_reachable_again(site):
    for number in range(4):
        site.kill(f'c{number}:1')
    site.run(20)
    for number in range(4):
        site.start(f'c{number}:1', 'c', SEEDS).announce('gallery')
    site.run(20)
    incarnations = {m.context.incarnation for m in site.by_address.values()}
    for member in site.by_address.values():
        found = member.directory.targets('gallery')
        assert {t.incarnation for t in found} == incarnations


def test_changes_propagate_while_a_bridge_fails(site):
    bridge = site.by_address['a0:1'].directory.dump()['bridges'][0]
    site.kill(bridge)
    leaving = next(a for a in site.by_address if a[0] == 'a')
    site.by_address[leaving].directory.leave()
    site.run(3)
    for member in site.by_address.values():
        assert leaving not in member.target_addresses('gallery')


@pytest.fixture
def large_site():
    """A site above ``small_site_nodes``: only called services are kept."""
    network = networks.Network()
    for domain in 'abc':
        for number in range(8):
            address = f'{domain}{number}:1'
            # Heartbeats are rare, so that a test fails if changes are only
            # propagated with them.
            member = network.start(
                address,
                domain,
                SEEDS,
                small_site_nodes=10,
                beacon_period_s=10.0,
                domain_timeout_s=60.0,
            )
            member.announce('gallery' if number % 2 else 'orders')
    network.run(30)
    return network


def non_bridge_member(network):
    return next(
        m for m in network.by_address.values() if not m.directory.is_bridge()
    )


def test_only_called_services_are_kept(large_site):
    member = non_bridge_member(large_site)
    assert member.directory.node_count() == 8
    member.directory.targets('gallery')
    large_site.run(2)
    assert len(member.directory.targets('gallery')) == 12
    assert member.directory.node_count() == 8 + 8


def test_subscriber_receives_changes_at_once(large_site):
    member = non_bridge_member(large_site)
    member.directory.targets('gallery')
    large_site.run(2)
    other = next(
        t.address
        for t in member.directory.targets('gallery')
        if t.address[0] != member.address[0]
    )
    large_site.by_address[other].directory.leave()
    large_site.run(1.5)
    assert other not in member.target_addresses('gallery')


def test_bridges_depend_only_on_the_set_of_nodes():
    addresses = [f'n{number}:1' for number in range(50)]
    ranked = _bridge_nodes.rank_by_hash(addresses, 3)
    assert ranked == _bridge_nodes.rank_by_hash(addresses[::-1], 3)
    remaining = [a for a in addresses if a != ranked[0]]
    # The failure of one bridge node replaces no other one.
    assert _bridge_nodes.rank_by_hash(remaining, 3)[:2] == ranked[1:]
