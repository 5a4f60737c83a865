"""One callback that fails stops neither others nor its own next call."""

import socket

import attrs
import gevent
import pytest

from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _crash_exchange
from rosemarycrank.dataplane import _directory_sync
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _guard
from rosemarycrank.dataplane import _http_client
from rosemarycrank.dataplane import _peers
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _small_server
from tests.dataplane import fakes

PASS_S = 0.1


@pytest.fixture
def real_reactor():
    reactor = _reactor.Reactor()
    yield reactor
    # The loop is that of all tests.
    reactor._ticker.stop()


@pytest.fixture
def node(reactor):
    """A node in virtual time whose failures do not end the test."""
    reactor.guard = _guard.Guard(reactor.now)
    return fakes.make_node(reactor)


class _Failing:
    """Connection all of whose calls fail if it is so."""

    features = ~0
    connected = True

    def __init__(self, address, fails):
        self.address = address
        self.fails = fails
        self.calls = []

    def _call(self, *_arguments):
        self.calls.append(_arguments)
        if self.fails:
            raise OverflowError('test')

    notify = maintain = keep_connected = check_silence = _call
    check = check_timeouts = _call


@pytest.fixture
def connections():
    """Connections of which the first and the third fail."""
    return [_Failing(f'n{n}', n in (2, 4)) for n in (2, 3, 4, 5)]


def _fail(*_arguments):
    raise OverflowError('test')


def _events(caplog):
    return [getattr(record, 'event', record.msg) for record in caplog.records]


def test_failures_are_counted_and_few_are_logged(caplog):
    now = 1.0
    guard = _guard.Guard(lambda: now)
    for _ in range(100):
        assert guard.call(_fail, 1) is None
    assert guard.call(int, '7') == 7
    assert guard.failures_by_name == {'_fail': 100}
    assert _events(caplog) == ['callback_failed']
    now = 3.0
    guard.call(_fail)
    assert [record.suppressed for record in caplog.records] == [0, 99]


# Guards against pings, notices and checks that end for all nodes, as long as
# they fail for one of them.
@pytest.mark.parametrize(
    'act',
    [
        lambda node: node.broadcast(_frames.Leaving()),
        lambda node: node._check_peers(1.0),
        lambda node: node.crash_exchange.tell_all(['crash']),
        lambda node: node.crash_exchange._merge(['crash'], _Failing('x', 0)),
    ],
)
def test_failure_at_one_peer_spares_the_others(
    node, connections, monkeypatch, act
):
    monkeypatch.setattr(_crash_exchange, 'FANOUT', 4)
    monkeypatch.setattr(_crash_exchange, '_log_new', lambda *_: None)
    monkeypatch.setattr(node.crash_history, 'merge', lambda crashes: crashes)
    for connection in connections:
        node.peers_by_node[connection.address] = connection
    act(node)
    assert [len(connection.calls) for connection in connections] == [1] * 4
    assert node.reactor.guard.failures_by_name.total() == 2


def test_failure_at_one_caller_spares_the_others(node, connections):
    for connection in connections:
        node.inbound_connections.add(connection)
    node._check_silence(1.0)
    assert [len(connection.calls) for connection in connections] == [1] * 4


def test_later_checks_of_peers_follow_one_that_fails(node, monkeypatch):
    done = []
    monkeypatch.setattr(_directory_sync.DirectorySync, 'check', _fail)
    monkeypatch.setattr(node.crash_exchange, 'check', done.append)
    monkeypatch.setattr(node.usable_targets, 'update', lambda: done.append(0))
    node._check_peers(1.0)
    assert done == [1.0, 0]


def test_failure_at_one_contact_spares_the_others(node, monkeypatch):
    kept = []

    def keep_connected(peer):
        kept.append(peer.address)
        raise OverflowError('test')

    monkeypatch.setattr(_peers.Peer, 'keep_connected', keep_connected)
    for address in ('10.0.0.2:1', '10.0.0.3:1'):
        node.merge(fakes.record(address))
    node.reactor.run(1.0)
    assert set(kept) == {'10.0.0.2:1', '10.0.0.3:1'}


