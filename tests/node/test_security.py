"""Operator tokens and TLS at the node's listeners."""

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

#: Method and target of the requests that only operators may send.
OPERATOR_REQUESTS = [
    ('GET', '/dump'),
    ('POST', '/drain?stop=true'),
    ('POST', '/partners/valle-uno/leave'),
]

command = conftest.command
certificate = test_http_client.certificate
other_certificate = test_http_client.other_certificate


@pytest.fixture
def start(tmp_path):
    """A function that starts a node with some settings changed.

    The events posted to its kernel are recorded instead of handled.
    """
    started_nodes = []

    def start(**changed_settings):
        (tmp_path / 'tokens').write_text(f'{TOKEN}\n\n{NEXT_TOKEN}\n')
        values = {
            'address': _processes.free_addresses(1)[0],
            'http_address': '127.0.0.1:0',
            'admin_address': '127.0.0.1:0',
            'failure_domain': 'escazu',
            'cluster_key_file': 'none',
            **changed_settings,
        }
        checked = settings.build(settings.NodeSettings, values)
        node = node_package.Node(checked, CLUSTER_KEY, keys.TrustedKeys())
        node.posted_events = []
        node.post = node.posted_events.append
        node.start()
        started_nodes.append(node)
        return node

    yield start
    for node in started_nodes:
        node.close()


@pytest.fixture
def token_node(start, tmp_path):
    """A node that requires a token from operators."""
    return start(operator_token_file=str(tmp_path / 'tokens'))


def send_request(
    address, method, target, authorization='', body=b'', **parameters
):
    """Send one request on a new connection, and return the response."""
    client = http_client.Client.for_address(address, **parameters)
    headers = {'Content-Type': 'application/json'}
    if authorization:
        headers['Authorization'] = authorization
    try:
        return client.request(method, target, body, headers, TIMEOUT_S)
    finally:
        client.close()


@pytest.mark.parametrize(
    'credentials',
    ['', TOKEN, f'Basic {TOKEN}', f'Bearer {TOKEN}a', 'Bearer ', 'Bearer é'],
)
@pytest.mark.parametrize('method, target', OPERATOR_REQUESTS)
def test_request_without_a_valid_token_is_refused(
    token_node, method, target, credentials
):
    response = send_request(
        token_node.admin_address, method, target, credentials
    )
    assert response.status == 401
    assert response.headers['www-authenticate'] == 'Bearer'
    assert b'operator token' in response.body
    assert token_node.posted_events == []


@pytest.mark.parametrize('token', [TOKEN, NEXT_TOKEN])
@pytest.mark.parametrize('method, target', OPERATOR_REQUESTS)
def test_each_token_of_the_file_is_accepted(token_node, method, target, token):
    response = send_request(
        token_node.admin_address, method, target, f'Bearer {token}'
    )
    assert response.status == 200
    assert len(token_node.posted_events) == (method == 'POST')


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
    token_node, method, target, body
):
    response = send_request(
        token_node.admin_address, method, target, body=body
    )
    assert response.status == 200


def test_no_token_is_required_without_a_token_file(start):
    assert send_request(start().admin_address, 'GET', '/dump').status == 200


@pytest.mark.parametrize(
    'content, expected_error',
    [('', 'no operator token'), ('a' * 9, ':1:'), ('é' * 40, 'not ASCII')],
)
def test_a_malformed_token_file_is_refused(
    start, tmp_path, content, expected_error
):
    (tmp_path / 'bad').write_text(content)
    with pytest.raises(ValueError, match=expected_error):
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
def test_commands_send_the_token(token_node, command, line):
    line = line.format(token_node.admin_address)
    result = command.run(line)
    assert result.exit_code == cli.ExitCode.REFUSED
    assert 'operator token' in result.output + result.stderr
    assert token_node.posted_events == []
    command.ok(line + ' --token-file {tokens}', tokens='tokens')


@pytest.mark.parametrize('line', ['node dump {}', 'partner leave a --node {}'])
def test_commands_refuse_an_unusable_token_file(token_node, command, line):
    line = line.format(token_node.admin_address) + ' --token-file {tokens}'
    command.fails(cli.ExitCode.REFUSED, line, tokens='none')
    assert token_node.posted_events == []


@pytest.fixture
def serve(certificate):
    """A function that serves the application of a harness over TLS."""
    started_servers = []

    def serve(harness, max_connections=8):
        server = _web.Server(
            '127.0.0.1:0',
            harness.application.wsgi,
            max_connections,
            certificate.server_context(),
        )
        server.start()
        started_servers.append(server)
        return server, f'127.0.0.1:{server.server_port}'

    yield serve
    for server in started_servers:
        server.stop(timeout=0)


def wait_until(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.01)


