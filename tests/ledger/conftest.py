"""A world of three nodes, and shorthand for its first node."""

import pytest

from tests.ledger import world as worlds


@pytest.fixture
def world():
    return worlds.World()


@pytest.fixture
def nodes(world):
    return [world.nodes_by_address[a] for a in worlds.ADDRESSES]
