"""Random plays of client connections and the entry side, in virtual time.

Clients send many requests behind each other, in pieces, leave at any point or
do not read; attempts end in any order and with any outcome.
"""

import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _clients
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes

#: Largest number of requests that a client sends behind each other.
MAX_PIPELINED = 80

#: Sizes of responses, in bytes.
RESPONSE_BYTES = [0, 100, 40_000, 300_000]

#: Memory of the process in half of the plays, in bytes; more in the others.
SMALL_MEMORY_BYTES = 4_000_000

#: Random plays, and steps in each of them.
PLAYS = 150
STEPS = 60

#: Time in which all requests of a play end, in seconds.
PLAY_ENDS_AFTER_S = 10.0

REQUEST = (
    b'GET /a/1 HTTP/1.1\r\nHost: h.example\r\n'
    b'rosemarycrank-request-id: %b\r\n\r\n'
)


class _Stream:
    """Stream with what has arrived and is not read, and what is not sent."""

    def __init__(self, _reactor, client, owner, connecting=False):
        self.owner = owner
        self.unsent_bytes = 0
        self.is_open = True
        self.on_drained = self.on_blocked = None
        self.sent = []
        self._arrived = []
        self._has_ended = False
        self._is_paused = False
        self._reads = True
        client.stream = self

    def arrive(self, data):
        self._arrived.append(data)

    def end(self):
        """Let the client close the connection."""
        self._has_ended = True

    def set_reading(self, reads):
        """Let the client read, or not."""
        self._reads = reads
        if reads and self.unsent_bytes and self.is_open:
            self.unsent_bytes = 0
            self.on_drained()

    def catch_up(self):
        if not self.is_open:
            return True
        if self._is_paused:
            return False
        while self.is_open and self._arrived and not self._is_paused:
            self.owner.received(self._arrived.pop(0))
        if self._has_ended and self.is_open and not self._is_paused:
            owner = self.owner
            self.close()
            owner.closed(None)
        return True

    def write(self, data):
        if not self.is_open:
            return
        self.sent.append(bytes(data))
        if not self._reads:
            self.unsent_bytes += len(data)
            self.on_blocked()

    def pause(self):
        self._is_paused = True

    def resume(self):
        self._is_paused = False

    def peer_has_closed(self):
        return self._has_ended

    def unread_bytes(self):
        return sum(map(len, self._arrived))

    def unacknowledged_bytes(self):
        return self.unsent_bytes

    def unsent_buffers(self):
        return [bytes(self.unsent_bytes)] if self.unsent_bytes else []

    def shutdown_write(self):
        if not self.unsent_bytes:
            self.on_drained()

    def close(self, reset=False):
        self.is_open = False
        self._arrived.clear()


class _Client:
    """Client with a connection.

    Attributes
    ----------
    stream : _Stream
        Its connection.
    request_ids : list of bytes
        Identifiers of its requests, in order.
    """

    def __init__(self):
        self.stream = None
        self.request_ids = []

    def bodies(self):
        """Return what has been answered, in order: a body or a status."""
        data = b''.join(self.stream.sent)
        bodies = []
        while data:
            head, _, data = data.partition(b'\r\n\r\n')
            status = int(head.split(b' ')[1])
            fields = head.lower().split(b'content-length: ')
            length = int(fields[1].split(b'\r\n')[0])
            body, data = data[:length], data[length:]
            bodies.append(body.rstrip(b'.') if status == 200 else status)
        return bodies