def test_a_call_over_tls_is_answered_completely(serve, certificate):
    harness = test_http.Harness()
    body = b'x' * test_http.MAX_BODY_BYTES
    large_body = bytes(range(256)) * 4096
    harness.answer = kernel.Answer(results.Result.OK, 200, {}, large_body)
    _, address = serve(harness)
    context = certificate.client_context()
    response = send_request(
        address, 'POST', '/call/cuotas/', body=body, tls_context=context
    )
    assert harness.requests[0].body == body
    assert (response.status, response.body) == (200, large_body)


def test_a_plain_call_to_a_tls_port_is_refused(serve, certificate):
    harness = test_http.Harness()
    server, address = serve(harness)
    with pytest.raises(http_client.HttpError):
        send_request(address, 'GET', '/call/cuotas/')
    wait_until(lambda: server.pool.free_count() == 8)
    assert server.failed_handshakes_ == 1
    assert harness.requests == []
    context = certificate.client_context()
    assert (
        send_request(address, 'GET', '/call/s/', tls_context=context).status
        == 200
    )


def test_silent_peers_do_not_hold_connections(serve, certificate, monkeypatch):
    """A peer that sends no handshake loses its connection.

    Otherwise a few such peers would occupy all connections of the server.
    """
    monkeypatch.setattr(_web, 'HANDSHAKE_TIMEOUT_S', 0.05)
    server, address = serve(test_http.Harness(), max_connections=1)
    silent_peer = socket.create_connection(('127.0.0.1', server.server_port))
    wait_until(lambda: server.pool.free_count() == 0)
    context = certificate.client_context()
    response = send_request(
        address,
        'GET',
        '/call/s/',
        tls_context=context,
        connect_timeout_s=TIMEOUT_S,
    )
    silent_peer.close()
    assert response.status == 200
    assert server.failed_handshakes_ == 1


@pytest.fixture
def tls_node(start, certificate):
    """A node that serves TLS."""
    return start(
        tls_certificate_file=certificate.certificate_file,
        tls_key_file=certificate.key_file,
    )


def test_both_listeners_of_a_node_accept_only_tls(tls_node, certificate):
    context = certificate.client_context()
    for address, target in (
        (tls_node.http_address, '/call/cuotas/'),
        (tls_node.admin_address, '/dump'),
    ):
        assert send_request(address, 'GET', target, tls_context=context).status
        with pytest.raises(http_client.HttpError):
            send_request(address, 'GET', target)
    dump = send_request(
        tls_node.admin_address, 'GET', '/dump', tls_context=context
    )
    assert b'"failed_handshakes": 2' in dump.body


def test_commands_reach_a_node_over_tls(
    tls_node, command, certificate, other_certificate, tmp_path
):
    line = f'node dump {tls_node.admin_address}'
    command.ok(f'{line} --ca-file {certificate.certificate_file}')
    command.fails(cli.ExitCode.UNREACHABLE, line)
    output = command.fails(
        cli.ExitCode.UNREACHABLE,
        f'{line} --ca-file {other_certificate.certificate_file}',
    )
    assert 'verify failed' in output['error']
    command.fails(cli.ExitCode.REFUSED, f'{line} --ca-file {tmp_path}/none')


@pytest.mark.parametrize(
    'name, value',
    [('tls_certificate_file', 'node.crt'), ('tls_key_file', 'node.key')],
)
def test_one_tls_setting_without_the_other_is_refused(command, name, value):
    """The command and the node refuse the settings with the same error."""
    path = command.folder / 'node.yaml'
    text = (conftest.EXAMPLES / 'node.yaml').read_text() + f'{name}: {value}\n'
    path.write_text(text)
    expected_error = (
        f"{path}:{len(text.splitlines())}: {name}: got '{value}' alone, "
        'allowed tls_certificate_file and tls_key_file together, or neither'
    )
    checked = command.run('settings check {file}', file='node.yaml')
    assert checked.exit_code == cli.ExitCode.REFUSED
    assert checked.stderr.strip() == expected_error
    result = testing.CliRunner().invoke(
        node_command.application, ['--settings', str(path)]
    )
    assert result.exit_code == node_command.EXIT_REFUSED
    assert result.stderr.strip() == expected_error


def test_unusable_certificates_are_refused(
    start, certificate, other_certificate, tmp_path
):
    encrypted_key = test_http_client.make_certificate(
        tmp_path, password=b'secret'
    )
    for certificate_file, key_file in (
        (certificate.certificate_file, other_certificate.key_file),
        (encrypted_key.certificate_file, encrypted_key.key_file),
        (certificate.certificate_file, str(tmp_path / 'none')),
        ('', certificate.key_file),
    ):
        with pytest.raises(ValueError, match='allowed a certificate'):
            start(tls_certificate_file=certificate_file, tls_key_file=key_file)
