"""The HTTP client sends each request at most once, whatever the method.

A library that sends again on a closed keep-alive connection would run a paid
request twice.
"""

import gevent
from gevent import server
import pytest

from rosemarycrank import http_client

KEEP_ALIVE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ClosingServer:
    """Answers the first requests, then closes without an answer."""

    def __init__(self, answers):
        self.arrivals = 0
        self._answer_count = answers
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def stop(self):
        """Stop serving."""
        self._server.stop()

    def _serve(self, connection, address):
        while connection.recv(65536):
            self.arrivals += 1
            if self.arrivals > self._answer_count:
                break
            connection.sendall(KEEP_ALIVE_RESPONSE)
        connection.close()


@pytest.fixture
def start_server():
    """A function that starts a `ClosingServer`."""
    started = []

    def start(answers):
        started.append(ClosingServer(answers))
        return started[-1]

    yield start
    for closing_server in started:
        closing_server.stop()


@pytest.mark.parametrize('answers', [0, 1, 4])
@pytest.mark.parametrize('method', ['GET', 'PUT', 'POST', 'DELETE'])
def test_request_arrives_once(start_server, method, answers):
    closing_server = start_server(answers)
    client = http_client.Client(
        '127.0.0.1', closing_server.port, max_connections=4
    )
    for _ in range(answers):
        assert client.request(method, '/').body == b'ok'
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', b'body' if method != 'GET' else b'')
    gevent.sleep(0.05)
    assert closing_server.arrivals == answers + 1


def test_timed_out_requests_return_their_connections(start_server):
    """A time-out that kept its connection would exhaust a limit of 2."""
    silent = server.StreamServer(('127.0.0.1', 0), _read_until_closed)
    silent.start()
    client = http_client.Client('127.0.0.1', silent.server_port, 2)
    for _ in range(6):
        with pytest.raises(http_client.AnswerLost):
            client.request('GET', '/', timeout_s=0.05)
    silent.stop()


def _read_until_closed(connection, address):
    while connection.recv(65536):
        pass
