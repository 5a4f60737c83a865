"""Following and publishing rows of a store that may fail or refuse."""

import random

import pytest

from rosemarycrank.dataplane import _discovery
from tests.dataplane import fakes

OK = _discovery.ReplyKind.OK

MAX_POLL_DELAY_S = 0.5


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def rows():
    return []


@pytest.fixture
def follower(reactor, store, rows):
    follower = _discovery.TableFollower(
        reactor, store, 't', rows.append, random.Random(1), MAX_POLL_DELAY_S
    )
    follower.start()
    return follower


@pytest.fixture
def publisher(reactor, store):
    return _discovery.RowPublisher(reactor, store, 't', 'k', random.Random(1))


def _row(value, version):
    return _discovery.StoredRow('k', version, value)


def _reply_with_changes(follower, store, reactor, step_s, seconds):
    """Reply to each long poll with a change; return the times of the polls.

    Parameters
    ----------
    follower : TableFollower
        Follower under test.
    store : fakes.Store
        Its store.
    reactor : fakes.VirtualReactor
        Its clock.
    step_s : float
        Seconds from a long poll to the reply.
    seconds : float
        Duration.
    """
    polled_at = []
    store.answer(version=1)
    for step in range(int(seconds / step_s)):
        reactor.run(step_s)
        if len(store.calls) > len(polled_at) + 1:
            polled_at.append(reactor.now())
            version = 2 + step
            store.answer(rows=(_row(b'b', version),), version=version)
    return polled_at


# Guards against a table that is not followed any more since one row could not
# be handled.
def test_table_is_followed_on_after_a_row_that_cannot_be_handled(
    reactor, store, caplog
):
    handled = []

    def handle(row):
        if row.value == b'odd':
            raise OverflowError('too large')
        handled.append(row.value)

    follower = _discovery.TableFollower(
        reactor, store, 't', handle, random.Random(1), MAX_POLL_DELAY_S
    )
    follower.start()
    store.answer(OK, [_row(b'odd', 1), _row(b'good', 2)], 2)
    reactor.run(1.0)
    assert handled == [b'good']
    assert [r.event for r in caplog.records] == ['row_failed']
    assert len(store.calls) == 2


def test_long_series_of_changes_needs_few_polls(follower, store, reactor):
    polled_at = _reply_with_changes(follower, store, reactor, 0.01, 10.0)
    assert len(polled_at) < 10.0 / MAX_POLL_DELAY_S + 6


def test_short_series_of_changes_is_received_soon(follower, store, reactor):
    # When a deployment starts, the rows of its targets appear one by one.
    polled_at = _reply_with_changes(follower, store, reactor, 0.01, 0.4)
    assert len(polled_at) >= 3


def test_delay_is_reset_after_a_time_without_changes(follower, store, reactor):
    _reply_with_changes(follower, store, reactor, 0.01, 5.0)
    reactor.run(MAX_POLL_DELAY_S + 0.1)
    reactor.run(2 * MAX_POLL_DELAY_S + 0.1)
    store.answer(rows=(_row(b'c', 5000),), version=5000)
    reactor.run(_discovery.MIN_POLL_DELAY_S + 0.02)
    assert store.calls[-1][:2] == ('follow', 5000)


def test_poll_without_changes_is_repeated_immediately(
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
    reactor.run(MAX_POLL_DELAY_S + 0.01)
    assert [call[:2] for call in store.calls] == [
        ('read', None),
        ('follow', 5),
        ('follow', 7),
    ]
    assert [row.value for row in rows] == [b'a', b'b']


def test_table_is_read_again_after_compaction(follower, store, reactor):
    store.answer(version=5)
    reactor.run(0.01)
    store.answer(_discovery.ReplyKind.COMPACTED)
    reactor.run(0.5)
    assert store.calls[-1][0] == 'read'


# Guards against a compaction after which all nodes read the table at once.
def test_nodes_of_a_large_fleet_read_again_at_different_times(reactor):
    stores = [fakes.FakeStore() for _ in range(100)]
    for seed, store in enumerate(stores):
        follower = _discovery.TableFollower(
            reactor, store, 't', lambda _row: None, random.Random(seed), 2.0
        )
        follower.max_reread_delay_s = 10.0
        follower.start()
        store.answer(version=5)
    reactor.run(0.01)
    for store in stores:
        store.answer(_discovery.ReplyKind.COMPACTED)
    counts = [0]
    for _ in range(11):
        reactor.run(1.0)
        counts.append(sum(s.calls[-1][0] == 'read' for s in stores))
    assert counts[-1] == 100
    reads_per_s = [b - a for a, b in zip(counts, counts[1:])]
    assert max(reads_per_s) <= 20


@pytest.mark.parametrize('kind', ['REFUSED', 'FAILED'])
def test_failed_calls_back_off(follower, store, reactor, kind):
    for _ in range(200):
        store.answer(_discovery.ReplyKind[kind])
        count = len(store.calls)
        while len(store.calls) == count:
            reactor.run(0.05)
    assert reactor.now() > 200 * _discovery.MAX_BACKOFF_S * 0.5 * 0.9


def test_write_is_conditional_on_the_replaced_version(publisher, store):
    publisher.publish(b'one')
    store.answer(version=4)
    publisher.publish(b'two')
    assert store.calls[-1][1] == _row(b'two', 4)


def test_conflict_with_the_own_value_counts_as_written(
    publisher, store, reactor
):
    # The first write succeeds but its reply is lost, so the retry conflicts
    # with the value that the first one wrote.
    publisher.publish(b'one')
    store.answer(_discovery.ReplyKind.FAILED)
    reactor.run(0.5)
    assert len(store.calls) == 2
    store.answer(_discovery.ReplyKind.CONFLICT, (_row(b'one', 9),))
    publisher.publish(b'two')
    assert store.calls[-1][1] == _row(b'two', 9)


def test_retry_writes_the_newest_value(publisher, store, reactor):
    publisher.publish(b'one')
    publisher.publish(b'two')
    store.answer(_discovery.ReplyKind.REFUSED)
    reactor.run(0.5)
    assert store.calls[-1][1].value == b'two'
    store.answer(version=2)
    reactor.run(5.0)
    assert len(store.calls) == 2


def test_value_published_during_a_write_is_written_next(
    publisher, store, reactor
):
    publisher.publish(b'one')
    publisher.publish(b'two')
    store.answer(version=3)
    reactor.run(0.5)
    assert store.calls[-1][1] == _row(b'two', 3)


def test_long_polls_are_short_after_a_failure(follower, store, reactor):
    store.answer(version=5)
    for _ in range(20):
        reactor.run(0.01)
        store.answer(version=5)
    assert 3.0 < store.waits[-1] <= _discovery.MAX_LONG_POLL_S
    reactor.run(0.01)
    store.answer(_discovery.ReplyKind.FAILED)
    reactor.run(1.0)
    assert store.waits[-1] <= _discovery.INITIAL_LONG_POLL_S
