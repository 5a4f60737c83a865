"""Tests of the soak test's checks, and short seeded runs with processes."""

import json
import pathlib
import sys

import gevent
import pytest

from benchmarks import _builds
from benchmarks import _platform_deployment as deployment
from tests.soak import builds
from tests.soak import place
from tests.soak import promises
from tests.soak import runner

#: Seeds that failed in the past.
REGRESSIONS = (
    # Requests of clients that arrived from the start of the load were mistaken
    # for calls of the local target, so a service appeared to depend on another
    # service that was overloaded.
    11,
    # A node that was paused for 2.4 s answered after it resumed, 2.0 s late;
    # the check did not take pauses into account.
    6,
    # An entry node without a connection to a leaving node kept the record that
    # it was leaving after the node had restarted.
    45,
)

#: Seeds with planned operations only that failed in the past.
PLANNED_REGRESSIONS = (
    # Calls that outlasted the planned stop of their node got no answer.
    5,
    # Nodes went on shedding load for a service whose targets had restarted and
    # reported nothing.
    7,
)

VALID_REQUEST = promises.SentRequest(
    'q1', 'pay', '127.0.0.1', 1.0, 1.2, 200, 'q1@dues', signed=True
)


def _violation_kinds(
    runs=1, services=('dues',), paused_s=0.0, planned_only=False, **changes
):
    """Return the kinds of violation of `VALID_REQUEST` with changed fields."""
    request = promises.SentRequest(
        **{
            name: changes.get(name, getattr(VALID_REQUEST, name))
            for name in promises.SentRequest.__slots__
            if not name.startswith('_')
        }
    )
    violations = promises.find_violations(
        request, runs, set(services), 2.0, paused_s, planned_only
    )
    return [line.partition(':')[0] for line in violations]


def test_kept_promises_give_no_line():
    assert _violation_kinds() == []


@pytest.mark.parametrize(
    'kind, given',
    [
        ('mixed', {'body': 'q2@dues'}),
        ('mixed', {'signed': False}),
        ('mixed', {'runs': 0}),
        ('route', {'body': 'q1@archive'}),
        ('refused', {'status': 503}),
        ('refused', {'status': 429}),
        ('twice', {'runs': 2}),
        ('denied', {'status': 404}),
        ('late', {'ended_at': 9.0}),
        ('lost', {'status': 0, 'planned_only': True}),
    ],
)
def test_each_broken_promise_is_seen(kind, given):
    assert _violation_kinds(**given) == [kind]


def test_connection_that_ends_promises_nothing():
    """A connection closed without an answer leaves the outcome unknown."""
    assert _violation_kinds(status=0) == []
    assert _violation_kinds(status=0, runs=0, planned_only=True) == []


def test_time_in_which_the_node_stood_still_is_not_its_fault():
    """Time during which the entry node was paused extends the deadline."""
    assert _violation_kinds(ended_at=5.5, paused_s=2.0) == []
    assert _violation_kinds(ended_at=7.5, paused_s=2.0) == ['late']
    assert promises.overlap_s((1.0, 5.0), (4.0, 9.0)) == 1.0
    assert promises.overlap_s((1.0, 2.0), (4.0, 9.0)) == 0.0


def test_runs_after_a_target_has_left_are_seen():
    """Only runs that start after the allowed drain period are reported."""
    run_starts = [(1.0, 'a'), (2.9, 'b'), (3.5, 'c')]
    assert promises.runs_after_drain(run_starts, drain_acked_at=1.0) == ['c']


