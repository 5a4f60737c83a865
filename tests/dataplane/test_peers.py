"""Attempts over connections that are reset, silent or replaced."""

import errno
import random

import attrs
import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _peers
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

TARGET = '10.0.0.2:7000'
ENTRY = '10.0.0.1:7000'


class _Endpoint:
    """Endpoint of a simulated connection."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.remote = None
        self.owner = None
        self.is_open = True
        self.unsent_bytes = 0
        self.drops_output = False

    def write(self, data):
        if self.is_open and not self.drops_output:
            self.simulation.schedule(lambda: self.remote._receive(data))

    def close(self, reset=False):
        if not self.is_open:
            return
        self.is_open = False
        if not self.drops_output:
            error = OSError(errno.ECONNRESET, 'reset') if reset else None
            self.simulation.schedule(lambda: self.remote._lost(error))

    def _receive(self, data):
        if self.is_open:
            self.owner.received(data)

    def _lost(self, error):
        if self.is_open:
            self.is_open = False
            self.owner.closed(error)


@attrs.define(eq=False)
class _Run:
    request_id: bytes
    ended: bool = False


class _Simulation:
    """Entry node, node of a target, and the connections between them.

    Time is virtual; delays and service times come from a seeded generator.
    """

    def __init__(self, reactor, seed):
        self.reactor = reactor
        self.random = random.Random(seed)
        self.links = []
        self.refuses_connections = False
        self.ignores_connections = False
        self.runs = []
        self.entry = self._new_node(ENTRY)
        self.target = None
        self.restart()

    def schedule(self, callback):
        delay_s = 0.001 + 0.003 * self.random.random()
        due_at = self.reactor.now() + delay_s
        # Deliveries keep their order, as the bytes of a TCP connection do.
        self._last_due_at = max(
            due_at, getattr(self, '_last_due_at', 0.0) + 1e-6
        )
        self.reactor.timers.after(
            self._last_due_at - self.reactor.now(), lambda _now: callback()
        )

    def restart(self):
        """Replace the process of the target's node by a new one."""
        for endpoint in self.links:
            endpoint.remote.close(reset=True)
        self.links.clear()
        self.target = self._new_node(TARGET)
        self.target.target_side.update_record(fakes.record(TARGET, slots=50))

    def connect(self, _reactor_, _address, owner, keep_alive=False):
        near, far = _Endpoint(self), _Endpoint(self)
        near.remote, far.remote = far, near
        near.owner = owner
        if self.refuses_connections:
            near.drops_output = True
            error = OSError(errno.ECONNREFUSED, 'refused')
            self.schedule(lambda: near._lost(error))
        elif self.ignores_connections:
            near.drops_output = True
        else:
            self.links.append(near)
            far_socket = far
            self.target.accept_for_test(far_socket)
        return near

    def break_connections(self, fault_kind):
        """Break the open connections.

        Parameters
        ----------
        fault_kind : str
            ``reset`` sends resets to both ends, ``silent`` drops all data in
            both directions, ``one_way`` drops the data to the entry node.
        """
        for near in self.links:
            if fault_kind == 'reset':
                near.close(reset=True)
                near.owner.closed(OSError(errno.ECONNRESET, 'reset'))
            if fault_kind in ('silent', 'one_way'):
                near.remote.drops_output = True
            if fault_kind == 'silent':
                near.drops_output = True
        self.links.clear()

    def acquire(self, _idempotent):
        return _Call(self)

    def count_runs(self, request_id):
        return sum(run.request_id == request_id for run in self.runs)

    def _new_node(self, address):
        costs = _costs.CallCosts('archive')
        front = _front.AdmitAll()
        incarnation = self.random.getrandbits(60)
        node = _node.Node(
            self.reactor, address, incarnation, None, costs, front
        )
        node.set_target_side(
            _target.TargetSide(
                self.reactor,
                self,
                _names.HeaderNames(),
                _counters.Counters(),
                costs,
                front,
            )
        )
        node.accept_for_test = lambda endpoint: _add_inbound_connection(
            node, endpoint
        )
        return node


def _add_inbound_connection(node, endpoint):
    node.inbound_connections.add(_peers.InboundConnection(node, endpoint))


class _Call:
    def __init__(self, simulation):
        self._simulation = simulation
        self._aborted = False

    def start(self, request_id, _data, _without_body, on_answer):
        run = _Run(request_id)
        self._simulation.runs.append(run)
        service_s = 0.01 + 0.4 * self._simulation.random.random()

        def finish(_now):
            run.ended = True
            if not self._aborted:
                on_answer(_upstream.Answer(0, 0, 200, b'', request_id))

        self._simulation.reactor.timers.after(service_s, finish)

    def abort(self):
        self._aborted = True


@pytest.fixture
def make_simulation(reactor, monkeypatch):
    def make(seed=1):
        simulation = _Simulation(reactor, seed)
        monkeypatch.setattr(_reactor, 'connect', simulation.connect)
        monkeypatch.setattr(_reactor, 'Stream', _set_owner)
        return simulation

    return make


def _set_owner(_reactor_, endpoint, owner):
    endpoint.owner = owner
    return endpoint


@attrs.define(eq=False)
class _SentAttempt:
    request_id: bytes
    idempotent: bool
    number: int
    results: list = attrs.field(factory=list)
    cancelled: bool = False


def _send(simulation, idempotent=False):
    simulation.entry.last_attempt_number += 1
    number = simulation.entry.last_attempt_number
    sent = _SentAttempt(b'r%d' % number, idempotent, number)
    attempt = fakes.attempt(
        number,
        instance=f'i-{TARGET}',
        remaining_ms=4000,
        idempotent=idempotent,
        request_id=sent.request_id,
    )
    simulation.entry.peer(TARGET).send(attempt, sent.results.append)
    return sent


