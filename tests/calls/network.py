"""Simulated network of nodes in virtual time.

The call path is the real one; membership, the ledger and the upstreams are
replaced by simple fakes.
"""

import hashlib
import heapq
import itertools

import attrs

from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import bundles
from rosemarycrank import calls
from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import membership
from rosemarycrank import results
from rosemarycrank import retry

MESSAGE_LATENCY_S = 0.001
SERVICE_TIME_S = 0.010
GRACE_S = 30.0
BUNDLE = bundles.Bundle(
    name='test',
    version=1,
    classes_by_name={
        'read': bundles.RequestClass('read', rank=1, allowance=3),
        'paid': bundles.RequestClass('paid', 0, idempotent=False, allowance=3),
    },
    rules=(
        bundles.Rule('s', 'paid', method='POST'),
        bundles.Rule('s', 'read'),
        *(bundles.Rule(f's{level}', 'read') for level in range(9)),
    ),
    services=('s', *(f's{level}' for level in range(9))),
)


@attrs.define
class BundleHolder:
    current: object = BUNDLE


class FakeDirectory(membership.Directory):
    """Directory that knows all targets of a network, even crashed ones."""

    def __init__(self, network):
        self.network = network

    def targets(self, service):
        by_address = self.network.targets_by_address
        return [t for t in by_address.values() if t.service == service]

    def members(self):
        return list(self.network.targets_by_address)

    def set_local_target(self, target):
        address = self.context.address
        if target is None:
            self.network.targets_by_address.pop(address, None)
        else:
            self.network.targets_by_address[address] = target

    def leave(self):
        self.set_local_target(None)

    def dump(self):
        return {}


class DirectLedger(ledger.Ledger):
    """Ledger that runs every keyed request immediately, without claims.

    It answers queries from the arrivals at all upstreams of the network.
    """

    def __init__(self, network):
        self.network = network

    def submit(self, request, finish):
        self.run(request, finish)

    def query(self, key, finish):
        ran = self.network.count_runs(f'/{key}')
        result = results.Result.ANSWER_LOST if ran else results.Result.REVOKED
        finish(kernel.Answer(result))

    def issue(self, count):
        raise NotImplementedError

    def dump(self):
        return {}


@attrs.define
class Arrival:
    """Arrival of a request at an upstream.

    ``started`` is False if the upstream shed the request.
    """

    path: str
    service: str
    time: float
    started: bool


@attrs.define(eq=False)
class Host:
    """A node and its upstream."""

    kernel: kernel.Kernel
    upstream: object
    paused_until: float = 0.0
    held: list = attrs.field(factory=list)


def answer_body(path):
    """Return the body that upstreams send as the answer to a path."""
    return hashlib.sha256(path.encode()).digest()


