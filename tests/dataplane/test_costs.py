"""Learning which calls a request causes.

The patterns: fan-out whose callers have to be told from routes that only
run beside them, runs that fail, and a restart of all nodes.
"""

import heapq
import random

import pytest

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _least_squares

#: Seconds from the answer to the last call to the end of the run.
PROMPT_S = 0.0003


@pytest.fixture
def costs():
    return _costs.CallCosts('dues')


class _Target:
    """A target whose runs make calls, one after the other."""

    def __init__(self, costs, source):
        self.costs = costs
        self.source = source
        self.events = []
        self.number = 0

    def at(self, now, action):
        self.number += 1
        heapq.heappush(self.events, (now, self.number, action))

    def arrive(self, route, calls, time_s, per_s, until, fails=0.0):
        now = 0.0
        while True:
            now += self.source.expovariate(per_s)
            if now > until:
                return
            self.at(now, self._start(route, calls, time_s, fails))

    def _start(self, route, calls, time_s, fails):
        def act(now):
            run = _call_links.Run(route, 0.0, now + time_s)
            self.costs.started(run)
            work_s = 0.02 + self.source.expovariate(20.0)
            left = calls
            if self.source.random() < fails:
                left = self.source.randrange(calls)
            failed = left < calls
            self.at(now + work_s, self._step(run, left, failed))

        return act

    def _step(self, run, left, failed):
        def act(now):
            if not left:
                self.costs.ended(run, now, failed)
                return
            until = min(run.deadline_at, now + 0.6)
            self.costs.record_call('leaf', 'lookup', until)
            took_s = 0.005 + self.source.expovariate(50.0)
            self.at(now + took_s, self._answer(run, left, failed))

        return act

    def _answer(self, run, left, failed):
        def act(now):
            self.costs.record_answer(now)
            self.at(now + PROMPT_S, self._step(run, left - 1, failed))

        return act

    def play(self, until):
        step = 0
        while self.events or step * _costs.SAMPLE_S < until:
            at = step * _costs.SAMPLE_S
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


def _play(costs, routes, until=20.0, seed=1):
    """Play routes, each given as ``(calls, time_s, per_s[, fails])``."""
    target = _Target(costs, random.Random(seed))
    for route, given in routes.items():
        calls, time_s, per_s = given[:3]
        target.arrive(route, calls, time_s, per_s, until, *given[3:])
    target.play(until)


def test_single_route(costs):
    _play(costs, {'pay': (5, 1.0, 20)})
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.1)
    assert costs.cost('dues', 'pay')['dues'] == 1.0


@pytest.mark.parametrize('seed', range(4))
def test_route_that_makes_no_calls_costs_none(costs, seed):
    # Calls have less time of their own than either request leaves them, so
    # only the ends of the runs tell.
    routes = {'pay': (5, 6.0, 60), 'status': (0, 6.0, 25)}
    _play(costs, routes, until=12.0, seed=seed)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.1)
    assert costs.cost('dues', 'status').get('leaf', 0.0) < 0.5


@pytest.mark.parametrize('seed', range(4))
def test_callers_are_told_apart_by_deadlines(costs, seed):
    routes = {'pay': (6, 0.5, 20), 'state': (2, 0.5, 60)}
    _play(costs, routes, seed=seed)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(6, rel=0.2)
    assert costs.cost('dues', 'state')['leaf'] == pytest.approx(2, rel=0.2)


def test_runs_that_fail_do_not_lower_a_cost(costs):
    _play(costs, {'pay': (8, 1.0, 30)})
    known = costs.cost('dues', 'pay')['leaf']
    _play(costs, {'pay': (8, 1.0, 30, 0.6)}, seed=2)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(known, rel=0.05)


def test_runs_that_fail_from_the_start_do_not_raise_a_cost(costs):
    # The largest of many chance counts is far above the mean.
    _play(costs, {'pay': (8, 1.0, 6, 0.6)}, until=30.0)
    assert 2.0 < costs.cost('dues', 'pay')['leaf'] < 9.0


def test_costs_of_the_called_route_are_multiplied(costs):
    costs.update_from_report('leaf', {'lookup': {'leaf': 1.0, 'base': 3.0}})
    _play(costs, {'pay': (2, 1.0, 20)})
    assert costs.cost('dues', 'pay')['base'] == pytest.approx(6, rel=0.1)


def test_call_has_the_rank_of_the_run_whose_deadline_it_bears(costs):
    for number, rank in enumerate((0.0, 2.0, 2.0)):
        costs.started(_call_links.Run('r', rank, 1.0 + 0.1 * number))
    assert costs.record_call('leaf', 'lookup', 0.9995) == 0.0
    assert costs.record_call('leaf', 'lookup', 1.101) == 2.0


