"""Addresses of the form ``host:port``."""

import ipaddress
import re

MAX_PORT = 65535

_ADDRESS = re.compile(r'([^\s:/]+):([0-9]{1,5})', re.ASCII)


def parse(text):
    """Parse an address.

    Parameters
    ----------
    text : str
        Address of the form ``host:port``.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If the host or the port is missing, or the port is not a number from
        1 to 65535.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError(f'address: got {text!r}, allowed host:port')
    return match[1], int(match[2])


def check_ip(text):
    """Check an address whose host has to be an IPv4 address.

    Raises
    ------
    ValueError
        If it is not, or the address is malformed.
    """
    host, _ = parse(text)
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f'address: got {text!r}, allowed IP:port') from error
