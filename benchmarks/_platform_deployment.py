"""Nodes as real processes on loopback addresses, with in-process targets."""

import base64
import collections
import json
import os
import pathlib
import re
import resource
import signal
import subprocess
import time

import gevent
from gevent import pywsgi
import gevent.socket
import msgspec

from benchmarks import _builds
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _frames
from rosemarycrank.platform import _program
from rosemarycrank.standins import row_store

CLIENT_PORT = 8304
READY_PORT = 8302
CONTROL_PORT = 8306
TARGET_PORT = 8301
PEER_PORTS = '7620,7635'
HEARTBEAT_INTERVAL_S = 0.3

#: Module of a node, to be run by the interpreter.
PROGRAM = ('rosemarycrank.platform',)

#: Longest time until a process handles signals, in seconds.
MAX_START_S = 20.0

# Signals that a process catches, as a mask in hexadecimal digits.
_CAUGHT_SIGNALS = re.compile(r'SigCgt:\s+([0-9a-f]+)')
_REQUEST_ID_KEY = 'HTTP_X_ROSEMARYCRANK_REQUEST_ID'


class Target:
    """Target that responds after `work_s` seconds and counts its runs."""

    def __init__(self, ip, service, work_s=0.01):
        self.ip = ip
        self.service = service
        self.work_s = work_s
        self.instance = f'i-{service}-{ip}'
        self.state = 'ready'
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.runs_by_id = collections.Counter()
        self.acknowledged_sequence = 0
        self._server = self.make_server()
        self._server.start()
        self.start_heartbeats()

    def make_server(self):
        """Create the server that takes requests."""
        return pywsgi.WSGIServer(
            (self.ip, TARGET_PORT), self._application, log=None
        )

    def close(self):
        self.stop_heartbeats()
        self._server.stop()

    def start_heartbeats(self):
        """Report to the node, now and at intervals."""
        self._heartbeat_greenlet = gevent.spawn(self._send_heartbeats)

    def stop_heartbeats(self):
        """Send no more heartbeats."""
        self._heartbeat_greenlet.kill()

    def _application(self, environ, start_response):
        request_id = environ.get(_REQUEST_ID_KEY, '')
        expected = environ.get('HTTP_X_ROSEMARYCRANK_TARGET_INSTANCE')
        if expected != self.instance:
            start_response('421 Misdirected Request', [])
            return [b'']
        self.runs_by_id[request_id] += 1
        if not self.run(request_id):
            start_response(
                '500 Internal Server Error',
                [('X-Rosemarycrank-Request-Id', request_id)],
            )
            return [b'']
        body = self.body(request_id)
        start_response(
            '200 OK',
            [
                ('X-Rosemarycrank-Request-Id', request_id),
                ('X-Rosemarycrank-Response-Signature', f's.{request_id}'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def run(self, request_id):
        """Run a request; return whether it succeeded."""
        gevent.sleep(self.work_s)
        return True

    def body(self, request_id):
        """Return the body of the response to a request."""
        return f'{request_id}@{self.service}'.encode()

    def next_heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.ip}:{TARGET_PORT}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_s': 0,
            'seq': self.sequence,
            'born': self.born_ms,
        }

    def _send_heartbeats(self):
        while True:
            body = self.next_heartbeat()
            path = f'/rosemarycrank/instances/{self.instance}'
            try:
                status, _ = exchange(
                    self.ip, CONTROL_PORT, 'PUT', path, json.dumps(body)
                )
            except OSError:
                status = 0
            if status == 200:
                self.acknowledged_sequence = self.sequence
            gevent.sleep(HEARTBEAT_INTERVAL_S)


def exchange(ip, port, method, path, body='', headers=(), timeout_s=5.0):
    """Send one HTTP request over a new connection.

    Returns
    -------
    tuple of (int, str)
        Status and body; status 0 if the connection ended without a response.
    """
    sock = gevent.socket.create_connection((ip, port), timeout_s)
    lines = [f'{method} {path} HTTP/1.1', 'Connection: close', *headers]
    if not any(line.startswith('Host:') for line in headers):
        lines.append(f'Host: {ip}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    try:
        sock.sendall('\r\n'.join([*lines, '', body]).encode())
        data = b''
        while chunk := sock.recv(65536):
            data += chunk
    except ConnectionResetError:
        return 0, ''
    finally:
        sock.close()
    head, _, rest = data.partition(b'\r\n\r\n')
    if not head:
        return 0, ''
    return int(head.split(b' ', 2)[1]), rest.decode()


class Deployment:
    """A store, and one node and one target at each address.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings files and logs.
    prefix : str
        First three numbers of the loopback addresses.
    services : list of str
        Service of each target.

    Attributes
    ----------
    max_descriptors : int or None
        Limit on the descriptors of each node that is started; None for that
        of the tests.
    """

    max_descriptors = None

    def __init__(self, directory, prefix, services):
        self.directory = directory
        self.store, self._store_server = row_store.serve(f'{prefix}.1:0')
        self.ips = [f'{prefix}.{n + 10}' for n in range(len(services))]
        self.targets = [
            self.make_target(ip, service)
            for ip, service in zip(self.ips, services)
        ]
        self._processes_by_ip = {}
        self._request_numbers = iter(range(1, 1 << 30))

    def make_target(self, ip, service):
        """Create the target of a node."""
        return Target(ip, service)

    def stored_keys(self, table):
        """Return the keys of all rows of a table."""
        rows = self.store.get({'table_name': table})[1]['rows']
        return [row['key'] for row in rows]

    def configure(self, version, **services_by_prefix):
        """Write a configuration to the store, as the operator does."""
        routes = [
            {
                'name': f'r-{prefix}',
                'hostname': 'h.example',
                'path_prefix': f'/{prefix}/',
                'route_type': (
                    'non_idempotent' if prefix == 'pay' else 'idempotent'
                ),
                'timeout_s': 3,
                'aim_s': 0.5,
                'priority': 0,
                'service': service,
                'max_attempts': 2,
            }
            for prefix, service in services_by_prefix.items()
        ]
        document = {'version': version, 'routes': routes}
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.store.put('op', 'config', value)

    def settings(self, ip):
        """Return the settings of a node."""
        return {
            'node_name': f'n-{ip}',
            'ip': ip,
            'zone': 'a',
            'listen.outbound': f'{ip}:{CLIENT_PORT}',
            'listen.ready': f'{ip}:{READY_PORT}',
            'listen.control': f'{ip}:{CONTROL_PORT}',
            'port_range': PEER_PORTS,
            'bounds.grace_s': 4,
            'bounds.drain_s': 2,
            'app_addr': f'{ip}:{TARGET_PORT}',
            'service': self.target(ip).service,
            'provider.address': self._store_server.bound_address,
        }

    def choose_build(self, _ip):
        """Return the build for the next start of a node."""
        return _builds.OWN_BUILD

    def write_settings(self, ip, share=1.0):
        """Write the settings file of a node, or the first share of it.

        Returns
        -------
        pathlib.Path
            The file.
        """
        path = self.directory / f'{ip}.conf'
        text = ''.join(
            f'{key}={value}\n' for key, value in self.settings(ip).items()
        )
        path.write_text(text[: int(share * len(text))])
        return path

    def start(self, ip, settings_share=1.0, closed=(), program=PROGRAM):
        """Start the node at an address; see `write_settings`.

        It starts without the standard descriptors in `closed`. `program` is
        the module to run, with its arguments.
        """
        path = self.write_settings(ip, settings_share)
        build = self.choose_build(ip)
        command = [build.python, '-m', *program]
        if closed:
            redirections = ''.join(f' {number}>&-' for number in closed)
            command[:0] = ['/bin/sh', '-c', f'exec "$0" "$@"{redirections}']
        with open(self.directory / f'{ip}.log', 'ab') as log:
            self._processes_by_ip[ip] = subprocess.Popen(
                command,
                cwd=build.checkout,
                env=os.environ | {'ROSEMARYCRANK_CONFIG': str(path)},
                stdout=log,
                stderr=log,
            )
        if self.max_descriptors is not None:
            # The new process has yet to start its interpreter.
            resource.prlimit(
                self._processes_by_ip[ip].pid,
                resource.RLIMIT_NOFILE,
                (self.max_descriptors, self.max_descriptors),
            )

    def target(self, ip):
        """Return the target at an address."""
        return self.targets[self.ips.index(ip)]

    def signal(self, ip, number):
        """Send a signal to a node that this deployment started."""
        self._processes_by_ip[ip].send_signal(number)

    def wait_until_caught(self, ip, number):
        """Wait until a node handles a signal, as soon as it can be seen."""
        path = pathlib.Path(f'/proc/{self.pid(ip)}/status')
        end = time.monotonic() + MAX_START_S
        while time.monotonic() < end:
            caught = int(_CAUGHT_SIGNALS.search(path.read_text())[1], 16)
            if caught >> (number - 1) & 1:
                return
            gevent.sleep(0.0)
        raise AssertionError(f'{ip} does not handle signal {number}')

    def has_exited(self, ip):
        """Return whether a node is not running."""
        return self._processes_by_ip[ip].poll() is not None

    def wait_for_exit(self, ip, timeout_s=20.0):
        """Wait until a node has exited; return its exit status."""
        end = time.monotonic() + timeout_s
        process = self._processes_by_ip[ip]
        while process.poll() is None:
            assert time.monotonic() < end, f'{ip} did not exit'
            gevent.sleep(0.05)
        return process.returncode

    def is_ready(self, ip):
        """Return the result of a readiness probe of a node."""
        try:
            path = '/rosemarycrank/ready'
            return exchange(ip, READY_PORT, 'GET', path)[0] == 200
        except OSError:
            return False

    def accepts(self, ip, port):
        """Return whether a node accepts connections at a port."""
        try:
            with gevent.socket.create_connection((ip, port), 1.0):
                return True
        except OSError:
            return False

    def wait_until(self, condition, message, timeout_s=30.0):
        """Wait until a condition holds; fail with `message` on a time-out."""
        end = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < end, message
            gevent.sleep(0.05)

    def start_all(self):
        """Start all nodes; wait until they are ready and know their target."""
        for ip in self.ips:
            self.start(ip)
        for ip in self.ips:
            self.wait_until(
                lambda ip=ip: self.is_ready(ip), f'{ip} is not ready'
            )
            target = self.target(ip)
            self.wait_until(
                lambda t=target: t.acknowledged_sequence > 0,
                f'{ip} has not acknowledged a heartbeat',
            )

    def dump_state(self, ip):
        """Return the state dump of a node."""
        _, text = exchange(ip, _program.METRICS_PORT, 'GET', '/state')
        return json.loads(text)

    def known_instances(self, ip):
        """Return the targets that a node takes to be ready."""
        records = (
            msgspec.convert(value, _frames.TargetRecord)
            for value in self.dump_state(ip)['targets']
        )
        return {
            record.instance
            for record in records
            if record.state == _directory.READY
        }

    def wait_until_targets_are_known(self):
        """Wait until each node knows the targets of all others.

        The nodes read the rows of the others some seconds after their start;
        without the store they cannot make up for it.
        """
        instances = {target.instance for target in self.targets}
        for ip in self.ips:
            self.wait_until(
                lambda ip=ip: self.known_instances(ip) == instances,
                f'{ip} does not know all targets',
            )

    def resident_mb(self, ip):
        """Return the resident memory of a node, in MB; 0 if it has ended."""
        try:
            text = pathlib.Path(f'/proc/{self.pid(ip)}/status').read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    def pid(self, ip):
        """Return the number of the process of a node."""
        return self._processes_by_ip[ip].pid

    def send(self, ip, prefix, deadline_ms=4000, body='x=1'):
        """Send one request as a client; with the body if it is a payment.

        Returns
        -------
        tuple of (str, int, str)
            Request identifier, status and body; status 0 if no response was
            received.
        """
        request_id = f'q{next(self._request_numbers)}'
        headers = (
            'Host: h.example',
            f'X-Rosemarycrank-Request-Id: {request_id}',
            f'X-Rosemarycrank-Deadline-Ms: {deadline_ms}',
        )
        method = 'POST' if prefix == 'pay' else 'GET'
        body = body if prefix == 'pay' else ''
        try:
            status, text = exchange(
                ip, CLIENT_PORT, method, f'/{prefix}/1', body, headers
            )
        except OSError:
            status, text = 0, ''
        return request_id, status, text

    def run_count(self, request_id):
        """Return the number of runs of a request at all targets."""
        return sum(t.runs_by_id[request_id] for t in self.targets)

    def close(self):
        """Stop the nodes, the targets and the store."""
        for process in self._processes_by_ip.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for target in self.targets:
            target.close()
        self._store_server.stop()
