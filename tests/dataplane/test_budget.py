"""Repeats that all nodes together may make.

The pattern: targets that refuse part of their requests while idle, where
each call of a request that makes many has to be repeated.
"""

import pytest

from rosemarycrank.dataplane import _budget


@pytest.fixture
def budget():
    return _budget.RepeatBudget(0.25, 4.0)


def _spend_all(budget, rank):
    spent = 0
    while budget.spend(rank):
        spent += 1
    return spent


def test_stock_bounds_the_repeats_at_once(budget):
    assert _spend_all(budget, 0.0) == 4


def test_first_arrivals_earn_repeats(budget):
    _spend_all(budget, 0.0)
    for _ in range(8):
        budget.earn()
    assert _spend_all(budget, 0.0) == 2


@pytest.mark.parametrize('rank', [0.5, 1.0, 2.0, 9.0])
def test_what_matters_less_leaves_some_to_what_matters_most(budget, rank):
    spent = _spend_all(budget, rank)
    left = _spend_all(budget, 0.0)
    assert spent >= 1
    assert left >= 1
    assert spent + left == 4


def test_small_stock_is_not_closed_to_what_matters_less():
    assert _budget.RepeatBudget(0.2, 1.0).spend(9.0)
