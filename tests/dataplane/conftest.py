"""Fixtures for the tests of the data path."""

import os
import resource

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _target
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


@pytest.fixture
def pool():
    """Connections to the local target, whose calls the test answers."""
    return fakes.FakePool()


@pytest.fixture
def make_side(reactor, pool):
    """Return target sides whose target has announced itself."""

    def make(slots, drain_s=0.0):
        side = _target.TargetSide(
            reactor,
            pool,
            _names.HeaderNames(),
            _counters.Counters(),
            _costs.CallCosts('archive'),
            _front.AdmitAll(),
            drain_s,
        )
        side.update_record(fakes.record(slots=slots))
        return side

    return make


@pytest.fixture
def exhaust_descriptors():
    """Return a function after which no descriptor can be opened."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)

    def exhaust():
        lowest_free = os.dup(0)
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))

    yield exhaust
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
