"""HTTP server that answers requests with prepared bytes."""

import gevent
from gevent import server
import pytest

from rosemarycrank import table_service


class ScriptedServer:
    """Records requests and answers each with the next prepared bytes.

    If the next answer is None or none is left, the server closes the
    connection without an answer.
    """

    def __init__(self):
        self.answers = []
        self.requests = []
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.url = f'http://127.0.0.1:{self._server.server_port}'

    def _serve(self, connection, _address):
        while True:
            request = _receive_request(connection)
            if not request:
                return
            self.requests.append(request)
            answer = self.answers.pop(0) if self.answers else None
            if answer is None:
                return
            connection.sendall(answer)

    def stop(self):
        self._server.stop()


def _receive_request(connection):
    """Return the next request; empty if the client closed the connection."""
    data = b''
    while b'\r\n\r\n' not in data:
        received = connection.recv(65536)
        if not received:
            return b''
        data += received
    head, body = data.split(b'\r\n\r\n', 1)
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.split(b':')[1])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b'\r\n\r\n' + body


@pytest.fixture
def scripted():
    scripted = ScriptedServer()
    yield scripted
    scripted.stop()


@pytest.fixture
def client(scripted):
    with gevent.Timeout(20):
        client = table_service.HttpPlatform(scripted.url, timeout_s=0.5)
        yield client
        client.close()
