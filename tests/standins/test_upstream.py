"""Tests of the upstream stand-in over HTTP."""

import gevent
import gevent.socket
import pytest

from rosemarycrank import http_client
from rosemarycrank import load
from rosemarycrank.standins import _settings

ALWAYS_RATE = 1.0
LARGE_SLOW_FACTOR = 1000.0


def _events_except_starts(upstream):
    """Return name and detail of the recorded events, starts left out."""
    return [
        (event.event, event.detail)
        for event in upstream.run_log.events
        if event.event != 'start'
    ]


def _call_in_background(client, *arguments, **headers):
    """Start a call in a greenlet; give the upstream time to receive it."""
    greenlet = gevent.spawn(client.call, *arguments, **headers)
    gevent.sleep(0.05)
    return greenlet


def test_answer_contains_the_digest_of_its_request(start_upstream):
    upstream, client = start_upstream(service='cuotas')
    value = {'nonce': 'n1', 'paid': True}
    status, answer = client.call(
        'POST', '/renewals/1', value, Rosemarycrank_Request_Id='r1'
    )
    body = b'{"nonce": "n1", "paid": true}'
    digest = load.request_digest('cuotas', 'POST', '/renewals/1', body)
    assert (status, answer['digest']) == (200, digest)
    start, end = upstream.run_log.events
    assert (start.nonce, start.request_id, start.paid) == ('n1', 'r1', True)
    assert (end.event, end.detail) == ('end', 'complete')


def test_full_queue_is_refused_as_not_run(start_upstream):
    upstream, client = start_upstream(slots=1, queue_limit=1)
    client.call('POST', '/control', {'slow_factor': 100})
    greenlets = [_call_in_background(client, 'GET', '/a') for _ in range(2)]
    answer = client.client.request('GET', '/b')
    assert answer.status == 503
    assert answer.headers['upstream-outcome'] == 'not-run'
    assert ('refused', 'queue is full') in _events_except_starts(upstream)
    assert [greenlet.get()[0] for greenlet in greenlets] == [200, 200]


def test_cancelled_while_it_runs(start_upstream):
    upstream, client = start_upstream()
    client.call('POST', '/control', {'slow_factor': LARGE_SLOW_FACTOR})
    greenlet = _call_in_background(
        client, 'GET', '/a', Rosemarycrank_Token='t'
    )
    assert client.call('GET', '/load')[1]['in_flight'] == 1
    assert client.call('DELETE', '/in-flight/t')[0] == 204
    assert greenlet.get()[0] == 499
    assert _events_except_starts(upstream) == [('end', 'cancelled')]
    assert client.call('DELETE', '/in-flight/t')[0] == 404


def test_deadline_ends_a_run(start_upstream):
    upstream, client = start_upstream()
    client.call('POST', '/control', {'slow_factor': LARGE_SLOW_FACTOR})
    header = {'Rosemarycrank_Deadline_Ms': '20'}
    assert client.call('GET', '/a', **header)[0] == 504
    assert _events_except_starts(upstream) == [('end', 'expired')]
    assert client.call('GET', '/a', Rosemarycrank_Deadline_Ms='x')[0] == 400


@pytest.mark.parametrize(
    'switch, error, event',
    [
        ('drop_rate', http_client.AnswerLost, 'end'),
        ('truncate_rate', http_client.AnswerTruncated, 'end'),
        ('drop_early_rate', http_client.AnswerLost, 'refused'),
    ],
)
def test_faults_that_a_switch_injects(start_upstream, switch, error, event):
    upstream, client = start_upstream()
    client.call('POST', '/control', {switch: ALWAYS_RATE})
    with pytest.raises(error):
        client.call('GET', '/a')
    assert [name for name, _ in _events_except_starts(upstream)] == [event]


def test_inflated_and_stale_reports(start_upstream):
    """The load report can be inflated and stale, the health report false."""
    _, client = start_upstream()
    client.call('POST', '/control', {'report_lag_s': 60.0, 'load_factor': 2})
    assert client.call('GET', '/load')[1]['in_flight'] == 0
    client.call(
        'POST',
        '/control',
        {'slow_factor': LARGE_SLOW_FACTOR, 'reported_healthy': False},
    )
    greenlet = _call_in_background(client, 'GET', '/a')
    assert client.call('GET', '/load')[1]['in_flight'] == 0
    client.call('POST', '/control', {'report_lag_s': 0.0})
    assert client.call('GET', '/load')[1]['in_flight'] == 2
    assert client.call('GET', '/health')[1] == {'healthy': False}
    greenlet.kill()


