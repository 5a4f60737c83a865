"""Registration of the local target: heartbeats and withdrawals."""

import pytest

from rosemarycrank.dataplane import _registration


@pytest.fixture
def records():
    return []


@pytest.fixture
def registration(records):
    return _registration.Registration('n1', records.append)


def _heartbeat(sequence, **changes):
    fields = {
        'instance': 'i1',
        'service': 'archive',
        'address': '10.0.0.1:80',
        'failure_domain': 'fd-a',
        'slots': 4,
        'state': 'ready',
        'born_ms': 1000,
        'sequence': sequence,
    }
    return _registration.Heartbeat(**(fields | changes))


def test_heartbeats_without_changes_create_no_records(registration, records):
    for sequence in range(1, 6):
        registration.report(_heartbeat(sequence))
    assert [r.state for r in records] == ['ready']


def test_draining_target_never_becomes_ready_again(registration, records):
    registration.report(_heartbeat(1))
    registration.report(_heartbeat(2, state='draining'))
    registration.report(_heartbeat(3))
    assert [r.state for r in records] == ['ready', 'draining']


def test_stale_heartbeat_is_ignored(registration, records):
    registration.report(_heartbeat(4))
    assert not registration.report(_heartbeat(3, state='draining'))
    assert [r.state for r in records] == ['ready']


def test_heartbeat_of_an_earlier_start_is_ignored(registration, records):
    registration.report(_heartbeat(1, instance='i2', born_ms=5000))
    assert not registration.report(_heartbeat(9, born_ms=1000))
    assert [r.instance for r in records] == ['i2']


def test_restarted_target_with_the_same_id_is_ready(registration, records):
    registration.report(_heartbeat(9, state='draining'))
    registration.report(_heartbeat(1, born_ms=2000))
    assert [r.state for r in records] == ['draining', 'ready']


def test_withdrawn_target_is_gone(registration, records):
    registration.report(_heartbeat(1))
    registration.withdraw('i1', 0)
    registration.report(_heartbeat(2))
    assert [r.state for r in records] == ['ready', 'gone']


@pytest.mark.parametrize('instance, born_ms', [('i2', 0), ('i1', 999)])
def test_withdrawal_of_another_target_is_ignored(
    registration, records, instance, born_ms
):
    registration.report(_heartbeat(1))
    registration.withdraw(instance, born_ms)
    assert [r.state for r in records] == ['ready']


@pytest.mark.parametrize('born_ms', [0, 1000])
def test_target_withdrawn_before_its_first_heartbeat_stays_gone(
    registration, records, born_ms
):
    # The target withdraws while its node restarts: the withdrawal reaches
    # the new node before heartbeats that were sent earlier. They must not
    # register the target as ready.
    registration.withdraw('i1', born_ms)
    registration.report(_heartbeat(5))
    registration.report(_heartbeat(6))
    assert [r.state for r in records] == ['gone']


def test_target_restarted_after_its_withdrawal_is_ready(registration, records):
    registration.withdraw('i1', 1000)
    registration.report(_heartbeat(1, born_ms=2000))
    assert [r.state for r in records] == ['ready']
