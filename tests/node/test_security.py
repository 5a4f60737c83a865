"""Operators' tokens and TLS at the node's listeners."""

import socket

import gevent
import pytest
from typer import testing

from benchmarks import _processes
from rosemarycrank import cli
from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank import keys
from rosemarycrank import node as node_package
from rosemarycrank.node import __main__ as node_command
from rosemarycrank.node import _web
from rosemarycrank import results
from rosemarycrank import settings
from tests.cli import conftest
from tests.node import test_http
from tests import test_http_client

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
certificate = test_http_client.certificate
other_certificate = test_http_client.other_certificate


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


@pytest.fixture
def serve(certificate):
    """A function that serves the clients' application over TLS."""
    started = []

    def serve(harness, max_connections=8):
        server = _web.Server(
            '127.0.0.1:0',
            harness.application.wsgi,
            max_connections,
            certificate.server_context(),
        )
        server.start()
        started.append(server)
        return server, f'127.0.0.1:{server.server_port}'

    yield serve
    for server in started:
        server.stop(timeout=0)


def wait_until(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.01)


def test_a_call_over_tls_comes_back_whole(serve, certificate):
    harness = test_http.Harness()
    body = b'x' * test_http.MAX_BODY_BYTES
    large = bytes(range(256)) * 4096
    harness.answer = kernel.Answer(results.Result.OK, 200, {}, large)
    _, address = serve(harness)
    context = certificate.client_context()
    answer = ask(
        address, 'POST', '/call/cuotas/', body=body, tls_context=context
    )
    assert harness.requests[0].body == body
    assert (answer.status, answer.body) == (200, large)


def test_a_plain_call_to_a_tls_port_is_refused(serve, certificate):
    harness = test_http.Harness()
    server, address = serve(harness)
    with pytest.raises(http_client.HttpError):
        ask(address, 'GET', '/call/cuotas/')
    wait_until(lambda: server.pool.free_count() == 8)
    assert server.failed_handshakes_ == 1
    assert harness.requests == []
    context = certificate.client_context()
    assert ask(address, 'GET', '/call/s/', tls_context=context).status == 200


def test_silent_peers_do_not_hold_connections(serve, certificate, monkeypatch):
    monkeypatch.setattr(_web, 'HANDSHAKE_TIMEOUT_S', 0.05)
    server, address = serve(test_http.Harness(), max_connections=1)
    silent = socket.create_connection(('127.0.0.1', server.server_port))
    wait_until(lambda: server.pool.free_count() == 0)
    context = certificate.client_context()
    answer = ask(
        address,
        'GET',
        '/call/s/',
        tls_context=context,
        connect_timeout_s=TIMEOUT_S,
    )
    silent.close()
    assert answer.status == 200
    assert server.failed_handshakes_ == 1


@pytest.fixture
def encrypted(start, certificate):
    """A node that serves TLS."""
    return start(
        tls_certificate_file=certificate.certificate_file,
        tls_key_file=certificate.key_file,
    )


def test_both_listeners_of_a_node_take_tls_alone(encrypted, certificate):
    context = certificate.client_context()
    for address, target in (
        (encrypted.http_address, '/call/cuotas/'),
        (encrypted.admin_address, '/dump'),
    ):
        assert ask(address, 'GET', target, tls_context=context).status
        with pytest.raises(http_client.HttpError):
            ask(address, 'GET', target)
    dump = ask(encrypted.admin_address, 'GET', '/dump', tls_context=context)
    assert b'"failed_handshakes": 2' in dump.body


def test_commands_reach_a_node_over_tls(
    encrypted, command, certificate, other_certificate, tmp_path
):
    line = f'node dump {encrypted.admin_address}'
    command.ok(f'{line} --ca-file {certificate.certificate_file}')
    command.fails(cli.ExitCode.UNREACHABLE, line)
    answer = command.fails(
        cli.ExitCode.UNREACHABLE,
        f'{line} --ca-file {other_certificate.certificate_file}',
    )
    assert 'verify failed' in answer['error']
    command.fails(cli.ExitCode.REFUSED, f'{line} --ca-file {tmp_path}/none')


@pytest.mark.parametrize(
    'name, value',
    [('tls_certificate_file', 'node.crt'), ('tls_key_file', 'node.key')],
)
def test_half_of_the_tls_settings_is_refused(command, name, value):
    path = command.folder / 'node.yaml'
    text = (conftest.EXAMPLES / 'node.yaml').read_text() + f'{name}: {value}\n'
    path.write_text(text)
    said = (
        f"{path}:{len(text.splitlines())}: {name}: got '{value}' alone, "
        'allowed tls_certificate_file and tls_key_file together, or neither'
    )
    checked = command.run('settings check {file}', file='node.yaml')
    assert checked.exit_code == cli.ExitCode.REFUSED
    assert checked.stderr.strip() == said
    ended = testing.CliRunner().invoke(
        node_command.application, ['--settings', str(path)]
    )
    assert ended.exit_code == node_command.EXIT_REFUSED
    assert ended.stderr.strip() == said


def test_unusable_certificates_are_refused(
    start, certificate, other_certificate, tmp_path
):
    encrypted = test_http_client.make_certificate(tmp_path, password=b'secret')
    for certificate_file, key_file in (
        (certificate.certificate_file, other_certificate.key_file),
        (encrypted.certificate_file, encrypted.key_file),
        (certificate.certificate_file, str(tmp_path / 'none')),
        ('', certificate.key_file),
    ):
        with pytest.raises(ValueError, match='allowed a certificate'):
            start(tls_certificate_file=certificate_file, tls_key_file=key_file)
