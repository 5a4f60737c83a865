"""Targets that end together, and the innocent requests that ran there.

The load is requests of which some are far more popular than others, so that
the same ones run at all targets. Several targets end at once for a reason
outside: a rack, a failure domain, a release.
"""

import random

import pytest

from tests.dataplane import crash_fleet

REQUESTS_PER_S = 60.0

#: Service time in seconds: eight requests run at each of six targets.
SERVICE_S = 0.8

#: Times in seconds after the targets have ended: within which service has to
#: be back, and for which it is watched from then on.
RECOVERY_S = 15.0
WATCHED_S = 5.0

#: Time in seconds in which all requests that were sent have an answer.
QUIET_S = 7.0

#: Targets that may end under a deadly request beside other causes.
END_BOUND = 3

#: Share of the requests that may be refused or fail from then on.
MAX_LOST_SHARE = 0.01

DISTINCT_COUNTS = (1, 20, 200, 2000)


class _Traffic:
    """Requests drawn from some paths, the popular ones far more often.

    Parameters
    ----------
    fleet : CrashFleet
        Fleet whose nodes get the requests.
    distinct_count : int
        Number of paths.
    seed : int
        Seed of the requests.
    """

    def __init__(self, fleet, distinct_count, seed):
        self.fleet = fleet
        self._random = random.Random(seed)
        self._paths = [b'/a/%d' % rank for rank in range(distinct_count)]
        self._weights = [1.0 / (1 + rank) for rank in range(distinct_count)]

    def run(self, seconds):
        """Send requests for some time."""
        callers = self.fleet.nodes_of(crash_fleet.DEADLY_CALLER)
        for _ in range(int(seconds * REQUESTS_PER_S)):
            (path,) = self._random.choices(self._paths, self._weights)
            self.fleet.send_request(self._random.choice(callers), path)
            self.fleet.reactor.run(1.0 / REQUESTS_PER_S)

    def lost_share(self):
        """Return the share of requests that are lost in some seconds."""
        self.fleet.reactor.run(QUIET_S, 0.05)
        self.fleet.statuses_by_path.clear()
        self.run(WATCHED_S)
        self.fleet.reactor.run(QUIET_S, 0.05)
        statuses = sum(self.fleet.statuses_by_path.values(), [])
        assert len(statuses) == WATCHED_S * REQUESTS_PER_S
        return 1.0 - statuses.count(200) / len(statuses)


@pytest.fixture
def make_traffic(patch_connections, reactor):
    def make(distinct_count, seed):
        fleet = patch_connections(crash_fleet.CrashFleet(reactor, 12, 2))
        fleet.service_s = SERVICE_S
        reactor.run(2.5, 0.05)
        return _Traffic(fleet, distinct_count, seed)

    return make


def _end_targets(fleet, first, count):
    """Let some targets end within 0.15 s."""
    targets = fleet.nodes_of(crash_fleet.TARGET_SERVICE)
    for address in targets[first : first + count]:
        fleet.crash(address)
        fleet.reactor.run(0.15 / count)


# Guards against traffic that is refused for a minute and more because the
# targets that ran it ended together for another reason.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('distinct_count', DISTINCT_COUNTS)
def test_targets_that_end_together_leave_no_request_refused(
    make_traffic, distinct_count, seed
):
    traffic = make_traffic(distinct_count, seed)
    traffic.run(3.0)
    _end_targets(traffic.fleet, 0, 4)
    traffic.run(RECOVERY_S - QUIET_S)
    assert traffic.lost_share() <= MAX_LOST_SHARE


# Guards against the same where targets end in two waves, the second before
# the requests of the first have run well.
@pytest.mark.parametrize('distinct_count', DISTINCT_COUNTS)
def test_targets_that_end_in_waves_leave_no_request_refused(
    make_traffic, distinct_count
):
    traffic = make_traffic(distinct_count, 3)
    traffic.run(3.0)
    _end_targets(traffic.fleet, 0, 3)
    traffic.run(0.5)
    _end_targets(traffic.fleet, 3, 3)
    traffic.run(RECOVERY_S - QUIET_S)
    assert traffic.lost_share() <= MAX_LOST_SHARE


# Guards against blame by a cause outside while a deadly request is known.
@pytest.mark.parametrize('distinct_count', DISTINCT_COUNTS)
def test_deadly_request_leaves_no_other_request_refused(
    make_traffic, distinct_count
):
    traffic = make_traffic(distinct_count, 4)
    traffic.run(2.0)
    caller = traffic.fleet.nodes_of(crash_fleet.DEADLY_CALLER)[0]
    for _ in range(5):
        traffic.fleet.send_request(caller, crash_fleet.DEADLY)
        traffic.run(0.5)
    _end_targets(traffic.fleet, 0, 4)
    traffic.run(RECOVERY_S - QUIET_S)
    assert len(traffic.fleet.ends) <= END_BOUND
    assert traffic.lost_share() <= MAX_LOST_SHARE
    for _ in range(5):
        traffic.fleet.send_request(caller, crash_fleet.DEADLY)
        traffic.run(0.5)
    assert len(traffic.fleet.ends) <= END_BOUND
