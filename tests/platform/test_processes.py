"""Nodes as real processes against the stand-in of the store."""

import json
import signal
import subprocess
import sys

import gevent
import pytest

from rosemarycrank.platform import __main__ as node
from tests.platform import deployment

METRICS_PORT = node.METRICS_PORT


@pytest.fixture
def place(tmp_path, request):
    # Each test has addresses of its own, so none waits for the ports that
    # another one has just left.
    number = 20 + sum(map(ord, request.node.name)) % 200
    place = deployment.Deployment(
        tmp_path, f'127.1.{number}', ['archive', 'archive', 'dues']
    )
    place.configure(1, read='archive', pay='dues')
    place.start_all()
    place.wait_until(
        lambda: place.send(place.ips[0], 'pay')[1] == 200, 'first payment'
    )
    yield place
    place.close()


def _check(place, answers):
    """Assert what has to hold of every answer."""
    for prefix, request_id, status, body in answers:
        runs = place.run_count(request_id)
        if status == 200:
            assert body.startswith(f'{request_id}@')
            assert runs >= 1
        if status in (429, 503, 408, 421):
            assert runs == 0, request_id
        if prefix == 'pay':
            assert runs <= 1, request_id


def _load(place, seconds, ips):
    """Send requests from several clients for a while."""
    answers = []
    end = gevent.get_hub().loop.now() + seconds

    def client(ip, prefix):
        while gevent.get_hub().loop.now() < end:
            answers.append((prefix, *place.send(ip, prefix)))
            gevent.sleep(0.01)

    jobs = [
        gevent.spawn(client, ip, prefix)
        for ip in ips
        for prefix in ('read', 'pay')
    ]
    return answers, jobs


def test_request_goes_through_two_nodes(place):
    request_id, status, body = place.send(place.ips[2], 'read')
    assert (status, body) == (200, f'{request_id}@archive')


def test_killed_node_costs_no_honesty(place):
    answers, jobs = _load(place, 3.0, place.ips[1:])
    gevent.sleep(0.7)
    place.signal(place.ips[0], signal.SIGKILL)
    place.wait_for_exit(place.ips[0])
    gevent.sleep(0.5)
    place.start(place.ips[0])
    gevent.joinall(jobs, raise_error=True)
    _check(place, answers)
    assert any(status == 200 for _, _, status, _ in answers[-20:])


def test_planned_stop_interrupts_nothing(place):
    ips = place.ips[:1]
    place.target(place.ips[2]).work_s = 0.3
    answers, jobs = _load(place, 1.5, ips)
    gevent.sleep(0.5)
    place.signal(ips[0], signal.SIGTERM)
    assert not place.is_ready(ips[0])
    gevent.joinall(jobs, raise_error=True)
    assert place.wait_for_exit(ips[0]) == 0
    _check(place, answers)
    assert {status for _, _, status, _ in answers} <= {200}


def test_paused_node_is_passed_over(place):
    place.signal(place.ips[0], signal.SIGSTOP)
    try:
        answers, jobs = _load(place, 3.0, place.ips[1:])
        gevent.joinall(jobs, raise_error=True)
    finally:
        place.signal(place.ips[0], signal.SIGCONT)
    gevent.sleep(0.5)
    _check(place, answers)
    reads = [a for a in answers if a[0] == 'read']
    assert all(status == 200 for _, _, status, _ in reads[-20:])


def test_acknowledged_leaving_binds_with_the_store_away(place):
    place.store.mode = 'silent'
    target = place.target(place.ips[0])
    before = target.sequence
    target.state = 'draining'
    place.wait_until(
        lambda: target.acknowledged_sequence > before, 'drain ack'
    )
    runs = sum(target.runs_by_id.values())
    answers, jobs = _load(place, 1.0, place.ips)
    gevent.joinall(jobs, raise_error=True)
    # What was under way may have ended; nothing new arrives after 2 s.
    gevent.sleep(1.0)
    settled = sum(target.runs_by_id.values())
    assert settled - runs <= 2
    _check(place, answers)
    assert all(status == 200 for _, _, status, _ in answers)


def test_node_restarted_without_the_store_learns_from_its_peers(place):
    # The others call it, and so come back to it.
    for _ in range(20):
        place.send(place.ips[1], 'read')
    place.store.mode = 'silent'
    place.signal(place.ips[0], signal.SIGKILL)
    place.wait_for_exit(place.ips[0])
    for _ in range(20):
        place.send(place.ips[1], 'read')
    place.start(place.ips[0])
    place.wait_until(lambda: place.is_ready(place.ips[0]), 'ready again')
    status = place.send(place.ips[0], 'read')[1]
    assert status == 200


def test_settings_are_read_again_without_a_break(place, tmp_path):
    ip = place.ips[0]
    path = tmp_path / f'{ip}.conf'
    path.write_text('this is no setting')
    place.signal(ip, signal.SIGHUP)
    place.wait_until(
        lambda: b'settings not taken' in (tmp_path / f'{ip}.log').read_bytes(),
        'a line about the bad settings',
    )
    assert place.send(ip, 'read')[1] == 200


def test_metrics_and_state_dump(place):
    place.send(place.ips[0], 'read')
    status, text = deployment.exchange(
        place.ips[0], METRICS_PORT, 'GET', '/metrics'
    )
    assert status == 200
    assert 'rosemarycrank_requests_total' in text
    assert 'rosemarycrank_request_seconds_bucket{le="0.1"}' in text
    status, text = deployment.exchange(
        place.ips[0], METRICS_PORT, 'GET', '/state'
    )
    assert status == 200
    assert json.loads(text)['configuration'] == 1


@pytest.mark.parametrize('mode', ['up', 'lost'])
def test_configuration_reaches_every_node(place, mode):
    place.store.mode = mode
    place.configure(7, read='dues')
    place.store.mode = 'up'
    for ip in place.ips:
        place.wait_until(
            lambda ip=ip: place.send(ip, 'read')[2].endswith('@dues'),
            f'{ip} has version 7',
        )
    assert place.send(place.ips[0], 'pay')[1] == 404


def test_bad_settings_end_the_process_with_a_clear_line(tmp_path, place):
    path = tmp_path / f'{place.ips[0]}.conf'
    text = path.read_text().replace('service=archive', 'service=')
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, '-m', 'rosemarycrank.platform'],
        env={'ROSEMARYCRANK_CONFIG': str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 1
    assert 'service: missing' in done.stderr