class _Play:
    """Clients of one node, its attempts at others, and random events."""

    def __init__(self, seed, reactor):
        self.source = random.Random(seed)
        self.reactor = reactor
        self.node = fakes.EntryNode(reactor)
        for name in ('n1', 'n2', 'n3'):
            self.node.directory.merge(fakes.record(name))
        rng = random.Random(seed)
        self.entry = _entry.EntrySide(
            self.node,
            _names.HeaderNames(),
            'front-desk',
            _balance.RandomTarget('fd-a', rng),
            _routes.ServicePicker(rng),
            _node.RetryBudgetSettings(),
            _counters.Counters(),
            rng,
        )
        account = _memory.MemoryAccount()
        if seed % 2:
            account = _memory.MemoryAccount(SMALL_MEMORY_BYTES)
        self.budgets = [
            account.budget(name)
            for name in ('requests', 'connections', 'output')
        ]
        self.server = _clients.ClientServer(
            reactor, self.entry, 20, *self.budgets
        )
        self.clients = []
        self.ended = set()
        self.count = 0

    def step(self):
        (event,) = self.source.choices(
            [
                self.connect,
                self.send,
                self.read,
                self.leave,
                self.block,
                self.end_attempts,
                self.wait,
            ],
            [2, 5, 6, 1, 1, 6, 2],
        )
        event()
        self.check()

    def connect(self):
        client = _Client()
        self.server._add_connection(client, '10.0.0.1')
        if client.stream is not None:
            self.clients.append(client)

    def send(self):
        client = self._choose()
        if client is None:
            return
        data = b''
        for _ in range(self.source.choice([1, 3, MAX_PIPELINED])):
            self.count += 1
            request_id = b'r%d' % self.count
            client.request_ids.append(request_id)
            data += REQUEST % request_id
        cut = self.source.randrange(len(data))
        client.stream.arrive(data[:cut])
        client.stream.arrive(data[cut:])

    def read(self):
        """Have the node read what has arrived."""
        client = self._choose()
        if client is not None:
            client.stream.catch_up()

    def leave(self):
        client = self._choose()
        if client is not None:
            client.stream.end()

    def block(self):
        """Have a client stop reading, or go on with it."""
        client = self._choose()
        if client is not None:
            client.stream.set_reading(self.source.random() < 0.6)

    def wait(self):
        self.reactor.run(self.source.choice([0.0, 0.05, 0.5]))

    def end_attempts(self):
        pending = self._pending()
        self.source.shuffle(pending)
        for peer, attempt, on_result in pending[: self.source.randint(1, 20)]:
            self._end(peer, attempt, on_result)

    def _end(self, peer, attempt, on_result):
        # A result before it may have had the attempt cancelled.
        if attempt.number in peer.cancelled:
            return
        self.ended.add(attempt.number)
        outcome = self.source.choice(
            [_frames.Outcome.COMPLETE] * 4
            + [_frames.Outcome.NOT_RUN, _frames.Outcome.UNKNOWN]
        )
        if outcome == _frames.Outcome.COMPLETE:
            size = self.source.choice(RESPONSE_BYTES)
            body = attempt.request_id + b'.' * size
            on_result(fakes.result(attempt.number, body=body))
        else:
            reason = _frames.Reason.ANSWER_LOST
            on_result(fakes.result(attempt.number, outcome, reason))

    def _choose(self):
        clients = [client for client in self.clients if client.stream.is_open]
        return self.source.choice(clients) if clients else None

    def _pending(self):
        """Return the attempts that have neither ended nor been cancelled."""
        return [
            (peer, attempt, on_result)
            for peer in self.node.peers_by_node.values()
            for attempt, on_result in peer.sent
            if attempt.number not in self.ended
            and attempt.number not in peer.cancelled
        ]

    def check(self):
        """Check the order of responses, and counts."""
        for client in self.clients:
            bodies = client.bodies()
            assert len(bodies) <= len(client.request_ids)
            for body, request_id in zip(bodies, client.request_ids):
                assert type(body) is int or body == request_id
        open_exchanges = [
            exchange
            for connection in self.server._connections
            for exchange in connection._exchanges
            if exchange.response is None
        ]
        assert self.entry.in_flight == len(open_exchanges)
        sent = [e for e in open_exchanges if e.attempt_number]
        assert len(self._pending()) == len(sent)

    def finish(self):
        """End all requests and connections; check that nothing is held."""
        for client in self.clients:
            client.stream.set_reading(True)
        self.reactor.run(PLAY_ENDS_AFTER_S)
        self.check()
        for client in self.clients:
            client.stream.end()
            client.stream.catch_up()
        self.reactor.run(PLAY_ENDS_AFTER_S)
        self.check()
        assert not self.server._connections
        assert self.entry.in_flight == 0
        assert [budget.used_bytes for budget in self.budgets] == [0, 0, 0]


# Guards against responses that reach another request, requests that are sent
# on for clients that have left, and memory or counts that outlast them.
@pytest.mark.parametrize('seed', range(PLAYS))
def test_responses_keep_their_order_and_nothing_is_held(
    seed, reactor, monkeypatch
):
    monkeypatch.setattr(_reactor, 'Stream', _Stream)
    play = _Play(seed, reactor)
    for _ in range(STEPS):
        play.step()
    play.finish()
