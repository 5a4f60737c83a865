"""Clients and nodes that make a node hold much, each within the limits."""

import abc
import itertools
import random
import struct
import time

import gevent
import gevent.socket
import msgspec

from benchmarks import _platform_deployment as deployment
from rosemarycrank.dataplane import _frames

#: Time that a peer waits for a connection, in seconds, and for which it opens
#: connections in all: a node short of processor time accepts them slowly.
CONNECT_TIMEOUT_S = 5.0
MAX_OPENING_S = 15.0

#: Receive buffer of those that do not read, in bytes.
UNREAD_BUFFER_BYTES = 4096

#: Header fields of an unfinished head: many short ones, in less than 13 KB.
FIELDS = b''.join(b'x%d: %d\r\n' % (number, number) for number in range(700))

#: Length of an unfinished frame, in bytes.
FRAME_BYTES = 60_000

_LENGTH = struct.Struct('>I')


class Load(abc.ABC):
    """Connections that are opened, written to and kept.

    Parameters
    ----------
    ip : str
        Address of the node.
    """

    port = deployment.CLIENT_PORT

    def __init__(self, ip):
        self._ip = ip
        self.sockets = []

    def run(self, count):
        """Open connections, one after the other, as fast as possible."""
        end = time.monotonic() + MAX_OPENING_S
        for number in range(count):
            if time.monotonic() > end:
                return
            self.add(number)

    def add(self, number):
        """Open one connection; one that is refused or reset is given up."""
        sock = gevent.socket.socket()
        self.sockets.append(sock)
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.setsockopt(
                gevent.socket.SOL_SOCKET,
                gevent.socket.SO_RCVBUF,
                UNREAD_BUFFER_BYTES,
            )
            sock.connect((self._ip, self.port))
        except OSError:
            sock.close()
            return
        gevent.spawn(self._send, sock, number)

    def parts(self, number):
        """Return an iterator over what is sent on a connection, in parts."""
        yield self.data(number)

    def _send(self, sock, number):
        """Send data, as far as the node reads it."""
        sock.settimeout(None)
        try:
            for part in self.parts(number):
                sock.sendall(part)
                gevent.sleep(0.0)
        except OSError:
            sock.close()

    @abc.abstractmethod
    def data(self, number):
        """Return what is sent on a connection."""

    def close(self):
        """Close all connections."""
        for sock in self.sockets:
            sock.close()


class UnfinishedHeads(Load):
    """Heads of requests to the client port whose last line is missing."""

    path = b'/read/1'

    def data(self, _number):
        return b'GET %b HTTP/1.1\r\nHost: h.example\r\n%b' % (
            self.path,
            FIELDS,
        )


class UnfinishedProbes(UnfinishedHeads):
    """The same at the readiness port, which allows 8192 bytes."""

    port = deployment.READY_PORT
    path = b'/rosemarycrank/ready'

    def data(self, number):
        return super().data(number)[:8000]


class UnfinishedHeartbeats(UnfinishedProbes):
    """The same at the control port."""

    port = deployment.CONTROL_PORT
    path = b'/rosemarycrank/instances/i-1'


class UnreadResponses(Load):
    """Requests ahead on one connection, whose responses are not read."""

    ahead = 16
    prefix = b'large'

    def __init__(self, ip, ahead=None, prefix=None):
        super().__init__(ip)
        self.ahead = ahead or self.ahead
        self.prefix = prefix or self.prefix

    def data(self, number):
        return b''.join(
            b'GET /read/1 HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Rosemarycrank-Request-Id: %b.%d.%d.%d\r\n'
            b'X-Rosemarycrank-Deadline-Ms: 8000\r\n\r\n'
            % (self.prefix, id(self), number, ahead)
            for ahead in range(self.ahead)
        )


class UnreadLargestResponses(UnreadResponses):
    """The same for responses about as large as a target may send."""

    prefix = b'largest'


class ManyAhead(UnreadResponses):
    """Many more requests ahead than may be in flight at once."""

    ahead = 200
    prefix = b'small'


class EndlessRequests(Load):
    """Requests with a part that is sent again, without end or often.

    Parameters
    ----------
    ip : str
        Address of the node.
    head, part : bytes
        Beginning of the request, and what follows it repeatedly.
    part_count : int or None, default=None
        Number of repetitions; None for no end.
    """

    path = b'/read/1'

    def __init__(self, ip, head, part, part_count=None):
        super().__init__(ip)
        self._head = head
        self._part = part
        self._part_count = part_count

    def data(self, number):
        """Return the request line and the first fields."""
        return (
            b'POST %b HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Rosemarycrank-Request-Id: body.%d.%d\r\n%b'
            % (self.path, id(self), number, self._head)
        )

    def parts(self, number):
        yield self.data(number)
        numbers = itertools.count()
        if self._part_count is not None:
            numbers = range(self._part_count)
        for _ in numbers:
            yield self._part


class UnfinishedFrames(Load):
    """Frames to the port of other nodes whose ends are missing."""

    port = 7620

    def data(self, _number):
        return _LENGTH.pack(FRAME_BYTES) + bytes(FRAME_BYTES - 1)


class UnfinishedFramesOfNodes(Load):
    """The same behind a handshake, as another node sends it."""

    port = 7620

    def data(self, number):
        hello = _frames.Hello(
            _frames.PROTOCOL_VERSION,
            f'127.0.0.1:{number + 1}',
            number + 1,
            0,
            -1,
            [],
            [],
        )
        payload = msgspec.msgpack.encode(hello)
        return b''.join(
            (
                _LENGTH.pack(len(payload)),
                payload,
                _LENGTH.pack(FRAME_BYTES),
                bytes(FRAME_BYTES - 1),
            )
        )


KINDS = (
    UnfinishedHeads,
    UnfinishedProbes,
    UnfinishedHeartbeats,
    UnreadResponses,
    ManyAhead,
    UnfinishedFrames,
    UnfinishedFramesOfNodes,
)


class Mixed:
    """Connections of all kinds at all ports, in random order.

    Parameters
    ----------
    ip : str
        Address of the node.
    seed : int
        Seed of the order and the shares.
    """

    def __init__(self, ip, seed):
        self._rng = random.Random(seed)
        self._loads = [kind(ip) for kind in KINDS]
        self._weights = [self._rng.random() for _ in KINDS]

    def run(self, count):
        """Open connections, of a few kinds at a time."""
        end = time.monotonic() + MAX_OPENING_S
        for number in range(count):
            if time.monotonic() > end:
                return
            (load,) = self._rng.choices(self._loads, self._weights)
            load.add(number)
            if not number % 16:
                gevent.sleep(0.0)

    def close(self):
        """Close all connections."""
        for load in self._loads:
            load.close()
