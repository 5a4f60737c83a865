"""At most one run of each key, and no answer that denies a run.

The state machine injects faults of nodes, network and platform. The tests
with planted faults remove one safeguard of the ledger each, and show that
the checks of the simulation detect it: in a fixed sequence of rules, and in
generated ones.
"""

import hypothesis
from hypothesis import stateful
import pytest

from rosemarycrank import kernel
from rosemarycrank.ledger import _claiming
from rosemarycrank.ledger import _claims
from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _owner
from rosemarycrank.ledger import _resolving
from rosemarycrank.ledger import _rows
from rosemarycrank import results
from tests.ledger import machine
from tests.ledger import world

CLIENT_KEYS = machine.ClientKeyMachine
ISSUED_KEYS = machine.IssuedKeyMachine


def explore(machine_type, max_examples, steps=60, **options):
    stateful.run_state_machine_as_test(
        machine_type,
        settings=hypothesis.settings(
            max_examples=max_examples,
            stateful_step_count=steps,
            suppress_health_check=list(hypothesis.HealthCheck),
            **options,
        ),
    )


@pytest.mark.parametrize(
    'machine_type', [machine.LedgerMachine, CLIENT_KEYS, ISSUED_KEYS]
)
def test_ledgers_under_faults(machine_type):
    explore(machine_type, max(hypothesis.settings().max_examples, 300))


def _accept_lost_claims(monkeypatch):
    """Take a claim with a lost reply as written, without reading it back."""

    def on_write_reply(attempt, reply):
        if reply.outcome_unknown:
            attempt._finish(_rows.ClaimRow(attempt._claim, 1))
        else:
            original(attempt, reply)

    original = _claiming._ClaimAttempt._on_write_reply
    monkeypatch.setattr(
        _claiming._ClaimAttempt, '_on_write_reply', on_write_reply
    )


def _treat_unknown_claim_as_own(monkeypatch):
    """Run a key whose claim could not be read."""

    def continue_with_row(resolver, send, row):
        if row is None and resolver._valid_entry(send.key_hash) is None:
            resolver._handle_new_key(send, resolver._context.now)
        else:
            original(resolver, send, row)

    original = _resolving.Resolver._continue_with_row
    monkeypatch.setattr(
        _resolving.Resolver, '_continue_with_row', continue_with_row
    )


def _treat_missing_record_as_never_ran(monkeypatch):
    """Conclude from a missing closing record that the key did not run."""

    def apply_closing(resolver, send, ownership, status, closed_key):
        if status is _closing.ClosingStatus.ABSENT:
            status = _closing.ClosingStatus.NEVER_RAN
        original(resolver, send, ownership, status, closed_key)

    original = _resolving.Resolver._apply_closing
    monkeypatch.setattr(_resolving.Resolver, '_apply_closing', apply_closing)
    monkeypatch.setattr(_resolving, '_MAX_CLOSING_READS', 1)


def _accept_any_incarnation(monkeypatch):
    """Let a restarted node own the keys of its earlier incarnations."""
    monkeypatch.setattr(
        _resolving.Resolver,
        '_is_issued_here',
        lambda resolver, issued: issued.owner == resolver._context.address,
    )


def _run_late_copies(monkeypatch):
    """Do not remember the calls that were answered as not run."""
    monkeypatch.setattr(
        _owner, '_record_refused_call', lambda entry, send: None
    )


def _remove_entries_early(monkeypatch):
    """Remove entries before their keys expire."""
    monkeypatch.setattr(
        _entries.Entries,
        'remove_expired',
        lambda entries, now: entries._by_key_hash.clear(),
    )


def _close_without_waiting(monkeypatch):
    """Write the closing record while requests run."""

    def close(claims, now):
        if not claims._local_owner.closed:
            claims._local_owner.closed = True
            claims._closing_writer.start(claims._entries)

    monkeypatch.setattr(_claims.Claims, '_close_if_finished', close)


def _report_cut_off_runs_as_not_run(monkeypatch):
    """Take what runs at the end of a drain as not run."""
    answer = kernel.Answer(results.Result.LEAVING)

    def end_runs(owner):
        for _, entry in list(owner._entries.items()):
            if entry.state is _entries.State.RUNNING:
                owner._on_run_finished(entry, answer)

    monkeypatch.setattr(_owner.LocalOwner, 'end_runs', end_runs)


