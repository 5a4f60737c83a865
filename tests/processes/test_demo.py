"""The demo, short, and stopped half-way."""

import json
import os
import signal
import subprocess
import sys

import pytest

COMMAND = [sys.executable, '-m', 'benchmarks.demo', '--seconds', '4']
FAULTS = (
    'wrong_answers',
    'duplicate_paid_runs',
    'runs_reported_not_run',
    'unaccounted',
)


def _environments():
    """Yield the environments of all processes that can be read."""
    for pid in filter(str.isdigit, os.listdir('/proc')):
        try:
            with open(f'/proc/{pid}/environ', 'rb') as file:
                yield file.read()
        except OSError:
            continue


def test_last_line_accounts_for_all_calls():
    ended = subprocess.run(COMMAND, capture_output=True, text=True)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    found = json.loads(ended.stdout.splitlines()[-1])
    assert {found[fault] for fault in FAULTS} == {0}
    outcomes = found['complete'] + found['not_run'] + found['unknown']
    assert found['calls'] == outcomes > 0


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
def test_stop_half_way_leaves_no_process(number, tmp_path):
    mark = f'DEMO_MARK={tmp_path}'
    name, _, value = mark.partition('=')
    demo = subprocess.Popen(
        COMMAND,
        env={**os.environ, name: value},
        stdout=subprocess.PIPE,
        text=True,
    )
    for line in demo.stdout:
        if 'load started' in line:
            break
    marked = [e for e in _environments() if mark.encode() in e]
    assert len(marked) > 20
    demo.send_signal(number)
    demo.communicate()
    assert demo.returncode == 128 + number
    assert not any(mark.encode() in e for e in _environments())
