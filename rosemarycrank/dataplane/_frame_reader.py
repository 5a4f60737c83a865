"""Decoding of a stream of frames.

Large messages are collected apart from the others, in buffers that take memory
of a budget, and their bodies are views of these buffers. One that does not fit
is skipped as it arrives. What is received of other messages until they are
complete is charged by the connection.
"""

import abc

import attrs
import msgspec

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory
from rosemarycrank import decoding

#: Length from which a frame counts as large, in bytes.
MIN_LARGE_BYTES = _frames.MIN_SEPARATE_BODY_BYTES

#: Maximum length of a handshake, in bytes. One has the records of all targets
#: if its sender or receiver is of an earlier build.
MAX_HANDSHAKE_BYTES = 1024 * 1024

#: Memory that a large message without a body takes while it is received and
#: decoded, as a ratio to its length: a document, and lists of objects.
DOCUMENT_RATIO = 2
DECODED_RATIO = 8

# Bytes of a payload after which the number of a message with a body is known.
_NUMBERED_BYTES = 11

# MessagePack: an array of up to 15 elements, whose number is added; sizes of
# unsigned integers by the byte before them, smaller ones are that byte.
_SHORT_ARRAY = 0x90
_INTEGER_SIZES_BY_PREFIX = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}

_DECODER = msgspec.msgpack.Decoder(_frames.Frame)

_unpack_length = _frames.LENGTH.unpack_from
_LENGTH_BYTES = _frames.LENGTH.size


def _with_body_view(kind):
    """Return a type like a message, with a view of the input as its body."""
    fields = []
    for field in msgspec.structs.fields(kind):
        field_type = memoryview if field.name == 'body' else field.type
        if field.default is msgspec.NODEFAULT:
            fields.append((field.name, field_type))
        else:
            fields.append((field.name, field_type, field.default))
    tag = kind.__struct_config__.tag
    return msgspec.defstruct(kind.__name__, fields, array_like=True, tag=tag)


_KINDS_WITH_BODY_BY_TAG = {
    kind.__struct_config__.tag: kind
    for kind in (_frames.Attempt, _frames.Result)
}
_HANDSHAKE_TAG = _frames.Hello.__struct_config__.tag
_DOCUMENT_TAG = _frames.ConfigurationBody.__struct_config__.tag
_BODY_VIEW_DECODERS_BY_TAG = {
    tag: msgspec.msgpack.Decoder(_with_body_view(kind))
    for tag, kind in _KINDS_WITH_BODY_BY_TAG.items()
}


@attrs.frozen
class Skipped:
    """A message with a body that was skipped for want of memory.

    Attributes
    ----------
    number : int
        Number of the attempt.
    size : int
        Size of the message, in bytes.
    """

    number: int
    size: int


@attrs.frozen
class SkippedNotice:
    """A message without a body that was skipped, as it never fits.

    Attributes
    ----------
    size : int
        Size of the message, in bytes.
    """

    size: int


class FrameReader:
    """Incremental decoder for a stream of frames.

    Parameters
    ----------
    budget : Budget, optional
        Memory for large messages with a body, until their bodies are not used
        any more. Without one, all of them fit.
    input_budget : Budget, optional
        Memory that `unfinished_bytes` is charged to. A message without a body
        that never fits is skipped.

    Attributes
    ----------
    expects_handshake : bool
        Whether the first message has not been received, and has to be a
        handshake.
    """

    def __init__(self, budget=None, input_budget=None):
        self.expects_handshake = False
        self._budget = budget
        self._input_budget = input_budget
        self._buffer = bytearray()
        self._large = None

    @property
    def unfinished_bytes(self):
        """Memory that unfinished messages without a body take, in bytes.

        It includes the room that a buffer has as it grows.
        """
        count = len(self._buffer)
        count += count >> 3
        if self._large is not None:
            count += self._large.unfinished_bytes
        return count

    def feed(self, data):
        """Add received bytes and return the messages that are complete.

        Returns
        -------
        list of (msgspec.Struct or Skipped)

        Raises
        ------
        FrameError
            If a frame is too large or cannot be decoded.
        """
        frames = []
        if self._large is not None:
            data = self._feed_large(data, frames)
        while data:
            data = self._feed_small(data, frames)
        if frames:
            self.expects_handshake = False
        return frames

    def discard(self):
        """Free the memory of unfinished messages."""
        self._buffer = bytearray()
        self._large = None

    def _feed_small(self, data, frames):
        """Decode frames up to a large one; return what follows that."""
        buffer = self._buffer
        if buffer:
            buffer += data
            data = buffer
        position = 0
        end = len(data)
        while end - position >= _LENGTH_BYTES:
            (length,) = _unpack_length(data, position)
            start = position + _LENGTH_BYTES
            if length >= MIN_LARGE_BYTES:
                _check_length(length)
                if end - start < _NUMBERED_BYTES:
                    break
                rest = data[start:]
                if self.expects_handshake and not frames:
                    _check_handshake(rest, length)
                self._buffer = bytearray()
                self._large = self._open_large(rest, length)
                return self._feed_large(rest, frames)
            if end - start < length:
                break
            position = start + length
            frames.append(_decode(bytes(data[start:position])))
        if data is buffer:
            if position:
                # A copy, as the buffer would keep its size.
                self._buffer = buffer[position:]
        elif position < end:
            buffer += data[position:]
        return b''

    def _open_large(self, payload, length):
        """Return what receives a large message, from the first bytes on."""
        tag = _tag(payload)
        if tag not in _KINDS_WITH_BODY_BY_TAG:
            return self._open_notice(tag, length)
        if self._budget is None:
            return _FrameWithBody(length, tag, None)
        hold = _memory.Hold(self._budget)
        if hold.grow(length):
            return _FrameWithBody(length, tag, hold)
        return _SkippedFrame(length, Skipped(_number(payload), length))

    def _open_notice(self, tag, length):
        ratio = DOCUMENT_RATIO if tag == _DOCUMENT_TAG else DECODED_RATIO
        memory_bytes = ratio * length
        budget = self._input_budget
        if budget is None or budget.can_ever_fit(memory_bytes):
            return _LargeFrame(length, memory_bytes)
        budget.refusals += 1
        return _SkippedFrame(length, SkippedNotice(length))

    def _feed_large(self, data, frames):
        """Add bytes of a large message; return what follows it."""
        large = self._large
        count = min(len(data), large.missing_bytes)
        large.missing_bytes -= count
        large.add(data if count == len(data) else data[:count])
        if not large.missing_bytes:
            self._large = None
            frames.append(large.message())
        return data[count:]


