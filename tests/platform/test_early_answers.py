"""Answers of a target before it has read the request, on real processes."""

import socket
import struct

import gevent
from gevent import server
import pytest

from benchmarks import _platform_deployment as deployment

#: More than the buffers between a node and its target take.
UPLOAD = 'x' * 16_000_000
PART = b'part of the body'
REQUESTS = 20


class _EarlyTarget(deployment.Target):
    """Target that answers a part at once and resets the connection."""

    def make_server(self):
        return server.StreamServer(
            (self.ip, deployment.TARGET_PORT), self._answer_early
        )

    def _answer_early(self, connection, _address):
        head = b''
        while b'\r\n\r\n' not in head:
            data = connection.recv(4096)
            if not data:
                return
            head += data
        fields = dict(
            line.split(b': ', 1)
            for line in head.partition(b'\r\n\r\n')[0].split(b'\r\n')[1:]
        )
        by_name = {name.lower(): value for name, value in fields.items()}
        request_id = by_name[b'x-rosemarycrank-request-id']
        self.runs_by_id[request_id.decode()] += 1
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nX-Rosemarycrank-Request-Id: %b\r\n'
            b'X-Rosemarycrank-Response-Signature: s.%b\r\n\r\n%b'
            % (request_id, request_id, PART)
        )
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        connection.close()


class _Deployment(deployment.Deployment):
    def make_target(self, ip, service):
        kind = _EarlyTarget if service == 'dues' else deployment.Target
        return kind(ip, service)


@pytest.fixture
def cluster(tmp_path, request):
    # The numbers of any two tests must differ, as in test_processes.py.
    number = 20 + sum(map(ord, request.node.name)) % 200
    cluster = _Deployment(tmp_path, f'127.4.{number}', ['archive', 'dues'])
    try:
        cluster.configure(1, read='archive', pay='dues')
        cluster.start_all()
        cluster.wait_until_targets_are_known()
        cluster.wait_until(
            lambda: cluster.send(cluster.ips[0], 'read')[1] == 200,
            'no request was answered with 200',
        )
        yield cluster
    finally:
        cluster.close()


# Guards against a client that gets a part of an answer as a complete one: its
# target had reset the connection while the upload was being written.
@pytest.mark.parametrize('node', [0, 1], ids=['two nodes', 'one node'])
def test_part_of_an_early_answer_is_not_passed_on(cluster, node):
    results = []
    for _ in range(REQUESTS):
        results.append(cluster.send(cluster.ips[node], 'pay', body=UPLOAD))
        gevent.sleep(0.01)
    statuses = [status for _, status, _ in results]
    assert statuses[0] == 502
    # After some of them the target is taken for one that has crashed.
    assert set(statuses) <= {502, 503}
    for name, status, _ in results:
        assert cluster.run_count(name) == (status == 502), name
