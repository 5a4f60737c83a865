"""Bounds on connections of other nodes, in virtual time."""

import gc
import logging
import tracemalloc

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _inbound
from rosemarycrank.dataplane import _inbound_connections
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _peer_connection
from rosemarycrank.dataplane import _reactor
from tests.dataplane import fakes

#: Memory limit of the node, and number of connections that are opened.
LIMIT_BYTES = 30_000_000
CONNECTIONS = 200

#: Length of a frame of which all but the last byte is sent, in bytes.
FRAME_BYTES = 60_000
UNFINISHED = _frames.LENGTH.pack(FRAME_BYTES) + bytes(FRAME_BYTES - 1)


class _Stream:
    """Stream whose input a test passes to its owner."""

    def __init__(self, _reactor, _sock, owner):
        self.owner = owner
        self.is_open = True
        self.unsent_bytes = 0

    def write(self, data):
        """Keep the output, as if the other node did not read."""
        if self.is_open:
            self.unsent_bytes += len(data)

    def close(self, reset=False):
        self.is_open = False

    def catch_up(self):
        """Read nothing: input is passed by the tests."""

    def unacknowledged_bytes(self):
        return 0


class _OutboundStream(_Stream):
    is_connecting = False


@pytest.fixture
def node(reactor, make_side, monkeypatch):
    monkeypatch.setattr(_reactor, 'Stream', _Stream)
    monkeypatch.setattr(
        _reactor,
        'connect',
        lambda reactor, address, owner, keep_alive=False: _OutboundStream(
            reactor, address, owner
        ),
    )
    node = _node.Node(
        reactor,
        'n1',
        1,
        None,
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
        _memory.MemoryAccount(LIMIT_BYTES),
    )
    node.set_target_side(make_side(4))
    return node


@pytest.fixture
def connect(node):
    """Return a function that opens connections and passes them input."""

    def connect(data=b''):
        connection = _inbound.InboundConnection(node, None)
        node.inbound_connections.add(connection)
        if data and connection in node.inbound_connections:
            connection.received(data)
        return connection

    return connect


def _hello(number, address=None):
    return _frames.encode(
        fakes.hello(address or f'n{number}:1', incarnation=number)
    )


def _opened(node, connections):
    return [c for c in connections if c in node.inbound_connections]


# Guards against a node above its memory by frames whose ends are missing, with
# and without a handshake before them.
@pytest.mark.parametrize('has_handshake', [False, True])
def test_unfinished_frames_stay_within_their_budget(
    node, connect, has_handshake
):
    connections = [
        connect((_hello(number) if has_handshake else b'') + UNFINISHED)
        for number in range(10, 10 + CONNECTIONS)
    ]
    opened = _opened(node, connections)
    limit = _inbound_connections.MEMORY_SHARE * LIMIT_BYTES
    budget = node.input_budget
    assert 0.5 * limit < budget.used_bytes <= limit
    assert budget.used_bytes > len(opened) * FRAME_BYTES
    assert budget.refusals == CONNECTIONS - len(opened)
    for connection in opened:
        connection.close()
    assert budget.used_bytes == 0


# Guards against the same by a message without a body that is announced as
# large: it was in no account.
def test_large_messages_without_bodies_stay_within_their_budget(node, connect):
    length = 200_000
    data = _frames.LENGTH.pack(length) + bytes([0x91, 6]) + bytes(10_000)
    connections = [
        connect(_hello(number) + data)
        for number in range(10, 10 + CONNECTIONS)
    ]
    opened = _opened(node, connections)
    budget = node.input_budget
    assert opened
    assert len(opened) * length < budget.used_bytes <= budget.limit_bytes


# Guards against a message that takes all memory for input, and more: the
# connection goes on without it.
def test_message_without_a_body_that_never_fits_is_skipped(node, connect):
    connection = connect(_hello(10))
    length = LIMIT_BYTES
    connection.received(_frames.LENGTH.pack(length) + bytes([0x91, 6]))
    for _ in range(2, length, 65536):
        connection.received(bytes(min(65536, length - 2)))
        length -= 65536
    assert connection in node.inbound_connections
    assert node.input_budget.used_bytes < 100_000


