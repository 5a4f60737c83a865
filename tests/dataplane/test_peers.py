"""Attempts over connections that are reset, silent or replaced."""

import random

import attrs
import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _peer_connection
from rosemarycrank.dataplane import _peers
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations

TARGET = '10.0.0.2:7000'


@pytest.fixture
def make_simulation(patch_connections, reactor):
    def make(seed=1):
        return patch_connections(
            simulations.Simulation(reactor, seed, [TARGET])
        )

    return make


@attrs.define(eq=False)
class _SentAttempt:
    request_id: bytes
    idempotent: bool
    number: int
    results: list = attrs.field(factory=list)
    cancelled: bool = False
    on_result: object = None

    def receive(self, result):
        self.results.append(result)
        if self.on_result is not None:
            self.on_result()


def _send(simulation, idempotent=False, answer_bytes=0):
    simulation.entry.last_attempt_number += 1
    number = simulation.entry.last_attempt_number
    # The target answers with the identifier.
    request_id = b'r%d' % number + b'x' * answer_bytes
    sent = _SentAttempt(request_id, idempotent, number)
    attempt = fakes.attempt(
        number,
        instance=f'i-{TARGET}',
        remaining_ms=4000,
        idempotent=idempotent,
        request_id=sent.request_id,
    )
    client = fakes.RecordingConnection()
    simulation.entry.peer(TARGET).send(attempt, sent.receive, client)
    return sent


def _outcomes(sent):
    return [_frames.Outcome(r.outcome).name for r in sent.results]


def _fill(budget):
    """Leave no room for a large message in a budget."""
    hold = _memory.Hold(budget)
    assert hold.grow(int(_memory.LARGE_SHARE * budget.limit_bytes))
    return hold


def test_result_is_delivered_over_a_working_connection(
    make_simulation, reactor
):
    simulation = make_simulation()
    sent = _send(simulation)
    reactor.run(1.0, 0.001)
    assert _outcomes(sent) == ['COMPLETE']
    assert sent.results[0].body == sent.request_id


# Guards against an answer without a valid status that a node of an earlier
# build passes on.
@pytest.mark.parametrize(
    'status, outcome',
    [
        (0, 'UNKNOWN'),
        (99, 'UNKNOWN'),
        (599, 'COMPLETE'),
        (600, 'UNKNOWN'),
        (-200, 'UNKNOWN'),
        (2**63, 'UNKNOWN'),
    ],
)
def test_result_without_a_valid_status_is_unknown(
    make_simulation, reactor, status, outcome
):
    simulation = make_simulation()
    sent = _send(simulation)
    reactor.run(0.004, 0.001)
    result = _frames.Result(
        sent.number, int(_frames.Outcome.COMPLETE), 0, status, b'', b'', None
    )
    connection = simulation.entry.peer(TARGET)._connection
    connection.received(_frames.encode(result))
    reactor.run(0.0)
    assert _outcomes(sent) == [outcome]


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
    simulation.restart(TARGET)
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


#: Time in which a connection to a peer that is cut off is found dead: a ping
#: after the silence, a probe after the ping, and the checks of the probe.
CUT_DETECTION_S = (
    _peer_connection.ACTIVE_PING_INTERVAL_S
    + _peer_connection.PROBE_DELAY_S
    + (_peer_connection.MAX_CONNECTING_CHECKS + 2)
    * _node.PEER_CHECK_INTERVAL_S
)


@pytest.mark.parametrize('fault_kind', ['silent', 'one_way', 'reset'])
def test_idempotent_attempts_end_soon_after_the_peer_is_cut_off(
    make_simulation, reactor, fault_kind
):
    simulation = make_simulation()
    sent = _send(simulation, idempotent=True)
    reactor.run(0.02, 0.001)
    simulation.cut_off(fault_kind, TARGET)
    reactor.run(CUT_DETECTION_S, 0.01)
    assert _outcomes(sent) == ['UNKNOWN']


@pytest.mark.parametrize('pause_s', [0.4, 0.8, 1.2])
def test_attempts_at_a_slow_peer_are_not_ended(
    make_simulation, reactor, pause_s
):
    simulation = make_simulation()
    sent_attempts = [_send(simulation, idempotent=True) for _ in range(5)]
    reactor.run(0.02, 0.001)
    simulation.pause(TARGET, pause_s)
    reactor.run(3.0, 0.01)
    for sent in sent_attempts:
        assert _outcomes(sent) == ['COMPLETE']
        assert simulation.count_runs(sent.request_id) == 1


