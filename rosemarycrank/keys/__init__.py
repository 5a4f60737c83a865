"""Operator keys: private keys, signatures and the list of trusted keys."""

from rosemarycrank.keys import _signing
from rosemarycrank.keys import _trust

KeyFileError = _signing.KeyFileError
PrivateKey = _signing.PrivateKey
replace_file = _signing.replace_file
verify = _signing.verify

PUBLIC_KEY = _trust.PUBLIC_KEY
TrustedKey = _trust.TrustedKey
TrustedKeys = _trust.TrustedKeys
load = _trust.load
parse = _trust.parse

__all__ = [
    'KeyFileError',
    'PUBLIC_KEY',
    'PrivateKey',
    'TrustedKey',
    'TrustedKeys',
    'load',
    'parse',
    'replace_file',
    'verify',
]