class _Receiver(abc.ABC):
    """Receives the bytes of a large message.

    Parameters
    ----------
    length : int
        Length of the message, in bytes.

    Attributes
    ----------
    missing_bytes : int
        Number of bytes that have not been received.
    unfinished_bytes : int
        Memory that is in no budget yet, in bytes.
    """

    unfinished_bytes = 0

    def __init__(self, length):
        self.missing_bytes = length

    @abc.abstractmethod
    def add(self, data):
        """Add received bytes."""

    @abc.abstractmethod
    def message(self):
        """Return the message, once all bytes were received."""


class _LargeFrame(_Receiver):
    """Message without a body, which is decoded like a small one.

    Parameters
    ----------
    length : int
        Length of the message, in bytes.
    memory_bytes : int
        Memory that it takes until it is decoded, in bytes.
    """

    def __init__(self, length, memory_bytes):
        super().__init__(length)
        self.unfinished_bytes = memory_bytes
        self._buffer = bytearray()

    def add(self, data):
        self._buffer += data

    def message(self):
        return _decode(self._buffer)


class _FrameWithBody(_Receiver):
    """Message whose body is a view of the received bytes.

    Parameters
    ----------
    length : int
        Length of the message, in bytes.
    tag : int
        Tag of its type.
    hold : Hold or None
        Memory that it takes.
    """

    def __init__(self, length, tag, hold):
        super().__init__(length)
        self._tag = tag
        self._buffer = _memory.HeldBuffer()
        self._buffer.hold = hold

    def add(self, data):
        self._buffer += data

    def message(self):
        decoder = _BODY_VIEW_DECODERS_BY_TAG[self._tag]
        try:
            viewing = decoder.decode(memoryview(self._buffer))
        except decoding.ERRORS as error:
            raise _frames.FrameError(str(error)) from error
        kind = _KINDS_WITH_BODY_BY_TAG[self._tag]
        return kind(*msgspec.structs.astuple(viewing))


class _SkippedFrame(_Receiver):
    """Message that does not fit.

    Parameters
    ----------
    length : int
        Length of the message, in bytes.
    skipped : Skipped or SkippedNotice
        What is returned for it.
    """

    def __init__(self, length, skipped):
        super().__init__(length)
        self._skipped = skipped

    def add(self, data):
        """Leave the bytes out."""

    def message(self):
        return self._skipped


def _check_length(length):
    if length > _frames.MAX_FRAME_BYTES:
        raise _frames.FrameError(f'frame of {length} bytes exceeds the limit')


def _check_handshake(payload, length):
    """Check the beginning of a large message that has to be a handshake."""
    if length > MAX_HANDSHAKE_BYTES or _tag(payload) != _HANDSHAKE_TAG:
        raise _frames.FrameError('no handshake within its limit')


def _decode(payload):
    try:
        return _DECODER.decode(payload)
    except decoding.ERRORS as error:
        raise _frames.FrameError(str(error)) from error


def _tag(payload):
    """Return the tag of a message; None if it has none."""
    if payload[0] >> 4 == _SHORT_ARRAY >> 4:
        return payload[1]
    return None


def _number(payload):
    """Return the number of an attempt or a result, its first field."""
    prefix = payload[2]
    size = _INTEGER_SIZES_BY_PREFIX.get(prefix)
    if size is None:
        return prefix
    return int.from_bytes(payload[3 : 3 + size], 'big')
