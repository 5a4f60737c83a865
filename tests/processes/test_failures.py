"""Failures injected into real processes under load.

Each test runs the load of the example ``oficina`` on three failure domains,
injects a failure during it, and lets the checker compare the outcomes that
clients received with the runs that the upstreams recorded. The checker must
not find a wrong answer, a second run of a paid request, a run reported as
not run, or a call without an outcome.
"""

import json
import signal
import time

import msgspec
import pytest

from benchmarks import _deployment
from benchmarks import _processes
from rosemarycrank import load
from tests.processes import conftest

DOMAINS = ('escazu', 'alajuela', 'paraiso')
PARTNERS = {'escazu': 'valle-uno', 'alajuela': 'valle-uno'}
SERVICES = ('cuotas', 'registro-socios', 'mesa-edicion', 'hemeroteca')
LINKED = ('cuotas', 'alajuela')
LOAD_DURATION_S = 6
DRIVER_MARGIN_S = 60.0
VIOLATIONS = (
    'wrong_answers',
    'duplicate_paid_runs',
    'runs_reported_not_run',
    'unaccounted',
)


class Scenario:
    """A deployment, its load driver and the check of the results."""

    def __init__(self, processes, deployment, folder):
        self.processes = processes
        self.deployment = deployment
        self.folder = folder
        self.classes = {}
        self.link = None

    def start_link(self, target, listen_address):
        """Start a proxy with injectable faults before a node's peer socket."""
        self.link = self.processes.start(
            'link',
            'benchmarks._link',
            ['--listen', target.address, '--to', listen_address],
        )
        self.link.wait_ready()

    def target(self, service, failure_domain):
        """Return the target of a service in a failure domain."""
        return next(
            target
            for target in self.deployment.targets
            if (target.plan.service, target.plan.failure_domain)
            == (service, failure_domain)
        )

    def drive(self, inject_failure, keys='client', entry_targets=None):
        """Inject a failure during the load; return the checker's report."""
        targets = entry_targets or self.deployment.targets
        driver = self.processes.start(
            'load', 'rosemarycrank.load', self._driver_arguments(keys, targets)
        )
        time.sleep(LOAD_DURATION_S / 3)
        inject_failure()
        output = driver.output(LOAD_DURATION_S + DRIVER_MARGIN_S)
        self.classes = json.loads(output)['classes']
        report = load.check_files(
            [self.folder / 'history'], self.deployment.run_files()
        )
        assert {name: getattr(report, name) for name in VIOLATIONS} == (
            dict.fromkeys(VIOLATIONS, 0)
        ), report.suspects
        assert report.complete > 0
        return report

    def control_platform(self, mode):
        """Switch the platform stand-in to a mode."""
        _deployment.request(
            self.deployment.platform_address,
            'POST',
            '/control',
            {'mode': mode},
        )

    def _driver_arguments(self, keys, targets):
        template = conftest.EXAMPLES.parent / 'benchmarks/load/oficina.yaml'
        values = msgspec.yaml.decode(template.read_bytes())
        values.update(duration_s=LOAD_DURATION_S, keys=keys, phases=[], seed=3)
        path = self.folder / 'load.yaml'
        path.write_bytes(msgspec.yaml.encode(values))
        arguments = ['run', '--settings', str(path), '--quiet']
        arguments += ['--history', str(self.folder / 'history')]
        for target in targets:
            arguments += ['--node', target.http_address]
        return arguments


@pytest.fixture
def scenario(processes, deploy, operators, tmp_path):
    """Deployment of the services over three failure domains.

    `SERVICES` run in the first two; in the last only the first two do.
    """
    (listen_address,) = _processes.free_addresses(1)
    linked_settings = {'listen_address': listen_address}
    plans = [
        _deployment.TargetPlan(
            service,
            domain,
            PARTNERS.get(domain, 'valle-dos'),
            node_settings=linked_settings
            if (service, domain) == LINKED
            else {},
        )
        for domain in DOMAINS
        for service in SERVICES[: 2 if domain == 'paraiso' else 4]
    ]
    deployment = deploy(
        *plans, trusted_keys_file=str(operators.trusted_keys_path)
    )
    deployment.start()
    scenario = Scenario(processes, deployment, tmp_path)
    scenario.start_link(scenario.target(*LINKED), listen_address)
    operators.roll_out(
        conftest.EXAMPLES / 'oficina.bundle.yaml',
        f'http://{deployment.platform_address}',
    )
    deployment.wait_until_known()
    deployment.wait_until_in_force(1)
    return scenario


