"""Load shedding at the entry nodes for an overloaded service below.

Guards against three failures: fan-out onto a saturated service at the end of
the call graph, which makes most requests fail late; a burst, which fills the
queues before load reports show it; and many entry nodes whose estimates
diverge or overshoot although they act on the same reports.
"""

import random

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _limit
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _pressure
from rosemarycrank.dataplane import _target
from rosemarycrank import kernel
from tests.dataplane import fakes

READ = fakes.route('read', priority=2)
PAY = fakes.route('pay', priority=0)
LIST = fakes.route('list', priority=2)


#: Time of a report from one node to another, in seconds.
TRANSIT_S = 0.001


def _one_target(_service):
    return 1


class _RelayingNode:
    """Node that relays the pressures which it has received."""

    def __init__(self, reactor):
        costs = _costs.CallCosts('front')
        self.front = _front.AdmitByCost(costs, _one_target)
        self.side = _target.TargetSide(
            reactor,
            fakes.FakePool(),
            _names.HeaderNames(),
            _counters.Counters(),
            costs,
            self.front,
        )


@pytest.fixture
def costs():
    costs = _costs.CallCosts('front')
    costs.update_from_report(
        'archive', {'read': {'archive': 1.0, 'leaf': 8.0}}
    )
    costs.update_from_report('dues', {'pay': {'dues': 1.0, 'leaf': 8.0}})
    # A residue that the fit of costs leaves for a call that is not made.
    costs.update_from_report(
        'members', {'list': {'members': 1.0, 'leaf': 0.02}}
    )
    return costs


@pytest.fixture
def front(costs):
    return _front.AdmitByCost(costs, _one_target)


def _admitted_shares(front, share, seconds=10.0, rate=100, factors=None):
    """Return the admitted share of each route in the second half."""
    offered = {'read': 0, 'pay': 0, 'list': 0}
    admitted = dict(offered)
    steps = int(seconds * rate)
    for step in range(steps):
        now = step / rate
        pressure = _frames.Pressure(share, 0.0, factors or {})
        front.receive_pressure('leaf', pressure, now)
        if step % 10 == 0:
            front.update(now)
        for route, service in (
            (READ, 'archive'),
            (PAY, 'dues'),
            (LIST, 'members'),
        ):
            is_admitted = front.admit(route, service)
            if step > steps // 2:
                offered[route.name] += 1
                admitted[route.name] += is_admitted
    return {name: admitted[name] / offered[name] for name in offered}


def test_least_important_route_is_shed_first(front):
    shares = _admitted_shares(front, 0.25)
    assert shares['pay'] == 1.0
    assert shares['read'] == pytest.approx(0.5, abs=0.05)


# Guards against requests that are admitted although their calls wait in vain.
@pytest.mark.parametrize('share', [0.0, 0.25])
def test_route_whose_calls_wait_is_shed_further(front, costs, share):
    before = _admitted_shares(front, share)
    other = _front.AdmitByCost(costs, _one_target)
    after = _admitted_shares(other, share, factors={2: 0.5})
    assert after['read'] == pytest.approx(0.5 * before['read'], abs=0.02)
    assert (after['pay'], after['list']) == (1.0, 1.0)


def test_route_whose_calls_find_free_slots_is_shed_less(front, costs):
    before = _admitted_shares(front, 0.25)
    other = _front.AdmitByCost(costs, _one_target)
    after = _admitted_shares(other, 0.25, factors={0: 2.0, 2: 1.5})
    assert after['read'] == pytest.approx(1.5 * before['read'], abs=0.02)


def test_factors_are_relayed(costs):
    now = 1.0
    near, far = [_front.AdmitByCost(costs, _one_target) for _ in range(2)]
    load = _frames.Load(0, 0, 10, 0.05, factor_by_rank={2: 0.5})
    near.receive_load('leaf', 'n1', load, now)
    near.update(now)
    (pressure,) = near.pressures(now).values()
    far.receive_pressure('leaf', pressure, now)
    far.update(now)
    far.admit(READ, 'archive')
    far.update(now + 0.1)
    assert far.refused_share(READ, 'archive') == pytest.approx(0.5)