def _lose_the_answer_to_a_claim(state):
    # Each node reads the row of the claim; the first one writes it.
    state.submit_everywhere(key=0)
    for _ in range(len(state.addresses) + 1):
        state.answer_operation(number=0, fault='')
    state.answer_operation(number=0, fault='lost')


def _wait_for_two_claims(state):
    state.submit_everywhere(key=0)
    state.advance(seconds=1.2)


def _restart_between_sends(state):
    state.submit(number=0, key=0, body=b'body')
    _restart_first_node(state)
    state.submit(number=0, key=0, body=b'body')


def _restart_before_sends_everywhere(state):
    state.submit(number=0, key=0, body=b'body')
    _restart_first_node(state)
    state.submit_everywhere(key=0)


def _restart_first_node(state):
    state.crash_or_start(number=0)
    state.advance(seconds=0.05)
    state.crash_or_start(number=0)
    state.advance(seconds=0.05)


def _duplicate_messages(state):
    state.submit(number=1, key=0, body=b'body')
    for _ in range(2):
        state.step_all(faults=[''], keep=True, outcome=world.NOT_RUN)


def _query_after_a_pause(state):
    state.submit(number=0, key=0, body=b'body')
    state.advance(seconds=1.2)
    state.query(number=0, key=0)


def _drain_and_query(state):
    state.submit(number=0, key=0, body=b'body')
    state.drain(number=0)
    state.query(number=0, key=0)


def _end_the_drain_and_query(state):
    state.submit(number=0, key=0, body=b'body')
    state.end_drain(number=0)
    state.query(number=0, key=0)


#: Safeguards that are removed, with the state machine that shows it and a
#: sequence of its rules that always does.
PLANTED_FAULTS = [
    (_accept_lost_claims, CLIENT_KEYS, _lose_the_answer_to_a_claim),
    (_treat_unknown_claim_as_own, CLIENT_KEYS, _wait_for_two_claims),
    (_treat_missing_record_as_never_ran, ISSUED_KEYS, _restart_between_sends),
    (_accept_any_incarnation, ISSUED_KEYS, _restart_before_sends_everywhere),
    (_run_late_copies, ISSUED_KEYS, _duplicate_messages),
    (_remove_entries_early, ISSUED_KEYS, _query_after_a_pause),
    (_close_without_waiting, ISSUED_KEYS, _drain_and_query),
    (_report_cut_off_runs_as_not_run, ISSUED_KEYS, _end_the_drain_and_query),
]


def ending_with(machine_type, sequence):
    """Return the machine with a sequence at the end of each example.

    Whatever the rules did and found, all nodes restart, and the sequence is
    played for a new key.
    """

    class EndingMachine(machine_type):
        simulation = None

        def teardown(self):
            if self.simulation is None:
                return
            try:
                super().teardown()
            finally:
                self.restart_all()
                self.change_key(number=0)
                sequence(self)
                super().teardown()

    return EndingMachine


def play(machine_type, sequence):
    """Run a fixed sequence of rules, without generated values."""
    state = machine_type()
    state.start(count=2)
    sequence(state)
    state.teardown()


@pytest.mark.parametrize('plant_fault, machine_type, sequence', PLANTED_FAULTS)
def test_planted_fault_is_found_in_its_sequence(
    monkeypatch, plant_fault, machine_type, sequence
):
    play(machine_type, sequence)
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError, match='run'):
        play(machine_type, sequence)


@pytest.mark.parametrize('plant_fault, machine_type, sequence', PLANTED_FAULTS)
def test_sequence_is_harmless_without_the_fault(
    plant_fault, machine_type, sequence
):
    explore(ending_with(machine_type, sequence), 40)


@pytest.mark.parametrize('plant_fault, machine_type, sequence', PLANTED_FAULTS)
def test_planted_fault_is_found(
    monkeypatch, plant_fault, machine_type, sequence
):
    plant_fault(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup), match='run|failures'):
        explore(
            ending_with(machine_type, sequence),
            4000,
            steps=80,
            phases=[hypothesis.Phase.generate],
        )
