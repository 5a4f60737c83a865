"""Retry budget with token buckets.

Guards against retry storms: an entry node must not send more retries than
share, floor and burst permit, nor spend one service's budget on another.
"""

import hypothesis
from hypothesis import strategies

from rosemarycrank import retry

STEPS = strategies.lists(
    strategies.tuples(strategies.booleans(), strategies.floats(0.0, 0.1)),
    max_size=300,
)


@hypothesis.given(STEPS)
def test_retries_stay_within_share_floor_and_first_token(steps):
    budget = retry.TokenBucket(share=0.1, floor_per_s=1.0, burst=10.0)
    now, first_attempts, retries = 0.0, 0, 0
    for is_first, step_s in steps:
        now += step_s
        if is_first:
            budget.deposit('previews', now)
            first_attempts += 1
        else:
            retries += budget.spend('previews', now)
        assert retries <= 1.0 + 0.1 * first_attempts + 1.0 * now + 1e-6


def test_burst_limits_saved_retries():
    budget = retry.TokenBucket(burst=3.0)
    for _ in range(1000):
        budget.deposit('previews', 0.0)
    assert sum(budget.spend('previews', 0.0) for _ in range(10)) == 3


def test_each_service_has_a_separate_budget():
    budget = retry.TokenBucket(floor_per_s=0.0)
    assert budget.spend('previews', 0.0)
    assert not budget.spend('previews', 0.0)
    assert budget.spend('gallery', 0.0)
