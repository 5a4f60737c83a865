"""Attempts over connections that break, fall silent or are replaced."""

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


class _End:
    """One end of a connection in virtual time."""

    def __init__(self, world):
        self.world = world
        self.other = None
        self.owner = None
        self.is_open = True
        self.unsent = 0
        self.loses_output = False

    def write(self, data):
        if self.is_open and not self.loses_output:
            self.world.later(lambda: self.other._receive(data))

    def close(self, reset=False):
        if not self.is_open:
            return
        self.is_open = False
        if not self.loses_output:
            error = OSError(errno.ECONNRESET, 'reset') if reset else None
            self.world.later(lambda: self.other._lost(error))

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


class _World:
    """An entry node, a target's node, and the links between them."""

    def __init__(self, reactor, seed):
        self.reactor = reactor
        self.random = random.Random(seed)
        self.links = []
        self.refuses = False
        self.swallows = False
        self.runs = []
        self.entry = self._new_node(ENTRY)
        self.target = None
        self.restart()

    def later(self, callback):
        delay_s = 0.001 + 0.003 * self.random.random()
        due = self.reactor.now() + delay_s
        # Bytes of one connection keep their order.
        self._last_due = max(due, getattr(self, '_last_due', 0.0) + 1e-6)
        self.reactor.timers.after(
            self._last_due - self.reactor.now(), lambda _now: callback()
        )

    def restart(self):
        """End the process of the target's node and start another one."""
        for end in self.links:
            end.other.close(reset=True)
        self.links.clear()
        self.target = self._new_node(TARGET)
        self.target.target_side.update_record(fakes.record(TARGET, slots=50))

    def connect(self, _reactor_, _address, owner, keep_alive=False):
        near, far = _End(self), _End(self)
        near.other, far.other = far, near
        near.owner = owner
        if self.refuses:
            near.loses_output = True
            error = OSError(errno.ECONNREFUSED, 'refused')
            self.later(lambda: near._lost(error))
        elif self.swallows:
            near.loses_output = True
        else:
            self.links.append(near)
            far_socket = far
            self.target.accept_for_test(far_socket)
        return near

    def cut(self, how):
        """Break the open connections: reset, silent or one way."""
        for near in self.links:
            if how == 'reset':
                near.close(reset=True)
                near.owner.closed(OSError(errno.ECONNRESET, 'reset'))
            if how in ('silent', 'one_way'):
                near.other.loses_output = True
            if how == 'silent':
                near.loses_output = True
        self.links.clear()

    def acquire(self, _idempotent):
        return _Call(self)

    def count(self, request_id):
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
        node.accept_for_test = lambda end: _accept(node, end)
        return node


def _accept(node, end):
    node.inbound_connections.add(_peers.Visitor(node, end))


class _Call:
    def __init__(self, world):
        self._world = world
        self._aborted = False

    def start(self, request_id, _data, _without_body, on_answer):
        run = _Run(request_id)
        self._world.runs.append(run)
        work_s = 0.01 + 0.4 * self._world.random.random()

        def end(_now):
            run.ended = True
            if not self._aborted:
                on_answer(_upstream.Answer(0, 0, 200, b'', request_id))

        self._world.reactor.timers.after(work_s, end)

    def abort(self):
        self._aborted = True


@pytest.fixture
def make_world(reactor, monkeypatch):
    def make(seed=1):
        world = _World(reactor, seed)
        monkeypatch.setattr(_reactor, 'connect', world.connect)
        monkeypatch.setattr(_reactor, 'Stream', _adopt)
        return world

    return make


def _adopt(_reactor_, end, owner):
    end.owner = owner
    return end


@attrs.define(eq=False)
class _Sent:
    request_id: bytes
    idempotent: bool
    number: int
    results: list = attrs.field(factory=list)
    cancelled: bool = False


def _send(world, idempotent=False):
    world.entry.last_attempt_number += 1
    number = world.entry.last_attempt_number
    sent = _Sent(b'r%d' % number, idempotent, number)
    attempt = fakes.attempt(
        number,
        instance=f'i-{TARGET}',
        remaining_ms=4000,
        idempotent=idempotent,
        request_id=sent.request_id,
    )
    world.entry.peer(TARGET).send(attempt, sent.results.append)
    return sent


def _outcomes(sent):
    return [_frames.Outcome(r.outcome).name for r in sent.results]


def test_answer_comes_over_a_connection_that_works(make_world, reactor):
    world = make_world()
    sent = _send(world)
    reactor.run(1.0, 0.001)
    assert _outcomes(sent) == ['COMPLETE']
    assert sent.results[0].body == sent.request_id


