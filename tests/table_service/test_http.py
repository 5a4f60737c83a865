"""Operations over HTTP: requests, results and errors.

A write that is repeated, or that is reported as without effect although the
platform executed it, would break the conditional writes of the callers.
"""

import json
import socket

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from rosemarycrank import table_service

READ = table_service.TableRead('keys', 'a/b')
WRITE = table_service.TableWrite('keys', 'a/b', {'x': 1}, 0, 'w1')
REPLACE = table_service.TableWrite('keys', 'a/b', {'x': 1}, 4, 'w1')
PUT = table_service.ObjectPut('closing', b'body')
BODY = json.dumps({'value': {'x': 2}, 'write_id': 'w0'}).encode()


def make_answer(status, body=b'', headers=''):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
    return f'{head}{headers}\r\n'.encode() + body


@pytest.mark.parametrize('operation', [READ, WRITE, PUT], ids=repr)
def test_request_is_sent_once_if_the_connection_closes(
    scripted, client, operation
):
    with pytest.raises(table_service.PlatformError):
        client.execute(operation)
    gevent.sleep(0.05)
    assert len(scripted.requests) == 1


@pytest.mark.parametrize('operation', [READ, WRITE, PUT], ids=repr)
def test_request_is_sent_once_if_a_reused_connection_closes(
    scripted, client, operation
):
    scripted.answers = [make_answer(200, b'', 'ETag: "1"\r\n')]
    client.execute(table_service.ObjectGet('warm'))
    with pytest.raises(table_service.PlatformError):
        client.execute(operation)
    gevent.sleep(0.05)
    assert len(scripted.requests) == 2


def test_read_of_a_row(scripted, client):
    scripted.answers = [make_answer(200, BODY, 'ETag: "3"\r\n')]
    assert client.execute(READ) == table_service.Row('a/b', {'x': 2}, 3, 'w0')
    assert scripted.requests[0].startswith(b'GET /tables/keys/a%2Fb ')


def test_read_of_a_missing_row(scripted, client):
    scripted.answers = [make_answer(404)]
    assert client.execute(READ) is None


@pytest.mark.parametrize(
    'write, header',
    [(WRITE, b'If-None-Match: *'), (REPLACE, b'If-Match: "4"')],
)
def test_write_sends_its_precondition(scripted, client, write, header):
    scripted.answers = [make_answer(200, BODY, 'ETag: "5"\r\n')]
    result = client.execute(write)
    assert result.applied
    assert result.row.version == write.expected_version + 1
    assert header in scripted.requests[0]


def test_refused_write_returns_the_current_row(scripted, client):
    scripted.answers = [make_answer(412, BODY, 'ETag: "7"\r\n')]
    expected = table_service.Row('a/b', {'x': 2}, 7, 'w0')
    assert client.execute(WRITE) == table_service.WriteResult(False, expected)


def test_list(scripted, client):
    row = {'key': 'k', 'value': {}, 'version': 2, 'write_id': 'w'}
    scripted.answers = [make_answer(200, json.dumps({'rows': [row]}).encode())]
    listed = client.execute(table_service.TableList('nodes', 'a', 5))
    assert listed == [table_service.Row('k', {}, 2, 'w')]
    assert b'/tables/nodes?prefix=a&limit=5' in scripted.requests[0]


# Guards against a table that cannot be listed as one of its rows is odd.
@pytest.mark.parametrize(
    'odd',
    [
        3,
        None,
        {'key': 'j', 'value': [], 'version': 2, 'write_id': 'w'},
        {'key': 'j', 'value': {}, 'version': 0, 'write_id': 'w'},
        {'key': 'j', 'value': {}, 'version': 'x', 'write_id': 'w'},
        {'key': 3, 'value': {}, 'version': 2, 'write_id': 'w'},
    ],
)
def test_odd_row_is_left_out_of_a_list(scripted, client, odd):
    row = {'key': 'k', 'value': {}, 'version': 2, 'write_id': 'w'}
    body = json.dumps({'rows': [odd, row]}).encode()
    scripted.answers = [make_answer(200, body)]
    listed = client.execute(table_service.TableList('nodes', 'a', 5))
    assert listed == [table_service.Row('k', {}, 2, 'w')]


def test_answer_that_is_nested_too_deeply_is_an_error(scripted, client):
    body = b'{"rows": [], "x": ' + b'[' * 100_000
    scripted.answers = [make_answer(200, body)]
    with pytest.raises(table_service.PlatformUnavailable):
        client.execute(table_service.TableList('nodes', 'a', 5))


