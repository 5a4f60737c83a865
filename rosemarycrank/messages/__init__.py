"""Messages that nodes send to each other, and their encoding."""

from rosemarycrank.messages import _codec
from rosemarycrank.messages import _types

Attempt = _types.Attempt
AttemptReply = _types.AttemptReply
CallContext = _types.CallContext
Cancel = _types.Cancel
CrashMark = _types.CrashMark
Hello = _types.Hello
HelloReply = _types.HelloReply
KeyedCall = _types.KeyedCall
KeyedReply = _types.KeyedReply
Revoke = _types.Revoke
RevokeReply = _types.RevokeReply
RevokeState = _types.RevokeState

Codec = _codec.Codec
DecodeError = _codec.DecodeError
MAX_FRAME_BYTES = _codec.MAX_FRAME_BYTES
register = _codec.register

__all__ = [
    'Attempt',
    'AttemptReply',
    'CallContext',
    'Cancel',
    'CrashMark',
    'Codec',
    'DecodeError',
    'Hello',
    'HelloReply',
    'KeyedCall',
    'KeyedReply',
    'MAX_FRAME_BYTES',
    'Revoke',
    'RevokeReply',
    'RevokeState',
    'register',
]
