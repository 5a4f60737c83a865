"""Plain message delivery in virtual time between real state objects.

A queue with latency, loss, cuts and pauses; nothing of a cluster is
simulated beyond that.
"""

import collections
import heapq
import itertools
import random
import time

import attrs

from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank import membership
from rosemarycrank import messages

KEY = b'k' * 32
LATENCY_S = 0.001


@attrs.define(eq=False)
class Usage:
    """Traffic and processor time, by kind of message.

    Bytes are of encoded frames. ``tick_ns`` is the processor time of timers.
    """

    sent_bytes: collections.Counter = attrs.field(factory=collections.Counter)
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    received_bytes: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    received: collections.Counter = attrs.field(factory=collections.Counter)
    handle_ns: collections.Counter = attrs.field(factory=collections.Counter)
    encode_ns: int = 0
    tick_ns: int = 0


class Member:
    """One node: a kernel with components in virtual time.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Incarnation of the node.
    directory : GossipDirectory
        Its membership component.
    others : sequence of Component
        Further components.
    seed : int
        Seed of the node's random source.
    now : float
        Virtual time of its start, in seconds.
    """

    def __init__(self, address, incarnation, directory, others, seed, now):
        self.address = address
        self.directory = directory
        self.started_at = now
        self.paused = False
        self.backlog = []
        self.scheduled_at = None
        self.usage = Usage()
        self.notices = []
        self.codec = messages.Codec(KEY, address)
        self.context = kernel.Context(address, incarnation, seed)
        self.context.timers.advance(now)
        for notice_type in (
            membership.MemberUp,
            membership.MemberLeft,
            membership.MemberFailed,
        ):
            self.context.subscribe(notice_type, self._note)
        self.kernel = kernel.Kernel(self.context, [directory, *others])

    def announce(self, service, **fields):
        """Announce an upstream of a service at this node."""
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
        """Return the addresses of a service's targets, sorted."""
        return sorted(t.address for t in self.directory.targets(service))

    def _note(self, notice):
        self.notices.append((self.context.now, notice))


class Network:
    """Members and the messages between them.

    Parameters
    ----------
    seed : int, default=1
        Seed of latency, loss and members.
    loss : float, default=0.0
        Share of messages that are lost.
    measures_usage : bool, default=False
        Whether to encode and decode each message and take the time.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    by_address : dict of str to Member
        Members that run or are paused.
    is_cut : callable
        Takes sender and receiver, returns whether messages are dropped.
    on_send : callable
        Called with sender and effect for each message sent.
    """

    def __init__(self, seed=1, loss=0.0, measures_usage=False):
        self.random = random.Random(seed)
        self.loss = loss
        self.measures_usage = measures_usage
        self.now = 0.0
        self.by_address = {}
        self.is_cut = lambda sender, receiver: False
        self.on_send = lambda sender, effect: None
        self.on_platform_request = lambda member, effect: None
        self._sequence = itertools.count()
        self._queue = []

    def start(
        self,
        address,
        failure_domain='a',
        seeds=None,
        make_components=lambda directory: (),
        **parameters,
    ):
        """Start a member; seeds default to two members that run.

        ``make_components`` takes the directory and returns the components that
        the member has besides.
        """
        directory = membership.GossipDirectory(
            failure_domain,
            seeds=tuple(self.by_address)[:2] if seeds is None else seeds,
            **parameters,
        )
        member = Member(
            address,
            self.random.getrandbits(64),
            directory,
            make_components(directory),
            self.random.getrandbits(32),
            self.now,
        )
        self.by_address[address] = member
        self._flush(member)
        return member

    def kill(self, address):
        """End a member without a word."""
        return self.by_address.pop(address)

    def pause(self, address):
        """Stop a member's clock and keep what is sent to it."""
        self.by_address[address].paused = True

    def resume(self, address):
        """Let a paused member run, with its buffered messages."""
        member = self.by_address[address]
        member.paused = False
        backlog, member.backlog = member.backlog, []
        for sender, frame in backlog:
            self._receive(member, sender, frame)
        self._schedule(member)

    def run(self, duration_s):
        """Deliver messages and fire timers for some virtual time."""
        end = self.now + duration_s
        for member in self.by_address.values():
            # Calls from outside may have left effects.
            self._flush(member)
        while self._queue and self._queue[0][0] <= end:
            due, _, member, sender, frame = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            if frame is None:
                self._fire(member, due)
            else:
                self._deliver(member, sender, frame)
        self.now = end

    def run_until(self, condition, limit_s, step_s=0.1):
        """Run until a condition holds; return the virtual seconds.

        Raises
        ------
        TimeoutError
            If it does not hold within ``limit_s``.
        """
        start = self.now
        while not condition():
            if self.now - start >= limit_s:
                raise TimeoutError(f'not within {limit_s} s')
            self.run(step_s)
        return self.now - start

    def handle_event(self, member, event):
        """Hand an event to a member and carry out the effects."""
        self._carry_out(member, member.kernel.handle(event, self.now))

    def reset_usage(self):
        """Start measuring anew."""
        for member in self.by_address.values():
            member.usage = Usage()

    def _fire(self, member, due):
        if member.scheduled_at != due or self._is_gone(member):
            return
        member.scheduled_at = None
        if member.paused:
            return
        start = time.thread_time_ns()
        member.context.timers.advance(self.now)
        member.usage.tick_ns += time.thread_time_ns() - start
        self._flush(member)

    def _deliver(self, address, sender, frame):
        member = self.by_address.get(address)
        if member is None or self.is_cut(sender, address):
            return
        if member.paused:
            member.backlog.append((sender, frame))
        else:
            self._receive(member, sender, frame)

    def _receive(self, member, sender, frame):
        start = time.thread_time_ns()
        message = frame
        encoded = isinstance(frame, bytes)
        if encoded:
            sender, message = member.codec.decode(frame)
        event = kernel.Received(sender, message)
        effects = member.kernel.handle(event, self.now)
        spent_ns = time.thread_time_ns() - start
        if encoded:
            kind = type(message).__name__
            member.usage.received[kind] += 1
            member.usage.received_bytes[kind] += len(frame)
            member.usage.handle_ns[kind] += spent_ns
        self._carry_out(member, effects)

    def _flush(self, member):
        self._carry_out(member, member.context.take_effects())

    def _carry_out(self, member, effects):
        for effect in effects:
            if isinstance(effect, kernel.Send):
                self._send(member, effect)
            elif isinstance(effect, kernel.PlatformRequest):
                self.on_platform_request(member, effect)
        self._schedule(member)

    def _send(self, member, effect):
        self.on_send(member, effect)
        frame = effect.message
        if self.measures_usage:
            start = time.thread_time_ns()
            frame = member.codec.encode(effect.message)
            usage = member.usage
            usage.encode_ns += time.thread_time_ns() - start
            kind = type(effect.message).__name__
            usage.sent[kind] += 1
            usage.sent_bytes[kind] += len(frame)
        if self.loss and self.random.random() < self.loss:
            return
        latency_s = LATENCY_S * self.random.uniform(0.5, 3.0)
        self._push(self.now + latency_s, effect.address, member.address, frame)

    def _schedule(self, member):
        due = member.kernel.next_due()
        if due is None or member.paused:
            return
        if member.scheduled_at is None or due < member.scheduled_at:
            member.scheduled_at = due
            self._push(due, member, None, None)

    def _push(self, due, receiver, sender, frame):
        heapq.heappush(
            self._queue, (due, next(self._sequence), receiver, sender, frame)
        )

    def _is_gone(self, member):
        return self.by_address.get(member.address) is not member
