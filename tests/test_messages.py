"""Encoding of messages between nodes."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from rosemarycrank import messages

KEY = b'k' * 32


@pytest.fixture
def codec():
    return messages.Codec(KEY, '127.0.0.1:1')


def test_round_trip(codec):
    message = messages.Revoke('a1', 7)
    assert codec.decode(codec.encode(message)) == ('127.0.0.1:1', message)


def test_frame_under_another_key_is_refused(codec):
    other_codec = messages.Codec(b'x' * 32, '127.0.0.1:1')
    with pytest.raises(messages.DecodeError, match='mac'):
        codec.decode(other_codec.encode(messages.Hello()))


@pytest.mark.parametrize('frame', [b'', b'\x00', b'\xff' * 50])
def test_malformed_frame_is_refused(codec, frame):
    with pytest.raises(messages.DecodeError):
        codec.decode(frame)


@hypothesis.given(frame=strategies.binary(max_size=200))
@hypothesis.settings(max_examples=500)
def test_random_bytes_are_refused(frame):
    codec = messages.Codec(KEY, '127.0.0.1:1')
    with pytest.raises(messages.DecodeError):
        codec.decode(frame)


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63)
    | strategies.floats()
    | strategies.text(max_size=10)
    | strategies.binary(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=8,
)


@hypothesis.given(
    kind=strategies.sampled_from(['Attempt', 'RevokeReply', 'Hello', 'No']),
    value=VALUES,
)
def test_an_authentic_frame_of_wrong_shape_is_refused(kind, value):
    """A payload that does not match its kind must not become a message.

    A node of another version may send such frames under the right key.
    """
    codec = messages.Codec(KEY, '127.0.0.1:1')
    payload = msgspec.msgpack.encode(value)
    mac = codec._mac(kind, '127.0.0.1:1', payload)
    frame = msgspec.msgpack.encode((kind, '127.0.0.1:1', payload, mac))
    try:
        _, message = codec.decode(frame)
    except messages.DecodeError:
        return
    assert type(message).__name__ == kind


@hypothesis.given(data=strategies.data())
def test_a_changed_frame_is_refused(data):
    """A frame with one changed byte is malformed or has a wrong MAC."""
    codec = messages.Codec(KEY, '127.0.0.1:1')
    frame = bytearray(codec.encode(messages.Revoke('a1', 7)))
    index = data.draw(strategies.integers(0, len(frame) - 1))
    frame[index] ^= data.draw(strategies.integers(1, 255))
    with pytest.raises(messages.DecodeError):
        codec.decode(bytes(frame))
