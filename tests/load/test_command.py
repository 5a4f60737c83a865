"""The command line of the load driver."""

import json

import pytest
from typer import testing

import rosemarycrank
from rosemarycrank.load import __main__ as command

SCENARIO = """
duration_s: 0.3
requests:
  - {name: read, service: s, rate: 60}
"""


@pytest.fixture
def invoke():
    """A function that runs the command in this process."""
    runner = testing.CliRunner()
    return lambda *args: runner.invoke(command.APP, [str(a) for a in args])


@pytest.fixture
def scenario(tmp_path):
    path = tmp_path / 'load.yaml'
    path.write_text(SCENARIO)
    return path


def test_run_then_check(invoke, scenario, tmp_path, fake_node, start_upstream):
    """The check accepts the records of a run, and finds that runs are gone.

    With an empty file of runs, every complete answer is a wrong one.
    """
    history, runs = tmp_path / 'history', tmp_path / 'runs'
    upstream, _ = start_upstream(service='s', runs_file=str(runs))
    fake_node.upstreams_by_service['s'] = upstream.server.bound_address
    options = ['--settings', scenario, '--node', fake_node.address]
    run_result = invoke('run', *options, '--history', history, '--seed', 7)
    assert run_result.exit_code == 0, run_result.output
    printed = json.loads(run_result.stdout.splitlines()[-1])
    assert printed['classes']['read']['complete'] == printed['begun'] > 5
    check_result = invoke('check', '--history', history, '--runs', runs)
    assert check_result.exit_code == 0
    assert json.loads(check_result.stdout)['calls'] == printed['begun']
    runs.write_bytes(b'')
    check_result = invoke('check', '--history', history, '--runs', runs)
    assert check_result.exit_code == command.EXIT_FAULT
    assert json.loads(check_result.stdout)['wrong_answers'] == printed['begun']


@pytest.mark.parametrize(
    'text, expected',
    [
        ('requests: [{name: a}]', 'service'),
        ('requests: [{name: a, service: s, rate: fast}]', 'rate'),
        ('requests: [{name: a, service: s, rates: 3}]', 'rates'),
        ('requests: []\nphases: [{start_s: -1}]', 'phases[0].start_s'),
        ('requests: []\nkeys: own', "'client', 'node'"),
        ('duration_s: [', 'load.yaml'),
    ],
)
def test_error_names_the_key(invoke, scenario, tmp_path, text, expected):
    scenario.write_text(text)
    result = invoke(
        'run', '--settings', scenario, '--node', 'n:1', '--history', tmp_path
    )
    assert result.exit_code == command.EXIT_REFUSED
    assert expected in result.output


def test_version(invoke):
    assert invoke('--version').stdout.strip() == rosemarycrank.__version__
