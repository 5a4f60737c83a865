"""Stand-ins, node processes and clients for the scripts of the review.

Uses the standard library only. Every address is a loopback address of its
own network 127.A.B.0, chosen for each run.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
ID_FIELD = 'x-rosemarycrank-request-id'
DEADLINE_FIELD = 'x-rosemarycrank-deadline-ms'
INSTANCE_FIELD = 'x-rosemarycrank-target-instance'
CALLER_FIELD = 'x-rosemarycrank-caller-service'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Lines about what was sent, answered and run."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text):
        """Add a line with the time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Read a message; return its first line, fields and body, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], fields, body


def free_port(ip):
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Store:
    """The platform's store of rows, as PROTOCOL.md describes it.

    `mode` is `up`, `silent` (no answers) or `busy` (503). With `op_only` the
    mode does not matter for the operator's table.
    """

    def __init__(self, record):
        self.record = record
        self.mode = 'up'
        self.ver = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.address = None

    async def start(self, ip):
        """Listen at a free port."""
        port = free_port(ip)
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = f'{ip}:{port}'

    def put(self, table, key, text):
        """Write a row as the operator does."""
        value = base64.b64encode(text.encode()).decode()
        self._apply([(table, '', key, value)])

    def value(self, table, key):
        """Return the text of a row, or None."""
        row = self.rows.get((table, '', key))
        return None if row is None else base64.b64decode(row[1]).decode()

    def _apply(self, writes):
        self.ver += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (self.ver, value)
            self.history.append((self.ver, table, part, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key):
        row = {'table_name': key[0], 'part': key[1], 'key': key[2]}
        stored = self.rows.get(key)
        if stored is None:
            return row | {'tombstone': True, 'ver': self.ver}
        return row | {'ver': stored[0], 'value': stored[1]}

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, _fields, body = message
                while self.mode == 'silent':
                    await asyncio.sleep(0.05)
                status, answer = 503, {}
                if self.mode == 'up':
                    _, target, _ = line.split(' ')
                    status, answer = await self._answer(target, body)
                answer |= {'ver': self.ver, 'now_s': self.record.now()}
                data = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: 0\r\nContent-Length: %d\r\n\r\n'
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        call = path.rpartition('/')[2]
        if call == 'rows-get':
            table, part = query['table_name'], query.get('part', '')
            first = query.get('from', '')
            keys = sorted(
                key
                for key in self.rows
                if key[:2] == (table, part) and key[2] >= first
            )
            rows = [self._row(key) for key in keys[:500]]
            return 200, {'rows': rows, 'has_more': len(keys) > 500}
        if call == 'rows-feed':
            return await self._feed(query)
        if call == 'rows-tx':
            return self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            keys = {
                (table, part, key): None
                for ver, table, part, key in self.history
                if ver > after and table == query['table_name']
            }
            left_s = until - time.monotonic()
            if keys or left_s <= 0:
                return 200, {'rows': [self._row(key) for key in keys]}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        def key_of(row):
            return row['table_name'], row.get('part', ''), row['key']

        for row in body.get('expected', []):
            stored = self.rows.get(key_of(row))
            if (stored[0] if stored else 0) != row['ver']:
                rows = [
                    self._row(key_of(r))
                    for r in body['expected']
                    if key_of(r) in self.rows
                ]
                return 412, {'rows': rows}
        writes = [(*key_of(r), r['value']) for r in body.get('puts', [])]
        writes += [(*key_of(r), None) for r in body.get('remove', [])]
        self._apply(writes)
        return 200, {}


class Target:
    """Application target beside a node, as PROTOCOL.md describes it."""

    def __init__(self, place, service, slots=100, work_s=0.02):
        self.place = place
        self.record = place.record
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.body_bytes = 600
        self.instance = f'i-{random.getrandbits(40):010x}'
        self.state = 'ready'
        self.sequence = 0
        self.born = 0
        self.clock_ahead_s = 0.0
        self.is_leaving = False
        self.running = 0
        self.runs = []
        self.ended = {}
        self.server = None
        self.beats = None
        self._writers = set()

    async def start(self):
        """Start under the same id: listen, and send heartbeats."""
        self.sequence = 0
        self.born = int((time.time() + self.clock_ahead_s) * 1000)
        self.server = await asyncio.start_server(
            self._serve, self.place.ip, self.place.target_port, backlog=1000
        )
        self.record.add(f'target {self.instance} starts, born {self.born}')
        self.start_beats()

    def start_beats(self):
        """Send heartbeats every 1.5 s."""
        self.beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        """End at once: no heartbeats, all connections are closed."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.add(f'target {self.instance} has ended')

    def beat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.place.ip}:{self.place.target_port}',
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_s': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    async def report(self, method='PUT', body=None):
        """Send a heartbeat or a withdrawal; return the status, 0 for none."""
        body = self.beat() if body is None else body
        status = await self.place.control(method, self.instance, body)
        said = body.get('state', method)
        self.record.add(
            f'{method} {self.instance} {said} seq {body.get("seq")}'
            f' born {body.get("born")} -> {status}'
        )
        return status

    async def _send_beats(self):
        while True:
            await self.report()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, fields, _ = message
                await self._handle(line, fields, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, line, fields, writer):
        request_id = fields.get(ID_FIELD, '')
        if fields.get(INSTANCE_FIELD) != self.instance:
            self._write(writer, '421 Misdirected Request', request_id, [], b'')
            return
        if self.running >= self.slots:
            extra = ['X-Rosemarycrank-Not-Executed: 1']
            self._write(
                writer, '503 Service Unavailable', request_id, extra, b''
            )
            return
        self.running += 1
        self.runs.append((time.monotonic(), request_id, fields))
        self.record.add(f'run {request_id} at {self.instance}: {line}')
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.ended[request_id] = time.monotonic()
        body = (request_id + ' ').encode().ljust(self.body_bytes, b'.')
        extra = [f'X-Rosemarycrank-Response-Signature: s.{request_id}']
        self._write(writer, '200 OK', request_id, extra, body)

    def _write(self, writer, status, request_id, extra, body):
        fields = [
            f'X-Rosemarycrank-Request-Id: {request_id}',
            f'X-Rosemarycrank-Instance-Id: {self.instance}',
            f'Content-Length: {len(body)}',
            f'X-Rosemarycrank-Server-Load: {self.running},0,{self.slots}',
            *extra,
        ]
        if self.is_leaving:
            fields += ['Server-Leaving: 1', 'Connection: close']
        head = f'HTTP/1.1 {status}\r\n' + '\r\n'.join(fields) + '\r\n\r\n'
        writer.write(head.encode() + body)
        if self.is_leaving:
            writer.close()


class Place:
    """A machine: its addresses, its node process and its settings."""

    def __init__(self, deployment, number, service, zone='a', **settings):
        self.deployment = deployment
        self.record = deployment.record
        self.ip = f'{deployment.network}.{10 + number}'
        self.name = f'n{number}'
        self.service = service
        self.zone = zone
        self.process = None
        ports = iter([free_port(self.ip) for _ in range(6)])
        self.client_port = next(ports)
        self.ready_port = next(ports)
        self.control_port = next(ports)
        self.target_port = next(ports)
        self.inbound_port = next(ports)
        self.peer_port = next(ports)
        self.extra_settings = dict(settings)
        #: Folder for the bytecode of its starts; None to write none.
        self.bytecode_folder = None

    def settings(self):
        """Return the settings, in the format of DEPLOY.md."""
        return {
            'node_name': self.name,
            'role': 'node',
            'machine_class': 'sidecar',
            'serves': 'sidecar',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'r',
            'zones.a': 'r',
            'listen.inbound': f'{self.ip}:{self.inbound_port}',
            'listen.outbound': f'{self.ip}:{self.client_port}',
            'listen.ready': f'{self.ip}:{self.ready_port}',
            'listen.control': f'{self.ip}:{self.control_port}',
            'port_range': f'{self.peer_port},{self.peer_port}',
            'seeds': '',
            'bootstrap': 'true',
            'limits.cpu_share': 0.86,
            'limits.cores': 2,
            'limits.memory_mb': 300,
            'limits.max_fds': 4100,
            'limits.link_mbps': 1000.0,
            'heartbeat_s': 1.5,
            'bounds.contact_s': 3,
            'bounds.ack_s': 4,
            'bounds.drain_s': 2,
            'bounds.grace_s': 6,
            'bounds.loss_slack_s': 0.2,
            'bounds.config_s': 2,
            'bounds.retry_budget_ratio': 0.2,
            'bounds.budget_window_s': 10,
            'bounds.budget_slack': 48,
            'app_addr': f'{self.ip}:{self.target_port}',
            'service': self.service,
            'provider.address': self.deployment.store.address,
            'provider.form': 'table',
        } | self.extra_settings

    def write_settings(self):
        """Write the settings file, and return its path."""
        path = self.deployment.folder / f'{self.name}.conf'
        lines = [f'{k}={v}\n' for k, v in self.settings().items()]
        path.write_text(''.join(lines), encoding='utf-8')
        return path

    def start(self):
        """Start the node with the command of the deploy file."""
        path = self.write_settings()
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'ROSEMARYCRANK_CONFIG': str(path),
        }
        if self.bytecode_folder is not None:
            del env['PYTHONDONTWRITEBYTECODE']
            env['PYTHONPYCACHEPREFIX'] = str(self.bytecode_folder)
        with open(self.deployment.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'rosemarycrank.platform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.add(f'node {self.name} starts')

    def signal(self, number):
        """Send a signal to the node."""
        self.record.add(f'node {self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s):
        """Wait for the end of the node; return whether it has ended."""
        until = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    def memory_mb(self):
        """Return the resident memory of the node in MB."""
        path = pathlib.Path(f'/proc/{self.process.pid}/statm')
        pages = int(path.read_text().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    async def call(self, port, method, path, body=b'', timeout_s=1.0):
        """Send a request to a port of the node; return the status, or 0."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.ip, port)
                try:
                    writer.write(
                        f'{method} {path} HTTP/1.1\r\nHost: {self.ip}\r\n'
                        'Content-Type: application/json\r\n'
                        f'Content-Length: {len(body)}\r\n\r\n'.encode()
                        + body
                    )
                    message = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, asyncio.TimeoutError):
            return 0
        return 0 if message is None else int(message[0].split(' ')[1])

    async def control(self, method, instance, body):
        """Send a heartbeat or a withdrawal; return the status, or 0."""
        return await self.call(
            self.control_port,
            method,
            f'/rosemarycrank/instances/{instance}',
            json.dumps(body).encode(),
        )

    async def is_ready(self):
        """Return the result of a readiness probe."""
        status = await self.call(
            self.ready_port, 'GET', '/rosemarycrank/ready'
        )
        return status == 200

    async def request(
        self, request_id, path, method='GET', deadline_ms=4000, body=b''
    ):
        """Send a request as a client; return status (0 for none) and body."""
        self.record.add(f'send {request_id} {method} {path} to {self.name}')
        status, answer = 0, b''
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 3.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.client_port
                )
                try:
                    head = request_head(
                        request_id, path, method, deadline_ms, len(body)
                    )
                    writer.write(head + body)
                    message = await read_message(reader)
                finally:
                    writer.close()
                if message is not None:
                    status = int(message[0].split(' ')[1])
                    answer = message[2]
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.add(f'answer {request_id}: {status or "none"}')
        return status, answer


