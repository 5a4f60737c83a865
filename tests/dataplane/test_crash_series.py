"""Deadly requests whose crashes have other explanations, too.

Targets end in a series for causes outside, as in a series of restarts, or
other requests run wherever the deadly one does. A request that comes again and
again has to be told from its neighbours all the same.
"""

import itertools
import random

import pytest

from tests.dataplane import crash_fleet

#: Targets that may end under one request, whatever else explains its crashes.
END_BOUND = 3

#: Seconds between two requests of clients, of either kind.
INTERVAL_S = 0.05

SEEDS = (0, 1, 2, 3, 4, 5, 18)

#: Time after the last end within which each request is served again, in
#: seconds.
RECOVERY_S = 15.0


@pytest.fixture
def make_fleet(patch_connections, reactor):
    def make(size):
        fleet = patch_connections(crash_fleet.CrashFleet(reactor, size, 2))
        reactor.run(2.5, 0.05)
        return fleet

    return make


def _send_first(fleet):
    """Send a deadly request, and wait until its crash is known."""
    caller = fleet.nodes_of(crash_fleet.DEADLY_CALLER)[0]
    fleet.send_request(caller, crash_fleet.DEADLY)
    fleet.reactor.run(crash_fleet.DEADLY_RUN_S + 0.1)
    assert len(fleet.ends) == 1


def _send_both(fleet, paths, seconds):
    """Send deadly requests and others in turn, from all callers."""
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    for number in range(int(seconds / INTERVAL_S)):
        caller = callers[number % len(callers)]
        fleet.send_request(caller, crash_fleet.DEADLY)
        fleet.send_request(callers[-1 - number % len(callers)], next(paths))
        fleet.reactor.run(INTERVAL_S)


def _distinct_paths():
    for number in itertools.count():
        yield b'/a/%d' % number


# Guards against a deadly request that is probed again and again, as a target
# that did not run it ends about when each of its targets does.
@pytest.mark.parametrize('seed', SEEDS)
def test_series_of_other_ends_does_not_excuse_a_deadly_request(
    make_fleet, seed
):
    fleet = make_fleet(32)
    rng = random.Random(seed)
    targets = fleet.nodes_of(crash_fleet.TARGET_SERVICE)
    paths = _distinct_paths()
    _send_first(fleet)
    for _ in range(40):
        fleet.crash(rng.choice(targets))
        _send_both(fleet, paths, 0.6)
    assert 0 < len(fleet.ends) <= END_BOUND


# Guards against requests that ran at the same crashes, each of which counts as
# the explanation of the others, so that all of them run everywhere.
@pytest.mark.parametrize('path_count', [1, 4, 12])
@pytest.mark.parametrize('seed', SEEDS)
def test_requests_that_share_crashes_are_probed_one_at_a_time(
    make_fleet, seed, path_count
):
    fleet = make_fleet(12)
    fleet.service_s = 0.8
    rng = random.Random(seed)
    paths = (b'/a/%d' % rng.randrange(path_count) for _ in itertools.count())
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    for _ in range(40):
        fleet.send_request(rng.choice(callers), next(paths))
        fleet.reactor.run(0.01)
    _send_first(fleet)
    _send_both(fleet, paths, 12.0)
    assert 0 < len(fleet.ends) <= END_BOUND


# Guards against the opposite: popular requests that are refused for a minute
# because targets ended in several runs of theirs, for causes outside.
@pytest.mark.parametrize('service_s', [0.1, 0.3])
@pytest.mark.parametrize('seed', SEEDS)
def test_series_of_ends_leaves_no_request_refused(make_fleet, seed, service_s):
    fleet = make_fleet(32)
    fleet.service_s = service_s
    rng = random.Random(seed)
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    targets = fleet.nodes_of(crash_fleet.TARGET_SERVICE)
    for number in range(1200):
        if number % 30 == 0:
            fleet.crash(rng.choice(targets))
        path = b'/a/%d' % int(20 ** rng.random())
        fleet.send_request(rng.choice(callers), path)
        fleet.reactor.run(0.02)
    histories = [node.crash_history for node in fleet.nodes]
    assert len(histories[0]) > 10
    for history in histories:
        refused_s = map(history.refused_for_s, history.suspects)
        assert max(refused_s, default=0.0) <= RECOVERY_S
