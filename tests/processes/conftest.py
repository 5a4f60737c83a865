"""Fixtures: deployments of real processes for tests of failures."""

import pathlib

import pytest

from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _processes

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
OFICINA_PLANS = (
    _deployment.TargetPlan('hemeroteca', 'escazu', 'valle-uno'),
    _deployment.TargetPlan('cuotas', 'escazu', 'valle-uno'),
    _deployment.TargetPlan('registro-socios', 'escazu', 'valle-dos'),
    _deployment.TargetPlan('mesa-edicion', 'escazu', 'valle-uno'),
)


@pytest.fixture
def processes(tmp_path):
    """Process group whose processes are stopped after the test."""
    with _processes.ProcessGroup(tmp_path) as group:
        yield group


@pytest.fixture
def deploy(processes):
    """Function that creates a deployment from plans of its targets."""

    def deploy(*plans, **parameters):
        name = parameters.pop('name', 'test')
        return _deployment.Deployment(processes, name, plans, **parameters)

    return deploy


@pytest.fixture
def operators(tmp_path):
    """Two operators whose keys are trusted."""
    return _operators.Operators(tmp_path)


@pytest.fixture
def oficina(deploy, operators):
    """Deployment of four services in one failure domain, with their bundle.

    The services and the bundle are those of the example ``oficina``.
    """
    deployment = deploy(
        *OFICINA_PLANS,
        name='oficina',
        trusted_keys_file=str(operators.trusted_keys_path),
    )
    deployment.start()
    platform_url = f'http://{deployment.platform_address}'
    operators.roll_out(EXAMPLES / 'oficina.bundle.yaml', platform_url)
    deployment.wait_until_known()
    deployment.wait_until_in_force(1)
    return deployment
