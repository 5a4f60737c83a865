"""Records of clients and upstreams, and the digests that link them.

A client request carries a unique nonce, in its body or as the last segment
of its path. The nonce of a nested call is the nonce of the request during
which it is made, a dot, and its number among the calls of that request.
Times are seconds since the epoch.
"""

import hashlib

import attrs
import msgspec

from rosemarycrank.load import _constraints


@_constraints.with_constraints
@attrs.frozen
class NestedCall:
    """A call that an upstream makes while it serves a request.

    ``{nonce}`` in the path is replaced by the nonce of the call. A paid call
    is sent with ``key``; if that is empty, with a key issued by a node or
    derived from its nonce.
    """

    service: str
    method: str = 'GET'
    path: str = '/{nonce}'
    paid: bool = False
    key: str = ''
    call: tuple['NestedCall', ...] = ()


@attrs.frozen
class Content:
    """Body of a request; every field is optional."""

    nonce: str = ''
    paid: bool = False
    call: tuple[NestedCall, ...] = ()
    padding: str = ''


@attrs.frozen
class RunEvent:
    """Event of a request at an upstream.

    Attributes
    ----------
    event : str
        ``'start'`` when a run starts, ``'end'`` when it ends, ``'refused'``
        when a request arrives and is not run; ``'calling'`` before a nested
        call and ``'call'`` after it, with the nonce of the nested call.
    upstream : str
        ``host:port`` of the upstream.
    number : int
        Number of the request at this upstream; an end has the number of
        its start.
    at : float
        Time of the event.
    nonce, service, method, path, digest : str
        The request.
    request_id, key : str
        Request id and idempotency key as sent by the node; empty if not
        sent.
    paid : bool
        Whether the request may run at most once.
    detail : str
        How the run ended, why the request was refused, or the outcome
        of a nested call as reported to its caller.
    """

    event: str
    upstream: str
    number: int
    at: float
    nonce: str
    service: str = ''
    method: str = ''
    path: str = ''
    digest: str = ''
    request_id: str = ''
    key: str = ''
    paid: bool = False
    detail: str = ''


@attrs.frozen
class ClientEvent:
    """Event of a request at a client.

    Attributes
    ----------
    event : str
        ``'begin'`` before the first send, ``'answer'`` after each send,
        ``'end'`` once the client stops sending, ``'asked'`` after it
        queried the outcome of a key.
    nonce : str
        Nonce of the request.
    at : float
        Time of the event.
    class_name, digest, paid
        The request; on ``'begin'``.
    key : str
        Idempotency key. It may change while the request could not yet be
        sent to any node, so ``'begin'`` has the first key and ``'answer'``
        the key of that send.
    node : str
        ``host:port`` of the node; on ``'answer'`` and ``'asked'``.
    outcome : str
        ``'complete'``, ``'not-run'`` or ``'unknown'``; empty if the answer
        lacks it.
    result : int
        Number of the result code; 0 if the answer lacks it.
    status : int
        HTTP status; 0 if there was no answer.
    request_id : str
        Request id assigned by the node.
    answer_digest : str
        Digest in the body of the answer; empty if there is none.
    detail : str
        Why there was no answer.
    elapsed_s : float
        Seconds from a send to its answer; on ``'end'``, of the last send.
    latency_s : float
        Seconds since the request was due; on ``'end'``.
    """

    event: str
    nonce: str
    at: float
    class_name: str = ''
    key: str = ''
    digest: str = ''
    paid: bool = False
    node: str = ''
    outcome: str = ''
    result: int = 0
    status: int = 0
    request_id: str = ''
    answer_digest: str = ''
    detail: str = ''
    elapsed_s: float = 0.0
    latency_s: float = 0.0


@attrs.frozen
class _AnswerBody:
    digest: str = ''


def request_digest(service, method, path, body):
    """Return the digest of a request; it includes the unique nonce.

    Parameters
    ----------
    service, method, path : str
        The request as its upstream receives it.
    body : bytes
        Body of the request.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    prefix = f'{service}\x00{method}\x00{path}\x00'.encode()
    return hashlib.sha256(prefix + body).hexdigest()


def answer_digest(body):
    """Return the digest in the body of an upstream's answer.

    Parameters
    ----------
    body : bytes
        Body of the answer.

    Returns
    -------
    str
        The digest; empty if the body is truncated or has none.
    """
    try:
        return msgspec.json.decode(body, type=_AnswerBody).digest
    except msgspec.DecodeError:
        return ''


class Writer:
    """Appends records to a file of JSON lines, unbuffered.

    Parameters
    ----------
    path : str or path-like
        The file.
    """

    def __init__(self, path):
        self._file = open(path, 'ab', buffering=0)
        self._encoder = msgspec.json.Encoder()

    def append(self, record):
        """Append one record."""
        self._file.write(self._encoder.encode(record) + b'\n')

    def close(self):
        """Close the file."""
        self._file.close()


def read_records(path, record_type):
    """Return the records of a file of JSON lines.

    An incomplete last line is left out: its writer was stopped while it
    wrote the line.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    record_type : type
        Class of the records.

    Returns
    -------
    list
        Instances of ``record_type``.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a record of that class.
    """
    decoder = msgspec.json.Decoder(record_type)
    lines = path.read_bytes().split(b'\n')[:-1]
    return [decoder.decode(line) for line in lines]
