"""Following and writing rows of the store through its troubles."""

import random

import pytest

from rosemarycrank.dataplane import _discovery
from tests.dataplane import fakes

OK = _discovery.ReplyKind.OK

PAUSE_S = 0.5


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def rows():
    return []


@pytest.fixture
def follower(reactor, store, rows):
    follower = _discovery.TableFollower(
        reactor, store, 't', rows.append, random.Random(1), PAUSE_S
    )
    follower.start()
    return follower


@pytest.fixture
def publisher(reactor, store):
    return _discovery.RowPublisher(reactor, store, 't', 'k', random.Random(1))


def _row(value, version):
    return _discovery.StoredRow('k', version, value)


def _change_each(follower, store, reactor, step_s, seconds):
    """Answer with a change whenever asked; returns when it was asked."""
    asked = []
    store.answer(version=1)
    for step in range(int(seconds / step_s)):
        reactor.run(step_s)
        if len(store.calls) > len(asked) + 1:
            asked.append(reactor.now())
            version = 2 + step
            store.answer(rows=(_row(b'b', version),), version=version)
    return asked


def test_long_series_of_changes_costs_few_questions(follower, store, reactor):
    asked = _change_each(follower, store, reactor, 0.01, 10.0)
    assert len(asked) < 10.0 / PAUSE_S + 6


def test_short_series_of_changes_is_known_soon(follower, store, reactor):
    # The targets of a deployment that starts: their rows come one by one.
    asked = _change_each(follower, store, reactor, 0.01, 0.4)
    assert len(asked) >= 3


def test_single_change_after_a_while_is_known_at_once(
    follower, store, reactor
):
    _change_each(follower, store, reactor, 0.01, 5.0)
    reactor.run(PAUSE_S + 0.1)
    reactor.run(2 * PAUSE_S + 0.1)
    store.answer(rows=(_row(b'c', 5000),), version=5000)
    reactor.run(_discovery.FIRST_PAUSE_S + 0.02)
    assert store.calls[-1][:2] == ('follow', 5000)


def test_question_that_found_nothing_is_asked_again_at_once(
    follower, store, reactor
):
    store.answer(version=5)
    reactor.run(0.01)
    store.answer(version=9)
    reactor.run(0.01)
    assert store.calls[-1][:2] == ('follow', 9)


def test_follower_reads_once_and_then_follows(follower, store, rows, reactor):
    store.answer(rows=(_row(b'a', 3),), version=5)
    reactor.run(0.01)
    store.answer(rows=(_row(b'b', 7),), version=7)
    reactor.run(PAUSE_S + 0.01)
    assert [call[:2] for call in store.calls] == [
        ('read', None),
        ('follow', 5),
        ('follow', 7),
    ]
    assert [row.value for row in rows] == [b'a', b'b']


def test_compacted_history_is_read_anew(follower, store, reactor):
    store.answer(version=5)
    reactor.run(0.01)
    store.answer(_discovery.ReplyKind.COMPACTED)
    reactor.run(0.5)
    assert store.calls[-1][0] == 'read'


@pytest.mark.parametrize('kind', ['REFUSED', 'FAILED'])
def test_failed_calls_are_spaced_out(follower, store, reactor, kind):
    for _ in range(200):
        store.answer(_discovery.ReplyKind[kind])
        count = len(store.calls)
        while len(store.calls) == count:
            reactor.run(0.05)
    assert reactor.now() > 200 * _discovery.LAST_RETRY_S * 0.5 * 0.9


def test_publisher_writes_under_the_version_it_replaces(publisher, store):
    publisher.publish(b'one')
    store.answer(version=4)
    publisher.publish(b'two')
    assert store.calls[-1][1] == _row(b'two', 4)


def test_write_whose_answer_was_lost_is_recognised(publisher, store, reactor):
    publisher.publish(b'one')
    store.answer(_discovery.ReplyKind.FAILED)
    reactor.run(0.5)
    assert len(store.calls) == 2
    store.answer(_discovery.ReplyKind.CONFLICT, (_row(b'one', 9),))
    publisher.publish(b'two')
    assert store.calls[-1][1] == _row(b'two', 9)


def test_newer_value_replaces_one_that_is_retried(publisher, store, reactor):
    publisher.publish(b'one')
    publisher.publish(b'two')
    store.answer(_discovery.ReplyKind.REFUSED)
    reactor.run(0.5)
    assert store.calls[-1][1].value == b'two'
    store.answer(version=2)
    reactor.run(5.0)
    assert len(store.calls) == 2


def test_value_that_changed_during_the_write_is_written_too(
    publisher, store, reactor
):
    publisher.publish(b'one')
    publisher.publish(b'two')
    store.answer(version=3)
    reactor.run(0.5)
    assert store.calls[-1][1] == _row(b'two', 3)


def test_store_that_was_away_is_asked_shortly(follower, store, reactor):
    store.answer(version=5)
    for _ in range(20):
        reactor.run(0.01)
        store.answer(version=5)
    assert 3.0 < store.waits[-1] <= _discovery.LAST_WAIT_S
    reactor.run(0.01)
    store.answer(_discovery.ReplyKind.FAILED)
    reactor.run(1.0)
    assert store.waits[-1] <= _discovery.FIRST_WAIT_S
