"""Fixtures: a simulation of three nodes, and the list of its nodes."""

import pytest

from tests.ledger import world


@pytest.fixture
def simulation():
    return world.Simulation()


@pytest.fixture
def nodes(simulation):
    return [
        simulation.nodes_by_address[address] for address in world.ADDRESSES
    ]
