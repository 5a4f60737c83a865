"""Encoding and decoding of the frames between nodes."""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank.dataplane import _frames
from tests.dataplane import fakes

FRAMES = [
    _frames.Hello(1, 'n', 5, 1, -1, [fakes.record()], ['r']),
    fakes.attempt(body=b'x' * 5000),
    _frames.Cancel(4),
    _frames.Result(
        4,
        0,
        0,
        200,
        b'h',
        b'b',
        _frames.Load(
            1, 2, 3, 0.5, 9.0, 8.0, 7.0, {'s': _frames.Pressure(0.2, 0.1)}
        ),
    ),
    _frames.Ping(3, 2),
    _frames.Pong(3, None),
    _frames.Announcement([fakes.record()]),
    _frames.ConfigurationRequest(),
    _frames.ConfigurationBody(b'{}'),
    _frames.Leaving(),
    _frames.Demand(4.5, 3.0),
    _frames.RouteCosts('s', {'r': {'t': 2.0}}),
]


@hypothesis.given(
    strategies.lists(strategies.sampled_from(FRAMES), max_size=5),
    strategies.integers(1, 700),
)
def test_frames_come_out_as_they_went_in(frames, size):
    data = b''.join(_frames.encode(frame) for frame in frames)
    reader = _frames.FrameReader()
    read = []
    for start in range(0, len(data), size):
        read += reader.feed(data[start : start + size])
    assert read == frames


@pytest.mark.parametrize(
    'data',
    [
        b'\xff\xff\xff\xff',
        b'\x00\x00\x00\x01\xc1',
        b'\x00\x00\x00\x02\x91\x63',
    ],
)
def test_invalid_frames_are_rejected(data):
    with pytest.raises(_frames.FrameError):
        _frames.FrameReader().feed(data)