def test_unknown_switch_is_refused(start_upstream):
    _, client = start_upstream()
    status, answer = client.call('POST', '/control', {'slow': 2})
    assert status == 400
    assert 'slow_factor' in answer['description']


def test_cold_start_is_slow_at_first(start_upstream):
    upstream, _ = start_upstream(
        cold_start=_settings.ColdStart(factor=100, requests=2)
    )
    samples_s = [upstream.runner.service_times.sample(1.0) for _ in range(3)]
    assert min(samples_s[:2]) > 10 * samples_s[2]


def test_connections_over_the_limit_are_closed(start_upstream):
    upstream, _ = start_upstream(max_connections=1)
    port = upstream.server.server_port
    other = http_client.Client('127.0.0.1', port)
    with gevent.socket.create_connection(('127.0.0.1', port)) as held:
        held.sendall(b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n')
        assert held.recv(4096).startswith(b'HTTP/1.1 ')
        with pytest.raises(http_client.AnswerLost):
            other.request('GET', '/b')
    assert upstream.server.connections_refused == 1


def test_draining_upstream_withdraws_and_refuses(start_upstream, fake_node):
    _, client = start_upstream(
        service='cuotas', node_admin=fake_node.address, heartbeat_s=0.05
    )
    fake_node.wait_for_requests('/upstream/announce', 2)
    client.call('POST', '/control', {'drain': True})
    assert fake_node.paths[-1] == '/upstream/withdraw'
    assert client.call('GET', '/a')[0] == 503


def test_nested_calls_copy_the_token(start_upstream, fake_node):
    """Nested calls carry the token of the request that makes them.

    The node uses the token to find the request that a nested call serves.
    """
    leaf, _ = start_upstream(service='leaf')
    fake_node.upstreams_by_service['leaf'] = leaf.server.bound_address
    _, client = start_upstream(service='top', node_http=fake_node.address)
    calls = [{'service': 'leaf', 'method': 'POST', 'paid': True}] * 2
    value = {'nonce': 'n', 'call': calls}
    status, _ = client.call('POST', '/a', value, Rosemarycrank_Token='t')
    assert status == 200
    starts = [e for e in leaf.run_log.events if e.event == 'start']
    assert sorted(e.nonce for e in starts) == ['n.0', 'n.1']
    tokens = {head.get('ROSEMARYCRANK-TOKEN') for head in fake_node.headers}
    assert tokens == {'t'}


@pytest.mark.parametrize('paid, prefix', [(True, 'issued'), (False, 'key')])
def test_issued_keys_only_in_paid_requests(
    start_upstream, fake_node, paid, prefix
):
    """Only nested calls of paid requests use keys issued by the node.

    An unpaid request may run twice, and its second run would send a
    different issued key, so that the nested paid call would run twice too.
    """
    leaf, _ = start_upstream(service='leaf')
    fake_node.upstreams_by_service['leaf'] = leaf.server.bound_address
    _, client = start_upstream(
        service='top',
        node_http=fake_node.address,
        nested_keys=load.Keys.NODE,
    )
    calls = [{'service': 'leaf', 'method': 'POST', 'paid': True}]
    value = {'nonce': 'n', 'paid': paid, 'call': calls}
    assert client.call('POST', '/a', value)[0] == 200
    (headers,) = fake_node.headers
    assert headers['IDEMPOTENCY-KEY'].startswith(prefix)


def test_swapped_nested_answer_is_detected(start_upstream, fake_node):
    """An answer to another request is detected by its digest.

    The fake node forwards the nested call to an upstream of another service.
    """
    leaf, _ = start_upstream(service='other')
    fake_node.upstreams_by_service['leaf'] = leaf.server.bound_address
    top, client = start_upstream(service='top', node_http=fake_node.address)
    value = {'nonce': 'n', 'call': [{'service': 'leaf'}]}
    assert client.call('POST', '/a', value)[0] == 502
    assert ('call', 'wrong-answer') in _events_except_starts(top)
