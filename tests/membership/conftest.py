"""Directories that talk through a queue in virtual time."""

import pytest

from benchmarks import _scale_network


@pytest.fixture
def network():
    return _scale_network.Network()


@pytest.fixture
def lossy_network():
    return _scale_network.Network(loss=0.05)
