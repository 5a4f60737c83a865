"""A target gets what the client sent, however it is sent, or nothing runs."""

import attrs
import hypothesis
import hypothesis.strategies as st
import pytest

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _request_reader

LIMITS = _http1.Limits(header_bytes=4000, body_bytes=4000)

#: Text of a request in a body, which must not be parsed as one.
INNER = b'POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'


@attrs.frozen
class Sent:
    """A request as a client means it, and its bytes."""

    method: bytes
    path: bytes
    body: bytes
    data: bytes


def _chunked(body, size):
    chunks = [
        b'%x\r\n%b\r\n' % (len(body[i : i + size]), body[i : i + size])
        for i in range(0, len(body), size)
    ]
    return b''.join(chunks) + b'0\r\n\r\n'


CONNECTION_FIELDS = [
    (),
    (b'Connection: keep-alive',),
    (b'Connection: Upgrade', b'Upgrade: h2c'),
    (
        b'Connection: Upgrade, HTTP2-Settings',
        b'Upgrade: h2c',
        b'HTTP2-Settings: AAMAAABkAAQAAP__',
    ),
    (b'Upgrade: websocket', b'Connection: x, upgrade', b'Upgrade: h2c'),
    (b'Connection: Upgrade',),
    (b'Upgrade: h2c',),
    (b'Connection: UPGRADE', b'Connection: close2', b'Upgrade: a/1, b/2'),
]


@st.composite
def requests(draw):
    method = draw(st.sampled_from([b'GET', b'POST', b'PUT', b'DELETE']))
    path = draw(st.sampled_from([b'/', b'/a/b?c=1', b'/%0a']))
    body = draw(
        st.sampled_from([b'', b'x', INNER, INNER * 3, b'\r\n\r\n', b'0\r\n'])
    )
    target = draw(st.sampled_from([path, b'http://h' + path]))
    lines = [b'%b %b HTTP/1.1' % (method, target), b'Host: h']
    lines += draw(st.sampled_from(CONNECTION_FIELDS))
    if draw(st.booleans()):
        lines.append(b'Expect: 100-continue')
    if draw(st.booleans()):
        lines.append(b'Content-Length: %d' % len(body))
        encoded = body
    elif body:
        lines.append(b'Transfer-Encoding: chunked')
        encoded = _chunked(body, draw(st.integers(1, 50)))
    else:
        encoded = b''
    head = b'\r\n'.join(draw(st.permutations(lines[1:])))
    data = lines[0] + b'\r\n' + head + b'\r\n\r\n' + encoded
    return Sent(method, path, body, data)


# Guards against orders that run with another body, and text of a body that is
# run as a request: a client offers another protocol in a header field.
@hypothesis.settings(max_examples=500)
@hypothesis.given(
    st.lists(requests(), min_size=1, max_size=4),
    st.lists(st.integers(1, 80), max_size=30),
)
def test_any_requests_in_any_packets_are_read_as_sent(sent, sizes):
    data = b''.join(request.data for request in sent)
    read = []
    reader = _request_reader.RequestReader(LIMITS, read.append, lambda: None)
    position = 0
    for size in [*sizes, len(data)]:
        if position < len(data):
            reader.feed(data[position : position + size])
            position += size
    assert [(m.method, m.target, bytes(m.body)) for m in read] == [
        (request.method, request.path, request.body) for request in sent
    ]
    for message in read:
        forwarded = _http1.forwarded_headers(message, frozenset())
        assert b'upgrade' not in forwarded
        assert message.values_by_name[b'host'] == b'h'
        assert message.keep_alive
        message.release()
    assert reader._budget.used_bytes == 0
    assert not reader.started


def _read(data):
    """Return the requests that are read, and the status of an error."""
    read = []
    reader = _request_reader.RequestReader(LIMITS, read.append)
    try:
        reader.feed(data)
    except _http1.MessageError as error:
        return read, error.status
    return read, None


# Guards against the same for requests that HTTP allows to refuse.
@pytest.mark.parametrize(
    'start, status',
    [
        (b'CONNECT h:80 HTTP/1.1', 405),
        (b'POST ftp://h/a HTTP/1.1', 400),
        (b'POST http:///a HTTP/1.1', 400),
        (b'POST http://u@h/a HTTP/1.1', 400),
        (b'POST h:80 HTTP/1.1', 400),
        (b'PRI * HTTP/2.0', 400),
    ],
)
@pytest.mark.parametrize(
    'field', [b'', b'Connection: Upgrade\r\nUpgrade: x\r\n']
)
def test_request_that_is_refused_runs_nothing(start, status, field):
    head = start + b'\r\nHost: h\r\n' + field
    body = b'Content-Length: %d\r\n\r\n' % len(INNER) + INNER
    assert _read(head + body) == ([], status)


def test_host_of_an_absolute_target_counts():
    (request,), status = _read(
        b'GET HTTP://Other:80?a=1 HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n'
    )
    assert status is None
    assert request.target == b'/?a=1'
    assert request.headers == [(b'host', b'Other:80'), (b'x', b'y')]


def test_fields_of_an_offer_are_not_forwarded():
    (request,), _ = _read(
        b'GET / HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\nA: b\r\n'
        b'Connection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: s\r\n\r\n'
    )
    assert (
        _http1.forwarded_headers(request, frozenset())
        == b'host: h\r\na: b\r\n'
    )
