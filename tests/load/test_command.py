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
    return lambda *words: runner.invoke(command.APP, [str(w) for w in words])


@pytest.fixture
def scenario(tmp_path):
    path = tmp_path / 'load.yaml'
    path.write_text(SCENARIO)
    return path


def test_run_then_check(invoke, scenario, tmp_path, fake_node, start_upstream):
    history, runs = tmp_path / 'history', tmp_path / 'runs'
    upstream, _ = start_upstream(service='s', runs_file=str(runs))
    fake_node.upstreams_by_service['s'] = upstream.server.bound_address
    options = ['--settings', scenario, '--node', fake_node.address]
    ran = invoke('run', *options, '--history', history, '--seed', 7)
    assert ran.exit_code == 0, ran.output
    printed = json.loads(ran.stdout.splitlines()[-1])
    assert printed['classes']['read']['complete'] == printed['begun'] > 5
    checked = invoke('check', '--history', history, '--runs', runs)
    assert checked.exit_code == 0
    assert json.loads(checked.stdout)['calls'] == printed['begun']
    runs.write_bytes(b'')
    checked = invoke('check', '--history', history, '--runs', runs)
    assert checked.exit_code == command.EXIT_FAULT
    assert json.loads(checked.stdout)['wrong_answers'] == printed['begun']


@pytest.mark.parametrize(
    'text, named',
    [
        ('requests: [{name: a}]', 'service'),
        ('requests: [{name: a, service: s, rate: fast}]', 'rate'),
        ('requests: [{name: a, service: s, rates: 3}]', 'rates'),
        ('requests: []\nphases: [{start_s: -1}]', 'phases[0].start_s'),
        ('requests: []\nkeys: own', "'client', 'node'"),
        ('duration_s: [', 'load.yaml'),
    ],
)
def test_bad_scenario_names_the_key(invoke, scenario, tmp_path, text, named):
    scenario.write_text(text)
    ended = invoke(
        'run', '--settings', scenario, '--node', 'n:1', '--history', tmp_path
    )
    assert ended.exit_code == command.EXIT_REFUSED
    assert named in ended.output


def test_version(invoke):
    assert invoke('--version').stdout.strip() == rosemarycrank.__version__
