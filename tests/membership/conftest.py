"""Directories that talk through a queue in virtual time."""

import heapq
import itertools
import random

import pytest

from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank import membership

LATENCY_S = 0.001


class Member:
    """One node: a kernel with a directory, and its notices."""

    def __init__(self, address, incarnation, directory, seed, now):
        self.address = address
        self.notices = []
        self.paused = False
        self.directory = directory
        self.context = kernel.Context(address, incarnation, seed)
        self.context.timers.advance(now)
        for notice_type in (
            membership.MemberUp,
            membership.MemberLeft,
            membership.MemberFailed,
        ):
            self.context.subscribe(notice_type, self.notices.append)
        self.kernel = kernel.Kernel(self.context, [directory])

    def announce(self, service, **fields):
        self.directory.set_local_target(
            balancing.Target(
                self.address,
                self.context.incarnation,
                service,
                self.directory.failure_domain,
                **fields,
            )
        )

    def target_addresses(self, service):
        return sorted(t.address for t in self.directory.targets(service))


class Network:
    """Delivers messages in virtual time, with loss and cuts."""

    def __init__(self, seed=1, loss=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.by_address = {}
        self.cut = lambda a, b: False
        self.log = []
        self._sequence = itertools.count()
        self._queue = []

    def start(self, address, failure_domain='a', seeds=None, **parameters):
        directory = membership.GossipDirectory(
            failure_domain,
            seeds=tuple(self.by_address)[:2] if seeds is None else seeds,
            **parameters,
        )
        member = Member(
            address,
            self.random.getrandbits(64),
            directory,
            self.random.getrandbits(32),
            self.now,
        )
        self.by_address[address] = member
        self.flush(member)
        return member

    def kill(self, address):
        return self.by_address.pop(address)

    def pause(self, address):
        self.by_address[address].paused = True

    def wake(self, address):
        self.by_address[address].paused = False

    def flush(self, member):
        for effect in member.context.take_effects():
            if isinstance(effect, kernel.Send):
                self.log.append((self.now, member.address, effect))
                if self.random.random() >= self.loss:
                    self.post(member.address, effect)

    def post(self, sender, effect):
        latency_s = LATENCY_S * self.random.uniform(0.5, 3.0)
        heapq.heappush(
            self._queue,
            (self.now + latency_s, next(self._sequence), sender, effect),
        )

    def run(self, duration_s):
        end = self.now + duration_s
        while True:
            due, member = self._next_timer()
            if self._queue and self._queue[0][0] <= min(due, end):
                self._deliver()
            elif due <= end:
                self.now = max(self.now, due)
                member.kernel.context.timers.advance(self.now)
                self.flush(member)
            else:
                break
        self.now = end

    def run_until(self, condition, limit_s):
        start = self.now
        while not condition():
            assert self.now < start + limit_s, f'not within {limit_s} s'
            self.run(0.1)
        return self.now - start

    def _next_timer(self):
        return min(
            (
                (member.kernel.next_due(), member)
                for member in self.by_address.values()
                if not member.paused
            ),
            key=lambda pair: pair[0],
            default=(float('inf'), None),
        )

    def _deliver(self):
        due, _, sender, effect = heapq.heappop(self._queue)
        self.now = max(self.now, due)
        member = self.by_address.get(effect.address)
        if member is None or self.cut(sender, effect.address):
            return
        if member.paused:
            # A paused process finds its messages in the socket's buffer.
            self.post(sender, effect)
            return
        member.kernel.context.timers.advance(self.now)
        event = kernel.Received(sender, effect.message)
        effects = member.kernel.handle(event, self.now)
        for made in effects:
            member.context.emit(made)
        self.flush(member)


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def lossy_network():
    return Network(loss=0.05)
