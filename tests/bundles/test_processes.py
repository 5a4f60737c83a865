"""Roll-outs to node processes with the command-line tool."""

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
MAX_POLLS = 600
POLL_PERIOD_S = 0.05

processes = conftest.processes
deploy = conftest.deploy
operators = conftest.operators


@pytest.fixture
def nodes(deploy, operators):
    """Four nodes in two domains, without upstreams; version 1 is in force."""
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
    for _ in range(MAX_POLLS):
        if bundle_section(target)['version'] == version:
            return
        gevent.sleep(POLL_PERIOD_S)
    raise TimeoutError(f'{target.plan.name} did not reach version {version}')


def test_racing_operators_and_lost_answers(nodes, operators, tmp_path):
    # A roll-out whose answers are lost takes effect once; of two concurrent
    # roll-outs of one version, exactly one takes effect on all nodes.
    set_platform(nodes, mode='lose-answers')
    operators.roll_out(write_version(tmp_path, 2), platform_url(nodes))
    set_platform(nodes, mode='up')
    racing_files = [write_version(tmp_path, 3, depth) for depth in (5, 6)]
    commands = [roll_out_command(operators, r, nodes) for r in racing_files]
    running = [
        subprocess.Popen(command, stdout=subprocess.PIPE)
        for command in commands
    ]
    results = [json.loads(p.communicate()[0]) for p in running]
    winners = [a for a in results if a['ok']]
    losers = [a for a in results if not a['ok']]
    assert len(winners) == 1
    assert [a['standing_version'] for a in losers] == [3]
    nodes.wait_until_in_force(3)
    hashes = {bundle_section(target)['hash'] for target in nodes.targets}
    assert hashes == {winners[0]['hash']}


def test_paused_and_replaced_nodes_catch_up(nodes, operators, tmp_path):
    # A node that was paused during a roll-out and one that starts later get
    # the bundle from their peers while the platform is down.
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
        # Nothing listens on this port, so the roll-out fails after the bundle
        # is signed and approved.
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
