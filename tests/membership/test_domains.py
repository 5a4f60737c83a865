"""Targets of other failure domains, through bridge nodes."""

import pytest

from benchmarks import _scale_network
from rosemarycrank.membership import _bridge

SEEDS = ('a0:1', 'b0:1', 'c0:1')


def domains_seen(member):
    return sorted({a[0] for a in member.target_addresses('gallery')})


def cut_domain(network, name):
    network.cut = lambda sender, receiver: (
        (sender[0] == name) != (receiver[0] == name)
    )


def heal(network):
    network.cut = lambda sender, receiver: False


def test_all_targets_of_a_small_site_are_known(site):
    for member in site.by_address.values():
        assert len(member.target_addresses('gallery')) == 12
        assert len(member.directory.remote_members()) == 6


def test_cut_off_domain_keeps_its_own_targets(site):
    cut_domain(site, 'c')
    site.run(20)
    for member in site.by_address.values():
        expected = ['c'] if member.address[0] == 'c' else ['a', 'b']
        assert domains_seen(member) == expected
    heal(site)
    site.run(15)
    for member in site.by_address.values():
        assert domains_seen(member) == ['a', 'b', 'c']


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


def test_domain_whose_nodes_are_all_replaced_returns(site):
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


def test_news_passes_while_bridges_fail(site):
    bridge = site.by_address['a0:1'].directory.dump()['bridges'][0]
    site.kill(bridge)
    leaver = next(a for a in site.by_address if a[0] == 'a')
    site.by_address[leaver].directory.leave()
    site.run(3)
    for member in site.by_address.values():
        assert leaver not in member.target_addresses('gallery')


@pytest.fixture
def subscribed():
    """Larger than a small site: only called services are kept."""
    network = _scale_network.Network()
    for domain in 'abc':
        for number in range(8):
            address = f'{domain}{number}:1'
            # Rare heartbeats: changes must not wait for them.
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


def plain_node(network):
    return next(
        m for m in network.by_address.values() if not m.directory.is_bridge()
    )


def test_only_called_services_are_kept(subscribed):
    member = plain_node(subscribed)
    assert member.directory.node_count() == 8
    member.directory.targets('gallery')
    subscribed.run(2)
    assert len(member.directory.targets('gallery')) == 12
    assert member.directory.node_count() == 8 + 8


def test_subscriber_hears_of_changes_at_once(subscribed):
    member = plain_node(subscribed)
    member.directory.targets('gallery')
    subscribed.run(2)
    other = next(
        t.address
        for t in member.directory.targets('gallery')
        if t.address[0] != member.address[0]
    )
    subscribed.by_address[other].directory.leave()
    subscribed.run(1.5)
    assert other not in member.target_addresses('gallery')


def test_bridges_follow_from_the_view():
    addresses = [f'n{number}:1' for number in range(50)]
    ranked = _bridge.rank_by_hash(addresses, 3)
    assert ranked == _bridge.rank_by_hash(addresses[::-1], 3)
    without = [a for a in addresses if a != ranked[0]]
    # Losing one bridge moves no other one.
    assert _bridge.rank_by_hash(without, 3)[:2] == ranked[1:]