def test_objects(scripted, client):
    scripted.answers = [
        make_answer(201),
        make_answer(200, b'body'),
        make_answer(404),
    ]
    assert client.execute(PUT) is None
    assert client.execute(table_service.ObjectGet('closing')) == b'body'
    assert client.execute(table_service.ObjectGet('closing')) is None


@pytest.mark.parametrize(
    'answer',
    [
        None,
        make_answer(500),
        make_answer(503),
        b'',
        b'nonsense\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab',
    ],
)
@pytest.mark.parametrize('write', [WRITE, PUT], ids=repr)
def test_write_without_complete_answer_may_have_taken_effect(
    scripted, client, answer, write
):
    scripted.answers = [answer]
    with pytest.raises(table_service.PlatformAnswerLost):
        client.execute(write)


@pytest.mark.parametrize('status', [400, 403, 413, 429])
def test_rejected_write_did_not_take_effect(scripted, client, status):
    scripted.answers = [make_answer(status)]
    with pytest.raises(table_service.PlatformUnavailable):
        client.execute(WRITE)


@pytest.mark.parametrize('operation', [READ, WRITE, PUT], ids=repr)
def test_refused_connection_did_not_take_effect(operation):
    with socket.socket() as reserved:
        reserved.bind(('127.0.0.1', 0))
        port = reserved.getsockname()[1]
        client = table_service.HttpPlatform(f'http://127.0.0.1:{port}', 1.0)
        with pytest.raises(table_service.PlatformUnavailable):
            client.execute(operation)


def test_truncated_read_is_an_error(scripted, client):
    scripted.answers = [b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab']
    scripted.answers.append(None)
    with pytest.raises(table_service.PlatformUnavailable):
        client.execute(table_service.ObjectGet('a'))


@pytest.mark.parametrize('headers', ['', f'X-Long: {"a" * 5000}\r\n'])
def test_answer_size_is_bounded(scripted, headers):
    client = table_service.HttpPlatform(
        scripted.url, 1.0, max_answer_bytes=4000
    )
    body = b'' if headers else b'a' * 5000
    scripted.answers = [make_answer(200, body, headers)]
    with pytest.raises(table_service.PlatformUnavailable, match='TooLarge'):
        client.execute(table_service.ObjectGet('a'))


@pytest.mark.parametrize('url', ['https://a:1', 'http://a', 'a:1', ''])
def test_other_urls_are_refused(url):
    with pytest.raises(ValueError, match='url'):
        table_service.HttpPlatform(url)


LENGTH = b'Content-Length: %d' % len(BODY)
LONG_TAG = b'ETag: "' + b'9' * 5000 + b'"'
HEADERS = st.lists(
    st.sampled_from(
        [
            b'ETag: "1"',
            LONG_TAG,
            b'ETag: \xff',
            b'Content-Length: 3',
            b'Content-Length: -1',
            b'Content-Length: x',
            b'Transfer-Encoding: chunked',
            b'Connection: close',
            b': ',
        ]
    ),
    max_size=4,
)
CONTENTS = st.sampled_from(
    [
        b'',
        BODY,
        b'null',
        b'[]',
        b'{"rows": [{}]}',
        b'{"value": 1, "write_id": null}',
        b'\xff\xfe',
        b'3\r\nabc\r\n0\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n\r\n',
    ]
)


@hypothesis.settings(
    max_examples=150,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    operation=st.sampled_from(
        [READ, WRITE, PUT, table_service.TableList('keys')]
    ),
    status=st.sampled_from([b'200', b'204', b'100', b'304', b'412', b'999']),
    headers=HEADERS,
    content=CONTENTS,
)
@hypothesis.example(READ, b'200', [b'ETag: "1"', b'ETag: "2"', LENGTH], BODY)
@hypothesis.example(READ, b'200', [LONG_TAG, LENGTH], BODY)
def test_any_answer_is_a_result_or_a_typed_error(
    scripted, operation, status, headers, content
):
    head = b'\r\n'.join([b'HTTP/1.1 ' + status + b' X', *headers])
    scripted.answers[:] = [head + b'\r\n\r\n' + content, None]
    client = table_service.HttpPlatform(scripted.url, timeout_s=0.02)
    with gevent.Timeout(10):
        try:
            client.execute(operation)
        except table_service.PlatformError:
            pass
        finally:
            client.close()
