"""Real nodes with proxies on every connection, and what they have to keep."""

import collections
import random

import gevent
import gevent.socket

from tests.platform import deployment
from tests.soak import promises
from tests.soak import proxy

#: Ports at which a node really listens, behind the proxy of its own port.
PEER_LISTEN_PORT = 7630
FIRST_PEER_PORT = 7620

#: Seconds after which a client gives a connection up: longer than any request
#: may take, pauses of its node included.
PATIENCE_S = 9.0


class CallingTarget(deployment.Target):
    """Target that makes a call of its own before it answers.

    Parameters
    ----------
    called : str
        Path prefix of the call; empty for none.
    """

    def __init__(self, ip, service, called='', **options):
        self.called = called
        self.started = []
        self._call_numbers = iter(range(1, 1 << 30))
        super().__init__(ip, service, **options)

    def run(self, request_id):
        """Note a run and make its call; return whether that succeeded."""
        self.started.append((gevent.get_hub().loop.now(), request_id))
        gevent.sleep(self.work_s)
        if not self.called:
            return True
        call_id = f'{request_id}c{next(self._call_numbers)}'
        headers = (
            'Host: h.example',
            f'X-Rosemarycrank-Request-Id: {call_id}',
            'X-Rosemarycrank-Deadline-Ms: 2000',
        )
        try:
            status, _ = deployment.exchange(
                self.ip,
                deployment.CLIENT_PORT,
                'GET',
                f'/{self.called}/1',
                '',
                headers,
            )
        except OSError:
            # The node is down: the run fails.
            return False
        return status == 200


class Client:
    """Client that keeps its connection open until the node closes it."""

    def __init__(self, place, ip, prefix):
        self.place = place
        self.ip = ip
        self.prefix = prefix
        self._sock = None

    def run(self, until):
        """Send one request after the other."""
        while gevent.get_hub().loop.now() < until:
            sent = self.place.new_request(self.ip, self.prefix)
            self._exchange(sent)
            sent.ended_at = gevent.get_hub().loop.now()
            gevent.sleep(0.02)

    def _exchange(self, sent):
        method = 'POST' if self.prefix == 'pay' else 'GET'
        head = (
            f'{method} /{self.prefix}/1 HTTP/1.1\r\nHost: h.example\r\n'
            f'X-Rosemarycrank-Request-Id: {sent.request_id}\r\n'
            f'X-Rosemarycrank-Deadline-Ms: {self.place.deadline_ms}\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        try:
            if self._sock is None:
                address = (self.ip, deployment.CLIENT_PORT)
                self._sock = gevent.socket.create_connection(address, 1.0)
                self._sock.settimeout(PATIENCE_S)
            self._sock.sendall(head.encode())
            self._read(sent)
        except OSError:
            # Counted by its status, which stays 0.
            self._drop()

    def _read(self, sent):
        data = b''
        while b'\r\n\r\n' not in data:
            chunk = self._sock.recv(65536)
            if not chunk:
                self._drop()
                return
            data += chunk
        head, _, body = data.partition(b'\r\n\r\n')
        lines = head.decode().lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:])
        length = int(fields.get('content-length', 0))
        while len(body) < length:
            chunk = self._sock.recv(65536)
            if not chunk:
                self._drop()
                return
            body += chunk
        sent.status = int(lines[0].split(' ')[1])
        sent.body = body.decode()
        sent.signed = 'x-rosemarycrank-response-signature' in fields
        if fields.get('connection') == 'close':
            self._drop()

    def _drop(self):
        if self._sock is not None:
            self._sock.close()
        self._sock = None


class Place(deployment.Deployment):
    """A deployment whose connections all go through proxies.

    Parameters
    ----------
    directory, prefix
        As in `Deployment`.
    services : list of str
        Service of each target.
    calls_by_service : dict of str to str
        Path prefix that the targets of a service call.
    """

    deadline_ms = 2500

    def __init__(self, directory, prefix, services, calls_by_service):
        self.calls_by_service = calls_by_service
        super().__init__(directory, prefix, services)
        host, port = self._store_server.bound_address.rsplit(':', 1)
        self.store_proxies = {}
        self.peer_proxies = {}
        for ip in self.ips:
            self.store_proxies[ip] = proxy.Proxy((ip, 8309), (host, int(port)))
            self.peer_proxies[ip] = proxy.Proxy(
                (ip, FIRST_PEER_PORT), (ip, PEER_LISTEN_PORT)
            )
        self.sent = []
        self.services_by_prefix = collections.defaultdict(set)
        self.left_at = {}
        self.pauses_by_ip = collections.defaultdict(list)

    def make_target(self, ip, service):
        """Return the target of a node."""
        called = self.calls_by_service.get(service, '')
        return CallingTarget(ip, service, called)

    def settings(self, ip):
        """Return the settings of a node, which point at the proxies."""
        return super().settings(ip) | {
            'listen.peer': f'{ip}:{PEER_LISTEN_PORT}',
            'provider.address': f'{ip}:8309',
        }

    def configure(self, version, **services_by_prefix):
        """Write a configuration, and remember what it allows."""
        for prefix, service in services_by_prefix.items():
            self.services_by_prefix[prefix].add(service)
        super().configure(version, **services_by_prefix)

    def new_request(self, ip, prefix):
        """Return a new request of a client."""
        now = gevent.get_hub().loop.now()
        sent = promises.Sent(
            f'q{next(self._request_numbers)}', prefix, ip, now
        )
        self.sent.append(sent)
        return sent

    def leave(self, ip):
        """Let a target leave: announce it, and note the acknowledgement."""
        target = self.target(ip)
        before = target.sequence
        target.state = 'draining'
        end = gevent.get_hub().loop.now() + 10.0
        while target.acknowledged_sequence <= before:
            if gevent.get_hub().loop.now() > end:
                return
            gevent.sleep(0.02)
        self.left_at[ip] = gevent.get_hub().loop.now()

    def heal(self):
        """Let all connections and the store work again."""
        self.store.mode = 'up'
        for proxies in (self.store_proxies, self.peer_proxies):
            for harmed in proxies.values():
                harmed.heal()

    def close(self):
        """End what this deployment started."""
        super().close()
        for proxies in (self.store_proxies, self.peer_proxies):
            for harmed in proxies.values():
                harmed.close()

    def _paused_s(self, sent):
        span = (sent.sent_at, sent.ended_at)
        return sum(
            promises.overlap_s(span, pause)
            for pause in self.pauses_by_ip[sent.ip]
        )

    def broken_promises(self, planned_only):
        """Return a line for each promise that was not kept."""
        lines = []
        for sent in self.sent:
            lines += promises.broken_by(
                sent,
                self.run_count(sent.request_id),
                self.services_by_prefix[sent.prefix],
                self.deadline_ms / 1000,
                self._paused_s(sent),
                planned_only,
            )
        for ip, left_at in self.left_at.items():
            late = promises.late_runs(self.target(ip).started, left_at)
            if late:
                lines.append(f'drain: {late[:3]} began at {ip} after its end')
        return lines


def random_for(seed):
    """Return the random source of a seed."""
    return random.Random(f'soak-{seed}')
