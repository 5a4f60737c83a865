"""Tests of the stand-ins as processes and of the process group.

They guard against requests that are cut off when an upstream stops, and
against child processes that outlive an interrupted parent.
"""

import os
import signal
import subprocess
import sys

import pytest

from benchmarks import _deployment
from benchmarks import _processes

UPSTREAM = 'rosemarycrank.standins.upstream'
PLATFORM = 'rosemarycrank.standins.platform'
PARENT_SCRIPT = """
import pathlib, sys, time
from benchmarks import _processes
with _processes.ProcessGroup(pathlib.Path(sys.argv[1])) as group:
    child = group.start('platform', 'rosemarycrank.standins.platform', ())
    child.wait_ready()
    child.pause()
    print(child.pid, flush=True)
    time.sleep(60)
"""


@pytest.fixture
def processes(tmp_path):
    with _processes.ProcessGroup(tmp_path) as group:
        yield group


def _is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_upstream_finishes_requests_in_flight(processes, tmp_path):
    runs = tmp_path / 'runs'
    settings = tmp_path / 'upstream.yaml'
    settings.write_text('service_time: {median_ms: 400}\n')
    arguments = ['--settings', str(settings), '--runs-file', str(runs)]
    process = processes.start('upstream', UPSTREAM, arguments)
    address = process.wait_ready()['address']
    host, port = address.split(':')
    client = subprocess.Popen(
        [sys.executable, '-c', GET_SCRIPT, host, port], stdout=subprocess.PIPE
    )
    while b'start' not in (runs.read_bytes() if runs.exists() else b''):
        assert process.exit_status is None
    assert processes.stop([process]) == []
    assert client.communicate()[0].strip() == b'200'
    assert b'"detail":"complete"' in runs.read_bytes()


GET_SCRIPT = """
import http.client, sys
connection = http.client.HTTPConnection(sys.argv[1], int(sys.argv[2]))
connection.request('GET', '/a')
print(connection.getresponse().status)
"""


def test_platform_as_a_process(processes):
    process = processes.start('platform', PLATFORM, ())
    address = process.wait_ready()['address']
    assert _deployment.request(address, 'GET', '/tables/t/k')[0] == 404
    process.pause()
    process.resume()
    assert processes.stop([process]) == []


def test_bad_settings_name_the_key(processes, tmp_path):
    settings = tmp_path / 'upstream.yaml'
    settings.write_text('slot: 3\nservice_time: {median: 5}\n')
    process = processes.start(
        'upstream', UPSTREAM, ['--settings', str(settings)]
    )
    with pytest.raises(
        _processes.StartError,
        match=r'yaml:1: slot: .*\n.*yaml:2: service_time.median',
    ):
        process.wait_ready()
    assert process.wait() == 1


@pytest.mark.parametrize('signal_number', [signal.SIGINT, signal.SIGTERM])
def test_stop_half_way_leaves_nothing_behind(tmp_path, signal_number):
    parent = subprocess.Popen(
        [sys.executable, '-c', PARENT_SCRIPT, str(tmp_path)],
        stdout=subprocess.PIPE,
    )
    child = int(parent.stdout.readline())
    assert _is_running(child)
    parent.send_signal(signal_number)
    parent.communicate()
    assert parent.returncode == 128 + signal_number
    assert not _is_running(child)
