"""Heads of responses, by the grammar of RFC 9110 and RFC 9112."""

import re

import hypothesis
import hypothesis.strategies as st
import pytest

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _response_reader

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
TEXT = re.compile(rb'[\t \x21-\x7e\x80-\xff]*')
PROTOCOLS = [b'HTTP/1.1', b'HTTP/1.0']
OTHER_PROTOCOLS = [
    b'HTTP/2.0',
    b'HTTP/0.9',
    b'HTTP/1.2',
    b'RTSP/1.0',
    b'ICE/1.0',
    b'http/1.1',
    b'\r\nHTTP/1.1',
    b' HTTP/1.1',
    b'',
]
LENGTH = b'Content-Length: 2\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
IN_CHUNKS = b'2\r\nok\r\n0\r\n\r\n'
#: Statuses of responses that have a body.
STATUSES = [b'%d' % n for n in range(200, 600) if n not in (204, 304)]


@pytest.fixture
def responses():
    return []


def _read(text, sizes=()):
    """Return status and body of the response that a reader finds, or None."""
    found = []
    reader = _response_reader.ResponseReader(found.append)
    try:
        for size in sizes:
            reader.feed(text[:size])
            text = text[size:]
            if not text:
                break
        if text:
            reader.feed(text)
    except _http1.MessageError:
        return None
    if not found:
        reader.end_of_stream()
    if not found:
        return None
    return found[0].status, bytes(found[0].body)


def _names():
    odd = st.builds(
        lambda name, byte, index: name[:index] + byte + name[index:],
        st.just(b'X-Name'),
        st.binary(min_size=1, max_size=1),
        st.integers(0, 6),
    )
    return st.one_of(st.just(b'X-Name'), odd, st.just(b''))


@st.composite
def _responses(draw):
    """Return a response and whether its head follows the grammar."""
    protocol = draw(st.sampled_from(PROTOCOLS * 8 + OTHER_PROTOCOLS))
    status = draw(
        st.one_of(
            st.sampled_from(STATUSES),
            st.from_regex(rb'[0-9]{3}', fullmatch=True),
            st.sampled_from([b'000', b'099', b'600', b'999', b'20', b'2000']),
        )
    )
    hypothesis.assume(not re.fullmatch(b'1..|204|304', status))
    reason = draw(st.one_of(st.just(b'OK'), st.binary(max_size=4)))
    name = draw(_names())
    value = draw(st.one_of(st.just(b'v'), st.binary(max_size=4)))
    hypothesis.assume(not re.search(rb'[\r\n:]', reason + name + value))
    has_length = draw(st.booleans())
    is_valid = (
        protocol in PROTOCOLS
        and status in STATUSES
        and TEXT.fullmatch(reason) is not None
        and TOKEN.fullmatch(name) is not None
        and TEXT.fullmatch(value) is not None
    )
    text = b'%b %b %b\r\n%b: %b\r\n%b\r\n%b' % (
        protocol,
        status,
        reason,
        name,
        value,
        LENGTH if has_length else CHUNKED,
        b'ok' if has_length else IN_CHUNKS,
    )
    return text, status, is_valid


# Guards against an answer with a status, a name of a field or a protocol that
# is none, which clients would get with another body or none at all.
@hypothesis.settings(max_examples=1500)
@hypothesis.given(_responses(), st.lists(st.integers(1, 30), max_size=4))
def test_response_is_read_if_and_only_if_its_head_is_valid(response, sizes):
    text, status, is_valid = response
    expected = (int(status), b'ok') if is_valid else None
    assert _read(text, sizes) == expected


@pytest.mark.parametrize('status', range(1000))
def test_status_of_each_response_is_one_of_http(status):
    text = b'HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n' % status
    expected = (status, b'') if 200 <= status <= 599 else None
    assert _read(text) == expected


# Guards against a caller that waits for an answer behind one with the status
# 000, which was taken for an interim one.
@pytest.mark.parametrize('status', [0, 1, 99, 600, 999])
def test_status_that_is_none_is_rejected_at_once(responses, status):
    reader = _response_reader.ResponseReader(responses.append)
    with pytest.raises(_http1.MessageError):
        reader.feed(b'HTTP/1.1 %03d X\r\n\r\n' % status)


PLACES = {
    'head': b'HTTP/1.1 200 OK\r\n%b: 2\r\nContent-Length: 2\r\n\r\nok',
    'interim': b'HTTP/1.1 103 E\r\n%b: 2\r\n\r\nHTTP/1.1 200 OK\r\n'
    b'Content-Length: 2\r\n\r\nok',
    'trailer': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n0\r\n%b: 2\r\n\r\n',
}


# Guards against a line that is passed on, or a length that is not seen, as the
# name of the field is not one.
@pytest.mark.parametrize('place', PLACES)
def test_byte_that_belongs_in_no_name_is_rejected(place):
    for byte in range(256):
        for index in (0, 1, 6):
            name = b'X-Name'[:index] + bytes([byte]) + b'X-Name'[index:]
            is_valid = TOKEN.fullmatch(name) is not None
            # The rest of the name belongs to the value then.
            is_valid |= byte == ord(':') and index > 0
            expected = (200, b'ok') if is_valid else None
            assert _read(PLACES[place] % name) == expected, name


@pytest.mark.parametrize(
    'coding',
    [
        b'gzip, chunked',
        b'chunked, gzip',
        b'gzip',
        b'identity',
        b'chunked\r\nTransfer-Encoding: chunked',
        b'chunked\r\nContent-Length: 2',
        b'',
    ],
)
def test_body_in_another_transfer_coding_is_no_body(coding):
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: %b\r\n\r\n' % coding
    assert _read(head + IN_CHUNKS) is None
