"""Connections to the store, over real sockets."""

import contextlib
import socket
import struct

import gevent
import pytest

from rosemarycrank.dataplane import _http_client
from rosemarycrank.dataplane import _reactor

FIRST = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'

#: Time in which the loop passes on what is written, in seconds.
PASS_S = 0.05


# Guards against a write that is taken for done, as a second copy of the answer
# to an earlier call comes on a connection in use again.
@pytest.mark.real_time
@pytest.mark.parametrize('is_in_use', [False, True])
def test_second_copy_of_an_answer_is_no_reply_to_another_call(is_in_use):
    replies = []
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = _http_client.HttpClient(
            _reactor.Reactor(), listener.getsockname()
        )
        client.call('GET', '/1', None, 2.0, replies.append)
        gevent.sleep(PASS_S)
        store, _ = listener.accept()
        store.recv(4096)
        _send(store, FIRST)
        if not is_in_use:
            _send(store, FIRST)
        client.call('POST', '/2', b'{}', 2.0, replies.append)
        gevent.sleep(PASS_S)
        if is_in_use:
            _send(store, FIRST)
        _send(_connection_of_next_call(listener, store), SECOND)
    bodies = [reply.body for reply in replies if reply.status == 200]
    assert bodies == [b'first', b'second']


# Guards against a part of a reply that passes for a whole one.
@pytest.mark.real_time
@pytest.mark.parametrize(('is_reset', 'status'), [(True, 0), (False, 200)])
def test_reply_without_length_that_is_reset_is_no_reply(is_reset, status):
    replies = []
    with socket.create_server(('127.0.0.1', 0)) as listener:
        client = _http_client.HttpClient(
            _reactor.Reactor(), listener.getsockname()
        )
        client.call('GET', '/1', None, 2.0, replies.append)
        gevent.sleep(PASS_S)
        store, _ = listener.accept()
        store.recv(4096)
        store.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"rows": []')
        if is_reset:
            store.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        store.close()
        gevent.sleep(PASS_S)
    assert [reply.status for reply in replies] == [status]


def _connection_of_next_call(listener, earlier):
    """Return the new connection of a call, or the earlier one in use again."""
    listener.settimeout(PASS_S)
    try:
        return listener.accept()[0]
    except TimeoutError:
        return earlier


def _send(store, data):
    """Send data, on a connection that the client may have closed."""
    with contextlib.suppress(OSError):
        store.sendall(data)
    gevent.sleep(PASS_S)
