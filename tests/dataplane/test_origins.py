"""Detection of the routes that clients use."""

import random

import pytest

from rosemarycrank.dataplane import _origins


def _inside_a_run():
    return False


def _after_all_runs():
    return True


@pytest.fixture
def found():
    return []


@pytest.fixture
def origins(found):
    return _origins.RouteOrigins(0.0, found.append)


def test_requests_at_an_idle_target_mark_a_client_route(origins, found):
    for step in range(20):
        origins.record_request('read', 10.0 + step * 0.1, 1.0, _inside_a_run)
    assert found == ['read']
    assert origins.record_request('read', 20.0, 0.0, _inside_a_run)


def test_call_of_the_target_is_not_taken_for_a_client_request(origins, found):
    # Some targets make further calls after their run was cancelled, so a few
    # calls arrive while the target counts as idle.
    source = random.Random(4)
    for step in range(5000):
        idle_s = 1.0 if source.random() < 0.03 else 0.0
        origins.record_request(
            'lookup', 10.0 + step * 0.02, idle_s, _inside_a_run
        )
    assert found == []


def test_no_route_is_classified_while_an_earlier_run_may_go_on(origins, found):
    # A node that was restarted has no runs on record, but its target may
    # still work on requests that the previous process sent.
    for step in range(60):
        origins.record_request('lookup', step * 0.1, 1.0, _inside_a_run)
    assert found == []


def test_client_route_found_by_another_node_is_accepted(origins, found):
    origins.add_client_route('read')
    assert origins.record_request('read', 1.0, 0.0, _inside_a_run)
    assert found == []


def test_client_route_is_found_in_an_idle_period_after_load(origins, found):
    for step in range(2000):
        origins.record_request('read', 10.0 + step * 0.01, 0.0, _inside_a_run)
    for step in range(200):
        origins.record_request('read', 60.0 + step * 0.5, 1.0, _inside_a_run)
    assert found == ['read']


def test_one_request_after_a_long_idle_period_suffices(origins, found):
    origins.record_request(
        'read', 30.0, _origins.MAX_UNKNOWN_RUN_S, _inside_a_run
    )
    assert found == ['read']


def test_requests_that_outlast_all_runs_mark_a_client_route(origins, found):
    # Under load from the start, the target is never idle.
    for step in range(20):
        origins.record_request(
            'read', 10.0 + step * 0.01, 0.0, _after_all_runs
        )
        origins.record_request(
            'lookup', 10.0 + step * 0.01, 0.0, _inside_a_run
        )
    assert found == ['read']