@pytest.mark.parametrize('how', ['reset', 'silent', 'one_way'])
@pytest.mark.parametrize('at_s', [0.0, 0.003, 0.006, 0.02, 0.2])
def test_broken_connection_is_replaced_and_nothing_runs_twice(
    make_world, reactor, how, at_s
):
    world = make_world()
    sent = [_send(world) for _ in range(5)]
    reactor.run(at_s + 0.001, 0.001)
    world.cut(how)
    reactor.run(4.0, 0.01)
    for one in sent:
        runs = world.count(one.request_id)
        if at_s < 0.01 and runs == 0:
            # The first frames were not through: nothing has been sent.
            assert _outcomes(one) == ['NOT_RUN']
        else:
            assert (_outcomes(one), runs) == (['COMPLETE'], 1)


def test_ended_process_leaves_the_outcome_unknown(make_world, reactor):
    world = make_world()
    sent = _send(world)
    reactor.run(0.008, 0.001)
    world.restart()
    reactor.run(3.0, 0.01)
    assert _outcomes(sent) == ['UNKNOWN']
    assert world.count(sent.request_id) <= 1


def test_node_that_cannot_be_reached_has_not_run_it(make_world, reactor):
    world = make_world()
    world.refuses = True
    sent = _send(world)
    reactor.run(1.0, 0.01)
    assert _outcomes(sent) == ['NOT_RUN']
    assert not world.entry.peer(TARGET).reachable
    world.refuses = False
    reactor.run(3.0, 0.01)
    assert world.entry.peer(TARGET).reachable


def test_silence_of_a_new_connection_too_frees_idempotent_attempts_only(
    make_world, reactor
):
    world = make_world()
    free, bound = _send(world, idempotent=True), _send(world)
    reactor.run(0.02, 0.001)
    world.swallows = True
    world.cut('silent')
    reactor.run(3.5, 0.01)
    assert _outcomes(free) == ['UNKNOWN']
    assert _outcomes(bound) == []
    world.swallows = False
    reactor.run(3.0, 0.01)
    assert _outcomes(bound) == ['COMPLETE']
    assert world.count(bound.request_id) == 1


def test_node_that_leaves_is_asked_again_once_it_is_back(make_world, reactor):
    world = make_world()
    _send(world)
    reactor.run(1.0, 0.01)
    world.target.broadcast(_frames.Leaving())
    reactor.run(0.1, 0.01)
    assert world.entry.peer(TARGET).leaving
    world.restart()
    reactor.run(3.0, 0.01)
    peer = world.entry.peer(TARGET)
    assert peer.reachable and not peer.leaving


def test_leaving_heard_without_a_connection_of_its_own_fades(
    make_world, reactor
):
    # The word came over the connection that the other node had opened, when
    # this node had none to it: nothing closes that would end the leaving.
    world = make_world()
    peer = world.entry.peer(TARGET)
    peer.leave()
    reactor.run(_peers.LEAVING_S - 0.5, 0.01)
    assert peer.leaving
    reactor.run(1.0, 0.01)
    assert not peer.leaving


# The last five ran a payment twice: the target's node forgot a caller that
# was away for more than 1.5 s, and took its attempts for new ones.
@pytest.mark.parametrize('seed', [*range(12), 223, 266, 294, 389, 401])
def test_any_series_of_faults_keeps_the_promises(make_world, reactor, seed):
    world = make_world(seed)
    source = random.Random(seed)
    sent = []
    for _ in range(150):
        for _ in range(source.randrange(3)):
            sent.append(_send(world, source.random() < 0.5))
        if sent and source.random() < 0.1:
            one = source.choice(sent)
            if not one.results:
                one.cancelled = True
                world.entry.peer(TARGET).cancel(one.number)
        fault = source.random()
        if fault < 0.06:
            world.cut(source.choice(['reset', 'silent', 'one_way']))
        elif fault < 0.08:
            world.restart()
        elif fault < 0.10:
            world.swallows = not world.swallows
        elif fault < 0.11:
            world.refuses = not world.refuses
        reactor.run(0.03, 0.005)
    world.swallows = world.refuses = False
    reactor.run(12.0, 0.01)
    for one in sent:
        runs = world.count(one.request_id)
        assert len(one.results) <= 1
        assert one.results or one.cancelled
        if not one.idempotent:
            assert runs <= 1
        if _outcomes(one) == ['NOT_RUN']:
            assert runs == 0
        if _outcomes(one) == ['COMPLETE']:
            assert runs >= 1
            assert one.results[0].body == one.request_id
