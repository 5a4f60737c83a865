"""Parsing and forwarding of HTTP messages."""

import itertools
import tracemalloc
import weakref

import hypothesis
import hypothesis.strategies as st
import pytest

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _request_reader
from rosemarycrank.dataplane import _response_reader


@pytest.fixture
def requests():
    return []


@pytest.fixture
def reader(requests):
    limits = _http1.Limits(header_bytes=300, body_bytes=20)
    return _request_reader.RequestReader(limits, requests.append)


@pytest.fixture
def responses():
    return []


@pytest.fixture
def response_reader(responses):
    return _response_reader.ResponseReader(responses.append)


def test_request_received_byte_by_byte(reader, requests):
    text = (
        b'POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    )
    for index in range(len(text)):
        reader.feed(text[index : index + 1])
    (request,) = requests
    assert (request.method, request.target) == (b'POST', b'/a/b?c=1')
    assert request.body == b'abcde'
    assert request.values_by_name[b'x-y'] == b'z'
    assert request.keep_alive


def test_pipelined_requests_are_all_parsed(reader, requests):
    template = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
    reader.feed(template % 1 + template % 2 + template % 3)
    assert [r.target for r in requests] == [b'/1', b'/2', b'/3']


def test_trailers_are_not_header_fields(reader, requests):
    reader.feed(
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\nHost: other\r\n\r\n'
    )
    assert requests[0].values_by_name[b'host'] == b'h'


def test_connection_close_disables_keep_alive(reader, requests):
    reader.feed(b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
    assert not requests[0].keep_alive


@pytest.mark.parametrize(
    'text, status',
    [
        (b'GARBAGE\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n', 413),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n15\r\n' + b'x' * 21,
            413,
        ),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 400, 431),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 400 + b'\r\n\r\n', 431),
    ],
)
def test_invalid_request_is_rejected(reader, requests, text, status):
    with pytest.raises(_http1.MessageError) as error:
        reader.feed(text)
    assert error.value.status == status
    assert requests == []


