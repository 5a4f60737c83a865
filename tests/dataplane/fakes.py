"""Fakes of the collaborators of the data path's classes, in virtual time."""

import attrs

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _crash_history
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _exchange
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _guard
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _origins
from rosemarycrank.dataplane import _restart_times
from rosemarycrank.dataplane import _routes
from rosemarycrank.dataplane import _target
from rosemarycrank import kernel


class StrictGuard(_guard.Guard):
    """Guard that fails the test."""

    def record(self, callback):
        raise


class VirtualReactor:
    """Reactor whose clock advances only when a test calls `run`."""

    def __init__(self):
        self.timers = kernel.Timers()
        self.guard = StrictGuard()
        self._callbacks = []

    def now(self):
        return self.timers.now

    def is_behind(self, now):
        return False

    def unix_ms(self):
        return 1_700_000_000_000 + int(self.timers.now * 1000.0)

    def call_soon(self, callback):
        self._callbacks.append(callback)

    def run(self, seconds, step_s=0.01):
        """Advance the clock and run the timers that become due."""
        self._run_callbacks()
        end = self.timers.now + seconds
        while self.timers.now < end - 1e-9:
            self.timers.advance(min(end, self.timers.now + step_s))
            self._run_callbacks()

    def _run_callbacks(self):
        while self._callbacks:
            self._callbacks.pop(0)()


@attrs.define(eq=False)
class StartedCall:
    """Request that was sent to the local target."""

    request_id: bytes
    data: bytes
    on_answer: object
    aborted: bool = False


class FakePool:
    """Connection pool that records calls; the test answers them."""

    def __init__(self):
        self.calls = []

    def acquire(self, idempotent):
        return _FakeConnection(self)

    def probe(self, on_outcome):
        on_outcome(False)

    def has_lost_all(self, since):
        return False


class _FakeConnection:
    def __init__(self, pool):
        self._pool = pool
        self._call = None

    def start(self, request_id, head, body, without_body, on_answer):
        self._call = StartedCall(request_id, head + body, on_answer)
        self._pool.calls.append(self._call)

    def abort(self):
        self._call.aborted = True


class RecordingPeer:
    """Peer that records attempts and cancellations; the test ends them."""

    def __init__(self):
        self.sent = []
        self.cancelled = []
        self.notices = []
        self.address = ''
        self.features = 0
        self.reachable = True
        self.connected = True
        self.answers_late = False
        self.leaving = False
        self.load = None
        self.sent_since_load = 0
        self.outstanding = 0

    @property
    def responsive(self):
        return self.reachable and not self.answers_late

    def send(self, attempt, on_result, client):
        self.sent.append((attempt, on_result))

    def cancel(self, number):
        self.cancelled.append(number)

    def notify(self, frame):
        self.notices.append(frame)

    def mark_leaving(self):
        self.leaving = True


class RecordingConnection:
    """Client connection that records the responses as `answers`.

    Attributes
    ----------
    unread : list of callable
        What has arrived and has not been read.
    """

    def __init__(self):
        self.answers = []
        self.unread = []

    def catch_up(self):
        while self.unread:
            self.unread.pop(0)()

    def response_ready(self, exchange):
        self.answers.append(exchange.response + exchange.response_body)


def record(node='n1', **changes):
    """Return the record of a ready target at a node."""
    fields = {
        'node': node,
        'instance': f'i-{node}',
        'service': 'archive',
        'failure_domain': 'fd-a',
        'slots': 4,
        'state': 'ready',
        'born_ms': 1000,
        'sequence': 1,
    }
    return _frames.TargetRecord(**(fields | changes))


def hello(node='n2', **changes):
    """Return the handshake of a node that knows nothing."""
    fields = {
        'protocol': _frames.PROTOCOL_VERSION,
        'node': node,
        'incarnation': 2,
        'generation': 1,
        'configuration_version': -1,
        'records': [],
        'client_routes': [],
        'features': int(_frames.FEATURES),
    }
    return _frames.Hello(**(fields | changes))


