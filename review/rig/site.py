"""A small deployment: store, targets and the project's nodes on loopback."""

import asyncio
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback

from rig import client
from rig import http
from rig import record
from rig import store
from rig import target

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464


class CannotRun(Exception):
    """The case could not be brought up."""


def _free_port(ips):
    """Return a port that is free on all addresses."""
    for _ in range(200):
        port = random.randint(20000, 30000)
        if all(_is_free(ip, port) for ip in ips):
            return port
    raise CannotRun('no free port')


def _is_free(ip, port):
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Site:
    """Nodes as separate processes, with stand-ins around them.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, for ``record.txt``.
    services : list of str
        Service of the target of each machine.
    routes : dict of str to str
        Service by path prefix.
    unsafe : set of str
        Prefixes of routes that are not idempotent.
    """

    heartbeat_s = 1.5
    drain_s = 2.0
    grace_s = 6.0
    contact_s = 3.0
    memory_mb = 300
    timeout_s = 6.0

    def __init__(self, folder, services, routes, unsafe=()):
        self.record = record.Record(folder / 'record.txt')
        self.routes = routes
        self.unsafe = set(unsafe)
        self.answers = []
        self.store = store.Store()
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self._processes = {}
        self._services = services
        self.targets = []
        self.peak_mb = {}

    async def start(self, make_target=target.Target, work_s=0.02):
        """Start everything, and wait until requests are served."""
        for _ in range(50):
            prefix = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
            self.ips = [
                f'{prefix}.{n + 10}' for n in range(len(self._services))
            ]
            if all(_is_free(ip, METRICS_PORT) for ip in self.ips):
                break
        else:
            raise CannotRun('no free addresses')
        self.store_ip = f'{prefix}.1'
        all_ips = [self.store_ip, *self.ips]
        ports = set()
        while len(ports) < 7:
            ports.add(_free_port(all_ips))
        (
            self.client_port,
            self.ready_port,
            self.control_port,
            self.inbound_port,
            self.app_port,
            self.store_port,
            self.peer_port,
        ) = ports
        await self.store.start(self.store_ip, self.store_port)
        await self.store.put_config(self.config(1))
        for ip, service in zip(self.ips, self._services):
            self.targets.append(make_target(self, ip, service, work_s))
            await self.targets[-1].start()
            self.start_node(ip)
        for ip in self.ips:
            await self.until(lambda ip=ip: self.is_ready(ip), f'{ip} ready')
        for own in self.targets:
            await self.until(
                lambda own=own: _done(own.acknowledged > 0), 'heartbeats'
            )
        for ip in self.ips:
            for prefix in self.routes:
                await self.until(
                    lambda ip=ip, prefix=prefix: self._serves(ip, prefix),
                    f'{prefix} at {ip}',
                )

    def config(self, version):
        """Return the operator's configuration."""
        services = sorted(set(self._services))
        return {
            'version': version,
            'routes': [
                {
                    'name': f'r-{prefix}',
                    'hostname': 'h.example',
                    'path_prefix': f'/{prefix}/',
                    'route_type': (
                        'non_idempotent'
                        if prefix in self.unsafe
                        else 'idempotent'
                    ),
                    'timeout_s': self.timeout_s,
                    'aim_s': 1.5,
                    'priority': 0,
                    'service': service,
                    'max_attempts': 2,
                }
                for prefix, service in self.routes.items()
            ],
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_connections': 1666,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
            },
        }

    def target_of(self, ip):
        """Return the target of a machine."""
        return self.targets[self.ips.index(ip)]

    def settings(self, ip):
        """Return the settings of a node, in the format of DEPLOY.md."""
        service = self._services[self.ips.index(ip)]
        values = {
            'node_name': f'sidecar-zone-a-{ip.rpartition(".")[2]}',
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': 'sidecar',
            'ip': ip,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones.zone-a': 'region-a',
            'listen.inbound': f'{ip}:{self.inbound_port}',
            'listen.outbound': f'{ip}:{self.client_port}',
            'listen.ready': f'{ip}:{self.ready_port}',
            'listen.control': f'{ip}:{self.control_port}',
            'port_range': f'{self.peer_port},{self.peer_port + 15}',
            'seeds': '',
            'bootstrap': 'true',
            'loss_counts': 'false',
            'limits.cpu_share': 0.86,
            'limits.cores': 2,
            'limits.memory_mb': self.memory_mb,
            'limits.max_fds': 4100,
            'limits.link_mbps': 1000.0,
            'limits.disk_mb': 0,
            'discovery': 'static',
            'entry': 'static',
            'heartbeat_s': self.heartbeat_s,
            'contracts': (
                'base,drain,config,cost,retry,recover,pressure,platform'
            ),
            'bounds.seed_lag_s': 3,
            'bounds.reuse_after_s': 2,
            'bounds.contact_s': self.contact_s,
            'bounds.ack_s': 4,
            'bounds.drain_s': self.drain_s,
            'bounds.grace_s': self.grace_s,
            'bounds.loss_slack_s': 0.2,
            'bounds.config_s': 2,
            'bounds.retry_budget_ratio': 0.2,
            'bounds.budget_window_s': 10,
            'bounds.budget_slack': 48,
            'app_addr': f'{ip}:{self.app_port}',
            'service': service,
            'provider.address': f'{self.store_ip}:{self.store_port}',
            'provider.form': 'table',
        }
        return ''.join(f'{name}={value}\n' for name, value in values.items())

    def start_node(self, ip):
        """Start the node of a machine, as the deploy file says."""
        path = pathlib.Path(self._folder.name) / f'{ip}.conf'
        path.write_text(self.settings(ip), encoding='utf-8')
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            run = tomllib.load(file)['roles']['node']['run']
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['ROSEMARYCRANK_CONFIG'] = str(path)
        with open(pathlib.Path(self._folder.name) / f'{ip}.log', 'ab') as log:
            self._processes[ip] = subprocess.Popen(
                shlex.split(run), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.line('start', ip, f'pid={self._processes[ip].pid}')

    def signal(self, ip, number):
        """Send a signal to a node that this script started."""
        self.record.line('signal', ip, signal.Signals(number).name)
        self._processes[ip].send_signal(number)

    def exited(self, ip):
        """Return whether a node is not running."""
        return self._processes[ip].poll() is not None

    def pid(self, ip):
        """Return the process id of a node."""
        return self._processes[ip].pid

    def memory_mb_of(self, ip):
        """Return the resident memory of a node; 0 once it has ended."""
        try:
            with open(f'/proc/{self.pid(ip)}/status') as file:
                lines = file.read().splitlines()
        except OSError:
            return 0.0
        kib = [int(li.split()[1]) for li in lines if li.startswith('VmRSS')]
        return kib[0] / 1024.0 if kib else 0.0

    async def limit_memory(self, ended):
        """Kill nodes over their memory limit, as the platform does.

        Parameters
        ----------
        ended : list of (float, str, float)
            Time, address and memory of each node that was killed.
        """
        while True:
            for ip in self.ips:
                used_mb = self.memory_mb_of(ip)
                self.peak_mb[ip] = max(self.peak_mb.get(ip, 0.0), used_mb)
                if used_mb > self.memory_mb and not self.exited(ip):
                    ended.append((self.record.now(), ip, used_mb))
                    self.record.say(
                        f'the node at {ip} uses {used_mb:.0f} MB of '
                        f'{self.memory_mb} MB: killed by the platform'
                    )
                    self.signal(ip, signal.SIGKILL)
                    self._processes[ip].wait()
            await asyncio.sleep(0.02)

    def log(self, ip):
        """Return what a node has written."""
        path = pathlib.Path(self._folder.name) / f'{ip}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    async def is_ready(self, ip):
        """Return what the platform's question gets."""
        if self.exited(ip):
            raise CannotRun(f'node {ip} ended: {self.log(ip)[-500:]}')
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    ip, self.ready_port
                )
                path = '/rosemarycrank/ready'
                writer.write(
                    http.encode(f'GET {path} HTTP/1.1', [('Host', ip)])
                )
                try:
                    answer = await http.read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, http.Broken):
            return False
        return answer is not None and answer.status == 200

    async def _serves(self, ip, prefix):
        probe = client.Client(self, ip)
        answer = await probe.send(prefix)
        probe.close()
        return answer.status == 200

    async def until(self, condition, name, limit_s=20.0):
        """Wait until a condition holds; the case cannot run without it."""
        end = self.record.now() + limit_s
        while not await condition():
            if self.record.now() > end:
                raise CannotRun(f'not within {limit_s} s: {name}')
            await asyncio.sleep(0.05)

    def runs_of(self, request_id):
        """Return the runs of a request: times and targets."""
        return [
            (at, own.ip)
            for own in self.targets
            for at, run_id in own.runs
            if run_id == request_id
        ]

    def lost(self, ip, sound_ips):
        """Return the requests that rule LOST counts at any time.

        They came on a kept connection to the node at `ip`, were passed on to
        a sound target, and their connection was closed without an answer.
        """
        return [
            answer
            for answer in self.answers
            if answer.ip == ip
            and answer.status == 0
            and answer.kept
            and any(
                run_ip in sound_ips
                for _, run_ip in self.runs_of(answer.request_id)
            )
        ]

    def close(self):
        """End all that was started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for own in self.targets:
            own.close()
        self.store.close()
        self._folder.cleanup()


async def _done(value):
    return value


def main(case):
    """Run a case: a coroutine function that gets whether there is trouble.

    Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could
    not run.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 115.0))
    except Exception:
        # Nothing that goes wrong in the script counts as a broken rule.
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if broken else 0)
