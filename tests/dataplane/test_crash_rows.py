"""What is known of deadly requests outlasts the end of all nodes."""

import random

import msgspec
import pytest

from rosemarycrank.dataplane import _crash_history
from rosemarycrank.dataplane import _crash_rows
from rosemarycrank.dataplane import _discovery
from tests.dataplane import fakes

DEADLY, INNOCENT = 7, 8


class _Store(fakes.FakeStore):
    """Store that keeps rows, unless it is away."""

    def __init__(self):
        super().__init__()
        self.rows_by_key = {}
        self.is_away = False
        self.version = 0

    def write(self, table, row, on_reply):
        super().write(table, row, on_reply)
        known = self.rows_by_key.get(row.key)
        if self.is_away:
            self.answer(_discovery.ReplyKind.FAILED)
        elif row.version != (known.version if known else 0):
            self.answer(_discovery.ReplyKind.CONFLICT, (known,))
        else:
            self.version += 1
            stored = _discovery.StoredRow(row.key, self.version, row.value)
            self.rows_by_key[row.key] = stored
            self.answer(version=self.version)


class _Node:
    """What a node knows of crashes, and its row."""

    def __init__(self, reactor, store, address):
        self.history = _crash_history.CrashHistory(reactor)
        self.rows = _crash_rows.CrashRows(
            reactor, store, 't', address, self.history, random.Random(1)
        )
        for row in store.rows_by_key.values():
            self.rows.receive_row(row)


@pytest.fixture
def store():
    return _Store()


@pytest.fixture
def start(reactor, store):
    return lambda address: _Node(reactor, store, address)


def _crash_twice(first, second):
    """Let a request crash the targets of two nodes, which tell each other."""
    facts = first.history.record_crash('i-1', 1, [DEADLY, INNOCENT])
    second.history.merge(facts)
    facts = second.history.record_crash('i-2', 1, [DEADLY])
    first.history.merge(facts)


# Guards against requests that crash targets again after all nodes have ended.
def test_deadly_request_is_refused_after_the_end_of_all_nodes(start, reactor):
    _crash_twice(start('a'), start('b'))
    reactor.run(1.0)
    restarted = start('c')
    assert restarted.history.refused_for_s(DEADLY) > 0.0
    assert not restarted.history.count_crashes(INNOCENT)


def test_facts_are_kept_once_the_store_is_back(start, store, reactor):
    store.is_away = True
    _crash_twice(start('a'), start('b'))
    reactor.run(5.0)
    store.is_away = False
    reactor.run(5.0)
    assert start('c').history.refused_for_s(DEADLY) > 0.0


def test_single_crash_is_not_kept(start, store, reactor):
    start('a').history.record_crash('i-1', 1, [DEADLY, INNOCENT])
    reactor.run(5.0)
    assert store.calls == []


# Guards against a request that is refused for good after a restart, although
# it has run well.
def test_request_that_has_run_well_is_removed_from_the_row(
    start, store, reactor
):
    _crash_twice(start('a'), start('b'))
    reactor.run(1.0)
    restarted = start('a')
    other = start('b')
    for start_of_target in [('i-1', 1), ('i-2', 1)]:
        facts = restarted.history.clear(DEADLY, [start_of_target])
        other.history.merge(facts)
    reactor.run(5.0)
    assert {row.value for row in store.rows_by_key.values()} == {b'[]'}


def test_unchanged_row_is_written_once(start, store, reactor):
    _crash_twice(start('a'), start('b'))
    reactor.run(60.0)
    start('a')
    reactor.run(60.0)
    assert len(store.calls) == 2


def test_row_has_the_newest_crashes_only(start, store, reactor):
    node = start('a')
    for number in range(3 * _crash_rows.MAX_CRASHES_IN_ROW):
        node.history.record_crash('i', number, [DEADLY])
        reactor.run(0.01)
    reactor.run(5.0)
    (row,) = store.rows_by_key.values()
    facts = msgspec.json.decode(row.value)
    assert len(facts) == _crash_rows.MAX_CRASHES_IN_ROW
    assert facts[-1][1] == 3 * _crash_rows.MAX_CRASHES_IN_ROW - 1


# Guards against nodes that end, or refuse requests, as of an odd row.
@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{}',
        b'[["i", 1, 1, [7]]]',
        b'[["i", -1, 1, [7], []]]',
        b'[["i", 1, 1e300, [7], []]]',
        b'[["i", 1, 1, [100000000000000000000000], []]]',
        b'[["i", 1, 1, [7], [], ' + b'[' * 100_000 + b']]',
    ],
    ids=range(7),
)
def test_odd_row_is_ignored(start, value, caplog):
    node = start('a')
    row = _discovery.StoredRow(_crash_rows.KEY_PREFIX + 'b', 1, value)
    node.rows.receive_row(row)
    assert len(node.history) == 0
    assert [r.event for r in caplog.records] == ['row_invalid']