def test_route_that_does_not_call_the_service_is_not_shed(front):
    assert _admitted_shares(front, 0.6)['list'] == 1.0
    assert _admitted_shares(front, 0.9)['list'] == 1.0


def test_no_route_is_starved(front):
    shares = _admitted_shares(front, 0.6)
    assert shares['read'] >= 1.0 - _front.FIRST_PASS_MAX_SHARE - 0.03
    assert shares['pay'] > shares['read']


def test_old_reports_expire(front):
    _admitted_shares(front, 0.9)
    assert front.pressures(10.0 + 2 * _front.MAX_REPORT_AGE_S) == {}


def test_relayed_reports_age_over_all_hops(costs):
    # Two nodes that relay a report only to each other must not keep it from
    # expiring.
    first, second = (
        _front.AdmitByCost(costs, _one_target),
        _front.AdmitByCost(costs, _one_target),
    )
    first.receive_pressure('leaf', _frames.Pressure(0.5, 0.0), 0.0)
    for step in range(40):
        now = 0.1 * step
        for sender, receiver in ((first, second), (second, first)):
            for service, pressure in sender.pressures(now).items():
                receiver.receive_pressure(service, pressure, now)
        if now > _front.MAX_REPORT_AGE_S:
            assert first.pressures(now) == second.pressures(now) == {}


# Guards against shedding that outlasts an overload: two nodes that refresh
# each other's record of it, as they compute the age of the record some time
# before they send it.
def test_relayed_reports_expire_although_ages_are_computed_before_sending(
    reactor,
):
    nodes = [_RelayingNode(reactor) for _ in range(2)]
    nodes[0].front.receive_pressure('leaf', _frames.Pressure(0.5, 0.0), 0.0)
    for _ in range(1000):
        for sender, receiver in (nodes, nodes[::-1]):
            for service, pressure in sender.side.load().pressures.items():
                receiver.front.receive_pressure(
                    service, pressure, reactor.now() + TRANSIT_S
                )
        reactor.run(0.005, step_s=0.005)
    now = reactor.now()
    assert [node.front.pressures(now) for node in nodes] == [{}, {}]


# Guards against shedding that outlasts an overload: the reports of a target
# that has run nothing since its start are recent, but say nothing.
def test_share_ends_when_no_target_reports_a_service_time(front):
    for step in range(50):
        front.receive_load('leaf', 'n1', _load(4000, 500), 0.1 * step)
        front.update(0.1 * step)
    assert front.pressures(4.9)['leaf'].share > 0.3
    for step in range(50, 80):
        restarted = _load(0, 0, service_s=0.0)
        front.receive_load('leaf', 'n1', restarted, 0.1 * step)
        front.update(0.1 * step)
    assert front.pressures(7.9) == {}


def test_relayed_report_counts_while_no_target_reports_a_service_time(front):
    front.receive_load('leaf', 'n1', _load(0, 0, service_s=0.0), 0.0)
    front.receive_pressure('leaf', _frames.Pressure(0.9, 0.0), 0.0)
    front.update(0.0)
    assert front.pressures(0.1)['leaf'].share == 0.9


def test_direct_reports_take_precedence_over_relayed_ones(front):
    front.receive_load('leaf', 'n1', _load(0, 0), 0.0)
    front.receive_pressure('leaf', _frames.Pressure(0.9, 0.0), 0.0)
    front.update(0.0)
    assert front.pressures(0.1) == {}


def test_slow_target_among_fast_ones_causes_no_shedding(front):
    for step in range(50):
        now = step * 0.1
        front.receive_load('leaf', 'slow', _load(100, 0, service_s=0.5), now)
        front.receive_load('leaf', 'fast', _load(900, 0, service_s=0.05), now)
        front.update(now)
    assert front.pressures(5.0) == {}


def _load(arrivals_per_s, waiting, limit=100, service_s=0.05):
    return _frames.Load(0, waiting, limit, service_s, arrivals_per_s)


