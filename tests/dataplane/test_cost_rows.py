"""Keeping costs in the store, over restarts and its troubles."""

import random

import msgspec
import pytest

from rosemarycrank.dataplane import _cost_rows
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _discovery
from tests.dataplane import fakes

KEPT = _costs.KeptCosts(
    'dues',
    {'pay': {'dues': 1.0, 'leaf': 8.0}},
    [_costs.KeptCall('leaf', 'lookup', 'pay', 8.0)],
)


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def make_rows(reactor, store):
    def make(service='dues', writes=True):
        costs = _costs.CallCosts(service)
        rows = _cost_rows.CostRows(
            reactor, store, 't', costs, lambda: writes, random.Random(1)
        )
        rows.start()
        return rows

    return make


def _row(kept=KEPT, version=3):
    value = msgspec.json.encode(kept)
    return _discovery.StoredRow(kept.service, version, value)


def _written(store):
    return [call[1] for call in store.calls if call[0] == 'write']


def test_costs_are_read_at_the_start(make_rows, store):
    rows = make_rows(service='front')
    store.answer(rows=(_row(),))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_reading_is_tried_again_until_the_store_answers(
    make_rows, store, reactor
):
    rows = make_rows()
    store.answer(kind=_discovery.ReplyKind.FAILED)
    reactor.run(1.0)
    assert len(store.calls) == 2
    store.answer(rows=(_row(),))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_row_that_cannot_be_read_leaves_the_others(make_rows, store):
    rows = make_rows(service='front')
    broken = _discovery.StoredRow('broken', 1, b'{"service": 3}')
    store.answer(rows=(broken, _row()))
    assert rows.costs.cost('dues', 'pay')['leaf'] == 8.0


def test_nothing_is_written_while_nothing_has_changed(
    make_rows, store, reactor
):
    make_rows()
    store.answer(rows=(_row(),))
    reactor.run(3 * _cost_rows.CHECK_S)
    assert _written(store) == []


def test_change_is_written_over_the_version_that_was_read(
    make_rows, store, reactor
):
    rows = make_rows()
    store.answer(rows=(_row(),))
    rows.costs.by_route[('dues', 'pay')]['leaf'] = 4.0
    reactor.run(_cost_rows.CHECK_S + 0.1)
    (row,) = _written(store)
    assert row.version == 3
    kept = msgspec.json.decode(row.value, type=_costs.KeptCosts)
    assert kept.costs_by_route['pay']['leaf'] == 4.0
    assert kept.calls == KEPT.calls


def test_one_node_of_a_service_writes(make_rows, store, reactor):
    rows = make_rows(writes=False)
    store.answer(rows=(_row(),))
    rows.costs.by_route[('dues', 'pay')]['leaf'] = 4.0
    reactor.run(3 * _cost_rows.CHECK_S)
    assert _written(store) == []


@pytest.mark.parametrize(
    'calls, differs', [(8.0, False), (9.0, False), (12.0, True), (0.0, True)]
)
def test_small_changes_are_no_news(calls, differs):
    assert _costs.differ({'leaf': calls}, {'leaf': 8.0}) is differs
