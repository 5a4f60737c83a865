"""Learning which calls a request causes."""

import random

import pytest

from rosemarycrank.dataplane import _costs


@pytest.fixture
def costs():
    return _costs.CallCosts('dues')


def _play(costs, calls_by_route, rates, windows=80, seed=1):
    """Run windows with chance counts; calls fall a little after runs."""
    source = random.Random(seed)
    late = 0
    for _ in range(windows):
        total, late = late, 0
        for route, rate in rates.items():
            runs = sum(source.random() < 0.5 for _ in range(2 * rate))
            for _ in range(runs):
                costs.ran(route)
                for _ in range(calls_by_route[route]):
                    if source.random() < 0.3:
                        late += 1
                    else:
                        total += 1
        for _ in range(total):
            costs.called('leaf', 'lookup')
        costs.close_window()


def test_single_route(costs):
    _play(costs, {'pay': 5}, {'pay': 20})
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.05)
    assert costs.cost('dues', 'pay')['dues'] == 1.0


def test_routes_of_one_service_are_told_apart(costs):
    _play(costs, {'pay': 8, 'status': 0}, {'pay': 15, 'status': 60})
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(8, rel=0.2)
    assert costs.cost('dues', 'status').get('leaf', 0.0) < 0.6


def test_costs_of_the_called_route_are_multiplied(costs):
    costs.heard('leaf', {'lookup': {'leaf': 1.0, 'base': 3.0}})
    _play(costs, {'pay': 2}, {'pay': 20})
    assert costs.cost('dues', 'pay')['base'] == pytest.approx(6, rel=0.1)


def test_unknown_route_costs_itself(costs):
    assert costs.cost('other', 'x') == {'other': 1.0}


def test_idle_windows_change_nothing(costs):
    _play(costs, {'pay': 5}, {'pay': 20})
    for _ in range(10):
        costs.close_window()
    assert costs.cost('dues', 'pay')['leaf'] == pytest.approx(5, rel=0.1)


@pytest.mark.parametrize(
    'matrix, vector, solution',
    [
        ([[2.0]], [4.0], [2.0]),
        ([[0.0, 1.0], [1.0, 0.0]], [3.0, 5.0], [5.0, 3.0]),
        ([[4.0, 1.0], [1.0, 3.0]], [1.0, 2.0], [1 / 11, 7 / 11]),
    ],
)
def test_small_systems(matrix, vector, solution):
    assert _costs.solve(matrix, vector) == pytest.approx(solution)
