"""The HTTP client sends once and never returns part of an answer.

A repeated request would run twice. An error that reports a request as not
sent, although it was, would let the caller repeat it.
"""

import contextlib
import datetime
import ipaddress
import socket
import struct

import attrs
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
import cryptography.hazmat.primitives.serialization as serialization
from cryptography import x509
import gevent
from gevent import server
import pytest

from rosemarycrank import http_client
from rosemarycrank.node import _web

END = b'Content-Length: 0\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


@attrs.frozen
class Certificate:
    """Files in PEM with a self-signed certificate of an IP address and key."""

    certificate_file: str
    key_file: str

    def client_context(self):
        return http_client.client_tls_context(self.certificate_file)

    def server_context(self):
        return _web.server_tls_context(self.certificate_file, self.key_file)


def make_certificate(folder, ip='127.0.0.1', password=b''):
    """Write a new self-signed certificate and its key to a folder."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, 'test')])
    names = [x509.IPAddress(ipaddress.ip_address(ip))]
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    encryption = serialization.NoEncryption()
    if password:
        encryption = serialization.BestAvailableEncryption(password)
    pem = serialization.Encoding.PEM
    key_format = serialization.PrivateFormat.PKCS8
    pem_files = Certificate(str(folder / 'node.crt'), str(folder / 'node.key'))
    (folder / 'node.crt').write_bytes(certificate.public_bytes(pem))
    (folder / 'node.key').write_bytes(
        key.private_bytes(pem, key_format, encryption)
    )
    return pem_files


@pytest.fixture(scope='session')
def certificate(tmp_path_factory):
    return make_certificate(tmp_path_factory.mktemp('certificate'))


@pytest.fixture(scope='session')
def other_certificate(tmp_path_factory):
    return make_certificate(tmp_path_factory.mktemp('other'))


class _Server:
    """Counts requests and answers them with the bytes in ``answer``.

    The connection stays open only after an answer that ends in ``whole``. An
    empty answer closes it at once.
    """

    def __init__(self, **tls):
        self.request_count = 0
        self.answer = b''
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve, **tls)
        self.server.start()

    def _serve(self, connection, address):
        while connection.recv(65536):
            self.request_count += 1
            if self.answer:
                connection.sendall(self.answer)
            if not self.answer.endswith(b'whole'):
                break
        connection.close()


@pytest.fixture(params=['plain', 'tls'])
def client_context(request, certificate):
    """None, or a TLS context of the client; each test runs with both."""
    return certificate.client_context() if request.param == 'tls' else None


@pytest.fixture
def origin(client_context, certificate):
    tls = {}
    if client_context is not None:
        tls = {'ssl_context': certificate.server_context()}
    origin = _Server(**tls)
    yield origin
    origin.server.stop()


@pytest.fixture
def client(origin, client_context):
    client = http_client.Client(
        '127.0.0.1', origin.server.server_port, tls_context=client_context
    )
    yield client
    client.close()


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
def test_request_is_sent_once_if_the_connection_closes(origin, client, method):
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', body=b'x', timeout_s=5)
    gevent.sleep(0.05)
    assert origin.request_count == 1


@pytest.mark.parametrize('method', ['GET', 'PUT'])
def test_request_is_sent_once_if_a_reused_connection_closes(
    origin, client, method
):
    origin.answer = HEAD % 5 + b'whole'
    assert client.request('GET', '/', timeout_s=5).body == b'whole'
    origin.answer = b''
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', timeout_s=5)
    assert origin.request_count == 2


@pytest.mark.parametrize('sent', [0, 3, 5000])
def test_truncated_answer_is_an_error(origin, client, sent):
    origin.answer = HEAD % 10000 + b'x' * sent
    with pytest.raises(http_client.AnswerTruncated):
        client.request('GET', '/', timeout_s=5)


def test_oversized_answer_is_an_error(origin, client):
    origin.answer = HEAD % (1 << 40)
    with pytest.raises(http_client.AnswerTruncated, match='allowed'):
        client.request('GET', '/', timeout_s=5)


def test_refused_connection_means_not_sent(origin, client):
    origin.server.stop()
    with pytest.raises(http_client.ConnectFailed):
        client.request('POST', '/', body=b'x', timeout_s=5)


def test_request_to_a_silent_server_times_out(origin, client):
    origin.server.stop()
    silent = server.StreamServer(
        ('127.0.0.1', 0), lambda connection, address: gevent.sleep(30)
    )
    silent.start()
    client = http_client.Client('127.0.0.1', silent.server_port)
    with pytest.raises(http_client.AnswerLost):
        client.request('GET', '/', timeout_s=0.2)
    silent.stop(timeout=0)


def test_timeout_of_the_tls_handshake_means_not_sent(certificate):
    silent = server.StreamServer(
        ('127.0.0.1', 0), lambda connection, address: gevent.sleep(30)
    )
    silent.start()
    client = http_client.Client(
        '127.0.0.1',
        silent.server_port,
        tls_context=certificate.client_context(),
    )
    with pytest.raises(http_client.ConnectFailed):
        client.request('GET', '/', timeout_s=0.2)
    silent.stop(timeout=0)


@pytest.fixture(params=['other authority', 'other address'])
def unverified(request, tmp_path, certificate, other_certificate):
    """TLS contexts of a server, and of a client that must not accept it."""
    if request.param == 'other authority':
        return certificate.server_context(), other_certificate.client_context()
    certificate_of_other_address = make_certificate(tmp_path, ip='127.0.0.2')
    return (
        certificate_of_other_address.server_context(),
        certificate_of_other_address.client_context(),
    )


def test_nothing_is_sent_to_an_unverified_server(unverified):
    server_context, client_context = unverified
    origin = _Server(ssl_context=server_context)
    client = http_client.Client(
        '127.0.0.1', origin.server.server_port, tls_context=client_context
    )
    with pytest.raises(http_client.ConnectFailed, match='verify failed'):
        client.request('POST', '/', body=b'x', timeout_s=5)
    origin.server.stop()
    assert origin.request_count == 0


def test_no_request_is_sent_to_a_server_without_tls(certificate):
    origin = _Server()
    origin.answer = HEAD % 0
    client = http_client.Client(
        '127.0.0.1',
        origin.server.server_port,
        tls_context=certificate.client_context(),
    )
    with pytest.raises(http_client.ConnectFailed):
        client.request('POST', '/', body=b'x', timeout_s=5)
    origin.server.stop()


@pytest.mark.parametrize('content', [None, b'no certificate'])
def test_unusable_list_of_authorities_is_an_error(tmp_path, content):
    if content is not None:
        (tmp_path / 'ca.crt').write_bytes(content)
    with pytest.raises(ValueError, match='ca.crt'):
        http_client.client_tls_context(tmp_path / 'ca.crt')


def _answer_twice(is_in_use):
    """Return a server that sends its first answer a second time."""
    served = []

    def serve(connection, address):
        served.append(address)
        if len(served) == 1:
            connection.recv(65536)
            connection.sendall(HEAD % 5 + b'first')
            if is_in_use:
                connection.recv(65536)
            else:
                gevent.sleep(0.02)
            connection.sendall(HEAD % 5 + b'first')
        if connection.recv(65536):
            connection.sendall(HEAD % 6 + b'second')
        connection.close()

    origin = server.StreamServer(('127.0.0.1', 0), serve)
    origin.start()
    return origin


# Guards against an answer that reaches another caller: the server sends a
# second copy of it on a connection that is idle, or in use again.
@pytest.mark.parametrize('is_in_use', [False, True])
def test_second_copy_of_an_answer_reaches_no_other_caller(is_in_use):
    origin = _answer_twice(is_in_use)
    client = http_client.Client('127.0.0.1', origin.server_port)
    assert client.request('GET', '/1', timeout_s=5).body == b'first'
    gevent.sleep(0.05)
    assert client.request('GET', '/2', timeout_s=5).body == b'second'
    client.close()
    origin.stop()


@pytest.mark.parametrize(
    'returned, connection_count', [(None, 2), ('t', 1), ('T2', 2)]
)
def test_connection_is_used_again_after_an_answer_that_names_its_request(
    returned, connection_count
):
    peers = []

    def serve(connection, address):
        peers.append(address)
        while connection.recv(65536):
            field = f'Token: {returned}\r\n' if returned else ''
            head = f'HTTP/1.1 200 OK\r\n{field}Content-Length: 2\r\n\r\n'
            connection.sendall(head.encode() + b'ok')

    origin = server.StreamServer(('127.0.0.1', 0), serve)
    origin.start()
    client = http_client.Client(
        '127.0.0.1', origin.server_port, token_header='Token'
    )
    for _ in range(2):
        with contextlib.suppress(http_client.AnswerSurplus):
            client.request('GET', '/', headers={'Token': 't'}, timeout_s=5)
    client.close()
    origin.stop()
    assert len(peers) == connection_count


# Guards against callers who are told "not run" for a request that runs: the
# server sends an earlier refusal on a connection in use again.
@pytest.mark.parametrize('earlier', ['Token: t1\r\n', ''])
def test_earlier_answer_is_not_that_to_a_later_request(earlier):
    def serve(connection, _address):
        connection.recv(65536)
        connection.sendall(b'HTTP/1.1 200 OK\r\nToken: t1\r\n' + END)
        connection.recv(65536)
        head = 'HTTP/1.1 503 Full\r\nUpstream-Outcome: not-run\r\n' + earlier
        connection.sendall(head.encode() + END)

    origin = server.StreamServer(('127.0.0.1', 0), serve)
    origin.start()
    client = http_client.Client(
        '127.0.0.1', origin.server_port, token_header='Token'
    )
    client.request('GET', '/', headers={'Token': 't1'}, timeout_s=5)
    with pytest.raises(http_client.AnswerSurplus):
        client.request('GET', '/', headers={'Token': 't2'}, timeout_s=5)
    client.close()
    origin.stop()


# Guards against callers who are told "not run" for a request that runs: the
# beginning of a copy of an earlier refusal is parsed together with the answer.
def test_part_of_an_earlier_answer_is_not_that_to_a_later_request():
    copy = (
        b'HTTP/1.1 503 Full\r\nUpstream-Outcome: not-run\r\n'
        b'Token: t1\r\n' + END
    )
    later = b'HTTP/1.1 200 OK\r\nToken: t2\r\n' + END
    cuts = iter(range(1, len(copy)))

    def serve(connection, _address):
        connection.recv(65536)
        connection.sendall(b'HTTP/1.1 200 OK\r\nToken: t1\r\n' + END)
        connection.recv(65536)
        connection.sendall(copy[: next(cuts)] + later)
        connection.close()

    origin = server.StreamServer(('127.0.0.1', 0), serve)
    origin.start()
    for _ in range(1, len(copy)):
        client = http_client.Client(
            '127.0.0.1', origin.server_port, token_header='Token'
        )
        client.request('GET', '/', headers={'Token': 't1'}, timeout_s=5)
        with pytest.raises(http_client.HttpError):
            client.request('GET', '/', headers={'Token': 't2'}, timeout_s=5)
        client.close()
    origin.stop()


def test_answer_that_names_another_request_is_an_error(origin, client):
    client.token_header = 'Token'
    origin.answer = (
        b'HTTP/1.1 200 OK\r\nToken: other\r\nContent-Length: 2\r\n\r\nok'
    )
    with pytest.raises(http_client.AnswerSurplus):
        client.request('GET', '/', headers={'Token': 't'}, timeout_s=5)


# Guards against a 200 with an empty or short body: the server stops within the
# head of its answer, or its body, and closes.
@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nToken: t\r\nContent-Length: 5\r\n\r\nhello',
        b'HTTP/1.1 200 OK\r\nToken: t\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nhello\r\n0\r\n\r\n',
    ],
)
def test_answer_that_ends_early_is_an_error(origin, client, answer):
    for length in range(len(answer)):
        origin.answer = answer[:length]
        with pytest.raises(http_client.HttpError):
            client.request('GET', '/', timeout_s=5)


# Guards against an answer to which the library has joined the next one.
def test_second_copy_that_comes_with_the_answer_is_an_error(origin, client):
    origin.answer = (HEAD % 5 + b'whole') * 2
    with pytest.raises(http_client.AnswerSurplus):
        client.request('GET', '/', timeout_s=5)


# Guards against an answer whose head is none of HTTP, or whose body is in a
# coding that the caller does not know.
@pytest.mark.parametrize(
    'head',
    [
        *(f'HTTP/1.1 {s} X\r\n' for s in ('000', '099', '600', '999')),
        'HTTP/2.0 200 OK\r\n',
        'HTTP/1.1 200 O\x01K\r\n',
        *(
            f'HTTP/1.1 200 OK\r\n{name}: v\r\n'
            for name in ('A b', 'A ', ' A', 'A\t', 'A\x00', 'A\x7f', '', 'A(')
        ),
        *(f'HTTP/1.1 200 OK\r\nA: v{byte}\r\n' for byte in '\x00\x01\x7f'),
    ],
)
def test_answer_with_an_invalid_head_is_an_error(origin, client, head):
    origin.answer = head.encode() + b'Content-Length: 2\r\n\r\nok'
    with pytest.raises(http_client.HttpError):
        client.request('GET', '/', timeout_s=5)


@pytest.mark.parametrize(
    'coding',
    ['gzip, chunked', 'gzip', 'chunked\r\nTransfer-Encoding: chunked'],
)
def test_answer_in_another_transfer_coding_is_an_error(origin, client, coding):
    head = f'HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n'
    origin.answer = head.encode() + b'2\r\nok\r\n0\r\n\r\n'
    with pytest.raises(http_client.HttpError):
        client.request('GET', '/', timeout_s=5)


#: More than the buffers between client and server take.
UPLOAD = b'x' * 16_000_000
PART = b'HTTP/1.1 200 OK\r\n\r\npart'


def _answer_early(certificate, is_tls, end):
    """Start a server that answers before it has read the request."""

    def serve(connection, _address):
        connection.recv(4096)
        connection.sendall(PART)
        end(connection)

    tls = {'ssl_context': certificate.server_context()} if is_tls else {}
    origin = server.StreamServer(('127.0.0.1', 0), serve, **tls)
    origin.start()
    return origin


def _reset(connection):
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    connection.close()


# Guards against a part of an answer that callers get as a complete one: the
# server resets the connection while the request is being written.
@pytest.mark.parametrize(
    'end', [_reset, lambda connection: connection.close()]
)
def test_early_answer_that_is_reset_is_an_error(
    certificate, client_context, end
):
    origin = _answer_early(certificate, client_context is not None, end)
    client = http_client.Client(
        '127.0.0.1', origin.server_port, tls_context=client_context
    )
    with pytest.raises(http_client.HttpError):
        client.request('POST', '/', body=UPLOAD, timeout_s=5)
    client.close()
    origin.stop()


def test_early_answer_without_length_that_ends_in_order_counts(certificate):
    def end(connection):
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65536):
            pass
        connection.close()

    origin = _answer_early(certificate, False, end)
    client = http_client.Client('127.0.0.1', origin.server_port)
    answer = client.request('POST', '/', body=UPLOAD, timeout_s=5)
    assert (answer.status, answer.body) == (200, b'part')
    client.close()
    origin.stop()
