"""Reports of the local target."""

import pytest

from rosemarycrank.dataplane import _registration


@pytest.fixture
def records():
    return []


@pytest.fixture
def registration(records):
    return _registration.Registration('n1', records.append)


def _beat(sequence, **changes):
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


def test_only_changes_make_records(registration, records):
    for sequence in range(1, 6):
        registration.report(_beat(sequence))
    assert [r.state for r in records] == ['ready']


def test_leaving_target_does_not_come_back(registration, records):
    registration.report(_beat(1))
    registration.report(_beat(2, state='draining'))
    registration.report(_beat(3))
    assert [r.state for r in records] == ['ready', 'draining']


def test_late_heartbeat_has_no_effect(registration, records):
    registration.report(_beat(4))
    assert not registration.report(_beat(3, state='draining'))
    assert [r.state for r in records] == ['ready']


def test_heartbeat_of_an_earlier_start_has_no_effect(registration, records):
    registration.report(_beat(1, instance='i2', born_ms=5000))
    assert not registration.report(_beat(9, born_ms=1000))
    assert [r.instance for r in records] == ['i2']


def test_reborn_target_under_the_same_id_counts_anew(registration, records):
    registration.report(_beat(9, state='draining'))
    registration.report(_beat(1, born_ms=2000))
    assert [r.state for r in records] == ['draining', 'ready']


def test_withdrawal_ends_the_target(registration, records):
    registration.report(_beat(1))
    registration.withdraw('i1', 0)
    registration.report(_beat(2))
    assert [r.state for r in records] == ['ready', 'gone']


@pytest.mark.parametrize('instance, born_ms', [('i2', 0), ('i1', 999)])
def test_withdrawal_of_another_has_no_effect(
    registration, records, instance, born_ms
):
    registration.report(_beat(1))
    registration.withdraw(instance, born_ms)
    assert [r.state for r in records] == ['ready']


@pytest.mark.parametrize('born_ms', [0, 1000])
def test_target_that_left_a_node_that_just_started_does_not_come_back(
    registration, records, born_ms
):
    # The first word that a new node hears is the withdrawal; a heartbeat
    # that was sent before comes late.
    registration.withdraw('i1', born_ms)
    registration.report(_beat(5))
    registration.report(_beat(6))
    assert [r.state for r in records] == ['gone']


def test_target_that_starts_again_after_a_withdrawal_is_taken(
    registration, records
):
    registration.withdraw('i1', 1000)
    registration.report(_beat(1, born_ms=2000))
    assert [r.state for r in records] == ['ready']