# Guards against memory of closed connections that only a rare garbage
# collection frees, as their objects refer to each other.
def test_closed_connections_take_little_memory(node, connect):
    gc.disable()
    tracemalloc.start()
    try:
        kept = [connect(UNFINISHED) for _ in range(CONNECTIONS)]
        del kept
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    held_bytes = node.input_budget.used_bytes
    closed = CONNECTIONS - len(node.inbound_connections)
    size = _inbound_connections.CONNECTION_BYTES
    assert used_bytes <= held_bytes + closed * size


# Guards against a stranger that takes memory for attempts, or much memory for
# its handshake, before it has said who it is.
@pytest.mark.parametrize(
    'data',
    [
        _frames.encode(fakes.attempt(body=b'x' * 70_000))[:1000],
        _frames.LENGTH.pack(2_000_000) + bytes([0x91, 0]) + bytes(100),
        _frames.encode(fakes.attempt()),
    ],
)
def test_connection_without_a_handshake_may_not_send_more(node, connect, data):
    connection = connect(data)
    assert connection not in node.inbound_connections
    assert node.attempt_budget.used_bytes == 0
    assert node.input_budget.used_bytes == 0


def test_large_handshake_is_read(node, connect):
    records = [
        fakes.record(f'10.0.{number >> 8}.{number & 255}:7000')
        for number in range(2500)
    ]
    data = _frames.encode(fakes.hello('n2', records=records))
    assert len(data) > 2 * 65536
    connection = connect(data[:1000])
    for start in range(1000, len(data), 65536):
        connection.received(data[start : start + 65536])
    assert connection.connected
    assert len(node.directory.records_by_node) == 2500


# Guards against connections of nodes that are closed as strangers take all
# room, with and without handshakes.
@pytest.mark.parametrize('has_handshake', [False, True])
def test_known_nodes_keep_their_connections(node, connect, has_handshake):
    node.merge(fakes.record('n2'))
    known = connect(_hello(2, 'n2'))
    working = connect(_hello(3, 'n3') + _frames.encode(fakes.attempt()))
    for number in range(10, 10 + CONNECTIONS):
        connect((_hello(number) if has_handshake else b'') + UNFINISHED)
    known.received(UNFINISHED)
    working.received(UNFINISHED)
    assert known in node.inbound_connections
    assert working in node.inbound_connections


# Guards against strangers that keep a node which returns from connecting.
@pytest.mark.parametrize('has_handshake', [False, True])
def test_known_node_connects_beside_strangers(node, connect, has_handshake):
    node.merge(fakes.record('n2'))
    node.inbound_connections.max_count = 40
    for number in range(10, 10 + CONNECTIONS):
        connect((_hello(number) if has_handshake else b'') + UNFINISHED)
    known = connect()
    connect()
    known.received(_hello(2, 'n2'))
    for number in range(300, 300 + CONNECTIONS):
        connect((_hello(number) if has_handshake else b'') + UNFINISHED)
    known.received(UNFINISHED)
    assert known.connected
    assert known in node.inbound_connections


def test_the_oldest_strangers_keep_their_connections(node, connect):
    first = [connect(_hello(number)) for number in range(10, 15)]
    for number in range(20, 20 + CONNECTIONS):
        connect(_hello(number) + UNFINISHED)
    assert _opened(node, first) == first


# Guards against a node without descriptors for others.
def test_number_of_connections_is_bounded(node, connect):
    node.inbound_connections.max_count = 40
    without = [connect() for _ in range(CONNECTIONS)]
    opened = _opened(node, without)
    share = _inbound_connections.MAX_WITHOUT_HANDSHAKE_SHARE
    assert opened == without[-int(share * 40) :]
    greeted = [connect(_hello(number)) for number in range(CONNECTIONS)]
    opened = _opened(node, greeted)
    assert opened == greeted[:40]


# Guards against connections that never say who they are.
@pytest.mark.parametrize('sends', [False, True])
def test_connection_without_a_handshake_is_closed(
    node, reactor, connect, sends
):
    connection = connect(UNFINISHED[:10])
    greeted = connect(_hello(2))
    for _ in range(20):
        reactor.run(0.1)
        greeted.received(_frames.encode(_frames.Cancel(9)))
        if sends and connection in node.inbound_connections:
            connection.received(b'\0')
    assert connection not in node.inbound_connections
    assert greeted in node.inbound_connections