class Network:
    """Hosts, messages between them, and faults.

    ``faults`` maps the index of a message to a callable that takes the
    network, sender, destination and message. It returns the delays, in
    seconds, after which copies of the message arrive; an empty list drops
    the message.
    """

    def __init__(self, seed=1):
        self.seed = seed
        self.now = 0.0
        self.hosts_by_address = {}
        self.targets_by_address = {}
        self.arrivals = []
        self.answers_by_request_id = {}
        self.faults = {}
        self.cut_links = set()
        self.silent_connections = set()
        self.stopped_addresses = []
        self.message_count = 0
        self.incarnations = itertools.count(1)
        self._events = []
        self._sequence = itertools.count()
        self._nested_callbacks = {}

    def add_node(
        self,
        address,
        service,
        upstream=None,
        controller=None,
        bundle=BUNDLE,
        grace_s=GRACE_S,
        **target_parameters,
    ):
        """Start a node whose upstream serves a service.

        Further parameters are those of `TargetCalls`.
        """
        incarnation = next(self.incarnations)
        context = kernel.Context(address, incarnation, self.seed + incarnation)
        directory = FakeDirectory(self)
        holder = BundleHolder(bundle)
        target = calls.TargetCalls(
            'a',
            directory,
            controller or admission.PassThrough(),
            holder,
            **target_parameters,
        )
        key_ledger = DirectLedger(self)
        entry = calls.EntryCalls(
            directory,
            balancing.RandomChoice('a', context.random),
            retry.Unlimited(),
            holder,
            target,
        )
        requests = calls.ClientRequests(holder, key_ledger, target, entry)
        drained = (target, requests, entry)
        lifecycle = calls.Lifecycle(directory, target, drained, grace_s)
        node = kernel.Kernel(
            context, (directory, key_ledger, *drained, lifecycle)
        )
        self.hosts_by_address[address] = Host(node, upstream or serve)
        announcement = kernel.UpstreamAnnounced(service, f'{address}-up')
        self._announce(address, announcement, incarnation)

    def crash(self, address):
        """End a node; its whole state is lost."""
        self.hosts_by_address.pop(address, None)

    def pause(self, address, seconds):
        """Pause a node; its events are delivered when the pause ends."""
        self.hosts_by_address[address].paused_until = self.now + seconds

    def send_request(self, address, request_id, method='GET', **fields):
        """Send a request of a client to a node."""
        self.schedule(
            0.0,
            lambda: self.deliver(
                address,
                kernel.ClientRequest(
                    request_id=request_id,
                    service=fields.pop('service', 's'),
                    method=method,
                    path=fields.pop('path', f'/{request_id}'),
                    headers={},
                    body=b'',
                    key=fields.pop('key', request_id),
                    **fields,
                ),
            ),
        )

    def schedule(self, delay_s, action):
        """Call an action after a delay."""
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._sequence), action)
        )

    def deliver(self, address, event):
        """Deliver an event to a node now, or when its pause ends."""
        host = self.hosts_by_address.get(address)
        if host is None:
            return
        if host.paused_until > self.now:
            self.schedule(
                host.paused_until - self.now,
                lambda: self.deliver(address, event),
            )
            return
        for effect in host.kernel.handle(event, self.now):
            self._perform(address, host, effect)

    def run(self, until):
        """Run all events that are due up to a time."""
        while True:
            due = self._next_due()
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            if self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            else:
                self._advance()
        self.now = until

    def count_arrivals(self, path):
        """Return how many requests for a path arrived at upstreams."""
        return sum(arrival.path == path for arrival in self.arrivals)

    def count_runs(self, path):
        """Return how many requests for a path upstreams ran."""
        return sum(
            arrival.path == path and arrival.started
            for arrival in self.arrivals
        )

    def _next_due(self):
        times = [self._events[0][0]] if self._events else []
        for host in self.hosts_by_address.values():
            due = host.kernel.next_due()
            if due is not None:
                times.append(max(due, host.paused_until))
        return min(times) if times else None

    def _advance(self):
        for address, host in list(self.hosts_by_address.items()):
            due = host.kernel.next_due()
            if due is None or max(due, host.paused_until) > self.now:
                continue
            for effect in host.kernel.advance(self.now):
                self._perform(address, host, effect)

    def _announce(self, address, announcement, incarnation):
        host = self.hosts_by_address.get(address)
        if host is None or host.kernel.context.incarnation != incarnation:
            return
        self.deliver(address, announcement)
        self.schedule(
            1.0, lambda: self._announce(address, announcement, incarnation)
        )

    def _perform(self, address, host, effect):
        match effect:
            case kernel.Send():
                self._send(address, effect.address, effect.message)
            case kernel.Reply():
                self._reply(effect)
            case kernel.ResetPeer():
                self.silent_connections.discard((address, effect.address))
            case kernel.StopNow():
                self.stopped_addresses.append(address)
                self.crash(address)
            case kernel.UpstreamCall():
                service = self._service(host)
                started = host.upstream is not refuse
                self.arrivals.append(
                    Arrival(effect.path, service, self.now, started)
                )
                host.upstream(self, address, effect)

    def _service(self, host):
        target = next(p for p in host.kernel.components if p.name == 'target')
        return target.upstream_.service

    def _reply(self, effect):
        nested = self._nested_callbacks.pop(effect.request_id, None)
        if nested is not None:
            nested(effect.answer)
            return
        assert effect.request_id not in self.answers_by_request_id
        self.answers_by_request_id[effect.request_id] = effect.answer

    def _send(self, sender, destination, message):
        index = self.message_count
        self.message_count += 1
        delays = (
            []
            if (sender, destination) in self.silent_connections
            else [MESSAGE_LATENCY_S]
        )
        fault = self.faults.get(index)
        if fault is not None:
            delays = fault(self, sender, destination, message)
        received = kernel.Received(sender, message)
        for delay in delays:
            self.schedule(
                delay, lambda: self._arrive(sender, destination, received)
            )

    def _arrive(self, sender, destination, received):
        if frozenset((sender, destination)) not in self.cut_links:
            self.deliver(destination, received)

    def silence_connection(self, sender, destination):
        """Drop all messages on a connection until it is replaced."""
        self.silent_connections.add((sender, destination))

    def nested_call(
        self, address, token, service, path, on_answer, method='GET', key=''
    ):
        """Make a nested call from the upstream of a node through that node."""
        request_id = f'nested-{next(self._sequence)}'
        self._nested_callbacks[request_id] = on_answer
        self.schedule(
            0.0,
            lambda: self.deliver(
                address,
                kernel.ClientRequest(
                    request_id,
                    service,
                    method,
                    path,
                    {},
                    b'',
                    key=key,
                    token=token,
                ),
            ),
        )


def serve(network, address, call):
    """Answer completely after the service time."""
    _schedule_answer(network, address, call, results.Result.OK)


def refuse(network, address, call):
    """Report after the service time that the request was shed."""
    _schedule_answer(network, address, call, results.Result.UPSTREAM_REFUSED)


def lose_answer(network, address, call):
    """Run the request, but lose the answer."""
    _schedule_answer(network, address, call, results.Result.ANSWER_LOST)


def _schedule_answer(network, address, call, result):
    answer = kernel.UpstreamAnswer(
        call.token, result, status=200, body=answer_body(call.path)
    )
    network.schedule(SERVICE_TIME_S, lambda: network.deliver(address, answer))
