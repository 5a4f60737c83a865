"""One call under every fault at every one of its messages.

The tests guard against wrong outcomes after lost, late or duplicated messages
and after paused or crashed nodes. A request reported as not run has not run
and never runs later. A complete answer belongs to its request. A request
arrives at upstreams at most once plus once per retry of the allowance, and a
non-idempotent request runs at most once.
"""

import attrs
import pytest

from rosemarycrank import calls
from rosemarycrank.calls import _attempt_checks
from rosemarycrank.calls import _reply_cache
from rosemarycrank import messages
from rosemarycrank import results
from tests.calls import network as network_module

ENTRY = 'n0:1'
ALLOWANCE = 3

#: End of a run in seconds; all delayed copies have arrived by then.
END_S = 120.0

#: Number of messages of a call, counted from the first, that get a fault.
MESSAGE_COUNT = 14


def drop(network, sender, destination, message):
    return []


def duplicate(network, sender, destination, message):
    return [0.001, 0.001, 0.8, 45.0]


def delay(network, sender, destination, message):
    return [2.5]


def delay_past_validity(network, sender, destination, message):
    return [40.0]


def crash_destination(network, sender, destination, message):
    if destination != ENTRY:
        network.crash(destination)
    return [0.001]


def restart_destination(network, sender, destination, message):
    if destination != ENTRY:
        network.crash(destination)
        network.schedule(0.3, lambda: network.add_node(destination, 's'))
    return [0.001]


def crash_destination_later(network, sender, destination, message):
    if destination != ENTRY:
        network.schedule(0.005, lambda: network.crash(destination))
    return [0.001]


def pause_destination(network, sender, destination, message):
    if destination in network.hosts_by_address:
        network.pause(destination, 3.0)
    return [0.001]


def pause_past_validity(network, sender, destination, message):
    if destination in network.hosts_by_address:
        network.pause(destination, 50.0)
    return [0.001]


def cut_link(network, sender, destination, message):
    network.cut_links.add(frozenset((sender, destination)))
    return [0.001]


def cut_and_heal(network, sender, destination, message):
    link = frozenset((sender, destination))
    network.cut_links.add(link)
    network.schedule(1.2, lambda: network.cut_links.discard(link))
    return [0.001]


def silence_connection(network, sender, destination, message):
    network.silence_connection(sender, destination)
    return []


def silence_both_directions(network, sender, destination, message):
    network.silence_connection(destination, sender)
    return silence_connection(network, sender, destination, message)


FAULTS = (
    drop,
    duplicate,
    delay,
    delay_past_validity,
    crash_destination,
    restart_destination,
    crash_destination_later,
    pause_destination,
    pause_past_validity,
    cut_link,
    cut_and_heal,
    silence_connection,
    silence_both_directions,
)
UPSTREAMS = (
    network_module.serve,
    network_module.refuse,
    network_module.lose_answer,
)


def run_call(faults, method, upstream):
    """Run one call under faults and check its outcome."""
    network = network_module.Network()
    network.add_node(ENTRY, 'front')
    for number in (1, 2, 3):
        network.add_node(f'n{number}:1', 's', upstream)
    network.run(0.5)
    network.message_count = 0
    network.faults = faults
    network.send_request(ENTRY, 'r1', method)
    network.run(END_S)
    check_call(network, method)
    return network


def check_no_open_calls(network):
    for host in network.hosts_by_address.values():
        entry = host.kernel.dump()['entry']
        counts = ('calls', 'attempts', 'waiting_for_clock')
        assert [entry[name] for name in counts] == [0, 0, 0]


def check_call(network, method):
    check_no_open_calls(network)
    answer = network.answers_by_request_id['r1']
    runs = network.count_runs('/r1')
    outcome = answer.result.outcome
    assert network.count_arrivals('/r1') <= 1 + ALLOWANCE
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
    for index in range(MESSAGE_COUNT):
        run_call({index: fault}, method, upstream)


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('second', FAULTS, ids=lambda f: f.__name__)
@pytest.mark.parametrize('first', FAULTS, ids=lambda f: f.__name__)
def test_two_faults(first, second, method):
    for first_index in range(0, 4):
        for second_index in range(first_index + 1, 6):
            run_call(
                {first_index: first, second_index: second},
                method,
                network_module.serve,
            )


def test_call_without_faults_is_complete():
    network = run_call({}, 'POST', network_module.serve)
    answer = network.answers_by_request_id['r1']
    assert answer.result is results.Result.OK
    assert network.count_runs('/r1') == 1


def run_all_single_faults(method):
    """Run a call once for each fault at each message."""
    for fault in FAULTS:
        for index in range(MESSAGE_COUNT):
            run_call({index: fault}, method, network_module.serve)


def skip_reply_cache(monkeypatch):
    monkeypatch.setattr(
        _reply_cache.ReplyCache, 'add', lambda *arguments: None
    )


def accept_any_tick(monkeypatch):
    refusal_result = calls.TargetCalls._attempt_refusal_result
    monkeypatch.setattr(
        calls.TargetCalls,
        '_attempt_refusal_result',
        lambda self, message: refusal_result(
            self, attrs.evolve(message, target_tick=self.context.now)
        ),
    )


def treat_running_as_revoked(monkeypatch):
    handle_reply = calls.EntryCalls._on_revoke_reply
    monkeypatch.setattr(
        calls.EntryCalls,
        '_on_revoke_reply',
        lambda self, sender, message: handle_reply(
            self,
            sender,
            attrs.evolve(message, state=messages.RevokeState.REVOKED),
        ),
    )


def treat_silence_as_not_run(monkeypatch):
    monkeypatch.setattr(
        _attempt_checks.AttemptChecks,
        'check',
        lambda self, outgoing: self.outgoing_attempts.end_as_refused(
            outgoing, results.Result.NO_TARGET
        ),
    )


INJECTED_BUGS = (
    skip_reply_cache,
    accept_any_tick,
    treat_running_as_revoked,
    treat_silence_as_not_run,
)


@pytest.mark.parametrize('inject_bug', INJECTED_BUGS, ids=lambda p: p.__name__)
def test_injected_bug_is_detected(inject_bug, monkeypatch):
    inject_bug(monkeypatch)
    with pytest.raises(AssertionError):
        run_all_single_faults('POST')
