"""The HTTP client sends once and never passes on part of an answer."""

import datetime
import ipaddress

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

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


@attrs.frozen
class Certificate:
    """A self-signed certificate of an IP number, and its key, in PEM."""

    certificate_file: str
    key_file: str

    def client_context(self):
        return http_client.client_tls_context(self.certificate_file)

    def server_context(self):
        return _web.server_tls_context(self.certificate_file, self.key_file)


def make_certificate(folder, ip='127.0.0.1', password=b''):
    """Write a new certificate and its key to a folder."""
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
    made = Certificate(str(folder / 'node.crt'), str(folder / 'node.key'))
    (folder / 'node.crt').write_bytes(certificate.public_bytes(pem))
    (folder / 'node.key').write_bytes(
        key.private_bytes(pem, key_format, encryption)
    )
    return made


@pytest.fixture(scope='session')
def certificate(tmp_path_factory):
    return make_certificate(tmp_path_factory.mktemp('certificate'))


@pytest.fixture(scope='session')
def other_certificate(tmp_path_factory):
    return make_certificate(tmp_path_factory.mktemp('other'))


class _Server:
    """Takes requests, counts them, and answers with fixed bytes."""

    def __init__(self, **tls):
        self.arrivals = 0
        self.answer = b''
        self.server = server.StreamServer(('127.0.0.1', 0), self._serve, **tls)
        self.server.start()

    def _serve(self, sock, address):
        while sock.recv(65536):
            self.arrivals += 1
            if self.answer:
                sock.sendall(self.answer)
            if not self.answer.endswith(b'whole'):
                break
        sock.close()


@pytest.fixture(params=['plain', 'tls'])
def client_context(request, certificate):
    """None, or the client's context; each test runs with both."""
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
def test_a_closed_connection_leaves_one_arrival(origin, client, method):
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', body=b'x', timeout_s=5)
    gevent.sleep(0.05)
    assert origin.arrivals == 1


@pytest.mark.parametrize('method', ['GET', 'PUT'])
def test_a_reused_connection_that_closes_leaves_one_arrival(
    origin, client, method
):
    origin.answer = HEAD % 5 + b'whole'
    assert client.request('GET', '/', timeout_s=5).body == b'whole'
    origin.answer = b''
    with pytest.raises(http_client.AnswerLost):
        client.request(method, '/', timeout_s=5)
    assert origin.arrivals == 2


@pytest.mark.parametrize('sent', [0, 3, 5000])
def test_a_short_answer_is_refused(origin, client, sent):
    origin.answer = HEAD % 10000 + b'x' * sent
    with pytest.raises(http_client.AnswerTruncated):
        client.request('GET', '/', timeout_s=5)


def test_an_oversized_answer_is_refused(origin, client):
    origin.answer = HEAD % (1 << 40)
    with pytest.raises(http_client.AnswerTruncated, match='allowed'):
        client.request('GET', '/', timeout_s=5)


def test_no_listener_means_not_sent(origin, client):
    origin.server.stop()
    with pytest.raises(http_client.ConnectFailed):
        client.request('POST', '/', body=b'x', timeout_s=5)


def test_a_silent_server_is_given_up(origin, client):
    origin.server.stop()
    silent = server.StreamServer(
        ('127.0.0.1', 0), lambda sock, address: gevent.sleep(30)
    )
    silent.start()
    client = http_client.Client('127.0.0.1', silent.server_port)
    with pytest.raises(http_client.AnswerLost):
        client.request('GET', '/', timeout_s=0.2)
    silent.stop(timeout=0)


def test_a_silent_tls_handshake_means_not_sent(certificate):
    silent = server.StreamServer(
        ('127.0.0.1', 0), lambda sock, address: gevent.sleep(30)
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
    """Contexts of a server and of a client that must not accept it."""
    if request.param == 'other authority':
        return certificate.server_context(), other_certificate.client_context()
    elsewhere = make_certificate(tmp_path, ip='127.0.0.2')
    return elsewhere.server_context(), elsewhere.client_context()


def test_an_unverified_server_is_sent_nothing(unverified):
    server_context, client_context = unverified
    origin = _Server(ssl_context=server_context)
    client = http_client.Client(
        '127.0.0.1', origin.server.server_port, tls_context=client_context
    )
    with pytest.raises(http_client.ConnectFailed, match='verify failed'):
        client.request('POST', '/', body=b'x', timeout_s=5)
    origin.server.stop()
    assert origin.arrivals == 0


def test_a_plain_server_is_sent_no_request(certificate):
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
def test_an_unusable_list_of_authorities_is_refused(tmp_path, content):
    if content is not None:
        (tmp_path / 'ca.crt').write_bytes(content)
    with pytest.raises(ValueError, match='ca.crt'):
        http_client.client_tls_context(tmp_path / 'ca.crt')
