"""Encoding, authentication and validated decoding of messages.

A frame is a MessagePack array ``[kind, sender, payload, mac]``. ``kind`` is
the class name of the message, ``sender`` the ``host:port`` that replies are
sent to, ``payload`` the message encoded as MessagePack, and ``mac`` an
HMAC-SHA256 of the other three under the key that all nodes share.
"""

import hashlib
import hmac

import msgspec

from rosemarycrank import decoding

MAX_FRAME_BYTES = 9 * 1024 * 1024

_TYPES_BY_KIND = {}
_DECODERS_BY_KIND = {}


class DecodeError(ValueError):
    """A frame is too large, malformed, of unknown kind or not authentic."""


def register(cls):
    """Register a message class under its class name; a class decorator."""
    _TYPES_BY_KIND[cls.__name__] = cls
    return cls


def _get_decoder(kind):
    decoder = _DECODERS_BY_KIND.get(kind)
    if decoder is None:
        message_type = _TYPES_BY_KIND.get(kind)
        if message_type is None:
            raise DecodeError(
                f'kind: got {kind!r}, allowed {sorted(_TYPES_BY_KIND)}'
            )
        decoder = msgspec.msgpack.Decoder(message_type)
        _DECODERS_BY_KIND[kind] = decoder
    return decoder


class Codec:
    """Encodes messages as authenticated frames, and decodes frames.

    Parameters
    ----------
    key : bytes
        Key shared by all nodes; at least 16 bytes.
    sender : str
        ``host:port`` of this node, which replies are sent to.
    """

    def __init__(self, key, sender):
        self.key = key
        self.sender = sender
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(
            tuple[str, str, bytes, bytes]
        )

    def encode(self, message):
        """Encode a message as a frame.

        Parameters
        ----------
        message : object
            Instance of a registered message class.

        Returns
        -------
        bytes
            The frame.
        """
        kind = type(message).__name__
        payload = self._encoder.encode(message)
        mac = self._mac(kind, self.sender, payload)
        return self._encoder.encode((kind, self.sender, payload, mac))

    def decode(self, frame):
        """Decode and authenticate a frame.

        Parameters
        ----------
        frame : bytes
            Frame as returned by `encode`.

        Returns
        -------
        tuple of (str, object)
            ``host:port`` of the sender, and the message.

        Raises
        ------
        DecodeError
            If the frame is too large, malformed, of an unknown kind, or
            its MAC does not match.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise DecodeError(
                f'frame: got {len(frame)} bytes, allowed {MAX_FRAME_BYTES}'
            )
        try:
            kind, sender, payload, mac = decoding.decode(
                self._frame_decoder, frame
            )
        except decoding.DecodeError as error:
            raise DecodeError(f'frame: {error}') from error
        if not hmac.compare_digest(mac, self._mac(kind, sender, payload)):
            raise DecodeError(f'mac: does not match, sender {sender!r}')
        try:
            return sender, decoding.decode(_get_decoder(kind), payload)
        except decoding.DecodeError as error:
            raise DecodeError(f'{kind}: {error}') from error

    def _mac(self, kind, sender, payload):
        prefix = f'{kind}\x00{sender}\x00'.encode()
        return hmac.digest(self.key, prefix + payload, hashlib.sha256)
