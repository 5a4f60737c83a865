"""Admission of whole requests under a short service below.

The patterns: fan-out onto a saturated service at the end of the graph, a
burst, and many entry nodes that share one view.
"""

import random

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _limit
from rosemarycrank.dataplane import _pressure
from rosemarycrank import kernel
from tests.dataplane import fakes

READ = fakes.route('read', priority=2)
PAY = fakes.route('pay', priority=0)
LIST = fakes.route('list', priority=2)


def _one_target(_service):
    return 1


@pytest.fixture
def costs():
    costs = _costs.CallCosts('front')
    costs.update_from_report(
        'archive', {'read': {'archive': 1.0, 'leaf': 8.0}}
    )
    costs.update_from_report('dues', {'pay': {'dues': 1.0, 'leaf': 8.0}})
    # What the fit leaves of a call that is not made.
    costs.update_from_report(
        'members', {'list': {'members': 1.0, 'leaf': 0.02}}
    )
    return costs


@pytest.fixture
def front(costs):
    return _front.AdmitByCost(costs, _one_target)


def _shares(front, share, seconds=10.0, rate=100):
    """Return the share admitted of each route in the second half."""
    asked = {'read': 0, 'pay': 0, 'list': 0}
    admitted = dict(asked)
    steps = int(seconds * rate)
    for step in range(steps):
        now = step / rate
        front.relayed('leaf', _frames.Pressure(share, 0.0), now)
        if step % 10 == 0:
            front.update(now)
        for route, service in (
            (READ, 'archive'),
            (PAY, 'dues'),
            (LIST, 'members'),
        ):
            let_in = front.admit(route, service)
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
    assert _shares(front, 0.9)['list'] == 1.0


def test_no_route_is_starved_for_others(front):
    shares = _shares(front, 0.6)
    assert shares['read'] >= 1.0 - _front.FIRST_SHARE - 0.03
    assert shares['pay'] > shares['read']


def test_old_reports_count_no_more(front):
    _shares(front, 0.9)
    assert front.pressures(10.0 + 2 * _front.REPORT_S) == {}


def test_relayed_reports_age_over_all_hops(costs):
    # Nodes that hear of each other only must not keep a report alive.
    one, other = (
        _front.AdmitByCost(costs, _one_target),
        _front.AdmitByCost(costs, _one_target),
    )
    one.relayed('leaf', _frames.Pressure(0.5, 0.0), 0.0)
    for step in range(40):
        now = 0.1 * step
        for source, sink in ((one, other), (other, one)):
            for service, pressure in source.pressures(now).items():
                sink.relayed(service, pressure, now)
        if now > _front.REPORT_S:
            assert one.pressures(now) == other.pressures(now) == {}


def test_own_reports_go_before_relayed_ones(front):
    front.heard('leaf', 'n1', _load(0, 0), 0.0)
    front.relayed('leaf', _frames.Pressure(0.9, 0.0), 0.0)
    front.update(0.0)
    assert front.pressures(0.1) == {}


def test_slow_target_among_fast_ones_does_not_close_the_front(front):
    for step in range(50):
        now = step * 0.1
        front.heard('leaf', 'slow', _load(100, 0, service_s=0.5), now)
        front.heard('leaf', 'fast', _load(900, 0, service_s=0.05), now)
        front.update(now)
    assert front.pressures(5.0) == {}


def _load(arrivals_per_s, waiting, limit=100, service_s=0.05):
    return _frames.Load(0, waiting, limit, service_s, arrivals_per_s)


@pytest.mark.parametrize('name', kernel.names('front_admission'))
def test_everything_is_let_in_without_reports(name, costs):
    parameters = {}
    if name == 'by_cost':
        parameters = {'costs': costs, 'count_targets': _one_target}
    front = kernel.create('front_admission', name, **parameters)
    for step in range(300):
        if step % 10 == 0:
            front.update(step * 0.01)
        assert front.admit(READ, 'archive')
    assert front.pressures(3.0) == {}


class _Leaf:
    """Saturated service in virtual time; a queue with one speed."""

    def __init__(self, limit, service_s):
        self.limit = limit
        self.service_s = service_s
        self.arrivals = _pressure.ArrivalRate()
        self.waiting = 0.0
        self.done = 0
        self.waits = []

    def arrive(self):
        self.arrivals.arrived()
        self.waiting += 1

    def step(self, now, elapsed_s):
        served = min(self.waiting, self.limit / self.service_s * elapsed_s)
        self.waiting -= served
        self.done += served
        self.waits.append(self.waiting * self.service_s / self.limit)
        if round(now * 100) % 10 == 0:
            self.arrivals.update(now)

    def load(self, asked_per_s=0.0, admitted_per_s=0.0):
        return _frames.Load(
            0,
            int(self.waiting),
            self.limit,
            self.service_s,
            self.arrivals.per_s,
            asked_per_s,
            admitted_per_s,
        )


