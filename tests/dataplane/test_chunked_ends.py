"""Costs and bounds of input whose content others choose."""

import random

import pytest

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _request_reader

HEAD = b'POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'

#: Size of a body, in bytes, and the most parts in which a parser gets it.
BODY_BYTES = 65536
MAX_PARTS = 4


class _CountingReader(_request_reader.RequestReader):
    """Reader that counts the parts that its parser gets."""

    parts = 0

    def _parse(self, data):
        self.parts += 1
        super()._parse(data)


# Guards against a body that takes hundreds of times the processor time of
# others, as each of its line ends was taken for a possible end.
@pytest.mark.parametrize('fill', [b'\n', b'\r\n\r\n', b'0\r\n\r\n'])
def test_line_ends_in_a_chunk_cost_no_parts(fill):
    messages = []
    reader = _CountingReader(_http1.Limits(), messages.append)
    reader.feed(HEAD % 1 + b'%x\r\n' % BODY_BYTES)
    reader.parts = 0
    body = (fill * BODY_BYTES)[:BODY_BYTES]
    reader.feed(body)
    reader.feed(b'\r\n0\r\n\r\n')
    assert reader.parts <= MAX_PARTS
    (message,) = messages
    assert message.body == body


def _chunked(rng, body):
    data = b''
    while body:
        size = rng.randint(1, 40)
        chunk, body = body[:size], body[size:]
        zeros = b'0' * rng.choice((0, 0, 1, 30))
        extension = rng.choice((b'', b'', b';a=b', b';0'))
        data += b'%b%x%b\r\n%b\r\n' % (zeros, len(chunk), extension, chunk)
    last = rng.choice((b'0', b'000', b'0' * 30, b'0;a=0'))
    return data + last + b'\r\n' + rng.choice((b'', b't: u\r\nv: 0\r\n'))


# Guards against requests that are read wrong where the end of a chunked body
# is searched for: chunks and requests are split anywhere.
@pytest.mark.parametrize('seed', range(40))
def test_chunked_bodies_are_read_however_they_are_split(seed):
    rng = random.Random(seed)
    bodies = [
        bytes(rng.choices(b'\r\n0ax', k=rng.randint(0, 200))) for _ in range(6)
    ]
    data = b''.join(
        HEAD % number + _chunked(rng, body) + b'\r\n'
        for number, body in enumerate(bodies)
    )
    messages = []
    reader = _request_reader.RequestReader(_http1.Limits(), messages.append)
    while data:
        size = rng.choice((1, 2, 3, 50, 500))
        reader.feed(data[:size])
        data = data[size:]
    assert [bytes(message.body) for message in messages] == bodies
    assert [message.target for message in messages] == [
        b'/%d' % number for number in range(len(bodies))
    ]
