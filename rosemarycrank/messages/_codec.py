"""Encoding, authentication and checked decoding of messages.

A frame is a MessagePack array ``[kind, sender, payload, mac]``. ``kind`` is
the class name of the message, ``sender`` the ``host:port`` to answer to,
``payload`` the MessagePack body, and ``mac`` an HMAC-SHA256 over the other
three under the key that all nodes share.
"""

import hashlib
import hmac

import msgspec

MAX_FRAME_BYTES = 9 * 1024 * 1024

_TYPES_BY_KIND = {}
_DECODERS_BY_KIND = {}


class DecodeError(ValueError):
    """A frame that is malformed, of unknown kind or not authentic."""


def register(cls):
    """Register a message class under its name; a class decorator."""
    _TYPES_BY_KIND[cls.__name__] = cls
    return cls


def _decoder(kind):
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
    """Turns messages into authenticated frames and back.

    Parameters
    ----------
    key : bytes
        Key shared by all nodes; at least 16 bytes.
    sender : str
        ``host:port`` that answers go to.
    """

    def __init__(self, key, sender):
        self.key = key
        self.sender = sender
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(
            tuple[str, str, bytes, bytes]
        )

    def encode(self, message):
        """Return the frame of a message.

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
        """Return the sender and the message of a frame.

        Parameters
        ----------
        frame : bytes
            A frame as made by `encode`.

        Returns
        -------
        tuple of (str, object)
            Sender's ``host:port`` and the message.

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
            kind, sender, payload, mac = self._frame_decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise DecodeError(f'frame: {error}') from error
        if not hmac.compare_digest(mac, self._mac(kind, sender, payload)):
            raise DecodeError(f'mac: does not match, sender {sender!r}')
        try:
            return sender, _decoder(kind).decode(payload)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise DecodeError(f'{kind}: {error}') from error

    def _mac(self, kind, sender, payload):
        prefix = f'{kind}\x00{sender}\x00'.encode()
        return hmac.digest(self.key, prefix + payload, hashlib.sha256)
