"""Commands of operators, their JSON output and their exit codes."""

import json
import pathlib
import shutil

import pytest

import rosemarycrank
from rosemarycrank import bundles
from rosemarycrank import cli
from rosemarycrank import kernel
from rosemarycrank import keys
from rosemarycrank import results

ROOT = pathlib.Path(__file__).parents[2]
SIGN = 'bundle sign {file} --operator ana --key {key}'
APPROVE = 'bundle approve {file} --operator berta --key {key}'
ROLL_OUT = 'bundle roll-out {file} --trusted-keys {trusted} --platform '
REVOKE = 'key revoke ana {} --trusted-keys {{trusted}}'


def sign_and_approve(command, file='b.yaml'):
    signed = command.ok(SIGN, file=file, key='ana.key')['file']
    command.ok(APPROVE, file=signed, key='berta.key')
    return signed


def write_next_version(command, version, comment=''):
    """Write a copy of the bundle with a changed version and policy."""
    text = (command.folder / 'b.yaml').read_text()
    changed = text.replace('version: 1', f'version: {version}')
    changed = changed.replace('max_depth: 8', f'max_depth: {version}')
    (command.folder / 'next.yaml').write_text(changed + comment)
    return 'next.yaml'


def test_version(command):
    assert command.run('--version').stdout.strip() == rosemarycrank.__version__


def test_wrong_usage(command):
    assert command.run('bundle roll').exit_code == cli.ExitCode.USAGE


def test_page_lists_the_exit_codes():
    """The documentation lists each exit code with its meaning."""
    page = (ROOT / 'docs' / 'COMMANDS.md').read_text()
    assert cli.exit_code_table() in page


def test_result_codes(command):
    printed = command.run('result-codes --markdown').stdout
    assert printed == results.markdown_table()
    assert len(command.ok('result-codes')['codes']) == len(results.Result)


def test_example_settings_are_valid(command):
    answer = command.ok(
        'settings check {file}', file=ROOT / 'examples/node.yaml'
    )
    assert answer['address'] == '127.0.0.1:7100'


def test_all_problems_of_settings_are_reported_at_once(command):
    """A wrong type and an unknown plug-in are found by different checks."""
    text = (ROOT / 'examples/node.yaml').read_text()
    broken = text.replace('escazu', '[]') + 'admission: magic\n'
    (command.folder / 'node.yaml').write_text(broken)
    answer = command.fails(1, 'settings check {file}', file='node.yaml')
    problems = {p['key']: p for p in answer['problems']}
    assert set(problems) == {'failure_domain', 'admission'}
    assert 'adaptive' in problems['admission']['allowed']
    assert problems['admission']['line'] == len(broken.splitlines())


def test_text_of_problems_names_line_key_value_and_allowed(command):
    shutil.copy(ROOT / 'examples/oficina.bundle.yaml', command.folder / 'b')
    path = command.folder / 'b'
    path.write_text(path.read_text().replace('rank: 3', 'rank: x'))
    result = command.run('bundle check {file}', file='b')
    assert result.exit_code == cli.ExitCode.REFUSED
    line = path.read_text().splitlines().index('    rank: x') + 1
    assert result.stderr.strip() == (
        f"{path}:{line}: classes.back-issue.rank: got 'x', "
        'allowed an integer from 0 to 255'
    )


def test_sign_approve_and_roll_out(command, operators, tables, platform_url):
    signed = sign_and_approve(command)
    assert command.ok(f'bundle status --platform {platform_url}') == {
        'ok': True,
        'version': 0,
    }
    rolled_out = command.ok(
        ROLL_OUT + platform_url, file=signed, trusted='trusted.yaml'
    )
    assert rolled_out['changed']
    status = command.ok(
        f'bundle status --platform {platform_url} --trusted-keys {{trusted}}',
        trusted='trusted.yaml',
    )
    assert status['hash'] == rolled_out['hash']
    assert (status['author'], status['approver']) == ('ana', 'berta')
    diff = command.ok(
        f'bundle diff {{file}} --platform {platform_url}',
        file=write_next_version(command, 2),
    )
    assert [change['key'] for change in diff['changes']] == ['policy']
    assert diff['changes'][0]['after']['max_depth'] == 2


def test_racing_operators(command, operators, tables, platform_url):
    """Two operators roll out different bundles with one version.

    The second is refused; its error reports the version in force.
    """
    first = sign_and_approve(command)
    competing = []
    for depth in (5, 6):
        write_next_version(command, depth)
        path = command.folder / f'competing{depth}.yaml'
        text = (command.folder / 'next.yaml').read_text()
        path.write_text(text.replace(f'version: {depth}', 'version: 2'))
        competing.append(sign_and_approve(command, path.name))
    roll_out = ROLL_OUT + platform_url
    command.ok(roll_out, file=first, trusted='trusted.yaml')
    command.ok(roll_out, file=competing[0], trusted='trusted.yaml')
    answer = command.fails(
        1, roll_out, file=competing[1], trusted='trusted.yaml'
    )
    assert answer['standing_version'] == 2


