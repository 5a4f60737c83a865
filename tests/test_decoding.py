"""Data that may come from anywhere raises one kind of error."""

import msgspec
import pytest

from rosemarycrank import addresses
from rosemarycrank import decoding

DEPTH = 100_000


class _Named(msgspec.Struct):
    name: str


# Guards against processes that end as one entry is nested very deeply.
@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'[]',
        b'\xff',
        b'{"name": 1}',
        b'{"name": "\xff"}',
        b'[' * DEPTH,
        b'{"name": "a", "x": ' + b'[' * DEPTH + b']' * DEPTH + b'}',
        b'{"name": "a", "x": ' + b'{"y":' * DEPTH,
    ],
)
def test_data_that_cannot_be_decoded_raises_one_error(data):
    with pytest.raises(decoding.DecodeError):
        decoding.decode(msgspec.json.Decoder(_Named), data)


# Guards against connections to ports that there cannot be.
@pytest.mark.parametrize(
    'text',
    [
        '',
        'a',
        ':1',
        'a:',
        'a:0',
        'a:65536',
        'a:-1',
        'a:1 ',
        'a b:1',
        '::1:80',
        'a:\u0663',
        'a:\u00b2',
        'a:' + '9' * 5000,
    ],
)
def test_malformed_address_is_refused(text):
    with pytest.raises(ValueError):
        addresses.parse(text)


def test_address():
    assert addresses.parse('vm-1.example:65535') == ('vm-1.example', 65535)


@pytest.mark.parametrize('text', ['vm-1:80', '10.0.0.256:80', '10.0.0.1:0'])
def test_only_ip_addresses_pass_the_check(text):
    with pytest.raises(ValueError):
        addresses.check_ip(text)
    addresses.check_ip('10.0.0.1:80')
