"""Tests of the proxy that injects faults into connections."""

import contextlib

import gevent
import gevent.server
import gevent.socket
import pytest

from tests.soak import proxy


@pytest.fixture
def received():
    """Bytes that arrived behind the proxy."""
    return bytearray()


@pytest.fixture
def link(received):
    """A proxy, and a connection through it."""

    def receive(sock, _address):
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65536):
                received.extend(data)

    server = gevent.server.StreamServer(('127.0.0.1', 0), receive)
    server.start()
    link_proxy = proxy.Proxy(('127.0.0.1', 0), server.address)
    sock = gevent.socket.create_connection(link_proxy.address, 1.0)
    yield link_proxy, sock
    sock.close()
    link_proxy.close()
    server.stop()


def _send(sock, data):
    sock.sendall(data)
    gevent.sleep(0.05)


def test_bytes_are_forwarded(link, received):
    _, sock = link
    _send(sock, b'1')
    _send(sock, b'2')
    assert received == b'12'


@pytest.mark.parametrize('closes', [False, True])
def test_nothing_follows_lost_bytes(link, received, closes):
    """Another fault that ends a loss early leaves no gap in the bytes."""
    link_proxy, sock = link
    _send(sock, b'1')
    link_proxy.forward = 'drop'
    _send(sock, b'2')
    link_proxy.forward = 'pass'
    _send(sock, b'3')
    if closes:
        sock.shutdown(gevent.socket.SHUT_WR)
    assert received == b'1'
    link_proxy.heal()
    with contextlib.suppress(ConnectionResetError):
        assert sock.recv(1) == b''