def test_expect_100_continue_is_reported(requests):
    continues = []
    reader = _request_reader.RequestReader(
        _http1.Limits(), requests.append, lambda: continues.append(True)
    )
    reader.feed(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    assert continues == [True]
    reader.feed(b'ab')
    assert requests[0].body == b'ab'


def test_hop_by_hop_headers_are_not_forwarded():
    message = _http1.Message(
        headers=[
            (b'connection', b'close, X-Hop'),
            (b'x-hop', b'1'),
            (b'te', b'trailers'),
            (b'x-own', b'2'),
            (b'x-drop', b'3'),
        ],
        values_by_name={b'connection': b'close, X-Hop'},
    )
    assert (
        _http1.forwarded_headers(message, frozenset([b'x-drop']))
        == b'x-own: 2\r\n'
    )


def test_response_with_length(response_reader, responses):
    response_reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab')
    assert responses == []
    response_reader.feed(b'c')
    assert responses[0].body == b'abc'
    assert responses[0].keep_alive


def test_truncated_response_is_not_complete(response_reader, responses):
    response_reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab')
    assert not response_reader.end_of_stream()
    assert responses == []


def test_response_without_length_ends_at_connection_close(
    response_reader, responses
):
    response_reader.feed(b'HTTP/1.1 200 OK\r\n\r\nab')
    assert responses == []
    assert response_reader.end_of_stream()
    assert responses[0].body == b'ab'
    assert not responses[0].keep_alive


def test_interim_response_is_skipped(response_reader, responses):
    response_reader.feed(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n'
    )
    assert [r.status for r in responses] == [204]


def test_response_to_head_has_no_body(response_reader, responses):
    response_reader.expects_no_body = True
    response_reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n')
    assert responses[0].body == b''


def test_invalid_response_is_rejected(response_reader):
    with pytest.raises(_http1.MessageError):
        response_reader.feed(b'\x00\x01garbage\r\n\r\n')


# Guards against a node that runs out of memory, as an answer has no end.
@pytest.mark.parametrize(
    'start, endless, limit',
    [
        (b'HTTP/1.1 200 O', b'k', _response_reader.MAX_RESPONSE_HEADER_BYTES),
        (
            b'HTTP/1.1 200 OK\r\n',
            b'a: b\r\n',
            _response_reader.MAX_RESPONSE_HEADER_BYTES,
        ),
        (
            b'',
            b'HTTP/1.1 103 E\r\n\r\n',
            _response_reader.MAX_RESPONSE_HEADER_BYTES,
        ),
        (
            b'HTTP/1.1 200 OK\r\n\r\n',
            b'b',
            _response_reader.MAX_OPEN_RESPONSE_BYTES,
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            b'1\r\nb\r\n',
            _response_reader.MAX_OPEN_RESPONSE_BYTES,
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;',
            b'e',
            _response_reader.MAX_OPEN_RESPONSE_BYTES,
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
            b't: v\r\n',
            _response_reader.MAX_OPEN_RESPONSE_BYTES,
        ),
    ],
)
def test_response_without_end_is_rejected(
    response_reader, responses, start, endless, limit
):
    block = endless * (65536 // len(endless))
    response_reader.feed(start)
    fed = len(start)
    with pytest.raises(_http1.MessageError):
        while fed <= 2 * limit:
            response_reader.feed(block)
            fed += len(block)
    assert fed <= limit + len(block)
    assert responses == []


def test_announced_body_that_is_too_large_is_rejected_at_once(response_reader):
    length = _response_reader.MAX_RESPONSE_BYTES + 1
    with pytest.raises(_http1.MessageError):
        response_reader.feed(
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length
        )


def _budget(limit_bytes):
    """Return the only budget of an account."""
    account = _memory.MemoryAccount(limit_bytes / _memory.BUDGET_SHARE)
    return account.budget('messages')


def test_unfinished_responses_share_a_budget():
    budget = _budget(10000)
    readers = [
        _response_reader.ResponseReader(lambda _response: None, budget)
        for _ in range(3)
    ]
    for reader in readers:
        reader.feed(b'HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n')
    readers[0].feed(b'b' * 8000)
    with pytest.raises(_http1.MessageError):
        readers[1].feed(b'b' * 8000)
    readers[1].release()
    readers[0].feed(b'b' * 1000)
    readers[2].feed(b'b' * 9000)
    assert budget.used_bytes == 0


#: What a reader takes beside the memory that the budget counts, in bytes.
READER_BYTES = 4096


# Guards against a node over its memory, which is killed with the requests of
# all clients: the budget counted bytes on the wire, of which each small chunk
# or field takes many times as many in memory.
@pytest.mark.parametrize(
    'start, pieces',
    [
        (b'HTTP/1.1 200 OK\r\n', (b'a: b\r\n',)),
        (
            b'HTTP/1.1 200 OK\r\n',
            [b'a%d: b\r\n' % number for number in range(20000)],
        ),
        (b'HTTP/1.1 200 OK\r\na: ', (b'b' * 64,)),
        (b'', (b'HTTP/1.1 103 E\r\na: b\r\n\r\n',)),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            (b'1\r\nb\r\n',),
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
            (b'40\r\n' + b'b' * 64 + b'\r\n',),
        ),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
            (b't: v\r\n',),
        ),
        (b'HTTP/1.1 200 OK\r\n\r\n', (b'b',)),
    ],
    ids=range(8),
)
def test_budget_covers_the_memory_of_unfinished_responses(start, pieces):
    budget = _budget(1 << 40)
    readers = [
        _response_reader.ResponseReader(lambda _response: None, budget)
        for _ in range(8)
    ]
    pieces = itertools.cycle(pieces)
    size = 0
    tracemalloc.start()
    for reader in readers:
        reader.feed(start)
    while size < _response_reader.MAX_RESPONSE_HEADER_BYTES // 2:
        data = b''.join(itertools.islice(pieces, 100))
        size += len(data)
        for reader in readers:
            reader.feed(data)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= budget.used_bytes + len(readers) * READER_BYTES
    for reader in readers:
        reader.release()
    assert budget.used_bytes == 0


#: Heads that lack their end: many short fields, one long one, or no line.
UNFINISHED_HEADS = [
    b'GET / HTTP/1.1\r\nHost: h\r\n'
    + b''.join(b'x%d: %d\r\n' % (n, n) for n in range(700)),
    b'GET / HTTP/1.1\r\nHost: h\r\na: ' + b'b' * 12_000,
    b'GET /' + b'a' * 12_000,
    b'GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n'
    + b'a: b\r\n' * 2000,
]