def test_failing_listener_for_a_configuration_spares_the_others(node):
    installed = []
    node.decode_configuration = lambda _body: fakes.configuration()
    node.on_configuration += [_fail, installed.append]
    node.install(b'', 'test')
    assert len(installed) == 1


@pytest.mark.parametrize('kind', ['clients', 'small'])
def test_failure_at_one_connection_spares_the_others(
    real_reactor, connections, kind
):
    if kind == 'clients':
        server = _clients.ClientServer(real_reactor, None)
        server._connections.update(connections)
    else:
        server = _small_server.HttpServer(
            real_reactor, ('127.0.0.1', 0), lambda _message: None
        )
        server.connections.update(connections)
    server._sweep(1.0)
    assert [len(connection.calls) for connection in connections] == [1] * 4
    if kind == 'small':
        server.connections.clear()
        server.close()


def test_failing_timer_spares_the_others_and_its_next_turn(
    real_reactor, caplog
):
    fired = []

    def fail(_now):
        fired.append('failing')
        raise OverflowError('test')

    real_reactor.timers.every(0.02, fail)
    real_reactor.timers.every(0.02, lambda _now: fired.append('other'))
    gevent.sleep(PASS_S)
    assert fired.count('failing') > 1
    assert fired.count('other') == fired.count('failing')
    assert _events(caplog).count('callback_failed') == 1


def test_failing_callback_is_logged_and_spares_the_next(real_reactor, caplog):
    called = []
    real_reactor.call_soon(_fail)
    real_reactor.call_soon(lambda: called.append(1))
    gevent.sleep(PASS_S)
    assert called == [1]
    assert 'callback_failed' in _events(caplog)


@attrs.define(eq=False)
class _Owner:
    """Owner of a stream whose handlers fail."""

    ends: list = attrs.field(factory=list)

    def received(self, data):
        raise OverflowError('test')

    def closed(self, error):
        self.ends.append(error)
        raise OverflowError('test')


# Guards against a connection that stays open and is not written to any more,
# as the loop stops a watcher whose callback fails.
@pytest.mark.parametrize('handler', ['received', 'on_drained'])
def test_failing_handler_of_a_connection_closes_it(
    real_reactor, caplog, handler
):
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    owner = _Owner()
    stream = _reactor.Stream(real_reactor, ours, owner)
    if handler == 'received':
        theirs.sendall(b'x')
    else:
        stream.on_drained = _fail
        stream.write(b'x')
    gevent.sleep(PASS_S)
    assert not stream.is_open
    assert len(owner.ends) == 1
    assert _events(caplog).count('callback_failed') == 2
    theirs.close()


# Guards against a port that accepts nothing any more, for the same reason.
@pytest.mark.parametrize('handler', ['is_full', 'on_accept', 'on_failure'])
def test_failing_handler_of_a_listener_does_not_stop_it(
    real_reactor, exhaust_descriptors, handler
):
    accepted = []

    def accept(sock, _ip):
        accepted.append(sock)
        sock.close()

    handlers = {'on_accept': accept, 'on_failure': None}
    handlers |= {'is_full': lambda: False, handler: _fail}
    listener = _reactor.Listener(real_reactor, ('127.0.0.1', 0), **handlers)
    with socket.socket() as first, socket.socket() as second:
        with socket.socket():
            if handler == 'on_failure':
                exhaust_descriptors()
            first.connect(listener.address)
            gevent.sleep(PASS_S)
        listener.on_accept = accept
        second.connect(listener.address)
        gevent.sleep(2 * PASS_S)
    assert accepted
    listener.close()


# Guards against a reply of the store whose handling fails without a line.
def test_failing_handler_of_a_reply_is_logged(real_reactor, caplog):
    server = _small_server.HttpServer(
        real_reactor,
        ('127.0.0.1', 0),
        lambda _message: _small_server.Reply(200),
    )
    client = _http_client.HttpClient(real_reactor, server.address)
    client.call('GET', '/', None, 1.0, _fail)
    gevent.sleep(PASS_S)
    assert _events(caplog).count('callback_failed') == 1
    server.close()
