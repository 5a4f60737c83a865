"""Runs nodes, upstream stand-ins and a platform stand-in as processes."""

import json
import secrets
import time

import attrs
import msgspec

from benchmarks import _processes
from rosemarycrank import http_client

CONTROL_TIMEOUT_S = 5.0
CONDITION_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05


@attrs.frozen
class TargetPlan:
    """Settings of one upstream stand-in and its node.

    ``settings`` are additional settings of the upstream stand-in,
    ``node_settings`` are additional settings of the node.
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

    Addresses are ``host:port``. Until the upstream is started,
    ``upstream`` is None and ``upstream_address`` is empty.
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
        Group that starts the processes and owns their folder.
    name : str
        Name of the organisation.
    plans : iterable of TargetPlan
        Settings of the targets, one plan for each.
    trusted_keys_file : str, optional
        Path of the file with the keys whose bundles the nodes accept.
    node_settings : dict, optional
        Additional settings of all nodes; a plan's settings override them.

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
        self._seed_addresses = ()
        self._start_count = 0

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
        """Start the nodes of all plans and wait until they are ready.

        The first node of each failure domain is a seed.
        """
        (self._folder / 'cluster.key').write_text(secrets.token_hex(32))
        addresses = _processes.free_addresses(3 * len(self.plans))
        self._seed_addresses = self._choose_seed_addresses(addresses)
        for index, plan in enumerate(self.plans):
            node_addresses = addresses[3 * index : 3 * index + 3]
            self.targets.append(self._start_node(plan, node_addresses))
        for target in self.targets:
            target.node.wait_ready()

    def start_upstreams(self, targets):
        """Start upstreams and wait until they are ready."""
        for target in targets:
            target.upstream = self._start_upstream(target)
        for target in targets:
            ready_line = target.upstream.wait_ready()
            target.upstream_address = ready_line['address']

    def replace_node(self, target):
        """Start a new node, without stored state, in place of an ended one."""
        addresses = [
            target.address,
            target.http_address,
            target.admin_address,
        ]
        target.node = self._start_node(target.plan, addresses).node
        target.node.wait_ready()

    def wait_until_known(self):
        """Wait until the membership of every live node is complete.

        It is complete if it lists the targets of the node's own failure
        domain with their services, and the right number of nodes for each
        other domain.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        TimeoutError
            If the condition is not met in CONDITION_TIMEOUT_S.
        """
        return self._wait_until_all(self._sees_all_nodes)

    def wait_until_in_force(self, version):
        """Wait until a version of the bundle is in force at every node.

        Parameters
        ----------
        version : int
            Lowest version that is accepted.

        Returns
        -------
        float
            Seconds waited.

        Raises
        ------
        TimeoutError
            If the condition is not met in CONDITION_TIMEOUT_S.
        """
        return self._wait_until_all(
            lambda dump: dump['bundle']['version'] >= version
        )

    def undecodable_messages(self):
        """Return the number of messages that live nodes could not decode."""
        return sum(
            request(target.admin_address, 'GET', '/dump')[1]['transport'][
                'undecodable'
            ]
            for target in self.targets
            if target.node.exit_status is None
        )

    def _sees_all_nodes(self, dump):
        membership = dump['membership']
        members = sorted(
            member['service'] for member in membership['members'].values()
        )
        node_counts = {
            name: domain['nodes']
            for name, domain in membership['domains'].items()
        }
        expected_by_domain = {}
        for plan in self.plans:
            expected_by_domain.setdefault(plan.failure_domain, []).append(
                plan.service
            )
        local_services = sorted(
            expected_by_domain.pop(membership['failure_domain'])
        )
        return members == local_services and node_counts == {
            name: len(services)
            for name, services in expected_by_domain.items()
        }

    def _wait_until_all(self, condition):
        """Wait until the dump of each live node meets a condition."""
        started_at = time.monotonic()
        for target in self.targets:
            while target.node.exit_status is None:
                if condition(request(target.admin_address, 'GET', '/dump')[1]):
                    break
                if time.monotonic() - started_at > CONDITION_TIMEOUT_S:
                    raise TimeoutError(
                        f'{target.plan.name}: condition not met in time'
                    )
                time.sleep(_POLL_INTERVAL_S)
        return time.monotonic() - started_at

    def run_files(self):
        """Return the files to which the upstreams write their runs."""
        return sorted(self._folder.glob('*.runs'))

    def stop(self):
        """Stop upstreams, then nodes, then the platform, gracefully.

        Returns
        -------
        list of str
            Names of processes that did not end with status 0 in time.
        """
        groups_in_stop_order = (
            [target.upstream for target in self.targets if target.upstream],
            [target.node for target in self.targets],
            [self.platform] if self.platform else [],
        )
        failed_names = []
        for group in groups_in_stop_order:
            running = [
                process for process in group if process.exit_status is None
            ]
            failed_names += self._processes.stop(running)
        return failed_names

    def _choose_seed_addresses(self, addresses):
        seeds_by_domain = {}
        for index, plan in enumerate(self.plans):
            seeds_by_domain.setdefault(
                plan.failure_domain, addresses[3 * index]
            )
        return tuple(seeds_by_domain.values())

    def _start_node(self, plan, addresses):
        address, http_address, admin_address = addresses
        settings = {
            'address': address,
            'http_address': http_address,
            'admin_address': admin_address,
            'failure_domain': plan.failure_domain,
            'seeds': [
                seed for seed in self._seed_addresses if seed != address
            ],
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
        self._start_count += 1
        name = f'{self.name}-{plan.name}-{role}-{self._start_count}'
        path = self._folder / f'{name}.yaml'
        path.write_bytes(msgspec.yaml.encode(settings))
        return self._processes.start(name, module, ['--settings', str(path)])


def request(address, method, path, content=None):
    """Send an HTTP request to a process and return its JSON response.

    Parameters
    ----------
    address : str
        ``host:port``.
    method, path : str
        Method and path of the request.
    content : object, optional
        Body, sent as JSON.

    Returns
    -------
    tuple of (int, object)
        HTTP status and decoded body.

    Raises
    ------
    rosemarycrank.http_client.HttpError
        If no complete response was received.
    """
    client = http_client.Client.for_address(address)
    body = b'' if content is None else json.dumps(content).encode()
    headers = {'Content-Type': 'application/json'} if body else {}
    try:
        response = client.request(
            method, path, body, headers, CONTROL_TIMEOUT_S
        )
    finally:
        client.close()
    return response.status, json.loads(response.body or b'null')