@pytest.mark.parametrize('nodes', [12, 85])
def test_many_entry_nodes_keep_the_leaf_busy_without_a_long_queue(nodes):
    source = random.Random(5)
    leaf = _Leaf(limit=100, service_s=0.05)
    fronts = []
    for _ in range(nodes):
        costs = _costs.CallCosts('x')
        costs.update_from_report(
            'archive', {'read': {'archive': 1.0, 'leaf': 8.0}}
        )
        fronts.append(_front.AdmitByCost(costs, _one_target))
    # 1.6 times what the leaf serves, each call 0 to 0.5 s after its request.
    asked_per_s = 1.6 * 2000 / 8.0
    calls = {}
    steps = 3000
    for step in range(steps):
        now = step * 0.01
        for _ in range(int(asked_per_s * 0.01 + source.random())):
            if source.choice(fronts).admit(READ, 'archive'):
                for _ in range(8):
                    at = step + source.randrange(50)
                    calls[at] = calls.get(at, 0) + 1
        for _ in range(calls.pop(step, 0)):
            leaf.arrive()
        leaf.step(now, 0.01)
        if step % 30 == 0:
            demands = [front.demands().get('leaf') for front in fronts]
            asked = sum(d.asked_per_s for d in demands if d)
            admitted = sum(d.admitted_per_s for d in demands if d)
        # Nodes hear at different times, and so do not agree at a moment.
        for number, front in enumerate(fronts):
            if (step + number) % 10 == 0:
                front.heard('leaf', 'n1', leaf.load(asked, admitted), now)
                front.update(now)
    settled = leaf.waits[steps // 3 :]
    assert leaf.done >= 0.93 * 2000 * steps * 0.01
    assert sorted(settled)[int(0.95 * len(settled))] < 0.3
    assert sum(settled) / len(settled) < 0.15
    shares = [front.pressures(now)['leaf'].share for front in fronts]
    assert max(shares) - min(shares) < 0.15


def test_leaf_below_its_capacity_keeps_nothing_away():
    leaf = _Leaf(limit=100, service_s=0.05)
    pressure = _pressure.ServicePressure()
    source = random.Random(2)
    shares = []
    for step in range(2000):
        for _ in range(int(17 + source.random() * 2)):
            leaf.arrive()
        now = step * 0.01
        leaf.step(now, 0.01)
        if step % 10 == 0:
            pressure.heard('n1', leaf.load(), now)
            pressure.update(now)
        shares.append(pressure.share)
    assert sum(shares) / len(shares) < 0.02


def test_limit_keeps_clear_of_the_last_slots():
    limit = _limit.ConcurrencyLimit()
    limit.reset(36)
    assert 32 <= limit.value < 36
    limit.reset(1)
    assert limit.value == 1


def test_demand_of_all_routes_counts_with_its_cost(front):
    for step in range(400):
        front.admit(READ, 'archive')
        front.admit(LIST, 'members')
        if step % 10 == 0:
            front.update(step * 0.01)
    demands = front.demands()
    assert demands['leaf'].asked_per_s == pytest.approx(800, rel=0.1)
    assert demands['leaf'].admitted_per_s == pytest.approx(800, rel=0.1)
    assert demands['members'].asked_per_s == pytest.approx(100, rel=0.1)


def test_burst_is_met_before_its_calls_come():
    pressure = _pressure.ServicePressure()
    for step in range(60):
        now = step * 0.1
        demand = 1500 if step < 50 else 4000
        load = _frames.Load(0, 0, 100, 0.05, 1500.0, demand, demand)
        pressure.heard('n1', load, now)
        pressure.update(now)
    assert pressure.share > 0.4


def test_wrong_costs_are_corrected_by_what_came():
    pressure = _pressure.ServicePressure()
    for step in range(300):
        now = step * 0.1
        load = _frames.Load(0, 0, 100, 0.05, 1800.0, 2500.0, 2500.0)
        pressure.heard('n1', load, now)
        pressure.update(now)
    assert pressure.share < 0.02


def test_expected_demand_is_the_sum_of_what_was_heard_lately():
    demand = _pressure.ExpectedDemand()
    demand.heard('n1', _frames.Demand(10.0, 8.0), 0.0)
    demand.heard('n2', _frames.Demand(5.0, 4.0), 1.0)
    assert demand.per_s(1.0) == (15.0, 12.0)
    assert demand.per_s(0.1 + _pressure.DEMAND_S) == (5.0, 4.0)


def test_target_not_heard_of_is_taken_to_be_like_the_others():
    # The expected calls are those to all four targets.
    pressure = _pressure.ServicePressure()
    for step in range(50):
        now = step * 0.1
        load = _frames.Load(0, 0, 100, 0.05, 1000.0, 4000.0, 4000.0)
        pressure.heard('n1', load, now)
        pressure.update(now, targets=4)
    assert pressure.share == 0.0


def test_long_queue_at_a_slow_service_does_not_close_the_front():
    pressure = _pressure.ServicePressure()
    for step in range(100):
        now = step * 0.1
        load = _frames.Load(100, 100, 100, 0.6, 170.0, 170.0, 170.0)
        pressure.heard('n1', load, now)
        pressure.update(now, targets=1)
    assert 0.1 < pressure.share <= 0.5


def test_service_that_waits_for_others_is_judged_by_its_queue():
    # Its runs take long since the leaf is slow; that is not its own room.
    pressure = _pressure.ServicePressure()
    for step in range(100):
        now = step * 0.1
        load = _frames.Load(80, 0, 100, 0.9, 100.0, 200.0, 100.0)
        pressure.heard('n1', load, now)
        pressure.update(now, targets=1, calls_others=True)
    assert pressure.share == 0.0
    for step in range(100, 130):
        now = step * 0.1
        load = _frames.Load(100, 80, 100, 0.9, 100.0, 200.0, 100.0)
        pressure.heard('n1', load, now)
        pressure.update(now, targets=1, calls_others=True)
    assert pressure.share > 0.5