def test_closing_for_want_of_room_is_logged(node, connect, caplog):
    with caplog.at_level(logging.WARNING):
        for _ in range(CONNECTIONS):
            connect(UNFINISHED)
    (line,) = [
        record
        for record in caplog.records
        if getattr(record, 'event', None) == 'node_connection_refused'
    ]
    assert line.cause in ('memory', 'handshakes')


# Guards against results of known nodes that are lost to strangers' load, and
# against memory that is charged on when a connection is gone.
def test_peers_take_the_memory_of_strangers(node, connect):
    strangers = [
        connect(_hello(number) + UNFINISHED)
        for number in range(10, 10 + CONNECTIONS)
    ]
    count = len(_opened(node, strangers))
    peer = node.peer('10.0.0.2:7000')
    connection = _peer_connection.PeerConnection(peer, 1)
    connection.received(UNFINISHED)
    budget = node.input_budget
    assert len(_opened(node, strangers)) < count
    assert FRAME_BYTES < budget.used_bytes <= budget.limit_bytes
    connection.close()
    for stranger in _opened(node, strangers):
        stranger.close()
    assert budget.used_bytes == 0


# Guards against a node above its memory by nodes that ask and do not read the
# replies, which were in no account.
@pytest.mark.parametrize('is_known', [False, True])
def test_replies_that_are_not_read_stay_within_the_budget(
    node, connect, is_known
):
    ping = _frames.encode(_frames.Ping(-1, 0))
    if is_known:
        node.merge(fakes.record('n2'))
    reader = connect(_hello(2, 'n2'))
    others = [connect(_hello(number)) for number in range(10, 60)]
    for _ in range(20):
        for connection in _opened(node, others):
            # Those that are read together are answered once.
            for _ in range(500):
                connection.received(ping)
        reader._stream.unsent_bytes = 0
    budget = node.input_budget
    opened = _opened(node, others)
    unsent = sum(c._stream.unsent_bytes for c in opened)
    assert 0 < len(opened) < len(others)
    assert unsent <= budget.used_bytes <= budget.limit_bytes
    assert reader in node.inbound_connections
    for connection in opened:
        connection._stream.unsent_bytes = 0
        connection.check_silence()
    assert budget.used_bytes == (
        len(node.inbound_connections) * _inbound_connections.CONNECTION_BYTES
    )


# Guards against results for a node that does not read and goes on to send.
@pytest.mark.parametrize('reads', [False, True])
def test_connection_of_a_node_that_does_not_read_is_closed(
    node, connect, reactor, reads
):
    connection = connect(_hello(2))
    stream = connection._stream
    for _ in range(12):
        reactor.run(0.5)
        if connection in node.inbound_connections:
            connection.received(_frames.encode(_frames.Ping(-1, 0)))
            stream.unsent_bytes -= reads
    assert (connection in node.inbound_connections) == reads
    assert stream.is_open == reads


# Guards against random numbers of nodes that are kept for as long as one
# connection stays open.
def test_connection_has_one_handshake(node, connect):
    connection = connect(_hello(10))
    callers = node.target_side.callers.by_incarnation
    known = len(callers)
    for number in range(11, 500):
        if connection in node.inbound_connections:
            connection.received(_hello(number))
    assert connection not in node.inbound_connections
    assert len(callers) == known


# Guards against nodes of a large fleet that are kept from a small service by
# the bound on what strangers may open: all of them call its targets.
def test_known_nodes_exceed_the_bound_on_strangers(node, connect):
    node.inbound_connections.max_count = 20
    node.inbound_connections.max_known_count = 35
    for number in range(10, 60):
        node.merge(fakes.record(f'n{number}:1'))
    strangers = [connect(_hello(number)) for number in range(100, 150)]
    assert len(_opened(node, strangers)) == 20
    known = [connect(_hello(number)) for number in range(10, 60)]
    assert _opened(node, known) == known[:35]
    assert not _opened(node, strangers)
    assert connect(_hello(150)) not in node.inbound_connections


# Guards against a node whose processor time is taken by the pings of others:
# each of those that were read together was answered by itself.
def test_pings_that_are_read_together_are_answered_once(node, connect):
    connection = connect(_hello(2))
    written = []
    connection._stream.write = written.append
    connection.received(_frames.encode(_frames.Ping(-1, 0)) * 500)
    assert len(written) == 1
