"""Sockets while the process has no descriptor left."""

import socket

import gevent
import gevent.socket
import pytest

from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _descriptor_shares
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _http_client
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

#: Address at which nothing has to listen.
ADDRESS = ('127.0.0.1', 1)

#: Most tries to accept in `WAIT_S` that do not keep the processor busy.
MAX_TRIES = 10
WAIT_S = 0.3


@pytest.fixture
def real_reactor():
    reactor = _reactor.Reactor()
    yield reactor
    # The loop is that of all tests.
    reactor._ticker.stop()


@pytest.fixture
def listener(real_reactor):
    listener = _reactor.Listener(
        real_reactor, ('127.0.0.1', 0), lambda sock, _ip: sock.close()
    )
    yield listener
    listener.close()


def _has_ended(sock):
    try:
        return sock.recv(1) == b''
    except BlockingIOError:
        return False


@pytest.fixture
def client():
    with socket.socket() as client:
        yield client


# Guards against a log that tells nothing else, as each try to accept writes a
# line.
def test_few_lines_tell_that_no_connection_is_accepted(
    exhaust_descriptors, listener, client, caplog
):
    exhaust_descriptors()
    client.connect(listener.address)
    gevent.sleep(WAIT_S)
    lines = [r for r in caplog.records if r.event == 'accept_failed']
    assert len(lines) == 1
    assert listener.failures > 0


# Guards against an event loop that does nothing else than to try to accept.
def test_few_tries_to_accept_without_a_descriptor(
    exhaust_descriptors, listener, client
):
    exhaust_descriptors()
    client.connect(listener.address)
    gevent.sleep(WAIT_S)
    assert listener.failures <= MAX_TRIES


def test_connection_is_accepted_once_a_descriptor_is_free(
    exhaust_descriptors, listener, client
):
    with socket.socket():
        exhaust_descriptors()
        client.connect(listener.address)
        gevent.sleep(WAIT_S)
        assert listener.failures
    # The server closes the connections that it accepts.
    client.settimeout(0.0)
    with gevent.Timeout(5.0):
        while not _has_ended(client):
            gevent.sleep(0.05)


# Guards against clients that take the descriptors of other ports, as those
# that have just connected, or are busy, are not closed for room.
def test_clients_wait_while_too_many_are_connected(real_reactor):
    server = _clients.ClientServer(real_reactor, None, max_connections=10)
    address = server.listen(('127.0.0.1', 0))
    clients = [gevent.socket.create_connection(address) for _ in range(30)]
    gevent.sleep(WAIT_S)
    assert sum(server.count_by_state().values()) <= 11
    for client in clients:
        client.close()
    with gevent.Timeout(5.0):
        while sum(server.count_by_state().values()):
            gevent.sleep(0.05)
    server.stop_accepting()


# Guards against a slot that is lost for good with an attempt that could not
# be sent, and a caller that gets no result.
def test_attempt_without_a_descriptor_has_not_run(
    exhaust_descriptors, real_reactor
):
    names = _names.HeaderNames()
    side = _target.TargetSide(
        real_reactor,
        _upstream.UpstreamPool(real_reactor, ADDRESS, names),
        names,
        _counters.Counters(),
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
    )
    side.update_record(fakes.record())
    caller = side.callers.get(7)
    results = []
    caller.send = results.append
    exhaust_descriptors()
    side.accept(caller, fakes.attempt())
    gevent.sleep(0.05)
    assert [result.outcome for result in results] == [_frames.Outcome.NOT_RUN]
    assert side.running_count == 0


# Guards against a store that is not followed any more, as the call that would
# have been repeated ended with an exception.
def test_call_without_a_descriptor_has_a_reply(
    exhaust_descriptors, real_reactor
):
    client = _http_client.HttpClient(real_reactor, ADDRESS)
    replies = []
    exhaust_descriptors()
    client.call('GET', '/', None, 1.0, replies.append)
    gevent.sleep(0.05)
    assert [reply.status for reply in replies] == [0]
    assert 'Too many open files' in replies[0].error


def test_request_to_a_node_without_a_descriptor_has_not_run(
    exhaust_descriptors, real_reactor
):
    node = _node.Node(
        real_reactor,
        '127.0.0.1:2',
        1,
        None,
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
    )
    results = []
    exhaust_descriptors()
    node.peer('127.0.0.1:1').send(
        fakes.attempt(), results.append, fakes.RecordingConnection()
    )
    gevent.sleep(0.05)
    assert [result.outcome for result in results] == [_frames.Outcome.NOT_RUN]


@pytest.mark.parametrize('count', [64, 100, 256, 1024, 4096, 1_000_000])
def test_connections_to_ports_leave_descriptors_for_others(count):
    taken = (
        _descriptor_shares.OWN_COUNT
        + _clients.EXCESS_FACTOR * _descriptor_shares.clients(count)
        + 3 * _descriptor_shares.small_server(count)
    )
    assert count - taken >= 0.1 * count
