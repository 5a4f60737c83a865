"""Simulated message delivery in virtual time between real components.

Messages pass through one queue with latency, loss, network partitions and
paused nodes. The components of the nodes are the real ones.
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

CLUSTER_KEY = b'k' * 32
BASE_LATENCY_S = 0.001  # multiplied by 0.5 to 3.0 for each message


@attrs.define(eq=False)
class Usage:
    """Traffic and processor time of one node.

    The counters are keyed by message kind, the class name of the message.
    Byte counts are those of encoded frames. ``handle_ns`` is the processor
    time to decode and handle received messages, ``encode_ns`` that to encode
    sent ones and ``tick_ns`` that of timers, all in nanoseconds.
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
    """One node: a kernel with its components, run in virtual time.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Incarnation of the node.
    directory : GossipDirectory
        Membership component of the node.
    extra_components : sequence of Component
        Other components of the node.
    seed : int
        Seed of the node's random number generator.
    now : float
        Virtual time at which the node starts, in seconds.

    Attributes
    ----------
    backlog : list of (str, object)
        Sender and frame of each message that arrived during a pause.
    notices : list of (float, object)
        Published membership notices, with their virtual times in seconds.
    """

    def __init__(
        self, address, incarnation, directory, extra_components, seed, now
    ):
        self.address = address
        self.directory = directory
        self.started_at = now
        self.paused = False
        self.backlog = []
        self.scheduled_at = None
        self.usage = Usage()
        self.notices = []
        self.codec = messages.Codec(CLUSTER_KEY, address)
        self.context = kernel.Context(address, incarnation, seed)
        self.context.timers.advance(now)
        for notice_type in (
            membership.MemberUp,
            membership.MemberLeft,
            membership.MemberFailed,
        ):
            self.context.subscribe(notice_type, self._record_notice)
        self.kernel = kernel.Kernel(
            self.context, [directory, *extra_components]
        )

    def announce(self, service, **fields):
        """Announce that an upstream of a service runs at this node."""
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
        """Return the sorted addresses of the known targets of a service."""
        return sorted(t.address for t in self.directory.targets(service))

    def _record_notice(self, notice):
        self.notices.append((self.context.now, notice))


class Network:
    """Set of members that exchange messages in virtual time.

    Parameters
    ----------
    seed : int, default=1
        Seed of latencies, message loss and the members' seeds.
    loss : float, default=0.0
        Fraction of messages that are lost.
    measures_usage : bool, default=False
        Whether to encode each sent message, decode it at the receiver and
        record bytes and processor time. Otherwise message objects are passed
        on without encoding.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    by_address : dict of str to Member
        Running and paused members.
    is_cut : callable
        Takes the addresses of sender and receiver and returns whether
        messages between them are dropped on arrival.
    on_send : callable
        Called with the sending member and the effect for each sent message.
    on_platform_request : callable
        Called with the member and the effect for each platform request.
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
        """Start a member; by default its seeds are the first two members.

        ``make_components`` takes the directory of the member and returns its
        other components.
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
        """Remove a member at once, without notice to the others."""
        return self.by_address.pop(address)

    def pause(self, address):
        """Stop the timers of a member and buffer the messages sent to it."""
        self.by_address[address].paused = True

    def resume(self, address):
        """Resume a paused member and deliver its buffered messages."""
        member = self.by_address[address]
        member.paused = False
        backlog, member.backlog = member.backlog, []
        for sender, frame in backlog:
            self._receive(member, sender, frame)
        self._schedule(member)

    def run(self, duration_s):
        """Deliver messages and fire timers for a span of virtual time."""
        end = self.now + duration_s
        for member in self.by_address.values():
            # Direct calls of component methods may have left effects.
            self._flush(member)
        while self._queue and self._queue[0][0] <= end:
            due, _, member, sender, frame = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            if frame is None:
                self._fire_timers(member, due)
            else:
                self._deliver(member, sender, frame)
        self.now = end

    def run_until(self, condition, timeout_s, step_s=0.1):
        """Run until a condition holds; return the elapsed virtual seconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold within ``timeout_s``.
        """
        start = self.now
        while not condition():
            if self.now - start >= timeout_s:
                raise TimeoutError(
                    f'condition did not hold within {timeout_s} s'
                )
            self.run(step_s)
        return self.now - start

    def handle_event(self, member, event):
        """Let a member handle an event, and apply the resulting effects."""
        self._apply_effects(member, member.kernel.handle(event, self.now))

    def reset_usage(self):
        """Reset the usage of all members to zero."""
        for member in self.by_address.values():
            member.usage = Usage()

    def _fire_timers(self, member, due):
        if member.scheduled_at != due or self._is_removed(member):
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
        elapsed_ns = time.thread_time_ns() - start
        if encoded:
            kind = type(message).__name__
            member.usage.received[kind] += 1
            member.usage.received_bytes[kind] += len(frame)
            member.usage.handle_ns[kind] += elapsed_ns
        self._apply_effects(member, effects)

    def _flush(self, member):
        self._apply_effects(member, member.context.take_effects())

    def _apply_effects(self, member, effects):
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
        latency_s = BASE_LATENCY_S * self.random.uniform(0.5, 3.0)
        self._enqueue(
            self.now + latency_s, effect.address, member.address, frame
        )

    def _schedule(self, member):
        due = member.kernel.next_due()
        if due is None or member.paused:
            return
        if member.scheduled_at is None or due < member.scheduled_at:
            member.scheduled_at = due
            self._enqueue(due, member, None, None)

    def _enqueue(self, due, receiver, sender, frame):
        heapq.heappush(
            self._queue, (due, next(self._sequence), receiver, sender, frame)
        )

    def _is_removed(self, member):
        return self.by_address.get(member.address) is not member
