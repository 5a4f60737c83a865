"""Tests of the demo: a short run, and a run that is interrupted."""

import json
import os
import signal
import subprocess
import sys

import pytest

COMMAND = [sys.executable, '-m', 'benchmarks.demo', '--seconds', '4']
VIOLATIONS = (
    'wrong_answers',
    'duplicate_paid_runs',
    'runs_reported_not_run',
    'unaccounted',
)


def _environments():
    """Yield the environment of each process that may be read."""
    for pid in filter(str.isdigit, os.listdir('/proc')):
        try:
            with open(f'/proc/{pid}/environ', 'rb') as file:
                yield file.read()
        except OSError:
            continue


def test_last_line_accounts_for_all_calls():
    """The report counts every call once and shows no violation."""
    completed = subprocess.run(COMMAND, capture_output=True, text=True)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    report = json.loads(completed.stdout.splitlines()[-1])
    assert {report[violation] for violation in VIOLATIONS} == {0}
    outcomes = report['complete'] + report['not_run'] + report['unknown']
    assert report['calls'] == outcomes > 0


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
def test_stop_half_way_leaves_no_process(number, tmp_path):
    """An interrupted demo must not leave child processes behind.

    Its processes are found by a variable that they inherit.
    """
    marker = f'DEMO_MARK={tmp_path}'
    name, _, value = marker.partition('=')
    demo = subprocess.Popen(
        COMMAND,
        env={**os.environ, name: value},
        stdout=subprocess.PIPE,
        text=True,
    )
    for line in demo.stdout:
        if 'load started' in line:
            break
    marked_environments = [e for e in _environments() if marker.encode() in e]
    assert len(marked_environments) > 20
    demo.send_signal(number)
    demo.communicate()
    assert demo.returncode == 128 + number
    assert not any(marker.encode() in e for e in _environments())