@pytest.mark.parametrize('name', kernel.plugin_names('front_admission'))
def test_all_requests_are_admitted_without_reports(name, costs):
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
    """Saturated service in virtual time: a queue with a fixed rate."""

    def __init__(self, limit, service_s):
        self.limit = limit
        self.service_s = service_s
        self.arrivals = _pressure.ArrivalRate()
        self.waiting = 0.0
        self.completed = 0
        self.queue_delays_s = []

    def arrive(self):
        self.arrivals.record_arrival()
        self.waiting += 1

    def step(self, now, elapsed_s):
        served = min(self.waiting, self.limit / self.service_s * elapsed_s)
        self.waiting -= served
        self.completed += served
        self.queue_delays_s.append(self.waiting * self.service_s / self.limit)
        if round(now * 100) % 10 == 0:
            self.arrivals.update(now)

    def load(self, demand_per_s=0.0, admitted_per_s=0.0):
        return _frames.Load(
            0,
            int(self.waiting),
            self.limit,
            self.service_s,
            self.arrivals.per_s,
            demand_per_s,
            admitted_per_s,
        )


# Guards against a leaf service whose remaining targets get the load of those
# whose nodes stop, because the share to shed is computed from all targets.
def test_share_to_shed_is_computed_from_the_remaining_targets(costs):
    targets = ['n1', 'n2', 'n3']
    front = _front.AdmitByCost(costs, lambda service: len(targets))

    def share_after_update(now):
        for reporter in targets:
            # Each target can run 2000 calls a second; 3000 are expected.
            load = _frames.Load(
                0, 0, 100, 0.05, 3000.0 / len(targets), 3000.0, 3000.0
            )
            front.receive_load('leaf', reporter, load, now)
        front.update(now)
        pressure = front.pressures(now).get('leaf')
        return pressure.share if pressure else 0.0

    shares = [share_after_update(step * 0.1) for step in range(30)]
    assert max(shares) == 0.0
    for reporter in ('n3', 'n2'):
        targets.remove(reporter)
        front.discard_load('leaf', reporter)
    shares = [share_after_update(3.0 + step * 0.1) for step in range(20)]
    assert shares[-1] == pytest.approx(1 / 3, rel=0.05)


