"""Idempotency keys, issued by a node or chosen by a client."""

import hashlib
import hmac
import re

import attrs

MAX_KEY_LENGTH = 255

_PREFIX = 'rk1.'
_MAC_KEY_LABEL = b'rosemarycrank issued keys'
_MAC_HEX_DIGITS = 32
_TICKS_PER_S = 1000
_VISIBLE_ASCII = re.compile(r'[!-~]+')
_ISSUED = re.compile(
    r'rk1\.(?P<address>\S+)\.(?P<incarnation>[0-9a-f]{16})'
    r'\.(?P<tick>[0-9a-f]{1,16})\.(?P<nonce>[0-9a-f]{16})'
    r'\.(?P<mac>[0-9a-f]{32})'
)


class InvalidKey(ValueError):
    """A key that is malformed, or looks issued but has a wrong MAC."""


@attrs.frozen
class IssuedKey:
    """Content of a key that a node issued.

    ``owner`` is the ``host:port`` of the node that issued the key, and
    ``tick_s`` the time of issue in seconds of that node's clock.
    """

    owner: str
    incarnation: int
    tick_s: float


class KeyIssuer:
    """Issues keys that name their owner, and verifies issued keys.

    Parameters
    ----------
    secret : bytes
        Secret that all nodes share.
    """

    def __init__(self, secret):
        self._mac_key = hmac.digest(secret, _MAC_KEY_LABEL, hashlib.sha256)

    def issue(self, owner, incarnation, tick_s, nonce):
        """Return a new key.

        Parameters
        ----------
        owner : str
            ``host:port`` of the only node that may run requests with it.
        incarnation : int
            Incarnation of that node.
        tick_s : float
            Current time of that node's clock, in seconds.
        nonce : int
            Random 64-bit number.

        Returns
        -------
        str
            The key.
        """
        tick = int(tick_s * _TICKS_PER_S)
        content = f'{_PREFIX}{owner}.{incarnation:016x}.{tick:x}.{nonce:016x}'
        return f'{content}.{self._mac(content)}'

    def parse(self, key):
        """Return the content of an issued key.

        Parameters
        ----------
        key : str
            Key as received from a client.

        Returns
        -------
        IssuedKey or None
            None for a key that a client chose.

        Raises
        ------
        InvalidKey
            If the key is empty, is too long, contains characters other
            than visible ASCII, or looks issued but has a wrong MAC.
        """
        if len(key) > MAX_KEY_LENGTH or not _VISIBLE_ASCII.fullmatch(key):
            raise InvalidKey(
                f'key: expected 1 to {MAX_KEY_LENGTH} visible ASCII characters'
            )
        if not key.startswith(_PREFIX):
            return None
        match = _ISSUED.fullmatch(key)
        if match is None:
            raise InvalidKey('key: prefix of an issued key, but malformed')
        content, mac = key.rsplit('.', 1)
        if not hmac.compare_digest(mac, self._mac(content)):
            raise InvalidKey('key: MAC does not match the content')
        return IssuedKey(
            match['address'],
            int(match['incarnation'], 16),
            int(match['tick'], 16) / _TICKS_PER_S,
        )

    def _mac(self, content):
        digest = hmac.digest(self._mac_key, content.encode(), hashlib.sha256)
        return digest.hex()[:_MAC_HEX_DIGITS]


def key_hash(key):
    """Return the hash that identifies a key in tables and records.

    Parameters
    ----------
    key : str
        Idempotency key.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    return hashlib.sha256(key.encode()).hexdigest()[:32]


def request_digest(request):
    """Return a digest that detects reuse of a key for another request.

    Parameters
    ----------
    request : KeyedRequest or KeyedCall
        The request.

    Returns
    -------
    str
        32 hexadecimal digits; a digest of service, method, path and body.
    """
    digest = hashlib.sha256()
    for part in (request.service, request.method, request.path):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(request.body)
    return digest.hexdigest()[:32]
