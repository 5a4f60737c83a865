"""Operators' tokens and TLS at the node's listeners."""

import pytest

from benchmarks import _processes
from rosemarycrank import cli
from rosemarycrank import http_client
from rosemarycrank import keys
from rosemarycrank import node as node_package
from rosemarycrank import settings
from tests.cli import conftest

TOKEN = 'a' * 40
NEXT_TOKEN = 'b' * 40
CLUSTER_KEY = bytes(16)
TIMEOUT_S = 5.0

#: Requests that only operators may make: method and target.
OPERATORS_REQUESTS = [
    ('GET', '/dump'),
    ('POST', '/drain?stop=true'),
    ('POST', '/partners/valle-uno/leave'),
]

command = conftest.command


@pytest.fixture
def start(tmp_path):
    """A function that starts a node with changed settings."""
    started = []

    def start(**changed):
        (tmp_path / 'tokens').write_text(f'{TOKEN}\n\n{NEXT_TOKEN}\n')
        mapping = {
            'address': _processes.free_addresses(1)[0],
            'http_address': '127.0.0.1:0',
            'admin_address': '127.0.0.1:0',
            'failure_domain': 'escazu',
            'cluster_key_file': 'none',
            **changed,
        }
        checked = settings.build(settings.NodeSettings, mapping)
        process = node_package.Node(checked, CLUSTER_KEY, keys.TrustedKeys())
        process.posted = []
        process.post = process.posted.append
        process.start()
        started.append(process)
        return process

    yield start
    for process in started:
        process.close()


@pytest.fixture
def guarded(start, tmp_path):
    """A node that asks operators for a token."""
    return start(operator_token_file=str(tmp_path / 'tokens'))


def ask(address, method, target, token='', body=b'', **parameters):
    host, _, port = address.rpartition(':')
    client = http_client.Client(host, int(port), **parameters)
    headers = {'Content-Type': 'application/json'}
    if token:
        headers['Authorization'] = token
    try:
        return client.request(method, target, body, headers, TIMEOUT_S)
    finally:
        client.close()


@pytest.mark.parametrize(
    'shown',
    ['', TOKEN, f'Basic {TOKEN}', f'Bearer {TOKEN}a', 'Bearer ', 'Bearer é'],
)
@pytest.mark.parametrize('method, target', OPERATORS_REQUESTS)
def test_without_a_valid_token_nothing_is_done(guarded, method, target, shown):
    answer = ask(guarded.admin_address, method, target, shown)
    assert answer.status == 401
    assert answer.headers['www-authenticate'] == 'Bearer'
    assert b'operator token' in answer.body
    assert guarded.posted == []


@pytest.mark.parametrize('token', [TOKEN, NEXT_TOKEN])
@pytest.mark.parametrize('method, target', OPERATORS_REQUESTS)
def test_each_token_of_the_file_is_accepted(guarded, method, target, token):
    answer = ask(guarded.admin_address, method, target, f'Bearer {token}')
    assert answer.status == 200
    assert len(guarded.posted) == (method == 'POST')


@pytest.mark.parametrize(
    'method, target, body',
    [
        ('GET', '/health', b''),
        ('GET', '/metrics', b''),
        (
            'POST',
            '/upstream/announce',
            b'{"service": "cuotas", "address": "127.0.0.1:9"}',
        ),
        ('POST', '/upstream/withdraw', b''),
    ],
)
def test_monitoring_and_the_upstream_need_no_token(
    guarded, method, target, body
):
    answer = ask(guarded.admin_address, method, target, body=body)
    assert answer.status == 200


def test_no_token_file_asks_for_none(start):
    assert ask(start().admin_address, 'GET', '/dump').status == 200


@pytest.mark.parametrize(
    'content, said',
    [('', 'no operator token'), ('a' * 9, ':1:'), ('é' * 40, 'not ASCII')],
)
def test_a_malformed_token_file_is_refused(start, tmp_path, content, said):
    (tmp_path / 'bad').write_text(content)
    with pytest.raises(ValueError, match=said):
        start(operator_token_file=str(tmp_path / 'bad'))


@pytest.mark.parametrize(
    'line',
    [
        'node dump {}',
        'node status {}',
        'node drain {} --stop',
        'partner leave acme --node {}',
    ],
)
def test_commands_show_the_token(guarded, command, line):
    line = line.format(guarded.admin_address)
    result = command.run(line)
    assert result.exit_code == cli.ExitCode.REFUSED
    assert 'operator token' in result.output + result.stderr
    assert guarded.posted == []
    command.ok(line + ' --token-file {tokens}', tokens='tokens')


@pytest.mark.parametrize('line', ['node dump {}', 'partner leave a --node {}'])
def test_commands_refuse_an_unusable_token_file(guarded, command, line):
    line = line.format(guarded.admin_address) + ' --token-file {tokens}'
    command.fails(cli.ExitCode.REFUSED, line, tokens='none')
    assert guarded.posted == []
