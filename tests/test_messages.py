"""Encoding of messages between nodes."""

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
    stranger = messages.Codec(b'x' * 32, '127.0.0.1:1')
    with pytest.raises(messages.DecodeError, match='mac'):
        codec.decode(stranger.encode(messages.Hello()))


@pytest.mark.parametrize('frame', [b'', b'\x00', b'\xff' * 50])
def test_malformed_frame_is_refused(codec, frame):
    with pytest.raises(messages.DecodeError):
        codec.decode(frame)
