"""Estimates of the calls that a request causes.

The tests cover fan-out whose callers have to be distinguished from routes
that only run at the same time, runs that fail, and a restart of all nodes.
"""

import heapq
import random

import pytest

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _least_squares
from rosemarycrank.dataplane import _stored_costs

#: Seconds from the answer to a call to the next step of the run.
STEP_DELAY_S = 0.0003


@pytest.fixture
def costs():
    return _costs.CallCosts('dues')


class _SimulatedTarget:
    """Target whose runs make calls sequentially, in simulated time."""

    def __init__(self, costs, source):
        self.costs = costs
        self.source = source
        self.events = []
        self.event_count = 0
        self.step = 0

    def schedule(self, at, action):
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, action))

    def add_arrivals(
        self, route, calls, timeout_s, per_s, until, failed_share=0.0
    ):
        now = 0.0
        while True:
            now += self.source.expovariate(per_s)
            if now > until:
                return
            self.schedule(
                now, self._start(route, calls, timeout_s, failed_share)
            )

    def _start(self, route, calls, timeout_s, failed_share):
        def run_event(now):
            run = _call_links.Run(route, 0.0, now + timeout_s)
            self.costs.record_run_start(run)
            work_s = 0.02 + self.source.expovariate(20.0)
            remaining = calls
            if self.source.random() < failed_share:
                remaining = self.source.randrange(calls)
            failed = remaining < calls
            self.schedule(now + work_s, self._step(run, remaining, failed))

        return run_event

    def _step(self, run, remaining, failed):
        def run_event(now):
            if not remaining:
                self.costs.record_run_end(run, now, failed)
                return
            deadline_at = min(run.deadline_at, now + 0.6)
            self.costs.record_call('leaf', 'lookup', deadline_at)
            latency_s = 0.005 + self.source.expovariate(50.0)
            self.schedule(
                now + latency_s, self._answer(run, remaining, failed)
            )

        return run_event

    def _answer(self, run, remaining, failed):
        def run_event(now):
            self.costs.record_answer(now)
            self.schedule(
                now + STEP_DELAY_S, self._step(run, remaining - 1, failed)
            )

        return run_event

    def simulate(self, until):
        step = self.step
        while self.events or step * _costs.SAMPLE_INTERVAL_S < until:
            at = step * _costs.SAMPLE_INTERVAL_S
            if self.events and self.events[0][0] <= at:
                now, _, action = heapq.heappop(self.events)
                action(now)
                continue
            if at > until:
                return
            self.costs.sample()
            if step % 10 == 0:
                self.costs.close_window()
            step += 1
            self.step = step


def _simulate(costs, routes, until=20.0, seed=1):
    """Simulate requests of some routes.

    Each route is given as ``(calls, timeout_s, per_s[, failed_share])``.
    """
    target = _SimulatedTarget(costs, random.Random(seed))
    for route, load in routes.items():
        calls, timeout_s, per_s = load[:3]
        target.add_arrivals(route, calls, timeout_s, per_s, until, *load[3:])
    target.simulate(until)


def test_single_route(costs):
    _simulate(costs, {'pay': (5, 1.0, 20)})
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.1)
    assert costs.cost('dues', 'pay')['dues'] == 1.0


@pytest.mark.parametrize('seed', range(4))
def test_route_that_makes_no_calls_costs_none(costs, seed):
    # The time-out of the calls is shorter than the remaining time of either
    # request, so deadlines do not identify the caller; only the ends of the
    # runs do.
    routes = {'pay': (5, 6.0, 60), 'status': (0, 6.0, 25)}
    _simulate(costs, routes, until=12.0, seed=seed)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.1)
    assert costs.cost('dues', 'status').get('leaf', 0.0) < 0.5


@pytest.mark.parametrize('seed', range(4))
def test_callers_are_distinguished_by_deadlines(costs, seed):
    routes = {'pay': (6, 0.5, 20), 'state': (2, 0.5, 60)}
    _simulate(costs, routes, seed=seed)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(6, rel=0.2)
    assert costs.cost('dues', 'state')['leaf'] == pytest.approx(2, rel=0.2)