# Guards against work that is started again or given up as its machine was only
# silent for a while.
@pytest.mark.parametrize('pause_s', [1.2, 3.0, 6.0])
def test_work_at_a_silent_peer_is_neither_repeated_nor_given_up(
    make_simulation, reactor, pause_s
):
    simulation = make_simulation()
    sent_attempts = [_send(simulation, idempotent=False) for _ in range(5)]
    reactor.run(0.02, 0.001)
    simulation.pause(TARGET, pause_s)
    reactor.run(pause_s + 3.0, 0.01)
    for sent in sent_attempts:
        assert _outcomes(sent) == ['COMPLETE']
        assert simulation.count_runs(sent.request_id) == 1


def test_silent_peer_is_not_responsive_before_its_attempts_are_ended(
    make_simulation, reactor
):
    simulation = make_simulation()
    sent = _send(simulation, idempotent=True)
    reactor.run(0.02, 0.001)
    peer = simulation.entry.peer(TARGET)
    assert peer.responsive
    simulation.pause(TARGET, 1.2)
    reactor.run(
        _peer_connection.ACTIVE_PING_INTERVAL_S
        + 2 * _node.PEER_CHECK_INTERVAL_S
        + _peers.LATE_ANSWER_S
    )
    assert not peer.responsive
    assert peer.reachable
    reactor.run(2.0)
    assert peer.responsive
    assert _outcomes(sent) == ['COMPLETE']


def test_pause_of_the_entry_node_is_not_taken_for_silence_of_a_peer(
    make_simulation, reactor
):
    simulation = make_simulation()
    simulation.ignores_connections = True
    sent = _send(simulation)
    # All timers are late at once, as after a pause of the process.
    reactor.run(0.9, step_s=0.9)
    assert _outcomes(sent) == []
    reactor.run(0.3, 0.01)
    assert _outcomes(sent) == ['NOT_RUN']


def test_restarted_node_is_no_longer_leaving(make_simulation, reactor):
    simulation = make_simulation()
    _send(simulation)
    reactor.run(1.0, 0.01)
    simulation.targets_by_address[TARGET].broadcast(_frames.Leaving())
    reactor.run(0.1, 0.01)
    assert simulation.entry.peer(TARGET).leaving
    simulation.restart(TARGET)
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
            simulation.restart(TARGET)
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


# Guards against a node over its memory, which other nodes send more than it
# can hold.
def test_large_attempt_that_does_not_fit_has_not_run(make_simulation, reactor):
    simulation = make_simulation()
    hold = _fill(simulation.targets_by_address[TARGET].attempt_budget)
    large = _send(simulation, answer_bytes=100_000)
    small = _send(simulation)
    reactor.run(2.0)
    assert _outcomes(large) == ['NOT_RUN']
    assert _outcomes(small) == ['COMPLETE']
    assert simulation.count_runs(large.request_id) == 0
    hold.release()
    again = _send(simulation, answer_bytes=100_000)
    reactor.run(2.0)
    assert _outcomes(again) == ['COMPLETE']


def test_large_result_that_does_not_fit_is_unknown(make_simulation, reactor):
    simulation = make_simulation()
    hold = _fill(simulation.entry.result_budget)
    large = _send(simulation, answer_bytes=100_000)
    small = _send(simulation)
    reactor.run(2.0)
    assert _outcomes(large) == ['UNKNOWN']
    assert _outcomes(small) == ['COMPLETE']
    assert simulation.count_runs(large.request_id) == 1
    hold.release()


# Guards against answers that stay in the memory of a target's node although
# the callers' nodes have them.
def test_results_that_have_arrived_are_discarded_soon(
    make_simulation, reactor
):
    simulation = make_simulation()
    side = simulation.targets_by_address[TARGET].target_side
    most = 0
    for _ in range(100):
        _send(simulation, answer_bytes=30_000)
        reactor.run(0.02)
        kept = sum(
            len(job.result.body)
            for caller in side.callers.by_incarnation.values()
            for job in caller.jobs_by_number.values()
            if job.result is not None
        )
        most = max(most, kept)
    assert most <= 3 * _peer_connection.MAX_UNCONFIRMED_BYTES


