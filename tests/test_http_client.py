"""The HTTP client sends once and never passes on part of an answer."""

import gevent
from gevent import server
import pytest

from rosemarycrank import http_client

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


class _Server:
    """Takes requests, counts them, and answers with fixed bytes."""

    def __init__(self):
        self.arrivals = 0
        self.answer = b''
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve)
        self.server.start()

    def _serve(self, sock, address):
        while sock.recv(65536):
            self.arrivals += 1
            if self.answer:
                sock.sendall(self.answer)
            if not self.answer.endswith(b'whole'):
                break
        sock.close()


@pytest.fixture
def origin():
    origin = _Server()
    yield origin
    origin.server.stop()


@pytest.fixture
def client(origin):
    client = http_client.Client('127.0.0.1', origin.server.server_port)
    yield client
    client.close()


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
def test_a_closed_connection_leaves_one_arrival(origin, client, method):
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', body=b'x', timeout_s=5)
    gevent.sleep(0.05)
    assert origin.arrivals == 1


@pytest.mark.parametrize('method', ['GET', 'PUT'])
def test_a_reused_connection_that_closes_leaves_one_arrival(
    origin, client, method
):
    origin.answer = HEAD % 5 + b'whole'
    assert client.request('GET', '/', timeout_s=5).body == b'whole'
    origin.answer = b''
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', timeout_s=5)
    assert origin.arrivals == 2


@pytest.mark.parametrize('sent', [0, 3, 5000])
def test_a_short_answer_is_refused(origin, client, sent):
    origin.answer = HEAD % 10000 + b'x' * sent
    with pytest.raises(http_client.AnswerTruncated):
        client.request('GET', '/', timeout_s=5)


def test_an_oversized_answer_is_refused(origin, client):
    origin.answer = HEAD % (1 << 40)
    with pytest.raises(http_client.AnswerTruncated, match='allowed'):
        client.request('GET', '/', timeout_s=5)


def test_no_listener_means_not_sent(origin, client):
    origin.server.stop()
    with pytest.raises(http_client.ConnectFailed):
        client.request('POST', '/', body=b'x', timeout_s=5)


def test_a_silent_server_is_given_up(origin, client):
    origin.server.stop()
    silent = server.StreamServer(
        ('127.0.0.1', 0), lambda sock, address: gevent.sleep(30)
    )
    silent.start()
    client = http_client.Client('127.0.0.1', silent.server_port)
    with pytest.raises(http_client.AnswerLost):
        client.request('GET', '/', timeout_s=0.2)
    silent.stop(timeout=0)
