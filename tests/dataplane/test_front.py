"""Admission of whole requests under a short service below.

The patterns: fan-out onto a saturated service at the end of the graph, a
burst, and many entry nodes that share one view.
"""

import random

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _limit
from rosemarycrank.dataplane import _pressure
from rosemarycrank import kernel
from tests.dataplane import fakes

READ = fakes.route('read', priority=2)
PAY = fakes.route('pay', priority=0)
LIST = fakes.route('list', priority=2)


@pytest.fixture
def costs():
    costs = _costs.CallCosts('front')
    costs.heard('archive', {'read': {'archive': 1.0, 'leaf': 8.0}})
    costs.heard('dues', {'pay': {'dues': 1.0, 'leaf': 8.0}})
    costs.heard('members', {'list': {'members': 1.0}})
    return costs


@pytest.fixture
def front(costs):
    return _front.AdmitByCost(costs)


def _shares(front, share, seconds=10.0, rate=100):
    """Return the share admitted of each route in the second half."""
    asked = {'read': 0, 'pay': 0, 'list': 0}
    admitted = dict(asked)
    steps = int(seconds * rate)
    for step in range(steps):
        now = step / rate
        front.report('leaf', 'n1', share, now)
        for route, service in (
            (READ, 'archive'),
            (PAY, 'dues'),
            (LIST, 'members'),
        ):
            let_in = front.admit(route, service, now)
            if step > steps // 2:
                asked[route.name] += 1
                admitted[route.name] += let_in
    return {name: admitted[name] / asked[name] for name in asked}


def test_least_important_goes_first(front):
    shares = _shares(front, 0.25)
    assert shares['pay'] == 1.0
    assert shares['read'] == pytest.approx(0.5, abs=0.05)


def test_request_that_needs_nothing_of_it_is_not_touched(front):
    assert _shares(front, 0.6)['list'] == 1.0


def test_no_route_is_starved_for_others(front):
    shares = _shares(front, 0.55)
    assert shares['read'] >= 1.0 - _front.FIRST_SHARE - 0.03
    assert shares['pay'] > shares['read']


def test_old_reports_count_no_more(front):
    _shares(front, 0.9)
    assert front.shares_below(10.0 + 2 * _front.REPORT_S) == {}


def test_the_mean_of_the_reporters_counts(front):
    front.report('leaf', 'n1', 0.2, 0.0)
    front.report('leaf', 'n2', 0.4, 0.0)
    assert front.shares_below(0.1) == {'leaf': pytest.approx(0.3)}


def test_service_that_never_was_short_costs_nothing(front):
    front.report('leaf', 'n1', 0.0, 0.0)
    assert front.shares_below(0.1) == {}


@pytest.mark.parametrize('name', kernel.names('front_admission'))
def test_everything_is_let_in_without_reports(name, costs):
    parameters = {'costs': costs} if name == 'by_cost' else {}
    front = kernel.create('front_admission', name, **parameters)
    assert all(front.admit(READ, 'archive', t * 0.01) for t in range(300))
    assert front.shares_below(3.0) == {}


class _Leaf:
    """Saturated service: counts calls that end too late, in virtual time."""

    def __init__(self, limit, service_s):
        self.limit = limit
        self.service_s = service_s
        self.pressure = _pressure.Pressure()
        self.waiting = 0.0
        self.done = 0
        self.waits = []

    def arrive(self):
        self.pressure.arrived()
        self.waiting += 1

    def step(self, now, elapsed_s):
        served = min(self.waiting, self.limit / self.service_s * elapsed_s)
        self.waiting -= served
        self.done += served
        self.waits.append(self.waiting * self.service_s / self.limit)
        if round(now * 100) % 10 == 0:
            self.pressure.update(
                now, int(self.waiting), self.limit, self.service_s
            )


@pytest.mark.parametrize('nodes', [12, 85])
def test_many_entry_nodes_keep_the_leaf_busy_without_a_long_queue(nodes):
    source = random.Random(5)
    leaf = _Leaf(limit=100, service_s=0.05)
    fronts = []
    for _ in range(nodes):
        costs = _costs.CallCosts('x')
        costs.heard('archive', {'read': {'archive': 1.0, 'leaf': 8.0}})
        fronts.append(_front.AdmitByCost(costs))
    # 1.6 times what the leaf serves, each call 0 to 0.5 s after its request.
    asked_per_s = 1.6 * 2000 / 8.0
    calls = {}
    steps = 3000
    for step in range(steps):
        now = step * 0.01
        for _ in range(int(asked_per_s * 0.01 + source.random())):
            front = source.choice(fronts)
            front.report('leaf', 'n1', leaf.pressure.share, now)
            if front.admit(READ, 'archive', now):
                for _ in range(8):
                    at = step + source.randrange(50)
                    calls[at] = calls.get(at, 0) + 1
        for _ in range(calls.pop(step, 0)):
            leaf.arrive()
        leaf.step(now, 0.01)
    settled = leaf.waits[steps // 3 :]
    assert leaf.done >= 0.93 * 2000 * steps * 0.01
    assert sorted(settled)[int(0.95 * len(settled))] < 0.3
    assert sum(settled) / len(settled) < 0.15


def test_leaf_below_its_capacity_keeps_nothing_away():
    leaf = _Leaf(limit=100, service_s=0.05)
    source = random.Random(2)
    shares = []
    for step in range(2000):
        for _ in range(int(17 + source.random() * 2)):
            leaf.arrive()
        leaf.step(step * 0.01, 0.01)
        shares.append(leaf.pressure.share)
    assert sum(shares) / len(shares) < 0.02


def test_limit_keeps_clear_of_the_last_slots():
    limit = _limit.ConcurrencyLimit()
    limit.reset(36)
    assert 32 <= limit.value < 36
    limit.reset(1)
    assert limit.value == 1
