"""Reports that targets send to the node on their machine."""

import urllib.parse

import msgspec

from rosemarycrank import dataplane
from rosemarycrank.platform import _names


class _Beat(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    seq: int
    #: Whole Unix milliseconds of the start.
    born: int


class _Leave(msgspec.Struct):
    born: int = 0


_BEAT = msgspec.json.Decoder(_Beat)
_LEAVE = msgspec.json.Decoder(_Leave)
_STATES = ('ready', 'draining')


def instance_of(path):
    """Return the target that a path names, or an empty text."""
    if not path.startswith(_names.INSTANCES_PREFIX):
        return ''
    raw = path[len(_names.INSTANCES_PREFIX) :]
    return urllib.parse.unquote_to_bytes(raw).decode('utf-8', 'replace')


def decode(instance, body):
    """Decode a report.

    Parameters
    ----------
    instance : str
        Identifier from the path.
    body : bytes
        JSON text.

    Returns
    -------
    rosemarycrank.dataplane.Heartbeat
        The report.

    Raises
    ------
    ValueError
        If it lacks a field, or one is of another type or names no state.
    """
    try:
        beat = _BEAT.decode(body)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    if beat.state not in _STATES:
        raise ValueError(f'state: got {beat.state!r}, allowed {_STATES}')
    if beat.slots < 0 or beat.seq < 0:
        raise ValueError('slots, seq: negative')
    return dataplane.Heartbeat(
        instance=instance,
        service=beat.service,
        address=beat.address,
        failure_domain=beat.zone,
        slots=beat.slots,
        state=beat.state,
        born_ms=beat.born,
        sequence=beat.seq,
    )


def decode_withdrawal(body):
    """Return the start of the target that withdraws; 0 if it says none.

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    if not body:
        return 0
    try:
        return _LEAVE.decode(body).born
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
