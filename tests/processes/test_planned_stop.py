"""A real node is stopped while upstreams run longer than its grace period.

The test plays the supervisor, which kills the node at the end of the grace
period, and the upstreams, which never answer.
"""

import concurrent.futures
import http.client
import http.server
import threading
import time

import msgspec
import pytest

from benchmarks import _deployment
from rosemarycrank import results
from tests.processes import conftest

GRACE_S = 8.0
ANNOUNCE_PERIOD_S = 1.0
POLL_PERIOD_S = 0.05

#: Longest wait for an answer, in seconds. It is longer than the grace period
#: and shorter than the deadlines of the requests.
ANSWER_TIMEOUT_S = 30.0
DEADLINE_S = 120.0

#: Services of the example ``oficina`` whose nodes are called and stopped.
CALLED, STOPPING = 'cuotas', 'registro-socios'


class _Upstream:
    """Upstream that keeps the tokens of its requests and never answers."""

    def __init__(self, service, admin_address):
        self.service = service
        self.admin_address = admin_address
        self.tokens = []
        self._ended = threading.Event()
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), self._handler_class()
        )
        self._server.daemon_threads = True
        for function in (self._server.serve_forever, self._announce):
            threading.Thread(target=function, daemon=True).start()

    def close(self):
        """Stop the announcements and the server."""
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()

    def wait_for_requests(self, count):
        """Wait until a number of requests have arrived."""
        give_up_at = time.monotonic() + ANSWER_TIMEOUT_S
        while len(self.tokens) < count:
            assert time.monotonic() < give_up_at, self.tokens
            time.sleep(POLL_PERIOD_S)

    def _announce(self):
        host, port = self._server.server_address
        announcement = {
            'service': self.service,
            'address': f'{host}:{port}',
            'partner': 'valle-uno',
            'slots': 20,
        }
        while not self._ended.is_set():
            _try_to_announce(self.admin_address, announcement)
            self._ended.wait(ANNOUNCE_PERIOD_S)

    def _handler_class(self):
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                token = self.headers.get('Rosemarycrank-Token')
                if token is None:
                    self.send_error(404)
                    return
                upstream.tokens.append(token)
                upstream._ended.wait()

            do_POST = do_GET

            def log_message(self, *arguments):
                pass

        return Handler


def _try_to_announce(address, announcement):
    try:
        _send(address, 'POST', '/upstream/announce', announcement)
    except (OSError, http.client.HTTPException):
        # The node has ended.
        pass


def _send(address, method, path, content=None, headers=()):
    """Send a request over a new connection; return the response."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    headers = dict(headers)
    body = None
    if content is not None:
        headers['Content-Type'] = 'application/json'
        body = msgspec.json.encode(content)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
    finally:
        connection.close()
    return response


def _outcome(response):
    return results.Outcome(response.headers['Rosemarycrank-Outcome'])


@pytest.fixture
def bundle_path(tmp_path):
    """Bundle whose deadlines are longer than the grace period."""
    source = conftest.EXAMPLES / 'oficina.bundle.yaml'
    bundle = msgspec.yaml.decode(source.read_bytes())
    for request_class in bundle['classes'].values():
        request_class['deadline_s'] = DEADLINE_S
    path = tmp_path / 'slow.bundle.yaml'
    path.write_bytes(msgspec.yaml.encode(bundle))
    return path


@pytest.fixture
def targets(deploy, operators, bundle_path):
    """Node that is called and node that stops, each with its upstream."""
    deployment = deploy(
        *(
            _deployment.TargetPlan(
                service,
                'escazu',
                'valle-uno',
                node_settings={'grace_s': GRACE_S},
            )
            for service in (CALLED, STOPPING)
        ),
        trusted_keys_file=str(operators.trusted_keys_path),
    )
    deployment.start_platform()
    deployment.start_nodes()
    for target in deployment.targets:
        target.upstream = _Upstream(target.plan.service, target.admin_address)
    operators.roll_out(bundle_path, f'http://{deployment.platform_address}')
    deployment.wait_until_known()
    deployment.wait_until_in_force(1)
    yield deployment.targets
    for target in deployment.targets:
        target.upstream.close()


@pytest.fixture
def executor():
    executor = concurrent.futures.ThreadPoolExecutor()
    yield executor
    executor.shutdown(wait=False)


def _submit_requests(executor, node, path):
    """Send an idempotent and a paid request; return their futures."""
    key = f'key-{node.plan.service}'
    return [
        executor.submit(_send, node.http_address, method, path, None, headers)
        for method, headers in (
            ('GET', {}),
            ('POST', {'Idempotency-Key': key}),
        )
    ]


def _supervise(process):
    """Stop a process, kill it after the grace period; return its status."""
    process.terminate()
    status = process.wait(GRACE_S)
    if status is None:
        process.kill()
    return status


def _wait_until_stopping(target):
    state = ''
    while state != 'stopping':
        time.sleep(POLL_PERIOD_S)
        _, dump = _deployment.request(target.admin_address, 'GET', '/dump')
        state = dump['lifecycle']['state']


# Guards against requests that end without an answer because the node waits
# for what runs until the supervisor kills it.
def test_every_request_is_answered_before_the_supervisor_kills(
    targets, executor
):
    called, stopping = targets
    early = [
        *_submit_requests(executor, stopping, f'/call/{CALLED}/early'),
        *_submit_requests(executor, called, f'/call/{STOPPING}/early'),
    ]
    called.upstream.wait_for_requests(2)
    stopping.upstream.wait_for_requests(2)
    status = executor.submit(_supervise, stopping.node)
    _wait_until_stopping(stopping)
    call = executor.submit(
        _send,
        stopping.http_address,
        'GET',
        f'/call/{CALLED}/late',
        None,
        {'Rosemarycrank-Token': stopping.upstream.tokens[0]},
    )
    refused = _send(stopping.http_address, 'GET', f'/call/{CALLED}/refused')
    called.upstream.wait_for_requests(3)
    outcomes = [
        _outcome(future.result(ANSWER_TIMEOUT_S)) for future in [*early, call]
    ]
    assert outcomes == [results.Outcome.UNKNOWN] * 5
    assert refused.status == 503
    assert _outcome(refused) is results.Outcome.NOT_RUN
    assert int(refused.headers['Retry-After']) >= 1
    assert status.result(2 * GRACE_S) == 0
