"""The HTTP interface for clients with malformed and hostile input."""

from falcon import testing
import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import kernel
from rosemarycrank.node import _http
from rosemarycrank import results

MAX_BODY_BYTES = 1000


class FakeLedger:
    """Ledger that issues numbered keys and has no outcome for any key."""

    def issue(self, count):
        return [f'k{number}' for number in range(count)]

    def query(self, key, finish):
        finish(kernel.Answer(results.Result.KEY_INVALID))


class Harness:
    """The application with a fake kernel that answers immediately."""

    def __init__(self):
        self.requests = []
        self.answer = kernel.Answer(results.Result.OK, 200, {}, b'answer')
        self.application = _http.ClientApplication(
            self.post,
            lambda function: function(),
            FakeLedger(),
            MAX_BODY_BYTES,
        )
        self.client = testing.TestClient(self.application.wsgi)

    def post(self, request):
        self.requests.append(request)
        self.application.reply(kernel.Reply(request.request_id, self.answer))


@pytest.fixture
def harness():
    return Harness()


def result_of(response):
    return results.from_number(int(response.headers['rosemarycrank-result']))


def test_a_call_is_forwarded_and_answered(harness):
    response = harness.client.simulate_post(
        '/call/cuotas/renewals/7',
        query_string='year=2027',
        body=b'x',
        headers={'Idempotency-Key': 'k1', 'Rosemarycrank-Deadline-Ms': '250'},
    )
    request = harness.requests[0]
    assert response.content == b'answer'
    assert result_of(response) is results.Result.OK
    assert (request.service, request.path) == (
        'cuotas',
        '/renewals/7?year=2027',
    )
    assert (request.key, request.deadline_s) == ('k1', 0.25)


@pytest.mark.parametrize(
    'value', ['', 'x', '-1', '0', '1e3', '1_0', '5 5', '١', '9' * 30, 'nan']
)
def test_a_malformed_deadline_is_refused(harness, value):
    response = harness.client.simulate_get(
        '/call/s/', headers={'Rosemarycrank-Deadline-Ms': value}
    )
    assert result_of(response) is results.Result.BAD_DEADLINE
    assert harness.requests == []


def test_a_long_body_is_refused(harness):
    response = harness.client.simulate_post(
        '/call/s/', body=b'x' * (MAX_BODY_BYTES + 1)
    )
    assert result_of(response) is results.Result.BODY_TOO_LARGE


def test_a_short_body_is_refused(harness):
    response = harness.client.simulate_post(
        '/call/s/', body=b'x', headers={'Content-Length': '10'}
    )
    assert result_of(response) is results.Result.BODY_TRUNCATED


def test_refusals_state_when_to_retry(harness):
    harness.answer = kernel.Answer(results.Result.SHED, retry_after_s=0.25)
    response = harness.client.simulate_get('/call/s/')
    assert response.status_code == results.Result.SHED.http_status
    assert response.headers['retry-after'] == '1'
    assert response.headers['rosemarycrank-retry-after-ms'] == '250'
    assert response.headers['rosemarycrank-outcome'] == 'not-run'


@pytest.mark.parametrize('count', ['0', '-3', '1001', 'x'])
def test_a_malformed_count_of_keys_is_refused(harness, count):
    response = harness.client.simulate_post(
        '/keys', query_string=f'count={count}'
    )
    assert response.status_code == 400


def test_own_headers_of_clients_are_not_forwarded(harness):
    """A client must not set headers that only nodes may set."""
    harness.client.simulate_get(
        '/call/s/',
        headers={'Rosemarycrank-Request-Id': 'x', 'Connection': 'close'},
    )
    names = {name.lower() for name in harness.requests[0].headers}
    assert not names & {'rosemarycrank-request-id', 'connection'}


TEXT = strategies.text(
    strategies.characters(min_codepoint=32, max_codepoint=255), max_size=40
)


@hypothesis.given(
    method=strategies.sampled_from(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
    path=TEXT,
    key=TEXT,
    deadline=TEXT,
    token=TEXT,
    length=strategies.none() | strategies.integers(0, 2 * MAX_BODY_BYTES),
    body=strategies.binary(max_size=2 * MAX_BODY_BYTES),
)
@hypothesis.settings(max_examples=300)
def test_any_call_gets_a_numbered_answer(
    method, path, key, deadline, token, length, body
):
    """Whatever a client sends, it gets a result code and nothing is left.

    A request that was refused must not have reached the kernel.
    """
    harness = Harness()
    headers = {
        'Idempotency-Key': key,
        'Rosemarycrank-Deadline-Ms': deadline,
        'Rosemarycrank-Token': token,
    }
    if length is not None:
        headers['Content-Length'] = str(length)
    path = path.replace('?', '').replace('/', '')
    response = harness.client.simulate_request(
        method, f'/call/s/{path}', headers=headers, body=body
    )
    result = result_of(response)
    assert bool(harness.requests) == (result is results.Result.OK)
    assert harness.application.waiting_count() == 0
