"""Every fault at every message of one call, one after the other.

Whatever is lost, late, doubled, paused or crashed: a caller that is told
"not run" was not run, not even later; a complete answer is its own; the
upstreams see no more than one arrival and the allowance; a non-idempotent
request arrives at most once.
"""

import attrs
import pytest

from rosemarycrank import calls
from rosemarycrank import messages
from rosemarycrank import results
from tests.calls import network as network_module

ENTRY = 'n0:1'
ALLOWANCE = 3

#: Long enough for every late copy to have arrived.
END_S = 120.0

#: Most messages of a call with one fault that are given a second fault.
MESSAGES = 14


def drop(network, sender, destination, message):
    return []


def duplicate(network, sender, destination, message):
    return [0.001, 0.001, 0.8, 45.0]


def late(network, sender, destination, message):
    return [2.5]


def very_late(network, sender, destination, message):
    return [40.0]


def crash_destination(network, sender, destination, message):
    if destination != ENTRY:
        network.crash(destination)
    return [0.001]


def restart_destination(network, sender, destination, message):
    if destination != ENTRY:
        network.crash(destination)
        network.at(0.3, lambda: network.add(destination, 's'))
    return [0.001]


def crash_after(network, sender, destination, message):
    if destination != ENTRY:
        network.at(0.005, lambda: network.crash(destination))
    return [0.001]


def pause_destination(network, sender, destination, message):
    if destination in network.hosts_by_address:
        network.pause(destination, 3.0)
    return [0.001]


def pause_long(network, sender, destination, message):
    if destination in network.hosts_by_address:
        network.pause(destination, 50.0)
    return [0.001]


def cut_link(network, sender, destination, message):
    network.cut.add(frozenset((sender, destination)))
    return [0.001]


def cut_and_heal(network, sender, destination, message):
    link = frozenset((sender, destination))
    network.cut.add(link)
    network.at(1.2, lambda: network.cut.discard(link))
    return [0.001]


def silence(network, sender, destination, message):
    network.silence(sender, destination)
    return []


def silence_both(network, sender, destination, message):
    network.silence(destination, sender)
    return silence(network, sender, destination, message)


FAULTS = (
    drop,
    duplicate,
    late,
    very_late,
    crash_destination,
    restart_destination,
    crash_after,
    pause_destination,
    pause_long,
    cut_link,
    cut_and_heal,
    silence,
    silence_both,
)
UPSTREAMS = (
    network_module.serve,
    network_module.refuse,
    network_module.lose,
)


def run_call(faults, method, upstream):
    """Run one call under faults and check what it came to."""
    network = network_module.Network()
    network.add(ENTRY, 'front')
    for number in (1, 2, 3):
        network.add(f'n{number}:1', 's', upstream)
    network.run(0.5)
    network.message_count = 0
    network.faults = faults
    network.request(ENTRY, 'r1', method)
    network.run(END_S)
    check_call(network, method)
    return network


def check_nothing_is_left(network):
    for host in network.hosts_by_address.values():
        entry = host.kernel.dump()['entry']
        left = ('calls', 'attempts', 'waiting_for_clock')
        assert [entry[name] for name in left] == [0, 0, 0]


def check_call(network, method):
    check_nothing_is_left(network)
    answer = network.answers_by_request_id['r1']
    runs = network.runs_of('/r1')
    outcome = answer.result.outcome
    assert network.arrivals_of('/r1') <= 1 + ALLOWANCE
    if method == 'POST':
        assert runs <= 1
    if outcome is results.Outcome.COMPLETE:
        assert answer.body == network_module.answer_body('/r1')
        assert runs >= 1
    if outcome is results.Outcome.NOT_RUN:
        assert runs == 0


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('upstream', UPSTREAMS, ids=lambda u: u.__name__)
@pytest.mark.parametrize('fault', FAULTS, ids=lambda f: f.__name__)
def test_one_fault_at_every_message(fault, upstream, method):
    for index in range(MESSAGES):
        run_call({index: fault}, method, upstream)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('second', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('first', FAULTS, ids=lambda f: f.__name__)
def test_two_faults(first, second, method):
    for index in range(0, 4):
        for other in range(index + 1, 6):
            run_call(
                {index: first, other: second}, method, network_module.serve
            )


def test_a_call_without_faults_is_complete():
    network = run_call({}, 'POST', network_module.serve)
    answer = network.answers_by_request_id['r1']
    assert answer.result is results.Result.OK
    assert network.runs_of('/r1') == 1


def explore_all(method):
    """Run every single fault at every message."""
    for fault in FAULTS:
        for index in range(MESSAGES):
            run_call({index: fault}, method, network_module.serve)


def forget_revocations(monkeypatch):
    monkeypatch.setattr(
        calls.TargetCalls, '_cache_reply', lambda *arguments: None
    )


def accept_any_tick(monkeypatch):
    check = calls.TargetCalls._attempt_refusal_result
    monkeypatch.setattr(
        calls.TargetCalls,
        '_attempt_refusal_result',
        lambda self, message: check(
            self, attrs.evolve(message, target_tick=self.context.now)
        ),
    )


def take_running_for_revoked(monkeypatch):
    take = calls.EntryCalls._on_revoke_reply
    monkeypatch.setattr(
        calls.EntryCalls,
        '_on_revoke_reply',
        lambda self, sender, message: take(
            self,
            sender,
            attrs.evolve(message, state=messages.RevokeState.REVOKED),
        ),
    )


def take_silence_for_not_run(monkeypatch):
    monkeypatch.setattr(
        calls.EntryCalls,
        '_check_attempt',
        lambda self, outgoing: self._handle_refused_attempt(
            outgoing, results.Result.NO_TARGET
        ),
    )


PLANTED = (
    forget_revocations,
    accept_any_tick,
    take_running_for_revoked,
    take_silence_for_not_run,
)


@pytest.mark.parametrize('plant', PLANTED, ids=lambda p: p.__name__)
def test_a_planted_fault_is_caught(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        explore_all('POST')
