"""Which routes clients use."""

import random

import pytest

from rosemarycrank.dataplane import _origins


def _never():
    return False


def _always():
    return True


@pytest.fixture
def found():
    return []


@pytest.fixture
def origins(found):
    return _origins.RouteOrigins(0.0, found.append)


def test_route_that_arrives_while_the_target_idles_is_the_clients(
    origins, found
):
    for step in range(20):
        origins.record_request('read', 10.0 + step * 0.1, 1.0, _never)
    assert found == ['read']
    assert origins.record_request('read', 20.0, 0.0, _never)


def test_call_is_never_taken_for_a_request_of_a_client(origins, found):
    # Some targets go on calling after their run was cancelled.
    source = random.Random(4)
    for step in range(5000):
        idle_s = 1.0 if source.random() < 0.03 else 0.0
        origins.record_request('lookup', 10.0 + step * 0.02, idle_s, _never)
    assert found == []


def test_nothing_is_decided_while_an_earlier_run_may_go_on(origins, found):
    # A node that was started anew knows of no run, but the target may
    # still work on what an earlier process sent it.
    for step in range(60):
        origins.record_request('lookup', step * 0.1, 1.0, _never)
    assert found == []


def test_what_another_node_found_holds(origins, found):
    origins.add_client_route('read')
    assert origins.record_request('read', 1.0, 0.0, _never)
    assert found == []


def test_a_later_lull_tells(origins, found):
    for step in range(2000):
        origins.record_request('read', 10.0 + step * 0.01, 0.0, _never)
    for step in range(200):
        origins.record_request('read', 60.0 + step * 0.5, 1.0, _never)
    assert found == ['read']


def test_one_request_after_a_long_rest_is_enough(origins, found):
    origins.record_request('read', 30.0, _origins.UNSURE_S, _never)
    assert found == ['read']


def test_requests_that_last_longer_than_all_runs_are_the_clients(
    origins, found
):
    # Load from the start: the target never rests.
    for step in range(20):
        origins.record_request('read', 10.0 + step * 0.01, 0.0, _always)
        origins.record_request('lookup', 10.0 + step * 0.01, 0.0, _never)
    assert found == ['read']
