"""Deployment of real nodes behind proxies, with clients and checks."""

import collections
import random

import gevent
import gevent.socket

from benchmarks import _platform_deployment as deployment
from tests.soak import builds
from tests.soak import promises
from tests.soak import proxy

#: Port on which a node listens for its peers, and the port of its proxy, to
#: which the peers connect.
PEER_LISTEN_PORT = 7630
FIRST_PEER_PORT = 7620

#: Seconds between wake-ups of the greenlet that notices pauses of this
#: process, and the minimum delay of a wake-up that counts as a pause.
PAUSE_CHECK_INTERVAL_S = 0.05
MIN_PAUSE_S = 0.1

#: Seconds without data after which a client closes its connection; longer than
#: any request may take, pauses of its node included.
CLIENT_TIMEOUT_S = 9.0


class CallingTarget(deployment.Target):
    """Target whose runs make a nested call before they respond.

    Parameters
    ----------
    ip, service
        Address and service, as for `deployment.Target`.
    called_prefix : str, default=''
        Path prefix of the nested call; empty for none.
    **options
        Other parameters of `deployment.Target`.

    Attributes
    ----------
    run_starts : list of (float, str)
        Start time and request identifier of each run.
    unanswered_calls : list of str
        Identifiers of the calls whose connection ended without an answer.
    """

    def __init__(self, ip, service, called_prefix='', **options):
        self.called_prefix = called_prefix
        self.run_starts = []
        self.unanswered_calls = []
        self._call_numbers = iter(range(1, 1 << 30))
        super().__init__(ip, service, **options)

    def run(self, request_id):
        """Record a run and make its call; return whether that succeeded."""
        self.run_starts.append((gevent.get_hub().loop.now(), request_id))
        gevent.sleep(self.work_s)
        if not self.called_prefix:
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
                f'/{self.called_prefix}/1',
                '',
                headers,
            )
        except OSError:
            # The node is down, so the run fails.
            return False
        if not status:
            self.unanswered_calls.append(call_id)
        return status == 200


class Client:
    """Client that keeps its connection open until the node closes it.

    Parameters
    ----------
    cluster : ProxiedDeployment
        Deployment that the client uses.
    ip : str
        Address of the entry node.
    prefix : str
        Path prefix of the requests.
    """

    def __init__(self, cluster, ip, prefix):
        self.cluster = cluster
        self.ip = ip
        self.prefix = prefix
        self._socket = None

    def run(self, until):
        """Send requests one after the other until a time of the clock."""
        while gevent.get_hub().loop.now() < until:
            request = self.cluster.new_request(self.ip, self.prefix)
            self._exchange(request)
            request.ended_at = gevent.get_hub().loop.now()
            gevent.sleep(0.02)

    def _exchange(self, request):
        method = 'POST' if self.prefix == 'pay' else 'GET'
        head = (
            f'{method} /{self.prefix}/1 HTTP/1.1\r\nHost: h.example\r\n'
            f'X-Rosemarycrank-Request-Id: {request.request_id}\r\n'
            f'X-Rosemarycrank-Deadline-Ms: {self.cluster.deadline_ms}\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        try:
            if self._socket is None:
                address = (self.ip, deployment.CLIENT_PORT)
                self._socket = gevent.socket.create_connection(address, 1.0)
                self._socket.settimeout(CLIENT_TIMEOUT_S)
            self._socket.sendall(head.encode())
            self._read(request)
        except OSError:
            # The status stays 0, which counts as no answer.
            self._close_connection()

    def _read(self, request):
        data = b''
        while b'\r\n\r\n' not in data:
            chunk = self._socket.recv(65536)
            if not chunk:
                self._close_connection()
                return
            data += chunk
        head, _, body = data.partition(b'\r\n\r\n')
        lines = head.decode().lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:])
        length = int(fields.get('content-length', 0))
        while len(body) < length:
            chunk = self._socket.recv(65536)
            if not chunk:
                self._close_connection()
                return
            body += chunk
        request.status = int(lines[0].split(' ')[1])
        request.body = body.decode()
        request.signed = 'x-rosemarycrank-response-signature' in fields
        if fields.get('connection') == 'close':
            self._close_connection()

    def _close_connection(self):
        if self._socket is not None:
            self._socket.close()
        self._socket = None


def record_pauses(pauses, clock, sleep=gevent.sleep):
    """Record the times in which this process does not run, until killed.

    Parameters
    ----------
    pauses : list of (float, float)
        The start and end of each pause are added to it.
    clock : callable
        Returns the seconds of the clock of the requests.
    sleep : callable, default=gevent.sleep
        Waits for a number of seconds.
    """
    while True:
        due_at = clock() + PAUSE_CHECK_INTERVAL_S
        sleep(PAUSE_CHECK_INTERVAL_S)
        now = clock()
        if now - due_at > MIN_PAUSE_S:
            pauses.append((due_at, now))


