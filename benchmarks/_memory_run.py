"""Nodes under a load that makes them hold much, and other clients beside it.

A process above its limit is killed at once, as the users' platform does.
"""

import itertools
import re
import signal
import time

import gevent
import gevent.server

from benchmarks import _platform_deployment as deployment
from rosemarycrank.platform import _settings

SAMPLE_INTERVAL_S = 0.01
LARGE_BODY = b'x' * 2_000_000
LARGEST_BODY = b'x' * 16_000_000
MIDDLE_BODY = b'x' * 36_000

_READ_BYTES = 65536
_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_REQUEST_ID = re.compile(
    rb'\r\nx-rosemarycrank-request-id: *(\S+)', re.IGNORECASE
)


class LargeTarget(deployment.Target):
    """Target whose responses to requests of the loads are large."""

    def body(self, request_id):
        """Return the body of the response to a request."""
        if request_id.startswith('largest'):
            return LARGEST_BODY
        if request_id.startswith('large'):
            return LARGE_BODY
        return super().body(request_id)


class LargeDeployment(deployment.Deployment):
    """Deployment of such targets."""

    def make_target(self, ip, service):
        """Create the target of a node."""
        return LargeTarget(ip, service)


#: Responses with a part that is sent again without end, by kind: the part
#: behind the status line, and what follows it repeatedly.
ENDLESS_RESPONSES = {
    'interim': (b'', b'\r\nHTTP/1.1 100 Continue\r\n'),
    'fields': (b'', b'a: b\r\n'),
    'line': (b'a: ', b'x' * 4096),
    'announced': (b'Content-Length: 60000000\r\n\r\n', b'x' * 65536),
    'until-close': (b'\r\n', b'x' * 65536),
    'extensions': (
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'1;' + b'e' * 4096 + b'\r\nx\r\n',
    ),
    'trailers': (
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n',
        b't: u\r\n',
    ),
    **{
        f'chunks-{size}': (
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'%x\r\n%b\r\n' % (size, b'x' * size),
        )
        for size in (1, 4, 64, 65536)
    },
}


class EndlessTarget(LargeTarget):
    """Target whose responses may have no end.

    The identifier of a request begins with the kind of its response.
    """

    def make_server(self):
        """Create the server that takes requests."""
        address = self.ip, deployment.TARGET_PORT
        return gevent.server.StreamServer(address, self._serve)

    def _serve(self, sock, _address):
        with sock:
            try:
                self._answer_requests(sock)
            except OSError:
                return

    def _answer_requests(self, sock):
        data = b''
        while True:
            while b'\r\n\r\n' not in data:
                more = sock.recv(_READ_BYTES)
                if not more:
                    return
                data += more
            head, _, data = data.partition(b'\r\n\r\n')
            length = _LENGTH.search(head)
            missing = int(length[1]) - len(data) if length else 0
            data = b'' if missing >= 0 else data[missing:]
            while missing > 0:
                missing -= len(sock.recv(_READ_BYTES)) or missing
            self._answer(sock, _REQUEST_ID.search(head)[1])

    def _answer(self, sock, request_id):
        gevent.sleep(self.work_s)
        kind = request_id.partition(b'.')[0].decode()
        fields = (
            b'HTTP/1.1 200 OK\r\nX-Rosemarycrank-Request-Id: %b\r\n'
            b'X-Rosemarycrank-Response-Signature: s\r\n' % request_id
        )
        if kind not in ENDLESS_RESPONSES:
            body = {'large': LARGE_BODY, 'middle': MIDDLE_BODY}.get(kind, b'x')
            length = b'Content-Length: %d\r\n\r\n' % len(body)
            sock.sendall(fields + length + body)
            return
        head, part = ENDLESS_RESPONSES[kind]
        sock.sendall(fields + head)
        # Few system calls, as the process of the targets is to keep up.
        part *= max(1, _READ_BYTES // len(part))
        for _ in itertools.count():
            sock.sendall(part)
            gevent.sleep(0.0)


class EndlessDeployment(deployment.Deployment):
    """Deployment of such targets."""

    def make_target(self, ip, service):
        """Create the target of a node."""
        return EndlessTarget(ip, service)


def start(cluster):
    """Start the nodes, and wait until they serve requests."""
    cluster.configure(1, read='archive', page='dues')
    cluster.start_all()
    cluster.wait_until_targets_are_known()
    cluster.wait_until(
        lambda: cluster.send(cluster.ips[1], 'page')[1] == 200,
        'no request was served',
    )


class Watch:
    """Memory of all nodes, and requests of clients beside a load.

    Parameters
    ----------
    cluster : Deployment
        The nodes.

    Attributes
    ----------
    peak_mb : float
        Most memory of any node.
    killed : list of str
        Addresses of the nodes that were killed above their limit.
    statuses, times_s : list
        Status of each request, and the seconds that it took.
    goes_on : bool
        Whether to go on; see `end`.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self.peak_mb = 0.0
        self.killed = []
        self.statuses = []
        self.times_s = []
        self.goes_on = True
        self._greenlets = [gevent.spawn(self._limit_memory)]
        self._greenlets += [
            gevent.spawn(self._send_requests, ip) for ip in cluster.ips
        ]

    def served_share(self):
        """Return the share of the requests that were served."""
        return self.statuses.count(200) / len(self.statuses)

    def _limit_memory(self):
        while self.goes_on:
            for ip in self._cluster.ips:
                used_mb = self._cluster.resident_mb(ip)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > _settings.DEFAULT_MEMORY_MB:
                    self.killed.append(ip)
                    self._cluster.signal(ip, signal.SIGKILL)
                    self._cluster.wait_for_exit(ip)
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _send_requests(self, ip):
        while self.goes_on:
            began_at = time.monotonic()
            self.statuses.append(self._cluster.send(ip, 'page')[1])
            self.times_s.append(time.monotonic() - began_at)
            gevent.sleep(SAMPLE_INTERVAL_S)

    def end(self):
        """Wait for the last requests."""
        self.goes_on = False
        gevent.joinall(self._greenlets)
