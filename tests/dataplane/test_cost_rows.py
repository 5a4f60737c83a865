"""Storage of request costs over restarts and failures of the store."""

import random

import msgspec
import pytest

from rosemarycrank.dataplane import _cost_changes
from rosemarycrank.dataplane import _cost_rows
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _stored_costs
from tests.dataplane import fakes

STORED = _stored_costs.StoredCosts(
    'dues',
    {'pay': {'dues': 1.0, 'leaf': 8.0}},
    [_stored_costs.StoredCall('leaf', 'lookup', 'pay', 8.0)],
)


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def make_rows(reactor, store):
    def make(service='dues', is_writer=True):
        costs = _costs.CallCosts(service)
        rows = _cost_rows.CostRows(
            reactor, store, 't', costs, lambda: is_writer, random.Random(1)
        )
        rows.start()
        return rows

    return make


def _row(costs=STORED, version=3):
    value = msgspec.json.encode(costs)
    return _discovery.StoredRow(costs.service, version, value)


def _written_rows(store):
    return [call[1] for call in store.calls if call[0] == 'write']


def test_costs_are_read_at_the_start(make_rows, store):
    rows = make_rows(service='front')
    store.answer(rows=(_row(),))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_read_is_retried_until_the_store_answers(make_rows, store, reactor):
    rows = make_rows()
    store.answer(kind=_discovery.ReplyKind.FAILED)
    reactor.run(1.0)
    assert len(store.calls) == 2
    store.answer(rows=(_row(),))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_malformed_row_does_not_affect_the_others(make_rows, store):
    rows = make_rows(service='front')
    malformed = _discovery.StoredRow('broken', 1, b'{"service": 3}')
    store.answer(rows=(malformed, _row()))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_unchanged_costs_are_not_written(make_rows, store, reactor):
    make_rows()
    store.answer(rows=(_row(),))
    reactor.run(3 * _cost_rows.CHECK_INTERVAL_S)
    assert _written_rows(store) == []


def test_changed_costs_replace_the_version_that_was_read(
    make_rows, store, reactor
):
    rows = make_rows()
    store.answer(rows=(_row(),))
    rows.costs.costs_by_service_route[('dues', 'pay')]['leaf'] = 4.0
    reactor.run(_cost_rows.CHECK_INTERVAL_S + 0.1)
    (row,) = _written_rows(store)
    assert row.version == 3
    written = msgspec.json.decode(row.value, type=_stored_costs.StoredCosts)
    assert written.costs_by_route['pay']['leaf'] == 4.0
    assert written.calls == STORED.calls


def test_only_the_writer_of_a_service_writes(make_rows, store, reactor):
    rows = make_rows(is_writer=False)
    store.answer(rows=(_row(),))
    rows.costs.costs_by_service_route[('dues', 'pay')]['leaf'] = 4.0
    reactor.run(3 * _cost_rows.CHECK_INTERVAL_S)
    assert _written_rows(store) == []


@pytest.mark.parametrize(
    'calls, differs', [(8.0, False), (9.0, False), (12.0, True), (0.0, True)]
)
def test_small_changes_are_not_significant(calls, differs):
    assert (
        _cost_changes.differ_significantly({'leaf': calls}, {'leaf': 8.0})
        is differs
    )
