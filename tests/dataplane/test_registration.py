"""Registration of the local target: heartbeats and withdrawals."""

import pytest

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _registration
from tests.dataplane import fakes


@pytest.fixture
def records():
    return []


class _Clock:
    """Clock that a test moves."""

    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def registration(records, clock):
    return _registration.Registration(
        'n1', records.append, service='archive', now=clock
    )


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
    registration.report(_heartbeat(3, slots=9))
    assert [(r.state, r.slots) for r in records] == [('ready', 4)]


# Guards against requests that are cut off, as the leaving of a target was
# acknowledged and ignored after a heartbeat with a high sequence number.
def test_leaving_is_followed_whatever_came_before(registration, records):
    registration.report(_heartbeat(4))
    assert registration.report(_heartbeat(3, state='draining'))
    registration.report(_heartbeat(5))
    assert [r.state for r in records] == ['ready', 'draining']
    assert records[-1].sequence == 4


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


def _record(sequence, state='gone', **changes):
    fields = {'instance': 'i1', 'born_ms': 1000}
    return fakes.record(
        'n1', sequence=sequence, state=state, **(fields | changes)
    )


# Guards against requests that reach a target after an earlier process of its
# node has acknowledged that it leaves.
@pytest.mark.parametrize('state', ['gone', 'draining'])
@pytest.mark.parametrize('sequence', [4, 5, 6])
def test_target_that_left_stays_so_for_a_node_that_has_restarted(
    registration, records, state, sequence
):
    registration.learn(_record(5, state))
    registration.report(_heartbeat(sequence))
    assert [r.state for r in records] == ([state] if sequence > 5 else [])


def test_what_is_known_before_the_first_heartbeat_is_the_newest(
    registration, records
):
    registration.learn(_record(5))
    registration.learn(_record(4, 'ready'))
    registration.learn(_record(9, instance='i0', born_ms=500))
    registration.report(_heartbeat(6))
    assert [r.state for r in records] == ['gone']


def test_target_that_left_is_known_after_its_first_heartbeat(
    registration, records
):
    registration.report(_heartbeat(4))
    registration.learn(_record(3, 'ready'))
    registration.learn(_record(5))
    registration.report(_heartbeat(6))
    assert [r.state for r in records] == ['ready', 'gone']


def test_record_of_another_start_does_not_replace_the_target(
    registration, records
):
    registration.report(_heartbeat(4))
    registration.learn(_record(1, 'gone', born_ms=9000))
    registration.learn(_record(9, 'gone', instance='i9'))
    registration.report(_heartbeat(5, slots=8))
    assert [(r.instance, r.state) for r in records] == [('i1', 'ready')] * 2


def test_new_start_is_ready_although_the_last_one_left(registration, records):
    registration.learn(_record(5))
    registration.report(_heartbeat(1, born_ms=2000))
    assert [r.state for r in records] == ['ready']


@pytest.mark.parametrize('withdrawn_first', [True, False])
def test_withdrawal_at_a_node_that_has_restarted_is_announced(
    registration, records, withdrawn_first
):
    steps = [
        lambda: registration.learn(_record(5, 'ready')),
        lambda: registration.withdraw('i1', 1000),
    ]
    for step in reversed(steps) if withdrawn_first else steps:
        step()
    assert [(r.state, r.sequence) for r in records] == [('gone', 6)]
    registration.report(_heartbeat(6))
    assert len(records) == 1


class _Informed:
    """Whether the store and other nodes have told what they know."""

    is_informed = False

    def __call__(self):
        return self.is_informed


@pytest.fixture
def informed():
    return _Informed()


@pytest.fixture
def restarted(records, informed):
    return _registration.Registration(
        'n1', records.append, is_informed=informed
    )


def test_first_heartbeat_waits_for_what_others_know(
    restarted, records, informed
):
    assert not restarted.report(_heartbeat(4))
    restarted.check_held()
    assert records == []
    restarted.learn(_record(5))
    informed.is_informed = True
    restarted.check_held()
    assert records == []


def test_first_heartbeat_is_followed_if_nobody_knows_more(
    restarted, records, informed
):
    restarted.report(_heartbeat(4))
    informed.is_informed = True
    restarted.check_held()
    restarted.check_held()
    assert [r.state for r in records] == ['ready']


# Guards against a target that is not used as the store and all other nodes are
# away.
@pytest.mark.parametrize(
    'second, is_followed',
    [
        ({'sequence': 5}, True),
        ({'sequence': 3}, False),
        ({'sequence': 5, 'born_ms': 2000}, False),
        ({'sequence': 5, 'instance': 'i2'}, False),
    ],
)
def test_second_heartbeat_is_followed(restarted, records, second, is_followed):
    restarted.report(_heartbeat(4))
    restarted.report(_heartbeat(**second))
    assert bool(records) == is_followed


def test_first_heartbeat_that_says_draining_does_not_wait(restarted, records):
    restarted.report(_heartbeat(4, state='draining'))
    assert [r.state for r in records] == ['draining']


def test_withdrawal_ends_the_wait_of_a_heartbeat(restarted, records, informed):
    restarted.report(_heartbeat(4))
    restarted.withdraw('i1', 1000)
    informed.is_informed = True
    restarted.check_held()
    assert [r.state for r in records] in ([], ['gone'])


