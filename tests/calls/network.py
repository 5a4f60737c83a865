"""Nodes in virtual time: real call path, fake membership and upstreams."""

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

LATENCY_S = 0.001
SERVICE_S = 0.010
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
class Holder:
    current: object = BUNDLE


class Directory(membership.Directory):
    """Directory that knows all nodes of a network, even dead ones."""

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
    """Runs every keyed request; for tests of the call path alone.

    It knows what ran anywhere in the network.
    """

    def __init__(self, network):
        self.network = network

    def submit(self, request, finish):
        self.run(request, finish)

    def query(self, key, finish):
        ran = self.network.runs_of(f'/{key}')
        result = results.Result.ANSWER_LOST if ran else results.Result.REVOKED
        finish(kernel.Answer(result))

    def issue(self, count):
        raise NotImplementedError

    def dump(self):
        return {}


@attrs.define
class Run:
    """One arrival at an upstream; ``started`` if it was not shed."""

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
    """Return the only right answer to a path."""
    return hashlib.sha256(path.encode()).digest()


class Network:
    """Hosts, messages between them, and faults.

    ``faults`` maps the index of a message to a callable that gets the
    network, sender, destination and message, and returns the delays with
    which copies arrive.
    """

    def __init__(self, seed=1):
        self.seed = seed
        self.now = 0.0
        self.hosts_by_address = {}
        self.targets_by_address = {}
        self.runs = []
        self.answers_by_request_id = {}
        self.faults = {}
        self.cut = set()
        self.silent = set()
        self.stopped = []
        self.message_count = 0
        self.incarnations = itertools.count(1)
        self._events = []
        self._sequence = itertools.count()
        self._waiting_nested = {}

    def add(
        self,
        address,
        service,
        upstream=None,
        controller=None,
        bundle=BUNDLE,
    ):
        """Start a node whose upstream serves a service."""
        incarnation = next(self.incarnations)
        context = kernel.Context(address, incarnation, self.seed + incarnation)
        directory = Directory(self)
        holder = Holder(bundle)
        target = calls.TargetCalls(
            'a', directory, controller or admission.PassThrough(), holder
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
        stopping = (target, requests, entry)
        lifecycle = calls.Lifecycle(directory, target, stopping)
        node = kernel.Kernel(
            context, (directory, key_ledger, *stopping, lifecycle)
        )
        self.hosts_by_address[address] = Host(node, upstream or serve)
        announced = kernel.UpstreamAnnounced(service, f'{address}-up')
        self._announce(address, announced, incarnation)

    def crash(self, address):
        """End a node with all that it knew."""
        self.hosts_by_address.pop(address, None)

    def pause(self, address, seconds):
        """Keep a node from running for a while."""
        self.hosts_by_address[address].paused_until = self.now + seconds

    def request(self, address, request_id, method='GET', **fields):
        """Have a client send a request to a node."""
        self.at(
            0.0,
            lambda: self.post(
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

    def at(self, delay_s, action):
        """Do something later."""
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._sequence), action)
        )

    def post(self, address, event):
        """Hand an event to a node now, or when its pause ends."""
        host = self.hosts_by_address.get(address)
        if host is None:
            return
        if host.paused_until > self.now:
            self.at(
                host.paused_until - self.now, lambda: self.post(address, event)
            )
            return
        for effect in host.kernel.handle(event, self.now):
            self._perform(address, host, effect)

    def run(self, until):
        """Let time pass."""
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

    def arrivals_of(self, path):
        """Return how often upstreams got a path."""
        return sum(run.path == path for run in self.runs)

    def runs_of(self, path):
        """Return how often upstreams ran a path."""
        return sum(run.path == path and run.started for run in self.runs)

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

    def _announce(self, address, announced, incarnation):
        host = self.hosts_by_address.get(address)
        if host is None or host.kernel.context.incarnation != incarnation:
            return
        self.post(address, announced)
        self.at(1.0, lambda: self._announce(address, announced, incarnation))

    def _perform(self, address, host, effect):
        match effect:
            case kernel.Send():
                self._send(address, effect.address, effect.message)
            case kernel.Reply():
                self._reply(effect)
            case kernel.ResetPeer():
                self.silent.discard((address, effect.address))
            case kernel.StopNow():
                self.stopped.append(address)
                self.crash(address)
            case kernel.UpstreamCall():
                service = self._service(host)
                started = host.upstream is not refuse
                self.runs.append(Run(effect.path, service, self.now, started))
                host.upstream(self, address, effect)

    def _service(self, host):
        target = next(p for p in host.kernel.components if p.name == 'target')
        return target.upstream_.service

    def _reply(self, effect):
        nested = self._waiting_nested.pop(effect.request_id, None)
        if nested is not None:
            nested(effect.answer)
            return
        assert effect.request_id not in self.answers_by_request_id
        self.answers_by_request_id[effect.request_id] = effect.answer

    def _send(self, sender, destination, message):
        index = self.message_count
        self.message_count += 1
        delays = [] if (sender, destination) in self.silent else [LATENCY_S]
        fault = self.faults.get(index)
        if fault is not None:
            delays = fault(self, sender, destination, message)
        received = kernel.Received(sender, message)
        for delay in delays:
            self.at(delay, lambda: self._arrive(sender, destination, received))

    def _arrive(self, sender, destination, received):
        if frozenset((sender, destination)) not in self.cut:
            self.post(destination, received)

    def silence(self, sender, destination):
        """Swallow what goes over a connection until it is replaced."""
        self.silent.add((sender, destination))

    def nested_call(self, address, token, service, path, then):
        """Have the upstream of a node call on through that node."""
        request_id = f'nested-{next(self._sequence)}'
        self._waiting_nested[request_id] = then
        self.at(
            0.0,
            lambda: self.post(
                address,
                kernel.ClientRequest(
                    request_id, service, 'GET', path, {}, b'', token=token
                ),
            ),
        )


def serve(network, address, call):
    """Answer whole after the service time."""
    _answer_later(network, address, call, results.Result.OK)


def refuse(network, address, call):
    """Shed the request, and say so."""
    _answer_later(network, address, call, results.Result.UPSTREAM_REFUSED)


def lose(network, address, call):
    """Run the request and lose the answer."""
    _answer_later(network, address, call, results.Result.ANSWER_LOST)


def _answer_later(network, address, call, result):
    answer = kernel.UpstreamAnswer(
        call.token, result, status=200, body=answer_body(call.path)
    )
    network.at(SERVICE_S, lambda: network.post(address, answer))
