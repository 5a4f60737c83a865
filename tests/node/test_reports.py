"""Load and health of the local upstream, as its reports come."""

import gevent
from gevent import server
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _upstream

LOAD = b'{"in_flight": 3, "slots": 8}'


class _Origin:
    """Upstream that answers with prepared bodies, the last one for good."""

    def __init__(self, *loads):
        self.loads = list(loads)
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()
        self.address = f'127.0.0.1:{self.server.server_port}'

    def _serve(self, connection, _address):
        request = connection.recv(65536)
        body = b'{"healthy": true}'
        if request.startswith(b'GET /load'):
            body = self.loads[0]
            if len(self.loads) > 1:
                del self.loads[0]
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        connection.sendall(head + body)


# Guards against reports that stop for good after one that is odd.
@pytest.mark.parametrize(
    'odd',
    [
        b'',
        b'[]',
        b'{"in_flight": Infinity, "slots": 8}',
        b'{"in_flight": 1e999, "slots": 8}',
        b'{"in_flight": 1' + b'0' * 30 + b', "slots": 8}',
        b'{"in_flight": -1, "slots": 8}',
        b'{"in_flight": 3, "slots": 8, "x": ' + b'[' * 100_000 + b'}',
        b'[' * 100_000,
    ],
    ids=range(8),
)
def test_odd_report_is_left_out(monkeypatch, odd):
    monkeypatch.setattr(_upstream, 'REPORT_PERIOD_S', 0.01)
    origin = _Origin(odd, LOAD)
    events = []
    task = _upstream.UpstreamTask(events.append)
    task.connect(
        kernel.UpstreamAnnounced(
            address=origin.address, service='s', slots=8, max_connections=2
        )
    )
    with gevent.Timeout(10.0):
        while not events:
            gevent.sleep(0.01)
    task.stop()
    origin.server.stop()
    assert events[0] == kernel.UpstreamReport(
        in_flight=3, slots=8, healthy=True
    )
