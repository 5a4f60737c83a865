"""Fixtures for the tests of the data path."""

import pytest

from rosemarycrank.dataplane import _reactor
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations


@pytest.fixture
def reactor():
    return fakes.VirtualReactor()


@pytest.fixture
def patch_connections(monkeypatch):
    """Let nodes connect over a simulation instead of sockets."""

    def patch(simulation):
        monkeypatch.setattr(_reactor, 'connect', simulation.connect)
        monkeypatch.setattr(_reactor, 'Stream', simulations.set_owner)
        return simulation

    return patch
