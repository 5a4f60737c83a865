"""Matching of routes and weighted distribution over services."""

import collections
import random

import pytest

from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes


@pytest.fixture
def configuration():
    return fakes.configuration(
        fakes.route('short', path_prefix=b'/a/'),
        fakes.route('long', path_prefix=b'/a/b/'),
        fakes.route('other', host=b'o.example'),
    )


@pytest.mark.parametrize(
    'host, target, name',
    [
        (b'h.example', b'/a/1', 'short'),
        (b'h.example', b'/a/b/1?x', 'long'),
        (b'H.Example:8080', b'/a/1', 'short'),
        (b'o.example', b'/a/b/1', 'other'),
    ],
)
def test_longest_prefix_of_the_host_matches(configuration, host, target, name):
    assert configuration.match(host, target).name == name


@pytest.mark.parametrize(
    'host, target', [(b'x.example', b'/a/1'), (b'h.example', b'/a')]
)
def test_request_without_a_matching_route(configuration, host, target):
    assert configuration.match(host, target) is None


@pytest.mark.parametrize('weights', [(90, 10), (1, 1, 1), (7, 2, 1)])
def test_requests_follow_the_weights(weights):
    services = tuple(
        _routes.WeightedService(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    route = fakes.route(services=services)
    picker = _routes.ServicePicker(random.Random(3))
    counts = collections.Counter(picker.pick(route) for _ in range(200))
    for index, weight in enumerate(weights):
        share = counts[f's{index}'] / 200
        assert share == pytest.approx(weight / sum(weights), abs=0.02)
