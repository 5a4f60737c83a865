"""A server that answers each connection with prepared bytes."""

import gevent
from gevent import server
import pytest

from rosemarycrank import table_service


class ScriptedServer:
    """Counts requests and answers each with the next prepared bytes.

    None as an answer closes the connection without one.
    """

    def __init__(self):
        self.answers = []
        self.requests = []
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.url = f'http://127.0.0.1:{self._server.server_port}'

    def _serve(self, connection, _address):
        while True:
            request = _receive(connection)
            if not request:
                return
            self.requests.append(request)
            answer = self.answers.pop(0) if self.answers else None
            if answer is None:
                return
            connection.sendall(answer)

    def stop(self):
        self._server.stop()


def _receive(connection):
    data = b''
    while b'\r\n\r\n' not in data:
        block = connection.recv(65536)
        if not block:
            return b''
        data += block
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
