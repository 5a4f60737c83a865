"""Directories that exchange messages through a queue in virtual time."""

import pytest

from tests.membership import network as networks

SEEDS = ('a0:1', 'b0:1', 'c0:1')


@pytest.fixture
def network():
    return networks.Network()


@pytest.fixture
def start_site():
    """Starts failure domains a, b and c, each with ``size`` nodes.

    Every node announces a target of the service gallery.
    """

    def start(network, size, **parameters):
        for domain in 'abc':
            for number in range(size):
                address = f'{domain}{number}:1'
                member = network.start(address, domain, SEEDS, **parameters)
                member.announce('gallery')
        network.run(8)
        return network

    return start


@pytest.fixture
def site(network, start_site):
    return start_site(network, 4)


@pytest.fixture
def start_domain():
    """Starts failure domain a with ``size`` nodes.

    Every node announces a target of the service gallery.
    """

    def start(network, size, **parameters):
        for number in range(size):
            member = network.start(f'a{number}:1', 'a', SEEDS, **parameters)
            member.announce('gallery')
        network.run(8)
        return network

    return start