def test_nodes_are_paused_and_wake(scenario):
    """Two nodes are paused for 2.5 s during the load and then resumed.

    A resumed node must not run requests that were reported as not run while
    it was paused.
    """
    paused = [
        scenario.target('cuotas', 'escazu').node,
        scenario.target('registro-socios', 'alajuela').node,
    ]

    def inject_failure():
        for node in paused:
            node.pause()
        time.sleep(2.5)
        for node in paused:
            node.resume()

    scenario.drive(inject_failure)


def test_nodes_are_killed_and_replaced(scenario):
    """Two nodes are killed during the load and replaced.

    Their state is lost, so calls that they may have run must not be reported
    as not run, and paid requests must not run again.
    """
    targets = [
        scenario.target('cuotas', 'alajuela'),
        scenario.target('hemeroteca', 'escazu'),
    ]

    def inject_failure():
        for target in targets:
            target.node.kill()
        time.sleep(0.5)
        for target in targets:
            scenario.deployment.replace_node(target)

    scenario.drive(inject_failure)


def test_all_nodes_of_a_domain_stop_one_by_one(scenario):
    """Planned stops finish the requests in flight: no outcome is unknown."""
    stopped = [
        target
        for target in scenario.deployment.targets
        if target.plan.failure_domain == 'alajuela'
    ]

    def inject_failure():
        for target in stopped:
            target.node.terminate()
            assert target.node.wait() == 0
            scenario.deployment.replace_node(target)

    report = scenario.drive(inject_failure)
    assert report.unknown == 0


@pytest.mark.parametrize('mode', ['down', 'lose-answers'])
@pytest.mark.parametrize('keys', ['client', 'node'])
def test_the_platform_fails(scenario, mode, keys):
    """The platform closes connections without an answer for 2 s.

    In mode lose-answers it does so after writes only. Requests with a key
    that a node issued do not depend on the platform, so with such keys every
    renewal completes.
    """

    def inject_failure():
        scenario.control_platform(mode)
        time.sleep(2.0)
        scenario.control_platform('up')

    scenario.drive(inject_failure, keys=keys)
    if keys == 'node':
        renewals = scenario.classes['renewal']
        assert set(renewals) & {'not-run', 'unknown', 'unaccounted'} == set()


def test_connections_go_silent(scenario):
    """Open connections of one node stop carrying data and are replaced."""
    scenario.drive(lambda: scenario.link.send(signal.SIGUSR1))
    replaced = [
        _dump(target)['counters'].get('entry.connections_replaced', 0)
        for target in scenario.deployment.targets
    ]
    assert sum(replaced) > 0


def test_a_node_is_cut_off_and_comes_back(scenario):
    """One node is cut off from the others for 2.5 s during the load."""

    def inject_failure():
        scenario.link.send(signal.SIGUSR2)
        time.sleep(2.5)
        scenario.link.send(signal.SIGUSR2)

    scenario.drive(inject_failure)


def test_a_partner_leaves(scenario):
    """A partner's upstreams get no calls from 1 s after it has left."""
    partner_target = scenario.target('cuotas', 'paraiso')

    def inject_failure():
        for target in scenario.deployment.targets:
            _deployment.request(
                target.admin_address, 'POST', '/partners/valle-dos/leave'
            )
        time.sleep(1.0)
        calls_before = _upstream_calls(partner_target)
        time.sleep(1.5)
        assert _upstream_calls(partner_target) == calls_before

    report = scenario.drive(inject_failure)
    assert report.unknown == 0


def _upstream_calls(target):
    return _dump(target)['counters'].get('target.upstream_calls', 0)


def _dump(target):
    return _deployment.request(target.admin_address, 'GET', '/dump')[1]