# Guards against a node over its memory, which is killed with the requests of
# all clients: a field of an unfinished head took many times its size.
@pytest.mark.parametrize('head', UNFINISHED_HEADS, ids=range(4))
@pytest.mark.parametrize('part_bytes', [100, 5000, 65536])
def test_unfinished_head_takes_the_memory_of_its_text(head, part_bytes):
    budget = _budget(1 << 40)
    limits = _http1.Limits()
    readers = [
        _request_reader.RequestReader(
            limits, lambda message: message.release(), budget=budget
        )
        for _ in range(8)
    ]
    tracemalloc.start()
    for reader in readers:
        for position in range(0, len(head), part_bytes):
            reader.feed(head[position : position + part_bytes])
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held <= budget.used_bytes
    assert budget.used_bytes <= 1.2 * len(head) * len(readers)
    for reader in readers:
        reader.release()
    assert budget.used_bytes == 0


# Guards against the same: the body of the last request was kept for as long as
# its connection was open.
def test_reader_keeps_nothing_of_a_complete_request():
    bodies = []
    reader = _request_reader.RequestReader(
        _http1.Limits(), lambda message: bodies.append(message.body)
    )
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n'
    reader.feed(head + b'b' * 4000)
    reader.feed(b'b' * 5000)
    body = weakref.ref(bodies.pop())
    assert body() is None


def _read_in_parts(data, sizes):
    """Return what a reader makes of data that arrive in parts."""
    messages = []
    continues = []
    limits = _http1.Limits(header_bytes=200, body_bytes=100)
    reader = _request_reader.RequestReader(
        limits, messages.append, lambda: continues.append(len(messages))
    )
    status = None
    position = 0
    try:
        for size in (*sizes, len(data)):
            reader.feed(data[position : position + size])
            position += size
    except _http1.MessageError as error:
        status = error.status
    read = [
        (m.method, m.target, m.headers, bytes(m.body), m.keep_alive)
        for m in messages
    ]
    state = status or (reader.started, reader.in_body)
    return read, continues, state


STREAM_PIECES = [
    b'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
    b'GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
    b'GET / HTTP/1.0\r\nHost: h\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab\r\n\r\ncd\n',
    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
    b'Content-Length: 4\r\n\r\n\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'5\r\n\r\n\r\na\r\n',
    b'2;x=y\r\n\r\n\r\n',
    b'0\r\n\r\n',
    b'0\r\na: b\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n'
    b'Upgrade: h2c\r\n\r\n',
    b'POST / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
    b'\r\n',
    b'\r\n\r\n',
    b'\n\n',
    b'GET / HTTP/1.1\r\nHost: h\r\n',
    b'x: y\r\n',
    b'x: ' + b'y' * 150 + b'\r\n',
    b'GET / HTTP/1.1\r\n\r\n',
    b'GET / HTTP/1.1\nHost: h\n\n',
    b'CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'GARBAGE',
    b'\x16\x03\x01\x00',
    b'G',
    b'\r',
    b'\n',
]


# Guards against requests that are lost, changed or refused because of where
# the packets that carry them end.
@hypothesis.settings(max_examples=1500)
@hypothesis.given(
    st.lists(st.sampled_from(STREAM_PIECES), max_size=8).map(b''.join),
    st.lists(st.integers(1, 90), max_size=40),
)
def test_any_split_of_a_stream_is_read_as_in_one_piece(data, sizes):
    assert _read_in_parts(data, sizes) == _read_in_parts(data, ())


@pytest.mark.parametrize('piece', STREAM_PIECES, ids=range(len(STREAM_PIECES)))
def test_stream_in_single_bytes_is_read_as_in_one_piece(piece):
    data = STREAM_PIECES[0] + piece + STREAM_PIECES[0]
    assert _read_in_parts(data, [1] * len(data)) == _read_in_parts(data, ())


# Guards against an answer to a client that has sent an empty line only.
def test_empty_lines_begin_no_request(reader, requests):
    reader.feed(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    reader.feed(b'\r\n')
    assert not reader.started
    with pytest.raises(_http1.MessageError) as error:
        for _ in range(400):
            reader.feed(b'\r\n')
    assert error.value.status == 431
