"""Real processes for tests of failures."""

import pytest

from benchmarks import _deployment
from benchmarks import _processes


@pytest.fixture
def processes(tmp_path):
    """A group whose processes are gone after the test."""
    with _processes.ProcessGroup(tmp_path) as group:
        yield group


@pytest.fixture
def deploy(processes):
    """A function that makes a deployment of some targets."""

    def deploy(*plans, **parameters):
        name = parameters.pop('name', 'test')
        return _deployment.Deployment(processes, name, plans, **parameters)

    return deploy