def test_call_without_a_deadline_of_its_run_has_the_mean_rank(costs):
    assert costs.record_call('leaf', 'lookup', 1.0) is None
    for rank in (0.0, 2.0):
        costs.started(_call_links.Run('r', rank, 5.0))
    assert costs.record_call('leaf', 'lookup', 0.6) == 1.0
    assert costs.record_call('leaf', 'lookup', None) == 1.0


def test_request_that_outlasts_all_runs_is_no_call(costs):
    run = _call_links.Run('r', 0.0, 2.0)
    costs.started(run)
    assert costs.outlasts_runs(2.1)
    assert not costs.outlasts_runs(2.0)
    assert not costs.outlasts_runs(1.0)


def test_run_that_was_given_up_may_go_on_calling(costs):
    run = _call_links.Run('r', 0.0, 2.0)
    costs.started(run)
    costs.ended(run, 0.5, failed=True)
    assert not costs.outlasts_runs(1.9)
    assert costs.outlasts_runs(2.1)


def test_unknown_route_costs_itself(costs):
    assert costs.cost('other', 'x') == {'other': 1.0}


def test_idle_windows_change_nothing(costs):
    _play(costs, {'pay': (5, 1.0, 20)})
    known = costs.cost('dues', 'pay')['leaf']
    for _ in range(10):
        costs.close_window()
    assert costs.cost('dues', 'pay')['leaf'] == known


def test_route_that_clients_use_is_no_call(costs):
    _play(costs, {'pay': (5, 1.0, 20)})
    costs.drop_calls('lookup')
    _play(costs, {'pay': (0, 1.0, 20)}, until=1.0)
    assert costs.cost('dues', 'pay') == {'dues': 1.0}


def test_routes_that_are_gone_are_forgotten(costs):
    _play(costs, {'pay': (5, 1.0, 20), 'old': (5, 1.0, 20)})
    costs.retain({'pay', 'lookup'})
    assert costs.cost('dues', 'old') == {'dues': 1.0}
    assert 'old' not in costs.kept().costs_by_route
    _play(costs, {'pay': (5, 1.0, 20)}, until=5.0)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.2)


def test_uncertain_counts_do_not_replace_what_others_tell(costs):
    costs.update_from_report('dues', {'pay': {'dues': 1.0, 'leaf': 8.0}})
    _play(costs, {'pay': (2, 1.0, 20)}, until=_costs.CONFIDENT_S / 2)
    assert costs.cost('dues', 'pay')['leaf'] == 8.0
    _play(costs, {'pay': (2, 1.0, 20)}, until=2 * _costs.CONFIDENT_S)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(2, rel=0.2)


def test_costs_outlive_a_restart(costs):
    _play(costs, {'pay': (8, 1.0, 30)})
    restarted = _costs.CallCosts('dues')
    restarted.restore(costs.kept())
    assert restarted.cost('dues', 'pay') == costs.cost('dues', 'pay')
    # Right after it most runs fail.
    _play(restarted, {'pay': (8, 1.0, 30, 0.9)}, until=5.0, seed=3)
    assert restarted.cost('dues', 'pay')['leaf'] == pytest.approx(8, rel=0.1)
    elsewhere = _costs.CallCosts('front')
    elsewhere.restore(costs.kept())
    assert elsewhere.cost('dues', 'pay') == costs.cost('dues', 'pay')


def test_route_found_to_make_no_calls_costs_none_at_once(costs):
    # What was kept comes from a time when the route could not be told.
    calls = [
        _costs.KeptCall('leaf', 'lookup', route, 3.0)
        for route in ('pay', 'status')
    ]
    costs.restore(
        _costs.KeptCosts(
            'dues',
            {
                'pay': {'dues': 1.0, 'leaf': 3.0},
                'status': {'dues': 1.0, 'leaf': 3.0},
            },
            calls,
        )
    )
    routes = {'pay': (3, 6.0, 60), 'status': (0, 6.0, 25)}
    _play(costs, routes, until=5.0)
    assert costs.cost('dues', 'status').get('leaf', 0.0) < 0.1
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(3, rel=0.1)


def test_what_was_learned_goes_before_what_was_kept(costs):
    kept = _costs.KeptCosts('dues', {'pay': {'dues': 1.0, 'leaf': 50.0}}, [])
    _play(costs, {'pay': (8, 1.0, 30)})
    costs.restore(kept)
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(8, rel=0.1)


@pytest.mark.parametrize(
    'matrix, vector, solution',
    [
        ([[2.0]], [4.0], [2.0]),
        ([[0.0, 1.0], [1.0, 0.0]], [3.0, 5.0], [5.0, 3.0]),
        ([[4.0, 1.0], [1.0, 3.0]], [1.0, 2.0], [1 / 11, 7 / 11]),
    ],
)
def test_small_systems(matrix, vector, solution):
    assert _least_squares.solve(matrix, vector) == pytest.approx(solution)