def attempt(number=1, **changes):
    """Return an attempt for the target of node ``n1``."""
    fields = {
        'number': number,
        'instance': 'i-n1',
        'previous_offers': 0,
        'remaining_ms': 1000,
        'soft_deadline_ms': 500,
        'rank': 1.0,
        'idempotent': True,
        'route': 'read',
        'request_id': b'r%d' % number,
        'head': b'GET /a/ HTTP/1.1\r\nhost: h\r\n',
        'body': b'',
    }
    return _frames.Attempt(**(fields | changes))


def route(name='read', **changes):
    """Return a route to the service ``archive``."""
    fields = {
        'name': name,
        'host': b'h.example',
        'path_prefix': b'/a/',
        'services': (_routes.WeightedService('archive', 1.0),),
        'idempotent': True,
        'max_attempts': 2,
        'timeout_s': 2.0,
        'latency_goal_s': 0.5,
        'priority': 1,
    }
    return _routes.Route(**(fields | changes))


def configuration(*routes, version=1):
    """Return a configuration with the given routes."""
    return _routes.Configuration(version, routes, _http1.Limits(), b'{}')


def request(target=b'/a/1', method=b'GET', **extra_headers):
    """Return a parsed request; further headers are keyword arguments."""
    headers = [
        (b'host', b'h.example'),
        (b'rosemarycrank-request-id', b'r1'),
    ]
    headers += [
        (name.replace('_', '-').encode(), value)
        for name, value in extra_headers.items()
    ]
    return _http1.Message(method, target, 0, headers, dict(headers))


def result(number, outcome=0, reason=0, status=200, body=b'ok'):
    """Return the result of an attempt; complete by default."""
    return _frames.Result(number, outcome, reason, status, b'', body, None)


class FakeStore(_discovery.Store):
    """Store that records calls; the test answers the latest one."""

    def __init__(self):
        self.calls = []
        self.waits = []

    def read(self, table, on_reply):
        self.calls.append(('read', None, on_reply))

    def follow(self, table, after, wait_s, on_reply):
        self.calls.append(('follow', after, on_reply))
        self.waits.append(wait_s)

    def write(self, table, row, on_reply):
        self.calls.append(('write', row, on_reply))

    def answer(self, kind=_discovery.ReplyKind.OK, rows=(), version=0):
        self.calls[-1][2](_discovery.StoreReply(kind, rows, version, 'x'))


class _BusyTarget:
    def idle_s(self, now):
        return 0.0


class RefusingEntry:
    """Entry side that refuses requests."""

    def refuse_message(self, error, message, connection):
        exchange = _exchange.Exchange(b'', connection, False, None, 0.0)
        exchange.response = b'HTTP/1.1 %d Error\r\n\r\n' % error.status
        return exchange


def make_node(reactor, address='n1', front=None, decode=None):
    """Return a node with a target side whose target is a fake."""
    costs = _costs.CallCosts('archive')
    node = _node.Node(
        reactor, address, 1, decode, costs, front or _front.AdmitAll()
    )
    node.set_target_side(
        _target.TargetSide(
            reactor,
            FakePool(),
            _names.HeaderNames(),
            _counters.Counters(),
            costs,
            node.front,
        )
    )
    return node


class EntryNode:
    """Node as the entry side of a call sees it; the test ends its attempts."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.address = 'n0'
        self.configuration = configuration(
            route(),
            route('pay', path_prefix=b'/pay/', idempotent=False),
        )
        self.directory = _directory.Directory()
        self.restart_times = _restart_times.RestartTimes()
        self.peers_by_node = {}
        self.last_attempt_number = 0
        self.costs = _costs.CallCosts('archive')
        self.front = _front.AdmitAll()
        self.crash_history = _crash_history.CrashHistory(reactor)
        self.target_side = _BusyTarget()
        self.origins = _origins.RouteOrigins(0.0, lambda _route: None)
        self.origins.add_client_route('read')

    def peer(self, address):
        if address not in self.peers_by_node:
            self.peers_by_node[address] = RecordingPeer()
        return self.peers_by_node[address]

    def is_informed(self):
        return True

    def mark_leaving(self, address):
        self.peer(address).mark_leaving()