@pytest.mark.parametrize('nodes', [12, 85])
def test_many_entry_nodes_keep_the_leaf_busy_without_a_long_queue(nodes):
    rng = random.Random(5)
    leaf = _Leaf(limit=100, service_s=0.05)
    fronts = []
    for _ in range(nodes):
        costs = _costs.CallCosts('x')
        costs.update_from_report(
            'archive', {'read': {'archive': 1.0, 'leaf': 8.0}}
        )
        fronts.append(_front.AdmitByCost(costs, _one_target))
    # Clients offer 1.6 times the capacity of the leaf. Each call arrives 0 to
    # 0.5 s after its request.
    requests_per_s = 1.6 * 2000 / 8.0
    calls_by_step = {}
    steps = 3000
    for step in range(steps):
        now = step * 0.01
        for _ in range(int(requests_per_s * 0.01 + rng.random())):
            if rng.choice(fronts).admit(READ, 'archive'):
                for _ in range(8):
                    call_step = step + rng.randrange(50)
                    calls_by_step[call_step] = (
                        calls_by_step.get(call_step, 0) + 1
                    )
        for _ in range(calls_by_step.pop(step, 0)):
            leaf.arrive()
        leaf.step(now, 0.01)
        if step % 30 == 0:
            demands = [front.demands().get('leaf') for front in fronts]
            offered = sum(demand.offered_per_s for demand in demands if demand)
            admitted = sum(
                demand.admitted_per_s for demand in demands if demand
            )
        # The nodes receive reports at different times, so that their shares
        # differ at any moment.
        for number, front in enumerate(fronts):
            if (step + number) % 10 == 0:
                front.receive_load(
                    'leaf', 'n1', leaf.load(offered, admitted), now
                )
                front.update(now)
    settled_delays_s = leaf.queue_delays_s[steps // 3 :]
    assert leaf.completed >= 0.93 * 2000 * steps * 0.01
    assert sorted(settled_delays_s)[int(0.95 * len(settled_delays_s))] < 0.3
    assert sum(settled_delays_s) / len(settled_delays_s) < 0.15
    shares = [front.pressures(now)['leaf'].share for front in fronts]
    assert max(shares) - min(shares) < 0.15


def test_leaf_below_its_capacity_causes_no_shedding():
    leaf = _Leaf(limit=100, service_s=0.05)
    pressure = _pressure.ServicePressure()
    rng = random.Random(2)
    shares = []
    for step in range(2000):
        for _ in range(int(17 + rng.random() * 2)):
            leaf.arrive()
        now = step * 0.01
        leaf.step(now, 0.01)
        if step % 10 == 0:
            pressure.receive_load('n1', leaf.load(), now)
            pressure.update(now)
        shares.append(pressure.share)
    assert sum(shares) / len(shares) < 0.02


def test_limit_leaves_the_last_slots_unused():
    limit = _limit.ConcurrencyLimit()
    limit.reset(36)
    assert 32 <= limit.value < 36
    limit.reset(1)
    assert limit.value == 1


def test_demand_sums_the_calls_of_all_routes(front):
    for step in range(400):
        front.admit(READ, 'archive')
        front.admit(LIST, 'members')
        if step % 10 == 0:
            front.update(step * 0.01)
    demands = front.demands()
    assert demands['leaf'].offered_per_s == pytest.approx(800, rel=0.1)
    assert demands['leaf'].admitted_per_s == pytest.approx(800, rel=0.1)
    assert demands['members'].offered_per_s == pytest.approx(100, rel=0.1)


def test_burst_is_shed_before_its_calls_arrive():
    pressure = _pressure.ServicePressure()
    for step in range(60):
        now = step * 0.1
        demand = 1500 if step < 50 else 4000
        load = _frames.Load(0, 0, 100, 0.05, 1500.0, demand, demand)
        pressure.receive_load('n1', load, now)
        pressure.update(now)
    assert pressure.share > 0.4


def test_wrong_costs_are_corrected_by_actual_arrivals():
    pressure = _pressure.ServicePressure()
    for step in range(300):
        now = step * 0.1
        load = _frames.Load(0, 0, 100, 0.05, 1800.0, 2500.0, 2500.0)
        pressure.receive_load('n1', load, now)
        pressure.update(now)
    assert pressure.share < 0.02


def test_expected_demand_sums_the_recent_reports():
    demand = _pressure.ExpectedDemand()
    demand.receive('n1', _frames.Demand(10.0, 8.0), 0.0)
    demand.receive('n2', _frames.Demand(5.0, 4.0), 1.0)
    assert demand.total_per_s(1.0) == (15.0, 12.0)
    assert demand.total_per_s(0.1 + _pressure.MAX_DEMAND_AGE_S) == (5.0, 4.0)


def test_target_without_a_report_is_assumed_to_be_like_the_others():
    # One of four targets reports, and the expected calls are those to all
    # four.
    pressure = _pressure.ServicePressure()
    for step in range(50):
        now = step * 0.1
        load = _frames.Load(0, 0, 100, 0.05, 1000.0, 4000.0, 4000.0)
        pressure.receive_load('n1', load, now)
        pressure.update(now, target_count=4)
    assert pressure.share == 0.0


def test_long_queue_at_a_slow_service_sheds_half_at_most():
    pressure = _pressure.ServicePressure()
    for step in range(100):
        now = step * 0.1
        load = _frames.Load(100, 100, 100, 0.6, 170.0, 170.0, 170.0)
        pressure.receive_load('n1', load, now)
        pressure.update(now, target_count=1)
    assert 0.1 < pressure.share <= 0.5


def test_service_that_calls_others_is_judged_by_its_queue():
    # The service time is long because the leaf is slow, and says nothing
    # about the capacity of the service itself.
    pressure = _pressure.ServicePressure()
    for step in range(100):
        now = step * 0.1
        load = _frames.Load(80, 0, 100, 0.9, 100.0, 200.0, 100.0)
        pressure.receive_load('n1', load, now)
        pressure.update(now, target_count=1, calls_other_services=True)
    assert pressure.share == 0.0
    for step in range(100, 130):
        now = step * 0.1
        load = _frames.Load(100, 80, 100, 0.9, 100.0, 200.0, 100.0)
        pressure.receive_load('n1', load, now)
        pressure.update(now, target_count=1, calls_other_services=True)
    assert pressure.share > 0.5
