"""Format of the heartbeats that targets send to the node on their VM."""

import math
import urllib.parse

import msgspec

from rosemarycrank import dataplane
from rosemarycrank import decoding
from rosemarycrank.platform import _names


class _Heartbeat(msgspec.Struct):
    # A heartbeat without one of the fields is that of another writer, also if
    # nothing here uses the field.
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_left_s: float
    seq: int
    #: Start of the target, in whole Unix milliseconds.
    born: int


class _Withdrawal(msgspec.Struct):
    born: int = 0


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_WITHDRAWAL_DECODER = msgspec.json.Decoder(_Withdrawal)
_STATES = ('ready', 'draining')


def instance_from_path(path):
    """Return the target named in a path; an empty string if there is none."""
    if not path.startswith(_names.INSTANCES_PREFIX):
        return ''
    quoted = path[len(_names.INSTANCES_PREFIX) :]
    return urllib.parse.unquote_to_bytes(quoted).decode('utf-8', 'replace')


def decode(instance, body):
    """Decode a heartbeat.

    Parameters
    ----------
    instance : str
        Identifier of the target, from the path.
    body : bytes
        JSON text.

    Returns
    -------
    rosemarycrank.dataplane.Heartbeat
        The decoded heartbeat.

    Raises
    ------
    ValueError
        If a field is missing, has another type or is out of range.
    """
    heartbeat = decoding.decode(_HEARTBEAT_DECODER, body)
    if heartbeat.state not in _STATES:
        raise ValueError(f'state: got {heartbeat.state!r}, allowed {_STATES}')
    if not 0.0 <= heartbeat.cold_left_s < math.inf:
        raise ValueError(f'cold_left_s: got {heartbeat.cold_left_s}')
    dataplane.check_numbers(heartbeat.slots, heartbeat.born, heartbeat.seq)
    return dataplane.Heartbeat(
        instance=instance,
        service=heartbeat.service,
        address=heartbeat.address,
        failure_domain=heartbeat.zone,
        slots=heartbeat.slots,
        state=heartbeat.state,
        born_ms=heartbeat.born,
        sequence=heartbeat.seq,
    )


def decode_withdrawal(body):
    """Decode a withdrawal; return the start of the target, 0 if not given.

    Raises
    ------
    ValueError
        If the body is not a JSON object, or the start is out of range.
    """
    if not body:
        return 0
    born_ms = decoding.decode(_WITHDRAWAL_DECODER, body).born
    dataplane.check_numbers(0, born_ms, 0)
    return born_ms