# Guards against a withdrawal that was acknowledged and forgotten: the first
# heartbeat of the target was held, and was followed later.
@pytest.mark.parametrize('born_ms', [0, 2000])
@pytest.mark.parametrize('has_earlier', [True, False])
def test_withdrawal_while_the_first_heartbeat_is_held_is_followed(
    restarted, records, informed, born_ms, has_earlier
):
    if has_earlier:
        restarted.learn(_record(5, instance='i0'))
    assert not restarted.report(_heartbeat(1, born_ms=2000))
    assert restarted.withdraw('i1', born_ms)
    informed.is_informed = True
    restarted.check_held()
    restarted.report(_heartbeat(2, born_ms=2000))
    assert [(r.instance, r.state) for r in records] == [('i1', 'gone')]


# Guards against a target of another service that gets requests, or a target
# that is hidden, by a heartbeat of another writer.
@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_heartbeat_of_another_service_changes_nothing(
    registration, records, state
):
    registration.report(_heartbeat(1))
    foreign = _heartbeat(9000, service='dues', state=state, born_ms=10**12)
    with pytest.raises(_registration.ForeignHeartbeatError):
        registration.report(foreign)
    assert registration.report(_heartbeat(2, state='draining'))
    assert [r.service for r in records] == ['archive'] * 2
    assert [r.state for r in records] == ['ready', 'draining']


def _report_for(registration, clock, duration_s, **changes):
    """Report heartbeats with an interval of 1.5 s; return the outcomes."""
    outcomes = []
    for number in range(1, int(duration_s / 1.5) + 2):
        outcomes.append(registration.report(_heartbeat(number, **changes)))
        clock.now += 1.5
    return outcomes


# Guards against requests that are cut off, as the leaving of a target was
# acknowledged and ignored: the clock had jumped back before its start.
@pytest.mark.parametrize('instance', ['i1', 'i2'])
def test_start_after_the_clock_has_jumped_back_is_followed(
    registration, records, clock, instance
):
    registration.report(_heartbeat(3, born_ms=5000))
    changes = {'instance': instance, 'born_ms': 4000}
    outcomes = _report_for(registration, clock, 6.0, **changes)
    assert outcomes == [False, False, True, True, True]
    assert registration.report(_heartbeat(9, state='draining', **changes))
    assert [(r.instance, r.state) for r in records] == [
        ('i1', 'ready'),
        (instance, 'ready'),
        (instance, 'draining'),
    ]
    directory = _directory.Directory()
    assert all(directory.merge(record) for record in records)


@pytest.mark.parametrize('count', [0, 1, 2])
def test_leaving_of_a_start_that_is_not_followed_yet_is_followed(
    registration, records, clock, count
):
    registration.report(_heartbeat(3, born_ms=5000))
    for number in range(count):
        registration.report(_heartbeat(number, born_ms=4000))
    assert registration.report(_heartbeat(9, born_ms=4000, state='draining'))
    registration.report(_heartbeat(4, born_ms=5000))
    assert [r.state for r in records] == ['ready', 'draining']
    directory = _directory.Directory()
    assert all(directory.merge(record) for record in records)


# Guards against a target that gets no requests for good, by a late heartbeat.
def test_target_that_stays_is_ready_after_a_late_leaving_of_an_earlier_start(
    registration, records, clock
):
    registration.report(_heartbeat(1, born_ms=5000))
    registration.report(_heartbeat(9, born_ms=4000, state='draining'))
    outcomes = _report_for(registration, clock, 6.0, born_ms=5000)
    assert outcomes[-1]
    assert [r.state for r in records] == ['ready', 'draining', 'ready']


@pytest.mark.parametrize('instance', ['i1', 'i2'])
def test_late_heartbeats_of_an_earlier_start_are_not_followed(
    registration, records, clock, instance
):
    registration.report(_heartbeat(1, born_ms=5000))
    for number in range(2, 12):
        clock.now += 0.75
        late = _heartbeat(40 + number, instance=instance, born_ms=4000)
        assert not registration.report(late)
        clock.now += 0.75
        assert registration.report(_heartbeat(number, born_ms=5000))
    assert [r.born_ms for r in records] == [5000]


def test_withdrawal_of_another_start_is_not_acknowledged(registration):
    registration.report(_heartbeat(1))
    assert not registration.withdraw('i1', 999)
    assert not registration.withdraw('i2', 0)
    assert registration.withdraw('i2', 999)
    assert registration.withdraw('i1', 1000)


# Guards against an acknowledgement that a restart of the node makes forgotten.
def test_withdrawal_before_any_heartbeat_is_not_acknowledged(registration):
    assert not registration.withdraw('i1', 1000)


# Guards against a target that has withdrawn, and gets requests after a late
# heartbeat; its withdrawal came to a node that knew another target.
def test_late_heartbeat_after_a_withdrawal_is_not_followed(
    registration, records, clock
):
    registration.report(_heartbeat(1))
    registration.withdraw('i2', 0)
    assert not registration.report(_heartbeat(7, instance='i2', born_ms=2000))
    assert [r.instance for r in records] == ['i1']
    outcomes = _report_for(
        registration, clock, 6.0, instance='i2', born_ms=3000
    )
    assert outcomes[-1]
