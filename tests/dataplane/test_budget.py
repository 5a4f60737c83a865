"""Retry budget of the data path.

Guards against a retry storm when targets refuse a part of their requests
although they are idle: each call of a request that makes many calls then
has to be retried.
"""

import pytest

from rosemarycrank.dataplane import _budget


@pytest.fixture
def budget():
    return _budget.RetryBudget(0.25, 4.0)


def _spend_all(budget, rank):
    retries = 0
    while budget.try_spend(rank):
        retries += 1
    return retries


def test_capacity_limits_the_retries_of_a_burst(budget):
    assert _spend_all(budget, 0.0) == 4


def test_requests_deposit_tokens_for_retries(budget):
    _spend_all(budget, 0.0)
    for _ in range(8):
        budget.deposit()
    assert _spend_all(budget, 0.0) == 2


@pytest.mark.parametrize('rank', [0.5, 1.0, 2.0, 9.0])
def test_less_urgent_requests_leave_tokens_to_the_most_urgent(budget, rank):
    retries = _spend_all(budget, rank)
    urgent_retries = _spend_all(budget, 0.0)
    assert retries >= 1
    assert urgent_retries >= 1
    assert retries + urgent_retries == 4


def test_capacity_of_one_token_admits_less_urgent_requests():
    assert _budget.RetryBudget(0.2, 1.0).try_spend(9.0)