def test_lost_race_has_a_separate_exit_code(command, operators, monkeypatch):
    """A race lost at the platform differs from a refused bundle."""

    def lose_race(*arguments):
        signed = arguments[1]
        raise bundles.LostRaceError('version 1 stands', signed.head)

    monkeypatch.setattr(bundles, 'roll_out', lose_race)
    answer = command.fails(
        4,
        ROLL_OUT + 'http://127.0.0.1:9',
        file=sign_and_approve(command),
        trusted='trusted.yaml',
    )
    assert answer['standing_version'] == 1


def test_self_approval_is_refused(command, operators):
    signed = command.ok(SIGN, file='b.yaml', key='ana.key')['file']
    answer = command.fails(
        1,
        'bundle approve {file} --operator ana --key {key}',
        file=signed,
        key='ana.key',
    )
    assert 'another operator' in answer['error']


def test_unapproved_bundle_is_not_rolled_out(
    command, operators, tables, platform_url
):
    """The bundle must be refused before anything is written."""
    signed = command.ok(SIGN, file='b.yaml', key='ana.key')['file']
    command.fails(
        1, ROLL_OUT + platform_url, file=signed, trusted='trusted.yaml'
    )
    assert tables.writes == 0


def test_platform_that_does_not_answer(command, operators):
    command.fails(3, 'bundle status --platform http://127.0.0.1:9')


@pytest.mark.parametrize('file', ['none.json', 'b.yaml'])
def test_missing_and_unsigned_files_are_refused(command, operators, file):
    command.fails(1, APPROVE, file=file, key='berta.key')


def test_key_rotation_and_revocation(command, operators):
    """A rotated key stays trusted until it is revoked."""
    trusted = command.folder / 'trusted.yaml'
    listing = command.ok('key list --trusted-keys {t}', t='trusted.yaml')
    old_key = listing['operators']['ana'][0]['public_key']
    command.ok(
        'key rotate ana --key {key} --trusted-keys {trusted}',
        key='ana2.key',
        trusted='trusted.yaml',
    )
    assert keys.load(trusted).trusts('ana', old_key)
    command.ok(REVOKE.format(old_key), trusted='trusted.yaml')
    reloaded = keys.load(trusted)
    assert not reloaded.trusts('ana', old_key)
    new_key = keys.PrivateKey.read(command.folder / 'ana2.key')
    assert reloaded.trusts('ana', new_key.public_key)


@pytest.mark.parametrize(
    ('line', 'key_file'),
    [
        ('key create ana --key {key}', 'new.key'),
        ('key create carla --key {key}', 'ana.key'),
        ('key create car/la --key {key}', 'new.key'),
        ('key rotate nobody --key {key}', 'new.key'),
    ],
)
def test_refused_key_commands_change_nothing(
    command, operators, line, key_file
):
    """A refused command leaves the list unchanged and adds no key file."""
    before = (command.folder / 'trusted.yaml').read_text()
    command.fails(
        1,
        line + ' --trusted-keys {trusted}',
        key=key_file,
        trusted='trusted.yaml',
    )
    assert (command.folder / 'trusted.yaml').read_text() == before
    assert not (command.folder / 'new.key').exists()


def test_unknown_key_cannot_be_revoked(command, operators):
    command.fails(1, REVOKE.format('00' * 32), trusted='trusted.yaml')


def test_node_commands(command, node, admin_address):
    status = command.ok(f'node status {admin_address}')
    assert status['bundle_version'] == 3
    assert command.ok(f'node dump {admin_address}')['dump'] == node.dump()
    command.ok(f'node drain {admin_address} --stop')
    assert node.events == [kernel.DrainRequested(stop=True)]


def test_partner_leave_tries_every_node(command, node, admin_address):
    """The command continues after a node that does not answer."""
    answer = command.fails(
        3,
        f'partner leave acme --node 127.0.0.1:9 --node {admin_address}',
    )
    assert answer['told'] == [admin_address]
    assert list(answer['errors']) == ['127.0.0.1:9']
    assert node.events == [kernel.PartnerLeaveRequested('acme')]


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:', ':80'])
def test_malformed_address_is_refused(command, address):
    command.fails(1, f'node dump {address}')


def test_node_that_does_not_answer(command):
    result = command.run('node dump 127.0.0.1:9')
    assert result.exit_code == cli.ExitCode.UNREACHABLE
    assert result.stderr.startswith('unreachable: 127.0.0.1:9')


def test_text_output_is_not_json(command, operators):
    printed = command.run('bundle check {file}', file='b.yaml').stdout
    assert 'valid bundle, oficina version 1' in printed
    with pytest.raises(ValueError):
        json.loads(printed)