def _send_body(simulation, body, client=None):
    simulation.entry.last_attempt_number += 1
    results = []
    simulation.entry.peer(TARGET).send(
        fakes.attempt(
            simulation.entry.last_attempt_number,
            instance=f'i-{TARGET}',
            body=body,
        ),
        results.append,
        client or fakes.RecordingConnection(),
    )
    return results


# Guards against a node above its memory by attempts at a node that is silent:
# their encoded copies were in no account.
def test_attempts_at_a_silent_node_stay_within_their_budget(
    make_simulation, reactor
):
    simulation = make_simulation()
    simulation.ignores_connections = True
    budget = simulation.entry.output_budget
    body = b'x' * 60_000
    count = budget.limit_bytes // len(body)
    sent = [_send_body(simulation, body) for _ in range(count)]
    reactor.run(0.0)
    refused = [results[0] for results in sent if results]
    assert 0.1 * count < len(refused) < 0.9 * count
    for result in refused:
        assert result.outcome == _frames.Outcome.NOT_RUN
        assert result.reason == _frames.Reason.QUEUE_FULL
    pending = count - len(refused)
    assert pending * len(body) < budget.used_bytes <= budget.limit_bytes
    assert not sent[0]
    reactor.run(2.0)
    assert all(sent)
    assert budget.used_bytes == 0


def test_memory_of_ended_and_cancelled_attempts_is_given_back(
    make_simulation, reactor
):
    simulation = make_simulation()
    budget = simulation.entry.output_budget
    body = b'x' * 60_000
    first = _send_body(simulation, body)
    _send_body(simulation, body)
    simulation.entry.peer(TARGET).cancel(2)
    assert len(body) < budget.used_bytes < 3 * len(body)
    reactor.run(1.0)
    assert first
    assert budget.used_bytes == 0


# Guards against output of cancelled attempts that a node does not read: it
# stayed in the stream, but in no account.
def test_unsent_output_of_cancelled_attempts_is_charged(
    make_simulation, reactor
):
    simulation = make_simulation()
    _send(simulation)
    reactor.run(1.0)
    peer = simulation.entry.peer(TARGET)
    budget = simulation.entry.output_budget
    (link,) = simulation.links
    _send_body(simulation, b'x' * 60_000)
    link.unsent_bytes = 60_000
    peer.cancel(2)
    assert budget.used_bytes == 60_000
    link.unsent_bytes = 0
    reactor.run(0.5)
    assert budget.used_bytes == 0
    link.unsent_bytes = 50_000
    peer.cancel(9)
    _send_body(simulation, b'x' * 60_000)
    peer.cancel(3)
    assert budget.used_bytes == 50_000
    peer.close()
    assert budget.used_bytes == 0


def _send_long_runs(simulation, count):
    """Send idempotent attempts that run for some seconds; let them begin."""
    simulation.service_s = 3.0
    sent = [_send(simulation, idempotent=True) for _ in range(count)]
    simulation.reactor.run(0.1)
    assert len(simulation.runs) == count
    return sent


# Guards against runs that go on at a node that was away for a moment, after
# their results were given up: as the first of these was passed on, a new
# connection was opened, and the cancellations of the others, which followed,
# were taken for sent over it.
def test_results_given_up_are_cancelled_if_their_callers_reconnect(
    make_simulation, reactor
):
    simulation = make_simulation()
    given_up = _send_long_runs(simulation, 3)
    peer = simulation.entry.peer(TARGET)
    given_up[0].on_result = lambda: _send(simulation, idempotent=True)
    peer.mark_unreachable('broken', process_ended=False)
    reactor.run(0.5)
    assert [_outcomes(sent) for sent in given_up] == [['UNKNOWN']] * 3
    assert all(run.aborted_at is not None for run in simulation.runs[:3])
    assert simulation.runs[3].aborted_at is None


# Guards against a result that reaches its caller after it has cancelled the
# attempt, while the results of an unreachable node are given up.
def test_attempt_cancelled_while_results_are_given_up_gets_no_result(
    make_simulation, reactor
):
    simulation = make_simulation()
    sent = _send_long_runs(simulation, 3)
    peer = simulation.entry.peer(TARGET)
    sent[0].on_result = lambda: peer.cancel(sent[2].number)
    peer.mark_unreachable('broken', process_ended=False)
    reactor.run(0.1)
    assert [len(one.results) for one in sent] == [1, 1, 0]
