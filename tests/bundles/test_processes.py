"""Roll-outs to real nodes by real commands."""

import json
import subprocess

import gevent
import pytest

from benchmarks import _deployment
from benchmarks import _operators
from tests.processes import conftest

EXAMPLE = conftest.EXAMPLES / 'oficina.bundle.yaml'
PLANS = tuple(
    _deployment.TargetPlan(service, domain, 'valle-uno')
    for domain in ('escazu', 'alajuela')
    for service in ('cuotas', 'hemeroteca')
)
ATTEMPTS = 600
PAUSE_S = 0.05

processes = conftest.processes
deploy = conftest.deploy
operators = conftest.operators


@pytest.fixture
def nodes(deploy, operators):
    """Four nodes in two domains with version 1 in force, no upstreams."""
    deployment = deploy(
        *PLANS, trusted_keys_file=str(operators.trusted_keys_path)
    )
    deployment.start_platform()
    deployment.start_nodes()
    operators.roll_out(EXAMPLE, platform_url(deployment))
    deployment.wait_until_in_force(1)
    return deployment


def platform_url(deployment):
    return f'http://{deployment.platform_address}'


def set_platform(deployment, **control):
    address = deployment.platform_address
    _deployment.request(address, 'POST', '/control', control)


def write_version(folder, version, depth=8):
    """Write the example under another version and with another policy."""
    text = EXAMPLE.read_text().replace('version: 1', f'version: {version}')
    path = folder / f'v{version}-{depth}.bundle.yaml'
    path.write_text(text.replace('max_depth: 8', f'max_depth: {depth}'))
    return path


def bundle_section(target):
    address = target.admin_address
    return _deployment.request(address, 'GET', '/dump')[1]['bundle']


def wait_for_version(target, version):
    for _ in range(ATTEMPTS):
        if bundle_section(target)['version'] == version:
            return
        gevent.sleep(PAUSE_S)
    raise TimeoutError(f'{target.plan.name}: version {version}')


def test_racing_operators_and_lost_answers(nodes, operators, tmp_path):
    set_platform(nodes, mode='lose-answers')
    operators.roll_out(write_version(tmp_path, 2), platform_url(nodes))
    set_platform(nodes, mode='up')
    rivals = [write_version(tmp_path, 3, depth) for depth in (5, 6)]
    commands = [roll_out_command(operators, r, nodes) for r in rivals]
    started = [
        subprocess.Popen(command, stdout=subprocess.PIPE)
        for command in commands
    ]
    answers = [json.loads(p.communicate()[0]) for p in started]
    winners = [a for a in answers if a['ok']]
    losers = [a for a in answers if not a['ok']]
    assert len(winners) == 1
    assert [a['standing_version'] for a in losers] == [3]
    nodes.wait_until_in_force(3)
    hashes = {bundle_section(target)['hash'] for target in nodes.targets}
    assert hashes == {winners[0]['hash']}


def test_paused_and_replaced_nodes_catch_up(nodes, operators, tmp_path):
    paused, replaced, *_ = nodes.targets
    paused.node.pause()
    replaced.node.kill()
    replaced.node.wait()
    operators.roll_out(write_version(tmp_path, 2), platform_url(nodes))
    for target in nodes.targets[2:]:
        wait_for_version(target, 2)
    set_platform(nodes, mode='down')
    nodes.replace_node(replaced)
    paused.node.resume()
    nodes.wait_until_in_force(2)
    sections = [bundle_section(target) for target in nodes.targets]
    assert [section['version'] for section in sections] == [2] * 4


def roll_out_command(operators, path, deployment):
    """Sign and approve a bundle; return the command that rolls it out."""
    with pytest.raises(_operators.CommandError):
        # The platform is not there, so it is signed and approved only.
        operators.roll_out(path, 'http://127.0.0.1:9')
    return [
        str(_operators.COMMAND),
        'bundle',
        'roll-out',
        str(path.parent / f'{path.stem}.signed.json'),
        '--platform',
        platform_url(deployment),
        '--trusted-keys',
        str(operators.trusted_keys_path),
        '--json',
    ]
