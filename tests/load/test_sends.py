"""The HTTP client sends each request once, whatever the method."""

import gevent
from gevent import server
import pytest

from rosemarycrank import http_client

KEPT_ALIVE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ClosingServer:
    """Answers the first requests, then reads and closes unanswered."""

    def __init__(self, answers):
        self.arrivals = 0
        self._answers = answers
        self._server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def stop(self):
        """Stop to serve."""
        self._server.stop()

    def _serve(self, connection, address):
        while connection.recv(65536):
            self.arrivals += 1
            if self.arrivals > self._answers:
                break
            connection.sendall(KEPT_ALIVE)
        connection.close()


@pytest.fixture
def start_server():
    """A function that starts a server that closes connections."""
    started = []

    def start(answers):
        started.append(ClosingServer(answers))
        return started[-1]

    yield start
    for closing in started:
        closing.stop()


@pytest.mark.parametrize('answers', [0, 1, 4])
@pytest.mark.parametrize('method', ['GET', 'PUT', 'POST', 'DELETE'])
def test_request_arrives_once(start_server, method, answers):
    closing = start_server(answers)
    client = http_client.Client('127.0.0.1', closing.port, max_connections=4)
    for _ in range(answers):
        assert client.request(method, '/').body == b'ok'
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', b'body' if method != 'GET' else b'')
    gevent.sleep(0.05)
    assert closing.arrivals == answers + 1


def test_timed_out_requests_give_their_place_back(start_server):
    silent = server.StreamServer(('127.0.0.1', 0), _read_for_ever)
    silent.start()
    client = http_client.Client('127.0.0.1', silent.server_port, 2)
    for _ in range(6):
        with pytest.raises(http_client.AnswerLost):
            client.request('GET', '/', timeout_s=0.05)
    silent.stop()


def _read_for_ever(connection, address):
    while connection.recv(65536):
        pass