def _outcomes(sent):
    return [_frames.Outcome(r.outcome).name for r in sent.results]


def test_result_is_delivered_over_a_working_connection(
    make_simulation, reactor
):
    simulation = make_simulation()
    sent = _send(simulation)
    reactor.run(1.0, 0.001)
    assert _outcomes(sent) == ['COMPLETE']
    assert sent.results[0].body == sent.request_id


@pytest.mark.parametrize('fault_kind', ['reset', 'silent', 'one_way'])
@pytest.mark.parametrize('fault_at_s', [0.0, 0.003, 0.006, 0.02, 0.2])
def test_broken_connection_is_replaced_and_nothing_runs_twice(
    make_simulation, reactor, fault_kind, fault_at_s
):
    simulation = make_simulation()
    sent_attempts = [_send(simulation) for _ in range(5)]
    reactor.run(fault_at_s + 0.001, 0.001)
    simulation.break_connections(fault_kind)
    reactor.run(4.0, 0.01)
    for sent in sent_attempts:
        runs = simulation.count_runs(sent.request_id)
        if fault_at_s < 0.01 and runs == 0:
            # The handshake was not complete, so no attempt has been sent.
            assert _outcomes(sent) == ['NOT_RUN']
        else:
            assert (_outcomes(sent), runs) == (['COMPLETE'], 1)


def test_restart_of_the_target_node_makes_the_outcome_unknown(
    make_simulation, reactor
):
    simulation = make_simulation()
    sent = _send(simulation)
    reactor.run(0.008, 0.001)
    simulation.restart()
    reactor.run(3.0, 0.01)
    assert _outcomes(sent) == ['UNKNOWN']
    assert simulation.count_runs(sent.request_id) <= 1


def test_attempt_for_an_unreachable_node_has_not_run(make_simulation, reactor):
    simulation = make_simulation()
    simulation.refuses_connections = True
    sent = _send(simulation)
    reactor.run(1.0, 0.01)
    assert _outcomes(sent) == ['NOT_RUN']
    assert not simulation.entry.peer(TARGET).reachable
    simulation.refuses_connections = False
    reactor.run(3.0, 0.01)
    assert simulation.entry.peer(TARGET).reachable


def test_failed_reconnect_finishes_only_idempotent_attempts(
    make_simulation, reactor
):
    simulation = make_simulation()
    idempotent, non_idempotent = (
        _send(simulation, idempotent=True),
        _send(simulation),
    )
    reactor.run(0.02, 0.001)
    simulation.ignores_connections = True
    simulation.break_connections('silent')
    reactor.run(3.5, 0.01)
    assert _outcomes(idempotent) == ['UNKNOWN']
    assert _outcomes(non_idempotent) == []
    simulation.ignores_connections = False
    reactor.run(3.0, 0.01)
    assert _outcomes(non_idempotent) == ['COMPLETE']
    assert simulation.count_runs(non_idempotent.request_id) == 1


def test_restarted_node_is_no_longer_leaving(make_simulation, reactor):
    simulation = make_simulation()
    _send(simulation)
    reactor.run(1.0, 0.01)
    simulation.target.broadcast(_frames.Leaving())
    reactor.run(0.1, 0.01)
    assert simulation.entry.peer(TARGET).leaving
    simulation.restart()
    reactor.run(3.0, 0.01)
    peer = simulation.entry.peer(TARGET)
    assert peer.reachable and not peer.leaving


def test_leaving_expires_without_an_outgoing_connection(
    make_simulation, reactor
):
    # The message came over a connection that the other node had opened, while
    # this node had none to it, so no lost connection resets the leaving state.
    simulation = make_simulation()
    peer = simulation.entry.peer(TARGET)
    peer.mark_leaving()
    reactor.run(_peers.LEAVING_EXPIRY_S - 0.5, 0.01)
    assert peer.leaving
    reactor.run(1.0, 0.01)
    assert not peer.leaving


# The last five seeds guard against a request that ran twice: the target's
# node discarded the state of a caller that was disconnected for more than
# 1.5 s, and then took its attempts for new ones.
@pytest.mark.parametrize('seed', [*range(12), 223, 266, 294, 389, 401])
def test_outcomes_stay_correct_under_random_faults(
    make_simulation, reactor, seed
):
    simulation = make_simulation(seed)
    source = random.Random(seed)
    sent_attempts = []
    for _ in range(150):
        for _ in range(source.randrange(3)):
            sent_attempts.append(_send(simulation, source.random() < 0.5))
        if sent_attempts and source.random() < 0.1:
            sent = source.choice(sent_attempts)
            if not sent.results:
                sent.cancelled = True
                simulation.entry.peer(TARGET).cancel(sent.number)
        fault = source.random()
        if fault < 0.06:
            simulation.break_connections(
                source.choice(['reset', 'silent', 'one_way'])
            )
        elif fault < 0.08:
            simulation.restart()
        elif fault < 0.10:
            simulation.ignores_connections = not simulation.ignores_connections
        elif fault < 0.11:
            simulation.refuses_connections = not simulation.refuses_connections
        reactor.run(0.03, 0.005)
    simulation.ignores_connections = simulation.refuses_connections = False
    reactor.run(12.0, 0.01)
    for sent in sent_attempts:
        runs = simulation.count_runs(sent.request_id)
        assert len(sent.results) <= 1
        assert sent.results or sent.cancelled
        if not sent.idempotent:
            assert runs <= 1
        if _outcomes(sent) == ['NOT_RUN']:
            assert runs == 0
        if _outcomes(sent) == ['COMPLETE']:
            assert runs >= 1
            assert sent.results[0].body == sent.request_id