# Guards against a cost that explodes as hardly any request of a route comes
# while those of another route, which shares its calls, go on: the service that
# makes the former is down.
@pytest.mark.parametrize('seed', range(4))
def test_mix_of_routes_that_share_calls_may_change(costs, seed):
    source = random.Random(seed)
    target = _SimulatedTarget(costs, source)
    target.add_arrivals('page', 1, 6.0, 50, 10.0)
    target.add_arrivals('lookup', 1, 3.0, 270, 5.0)
    start = 5.0
    while start < 8.0:
        start += source.expovariate(2.0)
        target.schedule(start, target._start('lookup', 1, 3.0, 0.0))
    target.simulate(5.0)
    errors = {route: _error_of(costs, route) for route in ('page', 'lookup')}
    target.simulate(8.0)
    for route, error in errors.items():
        assert _error_of(costs, route) <= error + 0.1


def _error_of(costs, route):
    """Return the error of the cost of a route that makes one call."""
    return abs(costs.cost('dues', route).get('leaf', 0.0) - 1.0)


def test_runs_that_fail_do_not_lower_a_cost(costs):
    _simulate(costs, {'pay': (8, 1.0, 30)})
    before = costs.cost('dues', 'pay')['leaf']
    _simulate(costs, {'pay': (8, 1.0, 30, 0.6)}, seed=2)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(before, rel=0.05)


def test_runs_that_fail_from_the_start_do_not_raise_a_cost(costs):
    # The largest of many random counts is far above their mean; it must not
    # be taken for the cost.
    _simulate(costs, {'pay': (8, 1.0, 6, 0.6)}, until=30.0)
    assert 2.0 < costs.cost('dues', 'pay')['leaf'] < 9.0


def test_costs_of_the_called_route_are_multiplied(costs):
    costs.update_from_report('leaf', {'lookup': {'leaf': 1.0, 'base': 3.0}})
    _simulate(costs, {'pay': (2, 1.0, 20)})
    assert costs.cost('dues', 'pay')['base'] == pytest.approx(6, rel=0.1)


def test_call_has_the_rank_of_the_run_with_the_same_deadline(costs):
    for number, rank in enumerate((0.0, 2.0, 2.0)):
        costs.record_run_start(_call_links.Run('r', rank, 1.0 + 0.1 * number))
    assert costs.record_call('leaf', 'lookup', 0.9995) == 0.0
    assert costs.record_call('leaf', 'lookup', 1.101) == 2.0


def test_call_that_matches_no_deadline_has_the_mean_rank(costs):
    assert costs.record_call('leaf', 'lookup', 1.0) is None
    for rank in (0.0, 2.0):
        costs.record_run_start(_call_links.Run('r', rank, 5.0))
    assert costs.record_call('leaf', 'lookup', 0.6) == 1.0
    assert costs.record_call('leaf', 'lookup', None) == 1.0


def test_request_that_outlasts_all_runs_is_not_a_call(costs):
    run = _call_links.Run('r', 0.0, 2.0)
    costs.record_run_start(run)
    assert costs.outlasts_runs(2.1)
    assert not costs.outlasts_runs(2.0)
    assert not costs.outlasts_runs(1.0)


def test_abandoned_run_may_still_make_calls(costs):
    run = _call_links.Run('r', 0.0, 2.0)
    costs.record_run_start(run)
    costs.record_run_end(run, 0.5, failed=True)
    assert not costs.outlasts_runs(1.9)
    assert costs.outlasts_runs(2.1)


def test_unknown_route_costs_one_call_at_its_service(costs):
    assert costs.cost('other', 'x') == {'other': 1.0}


def test_idle_windows_change_nothing(costs):
    _simulate(costs, {'pay': (5, 1.0, 20)})
    before = costs.cost('dues', 'pay')['leaf']
    for _ in range(10):
        costs.close_window()
    assert costs.cost('dues', 'pay')['leaf'] == before


def test_calls_to_a_route_that_clients_use_are_dropped(costs):
    _simulate(costs, {'pay': (5, 1.0, 20)})
    costs.drop_calls('lookup')
    _simulate(costs, {'pay': (0, 1.0, 20)}, until=1.0)
    assert costs.cost('dues', 'pay') == {'dues': 1.0}