class ProxiedDeployment(deployment.Deployment):
    """Deployment whose nodes reach each other and the store via proxies.

    Parameters
    ----------
    directory, prefix
        As in `Deployment`.
    services : list of str
        Service of each target.
    called_prefix_by_service : dict of str to str
        Path prefix that the targets of a service call.
    seed : int, default=0
        Seed of the choices between two builds.
    other_build : Build, default=None
        Build that a part of the nodes runs; None for the build under test
        only.

    Attributes
    ----------
    build_sequence : BuildSequence or None
        Chooses the builds of the nodes; None without another build.
    starts : list of (float, str, str, str)
        Time of each start of a node, the word ``start`` as in the log of
        faults, the address of the node, and the checkout of its build.
    requests : list of SentRequest
        All requests of clients.
    services_by_prefix : dict of str to set of str
        Services to which some configuration routed a prefix.
    drain_acked_at_by_ip : dict of str to float
        Time at which a target's draining was acknowledged.
    pauses_by_ip : dict of str to list of (float, float)
        Start and end of each pause of a node.
    own_pauses : list of (float, float)
        Start and end of each time in which this process did not run, so that
        clients could not read their answers.
    """

    deadline_ms = 2500

    def __init__(
        self,
        directory,
        prefix,
        services,
        called_prefix_by_service,
        seed=0,
        other_build=None,
    ):
        self.called_prefix_by_service = called_prefix_by_service
        super().__init__(directory, prefix, services)
        self.build_sequence = (
            builds.BuildSequence(other_build, self.ips, seed)
            if other_build is not None
            else None
        )
        self.starts = []
        host, port = self._store_server.bound_address.rsplit(':', 1)
        self.store_proxies = {}
        self.peer_proxies = {}
        for ip in self.ips:
            self.store_proxies[ip] = proxy.Proxy((ip, 8309), (host, int(port)))
            self.peer_proxies[ip] = proxy.Proxy(
                (ip, FIRST_PEER_PORT), (ip, PEER_LISTEN_PORT)
            )
        self.requests = []
        self.services_by_prefix = collections.defaultdict(set)
        self.drain_acked_at_by_ip = {}
        self.pauses_by_ip = collections.defaultdict(list)
        self.own_pauses = []
        self._pause_watcher = gevent.spawn(
            record_pauses, self.own_pauses, gevent.get_hub().loop.now
        )

    def make_target(self, ip, service):
        """Create the target of a node."""
        called_prefix = self.called_prefix_by_service.get(service, '')
        return CallingTarget(ip, service, called_prefix)

    def set_work(self, service, work_s):
        """Set the duration of the runs at the targets of a service."""
        for target in self.targets:
            if target.service == service:
                target.work_s = work_s

    def choose_build(self, ip):
        """Return the build for the next start of a node, and record it."""
        build = super().choose_build(ip)
        if self.build_sequence is not None:
            build = self.build_sequence.next_build(ip)
        now = round(gevent.get_hub().loop.now(), 2)
        self.starts.append((now, 'start', ip, str(build.checkout)))
        return build

    def settings(self, ip):
        """Return the settings of a node, with the addresses of its proxies."""
        return super().settings(ip) | {
            'listen.peer': f'{ip}:{PEER_LISTEN_PORT}',
            'provider.address': f'{ip}:8309',
        }

    def configure(self, version, **services_by_prefix):
        """Write a configuration and record the services of its routes."""
        for prefix, service in services_by_prefix.items():
            self.services_by_prefix[prefix].add(service)
        super().configure(version, **services_by_prefix)

    def new_request(self, ip, prefix):
        """Create and record a new request of a client."""
        now = gevent.get_hub().loop.now()
        request = promises.SentRequest(
            f'q{next(self._request_numbers)}', prefix, ip, now
        )
        self.requests.append(request)
        return request

    def drain(self, ip):
        """Drain a target; record when its node acknowledges that."""
        target = self.target(ip)
        previous_sequence = target.sequence
        target.state = 'draining'
        deadline = gevent.get_hub().loop.now() + 10.0
        while target.acknowledged_sequence <= previous_sequence:
            if gevent.get_hub().loop.now() > deadline:
                return
            gevent.sleep(0.02)
        self.drain_acked_at_by_ip[ip] = gevent.get_hub().loop.now()

    def heal(self):
        """End all faults of the proxies and of the store."""
        self.store.mode = 'up'
        for proxies in (self.store_proxies, self.peer_proxies):
            for link_proxy in proxies.values():
                link_proxy.heal()

    def close(self):
        """Stop everything that this deployment started."""
        self._pause_watcher.kill()
        super().close()
        for proxies in (self.store_proxies, self.peer_proxies):
            for link_proxy in proxies.values():
                link_proxy.close()

    def _paused_s(self, request):
        span = (request.sent_at, request.ended_at)
        return sum(
            promises.overlap_s(span, pause)
            for pause in self.pauses_by_ip[request.ip] + self.own_pauses
        )

    def find_violations(self, planned_only):
        """Return a line for each violated guarantee of any request."""
        violations = []
        for request in self.requests:
            violations += promises.find_violations(
                request,
                self.run_count(request.request_id),
                self.services_by_prefix[request.prefix],
                self.deadline_ms / 1000,
                self._paused_s(request),
                planned_only,
            )
        if planned_only:
            violations += [
                f'lost: call {call_id} ran, but its connection was closed'
                for target in self.targets
                for call_id in target.unanswered_calls
                if self.run_count(call_id)
            ]
        for ip, drain_acked_at in self.drain_acked_at_by_ip.items():
            late_ids = promises.runs_after_drain(
                self.target(ip).run_starts, drain_acked_at
            )
            if late_ids:
                violations.append(
                    f'drain: {late_ids[:3]} started at {ip} after its draining'
                )
        if self.build_sequence is not None:
            for ip in self.ips:
                log_path = self.directory / f'{ip}.log'
                violations += builds.find_invalid_data(log_path)
        return violations


def random_for(seed):
    """Return the random number generator of a seed."""
    return random.Random(f'soak-{seed}')
