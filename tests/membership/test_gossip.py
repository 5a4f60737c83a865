"""Membership within one failure domain."""

import pytest


@pytest.fixture
def eight(network):
    for number in range(8):
        network.start(f'n{number}:1').announce('gallery')
    network.run(5)
    return network


def everyone(network):
    return sorted(network.by_address)


def test_nodes_that_join_know_all_targets(eight):
    for member in eight.by_address.values():
        assert sorted(member.directory.members()) == everyone(eight)
        assert member.target_addresses('gallery') == everyone(eight)
