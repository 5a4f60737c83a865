"""A deployment of nodes, upstream stand-ins and a platform stand-in."""

import json
import secrets
import time

import attrs
import msgspec

from benchmarks import _processes
from rosemarycrank import http_client

CONTROL_TIMEOUT_S = 5.0
CONDITION_TIMEOUT_S = 30.0
_POLL_S = 0.05


@attrs.frozen
class TargetPlan:
    """One upstream with its node.

    ``settings`` are further settings of the upstream stand-in,
    ``node_settings`` of the node.
    """

    service: str
    failure_domain: str
    partner: str = ''
    slots: int = 20
    max_connections: int = 100
    settings: dict = attrs.field(factory=dict)
    node_settings: dict = attrs.field(factory=dict)

    @property
    def name(self):
        """Name of the target."""
        return f'{self.service}-{self.failure_domain}'


@attrs.define(eq=False)
class Target:
    """A running upstream and its node.

    Addresses are ``host:port``; ``upstream`` and its address are None and
    empty until it is started.
    """

    plan: TargetPlan
    node: _processes.Process
    address: str
    http_address: str
    admin_address: str
    upstream: _processes.Process | None = None
    upstream_address: str = ''


class Deployment:
    """The processes of one organisation.

    Parameters
    ----------
    processes : ProcessGroup
        Where processes are started.
    name : str
        Name of the organisation.
    plans : iterable of TargetPlan
        The targets.
    trusted_keys_file : str, optional
        Whose bundles are accepted.
    node_settings : dict, optional
        Further settings of all nodes.

    Attributes
    ----------
    targets : list of Target
        The targets in the order of their plans.
    platform_address : str
        ``host:port`` of the platform stand-in.
    """

    def __init__(
        self,
        processes,
        name,
        plans,
        trusted_keys_file='',
        node_settings=None,
    ):
        self.name = name
        self.plans = list(plans)
        self.targets = []
        self.platform = None
        self.platform_address = ''
        self._processes = processes
        self._folder = processes.folder / name
        self._folder.mkdir()
        self._trusted_keys_file = trusted_keys_file
        self._node_settings = node_settings or {}
        self._seeds = ()
        self._generation = 0

    def start(self):
        """Start the platform, all nodes and all upstreams."""
        self.start_platform()
        self.start_nodes()
        self.start_upstreams(self.targets)

    def start_platform(self):
        """Start the platform stand-in."""
        self.platform = self._processes.start(
            f'{self.name}-platform', 'rosemarycrank.standins.platform', ()
        )
        self.platform_address = self.platform.wait_ready()['address']

    def start_nodes(self):
        """Start the nodes of all plans; one of each domain is a seed."""
        (self._folder / 'cluster.key').write_text(secrets.token_hex(32))
        addresses = _processes.free_addresses(3 * len(self.plans))
        self._seeds = self._choose_seeds(addresses)
        for number, plan in enumerate(self.plans):
            three = addresses[3 * number : 3 * number + 3]
            self.targets.append(self._start_node(plan, three))
        for target in self.targets:
            target.node.wait_ready()

    def start_upstreams(self, targets):
        """Start the upstreams of targets, and wait until all are ready."""
        for target in targets:
            target.upstream = self._start_upstream(target)
        for target in targets:
            line = target.upstream.wait_ready()
            target.upstream_address = line['address']

    def replace_node(self, target):
        """Start a new node with nothing kept in place of an ended one."""
        addresses = [
            target.address,
            target.http_address,
            target.admin_address,
        ]
        target.node = self._start_node(target.plan, addresses).node
        target.node.wait_ready()

    def wait_until_known(self):
        """Wait until every node knows the others.

        That is each target of its own failure domain by its service, and
        as many nodes of each other domain as there are.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        TimeoutError
            If that does not come about.
        """
        return self._wait_until(self._knows_all)

    def wait_until_in_force(self, version):
        """Wait until a version of the bundle is in force at every node.

        Parameters
        ----------
        version : int
            The version, or a later one.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        TimeoutError
            If that does not come about.
        """
        return self._wait_until(lambda d: d['bundle']['version'] >= version)

    def _knows_all(self, dump):
        membership = dump['membership']
        members = sorted(m['service'] for m in membership['members'].values())
        nodes = {
            name: domain['nodes']
            for name, domain in membership['domains'].items()
        }
        expected = {}
        for plan in self.plans:
            expected.setdefault(plan.failure_domain, []).append(plan.service)
        own = sorted(expected.pop(membership['failure_domain']))
        return members == own and nodes == {
            name: len(services) for name, services in expected.items()
        }

    def _wait_until(self, holds):
        """Wait until a condition holds for the dumps of all live nodes."""
        began_at = time.monotonic()
        for target in self.targets:
            while target.node.exit_status is None:
                if holds(request(target.admin_address, 'GET', '/dump')[1]):
                    break
                if time.monotonic() - began_at > CONDITION_TIMEOUT_S:
                    raise TimeoutError(f'{target.plan.name}: not in time')
                time.sleep(_POLL_S)
        return time.monotonic() - began_at

    def run_files(self):
        """Return the files in which upstreams record their runs."""
        return sorted(self._folder.glob('*.runs'))

    def stop(self):
        """Stop upstreams, then nodes, then the platform, gracefully.

        Returns
        -------
        list of str
            Names of processes that did not stop as they should.
        """
        groups = (
            [target.upstream for target in self.targets if target.upstream],
            [target.node for target in self.targets],
            [self.platform] if self.platform else [],
        )
        failed = []
        for group in groups:
            running = [p for p in group if p.exit_status is None]
            failed += self._processes.stop(running)
        return failed

    def _choose_seeds(self, addresses):
        seeds_by_domain = {}
        for number, plan in enumerate(self.plans):
            seeds_by_domain.setdefault(
                plan.failure_domain, addresses[3 * number]
            )
        return tuple(seeds_by_domain.values())

    def _start_node(self, plan, addresses):
        address, http_address, admin_address = addresses
        settings = {
            'address': address,
            'http_address': http_address,
            'admin_address': admin_address,
            'failure_domain': plan.failure_domain,
            'seeds': [seed for seed in self._seeds if seed != address],
            'cluster_key_file': str(self._folder / 'cluster.key'),
            'trusted_keys_file': self._trusted_keys_file,
            **self._node_settings,
            **plan.node_settings,
        }
        if self.platform_address:
            settings['platform_url'] = f'http://{self.platform_address}'
        process = self._start(plan, 'node', 'rosemarycrank.node', settings)
        return Target(plan, process, *addresses)

    def _start_upstream(self, target):
        plan = target.plan
        runs_file = self._folder / f'{plan.name}.runs'
        settings = {
            'service': plan.service,
            'partner': plan.partner,
            'slots': plan.slots,
            'max_connections': plan.max_connections,
            'node_admin': target.admin_address,
            'node_http': target.http_address,
            'runs_file': str(runs_file),
            **plan.settings,
        }
        module = 'rosemarycrank.standins.upstream'
        return self._start(plan, 'upstream', module, settings)

    def _start(self, plan, role, module, settings):
        self._generation += 1
        name = f'{self.name}-{plan.name}-{role}-{self._generation}'
        path = self._folder / f'{name}.yaml'
        path.write_bytes(msgspec.yaml.encode(settings))
        return self._processes.start(name, module, ['--settings', str(path)])


def request(address, method, path, value=None):
    """Send a request to a process and return its status and JSON answer.

    Parameters
    ----------
    address : str
        ``host:port``.
    method, path : str
        The request.
    value : object, optional
        Body, sent as JSON.

    Returns
    -------
    tuple of (int, object)
        HTTP status and decoded body.

    Raises
    ------
    rosemarycrank.http_client.HttpError
        If there was no whole answer.
    """
    host, _, port = address.rpartition(':')
    client = http_client.Client(host, int(port))
    body = b'' if value is None else json.dumps(value).encode()
    headers = {'Content-Type': 'application/json'} if body else {}
    try:
        answer = client.request(method, path, body, headers, CONTROL_TIMEOUT_S)
    finally:
        client.close()
    return answer.status, json.loads(answer.body or b'null')
