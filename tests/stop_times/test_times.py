"""Times of a planned stop for grace periods of any length.

The tests guard against a stop that outlasts the grace period, and against
work that is accepted after nothing can be finished any more.
"""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import stop_times

GRACES_S = strategies.floats(0.1, 3600.0)
CLOSINGS_S = strategies.floats(0.0, 600.0)


@hypothesis.given(GRACES_S, CLOSINGS_S)
def test_times_are_in_order_and_within_the_grace_period(grace_s, closing_s):
    times = stop_times.plan(100.0, grace_s, closing_s)
    in_order = [
        100.0,
        times.calls_end_at,
        times.runs_end_at,
        times.drain_ends_at,
    ]
    assert in_order == sorted(set(in_order))
    assert times.drain_ends_at <= times.exits_at + 1e-9
    assert times.exits_at < 100.0 + grace_s


@hypothesis.given(GRACES_S, CLOSINGS_S)
def test_drain_keeps_half_of_the_grace_period(grace_s, closing_s):
    assert stop_times.max_drain_s(grace_s, closing_s) >= 0.5 * grace_s


def test_long_grace_period_leaves_the_margins_whole():
    times = stop_times.plan(0.0, 30.0, closing_s=5.0)
    assert times.exits_at == pytest.approx(29.5)
    assert times.drain_ends_at == pytest.approx(24.5)
    assert times.runs_end_at == pytest.approx(24.1)
    assert times.calls_end_at == pytest.approx(23.5)


def test_short_grace_period_shortens_the_margins():
    times = stop_times.plan(0.0, 1.0, closing_s=5.0)
    assert times.exits_at == pytest.approx(0.7)
    assert times.drain_ends_at == pytest.approx(0.525)
    assert times.runs_end_at == pytest.approx(0.4725)
    assert times.calls_end_at == pytest.approx(0.42)