def test_dropped_calls_count_no_more_where_the_route_runs_no_more(costs):
    # The target has left, so no further run corrects the cost.
    _simulate(costs, {'pay': (5, 1.0, 20)})
    costs.drop_calls('lookup')
    assert costs.cost('dues', 'pay') == {'dues': 1.0}


def test_stored_calls_to_a_route_that_clients_use_are_not_restored(costs):
    # The rows of the client routes may arrive before those of the costs.
    _simulate(costs, {'pay': (5, 1.0, 20)})
    restarted = _costs.CallCosts('dues')
    restarted.drop_calls('lookup')
    restarted.restore(costs.snapshot())
    _simulate(restarted, {'pay': (0, 1.0, 20)}, until=1.0)
    assert restarted.cost('dues', 'pay') == {'dues': 1.0}


def test_state_of_removed_routes_is_dropped(costs):
    _simulate(costs, {'pay': (5, 1.0, 20), 'old': (5, 1.0, 20)})
    costs.retain({'pay', 'lookup'})
    assert costs.cost('dues', 'old') == {'dues': 1.0}
    assert 'old' not in costs.snapshot().costs_by_route
    _simulate(costs, {'pay': (5, 1.0, 20)}, until=5.0)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.2)


def test_untrusted_costs_do_not_replace_reported_costs(costs):
    costs.update_from_report('dues', {'pay': {'dues': 1.0, 'leaf': 8.0}})
    _simulate(
        costs, {'pay': (2, 1.0, 20)}, until=_costs.MIN_TRUSTED_OBSERVED_S / 2
    )
    assert costs.cost('dues', 'pay')['leaf'] == 8.0
    _simulate(
        costs, {'pay': (2, 1.0, 20)}, until=2 * _costs.MIN_TRUSTED_OBSERVED_S
    )
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(2, rel=0.2)


def test_costs_survive_a_restart(costs):
    _simulate(costs, {'pay': (8, 1.0, 30)})
    restarted = _costs.CallCosts('dues')
    restarted.restore(costs.snapshot())
    assert restarted.cost('dues', 'pay') == costs.cost('dues', 'pay')
    # Right after the restart most runs fail.
    _simulate(restarted, {'pay': (8, 1.0, 30, 0.9)}, until=5.0, seed=3)
    assert restarted.cost('dues', 'pay')['leaf'] == pytest.approx(8, rel=0.1)
    elsewhere = _costs.CallCosts('front')
    elsewhere.restore(costs.snapshot())
    assert elsewhere.cost('dues', 'pay') == costs.cost('dues', 'pay')


def test_route_found_to_make_no_calls_costs_none_at_once(costs):
    # The stored costs were written while the routes could not be
    # distinguished.
    calls = [
        _stored_costs.StoredCall('leaf', 'lookup', route, 3.0)
        for route in ('pay', 'status')
    ]
    costs.restore(
        _stored_costs.StoredCosts(
            'dues',
            {
                'pay': {'dues': 1.0, 'leaf': 3.0},
                'status': {'dues': 1.0, 'leaf': 3.0},
            },
            calls,
        )
    )
    routes = {'pay': (3, 6.0, 60), 'status': (0, 6.0, 25)}
    _simulate(costs, routes, until=5.0)
    assert costs.cost('dues', 'status').get('leaf', 0.0) < 0.1
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(3, rel=0.1)


def test_measured_costs_take_precedence_over_stored_costs(costs):
    stored = _stored_costs.StoredCosts(
        'dues', {'pay': {'dues': 1.0, 'leaf': 50.0}}, []
    )
    _simulate(costs, {'pay': (8, 1.0, 30)})
    costs.restore(stored)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(8, rel=0.1)


@pytest.mark.parametrize(
    'matrix, vector, solution',
    [
        ([[2.0]], [4.0], [2.0]),
        ([[0.0, 1.0], [1.0, 0.0]], [3.0, 5.0], [5.0, 3.0]),
        ([[4.0, 1.0], [1.0, 3.0]], [1.0, 2.0], [1 / 11, 7 / 11]),
    ],
)
def test_solve_solves_small_systems(matrix, vector, solution):
    assert _least_squares.solve(matrix, vector) == pytest.approx(solution)
