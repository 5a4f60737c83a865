"""At most one run of each key, and truthful answers, under faults.

The planted faults show that the oracle sees what the ledger prevents.
"""

import hypothesis
from hypothesis import stateful
import pytest

from rosemarycrank.ledger import _claiming
from rosemarycrank.ledger import _claims
from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _owner
from rosemarycrank.ledger import _resolving
from rosemarycrank.ledger import _rows
from tests.ledger import machine

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


def _run_without_read_back(monkeypatch):
    def written(attempt, reply):
        if reply.outcome_unknown:
            attempt._finish(_rows.ClaimRow(attempt._claim, 1))
        else:
            original(attempt, reply)

    original = _claiming._Attempt._written
    monkeypatch.setattr(_claiming._Attempt, '_written', written)


def _unreadable_claim_is_free(monkeypatch):
    def settle(part, send, row):
        if row is None and part._owned_entry(send.key_hash) is None:
            part._admit(send, part._context.now)
        else:
            original(part, send, row)

    original = _resolving.Resolver._settle
    monkeypatch.setattr(_resolving.Resolver, '_settle', settle)


def _crash_is_proof(monkeypatch):
    def found(part, send, ownership, closing, closed_key):
        if closing is _closing.Closing.ABSENT:
            closing = _closing.Closing.NEVER_RAN
        original(part, send, ownership, closing, closed_key)

    original = _resolving.Resolver._closing_found
    monkeypatch.setattr(_resolving.Resolver, '_closing_found', found)
    monkeypatch.setattr(_resolving, '_MAX_LOOKS', 1)


def _any_incarnation_owns(monkeypatch):
    monkeypatch.setattr(
        _resolving.Resolver,
        '_is_mine',
        lambda part, issued: issued.owner == part._context.address,
    )


def _late_copies_run(monkeypatch):
    monkeypatch.setattr(_owner, '_note_refused', lambda entry, send: None)


def _entries_are_forgotten(monkeypatch):
    monkeypatch.setattr(
        _entries.Entries,
        'forget_expired',
        lambda entries, now: entries._by_key_hash.clear(),
    )


def _stop_does_not_wait(monkeypatch):
    def close(claims, now):
        if not claims._owner.closed:
            claims._owner.closed = True
            claims._closing_writer.start(claims._entries)

    monkeypatch.setattr(_claims.Claims, '_close_if_finished', close)


@pytest.mark.parametrize(
    'plant, machine_type',
    [
        (_run_without_read_back, CLIENT_KEYS),
        (_unreadable_claim_is_free, CLIENT_KEYS),
        (_crash_is_proof, ISSUED_KEYS),
        (_any_incarnation_owns, ISSUED_KEYS),
        (_late_copies_run, ISSUED_KEYS),
        (_entries_are_forgotten, ISSUED_KEYS),
        (_stop_does_not_wait, ISSUED_KEYS),
    ],
)
def test_planted_fault_is_found(monkeypatch, plant, machine_type):
    plant(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup), match='run|failures'):
        explore(
            machine_type, 4000, steps=80, phases=[hypothesis.Phase.generate]
        )