def request_head(request_id, path, method='GET', deadline_ms=4000, length=0):
    """Return the head of a request of a client."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Rosemarycrank-Request-Id: {request_id}\r\n'
        f'X-Rosemarycrank-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


class Deployment:
    """A store, machines with their nodes, and targets."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        a, b = random.randint(1, 250), random.randint(1, 250)
        self.network = f'127.{a}.{b}'
        self.store = Store(self.record)
        self.places = []
        self.targets = []

    async def start(self, services, **settings):
        """Start the store, and a machine with a target for each service."""
        await self.store.start(f'{self.network}.1')
        for number, service in enumerate(services):
            place = Place(self, number, service, **settings)
            self.places.append(place)
            self.targets.append(Target(place, service))

    def configure(self, version, routes):
        """Write a configuration; a route is (prefix, service, type, more)."""
        document = {'version': version, 'routes': [], 'services': []}
        for prefix, service, kind, more in routes:
            document['routes'].append(
                {
                    'name': f'r-{prefix}',
                    'hostname': HOST,
                    'path_prefix': f'/{prefix}/',
                    'route_type': kind,
                    'timeout_s': 6,
                    'aim_s': 1.5,
                    'priority': 0,
                    'service': service,
                    'max_attempts': 2,
                }
                | more
            )
        document['services'] = [
            {'name': name, 'health_path': '/health', 'max_connections': 1666}
            for name in sorted({service for _, service, _, _ in routes})
        ]
        document['limits'] = {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        }
        self.store.put('op', 'config', json.dumps(document))
        self.record.add(f'operator: version {version} acknowledged')

    async def wait_until(self, check, what, timeout_s=30.0):
        """Wait until a check holds; end the script if it does not."""
        until = time.monotonic() + timeout_s
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > until:
                raise CannotRun(what)
            await asyncio.sleep(0.05)

    async def start_nodes(self):
        """Start all nodes and targets; wait until all are served."""
        for place in self.places:
            place.start()
        for place in self.places:
            await self.wait_until(place.is_ready, f'{place.name} not ready')
        for target in self.targets:
            await target.start()

    async def close(self):
        """End all that was started."""
        for place in self.places:
            if place.process is not None and place.process.poll() is None:
                # A stopped process is ended by this signal, too.
                place.process.kill()
                place.process.wait()
        for target in self.targets:
            await target.stop()
        logs = pathlib.Path(os.environ.get('KEEP_LOGS', ''))
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(record_path, play):
    """Play a case; `play` returns the lines of broken rules.

    What was sent, answered and run is written to `record_path`.
    """

    async def run():
        deployment = Deployment(record_path)
        record = deployment.record
        try:
            async with asyncio.timeout(115):
                broken = await play(deployment)
        except Exception as error:
            # Status 1 would say that the rule was broken.
            record.add(f'cannot run: {error!r}')
            print(f'cannot run: {error!r}')
            return CANNOT_RUN
        finally:
            await deployment.close()
        for line in broken:
            record.add(f'BROKEN {line}')
            print(f'BROKEN {line}')
        record.add(f'end: {"broken" if broken else "held"}')
        print('broken' if broken else 'held')
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