# Guards against a deployment of two builds in which one of them does not run.
@pytest.mark.parametrize('seed', range(20))
def test_nodes_run_both_builds_and_switch_between_them(seed):
    other_build = _builds.Build(pathlib.Path('/other'), 'python')
    both_builds = {_builds.OWN_BUILD, other_build}
    ips = [f'127.0.0.{n}' for n in range(1, 6)]
    sequence = builds.BuildSequence(other_build, ips, seed)
    assert {sequence.next_build(ip) for ip in ips} == both_builds
    assert (sequence.upgrades, sequence.downgrades) == (0, 0)
    ip = ips[0]
    for _ in range(30):
        previous = sequence.current_by_ip[ip]
        upgrades, downgrades = sequence.upgrades, sequence.downgrades
        build = sequence.next_build(ip)
        assert sequence.current_by_ip[ip] is build
        is_switched = build is not previous
        is_upgrade = is_switched and build is _builds.OWN_BUILD
        assert sequence.upgrades - upgrades == is_upgrade
        assert sequence.downgrades - downgrades == (
            is_switched and not is_upgrade
        )
    assert sequence.upgrades and sequence.downgrades


@pytest.mark.parametrize(
    'text, is_seen',
    [
        (json.dumps({'event': 'bad_frame', 'message': 'm'}), True),
        (json.dumps({'event': 'row_invalid', 'message': 'm'}), True),
        (json.dumps({'event': 'configuration_invalid', 'message': 'm'}), True),
        (
            json.dumps(
                {'event': 'peer_lost', 'message': 'unreachable: bad frame: 1'}
            ),
            True,
        ),
        (
            json.dumps(
                {'event': 'peer_lost', 'message': 'unreachable: timed out'}
            ),
            False,
        ),
        ('Traceback (most recent call last):', True),
        ('{"event": "bad_fr', False),
        ('{"message": "m"}', False),
    ],
)
def test_undecodable_data_is_seen_in_logs(tmp_path, text, is_seen):
    log_path = tmp_path / '127.0.0.1.log'
    log_path.write_text(f'{json.dumps({"event": "start"})}\n{text}\n')
    expected = [f'undecodable: 127.0.0.1: {text}'] if is_seen else []
    assert builds.find_invalid_data(log_path) == expected


def test_node_runs_the_code_of_its_checkout(tmp_path):
    """A node of another build imports nothing of the build under test."""
    package = tmp_path / 'other' / 'rosemarycrank' / 'platform'
    package.mkdir(parents=True)
    (package.parent / '__init__.py').touch()
    (package / '__init__.py').touch()
    (package / '__main__.py').write_text('print("other build", flush=True)\n')
    other_build = _builds.Build(tmp_path / 'other', sys.executable)
    cluster = deployment.Deployment(tmp_path, '127.1.250', ['archive'])
    cluster.choose_build = lambda ip: other_build
    ip = cluster.ips[0]
    try:
        cluster.start(ip)
        assert cluster.wait_for_exit(ip) == 0
    finally:
        cluster.close()
    assert (tmp_path / f'{ip}.log').read_text() == 'other build\n'


# Guards against requests that count as late because the process of the soak,
# which reads the answers, did not run.
def test_pauses_of_the_soak_itself_are_recorded():
    now = 0.0
    delays_s = iter([0.0, 0.05, 1.6, 0.0])
    pauses = []

    def sleep(seconds):
        nonlocal now
        delay_s = next(delays_s, None)
        if delay_s is None:
            raise gevent.GreenletExit
        now += seconds + delay_s

    with pytest.raises(gevent.GreenletExit):
        place.record_pauses(pauses, lambda: now, sleep)
    assert [round(end - start, 6) for start, end in pauses] == [1.6]


@pytest.mark.parametrize('seed', [1, *REGRESSIONS])
def test_short_run(tmp_path, seed):
    """Random overlapping faults violate no guarantee."""
    violations, soak = runner.run_seed(seed, tmp_path, seconds=4.0)
    assert violations == [], soak.log


@pytest.mark.parametrize('seed', [1, *PLANNED_REGRESSIONS])
def test_short_run_of_planned_work(tmp_path, seed):
    """Planned operations alone interrupt no request either."""
    violations, soak = runner.run_seed(
        seed, tmp_path, seconds=4.0, planned_only=True
    )
    assert violations == [], soak.log


# Guards against a node that a signal ends, or that goes on, as it came before
# its handler was there.
def test_short_run_with_early_signals(tmp_path):
    violations, soak = runner.run_seed(
        1, tmp_path, seconds=4.0, planned_only=True, early_signals=True
    )
    assert violations == [], soak.log
