"""Records that the checker reads, and what ties them together.

A client request carries a nonce that no other has, in its body or as the
last segment of its path. A nested call's nonce is that of the request it
serves, a dot, and its number among the calls of that request. Times are
seconds since the epoch.
"""

import hashlib

import attrs
import msgspec

from rosemarycrank.load import _constraints


@_constraints.with_constraints
@attrs.frozen
class NestedCall:
    """A call that an upstream makes while it serves a request.

    ``{nonce}`` in the path stands for the call's nonce. A paid call brings
    ``key``, or a key made from its nonce.
    """

    service: str
    method: str = 'GET'
    path: str = '/{nonce}'
    paid: bool = False
    key: str = ''
    call: tuple['NestedCall', ...] = ()


@attrs.frozen
class Content:
    """Body of a request; all of it is optional."""

    nonce: str = ''
    paid: bool = False
    call: tuple[NestedCall, ...] = ()
    padding: str = ''


@attrs.frozen
class RunEvent:
    """What an upstream did with a request that reached it.

    Attributes
    ----------
    event : str
        ``'start'`` when a run starts, ``'end'`` when it ends, ``'refused'``
        when a request arrived and did not run; ``'calling'`` before a
        nested call and ``'call'`` after it, with the nested call's nonce.
    upstream : str
        ``host:port`` of the upstream.
    number : int
        Number of the request at this upstream; ties an end to its start.
    at : float
        When it happened.
    nonce, service, method, path, digest : str
        The request.
    request_id, key : str
        As the node sent them; empty if it did not.
    paid : bool
        Whether the request may run at most once.
    detail : str
        How the run ended, why the request was refused, or the outcome
        that the caller of a nested call was told.
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
    """What a client sent or was told.

    Attributes
    ----------
    event : str
        ``'begin'`` before the first send, ``'answer'`` after each send,
        ``'end'`` once the client gives no more sends, ``'asked'`` after it
        asked what became of a key.
    nonce : str
        Nonce of the request.
    at : float
        When it happened.
    class_name, digest, paid
        The request; on ``'begin'``.
    key : str
        Idempotency key. A request that could not be sent at all may change
        it, so ``'begin'`` holds the first and ``'answer'`` each one used.
    node : str
        ``host:port`` that was sent to; on ``'answer'`` and ``'asked'``.
    outcome : str
        ``'complete'``, ``'not-run'`` or ``'unknown'``; empty if an answer
        does not say.
    result : int
        Number of the result code; 0 if there was none.
    status : int
        HTTP status; 0 if there was no answer.
    request_id : str
        As the node gave it.
    answer_digest : str
        Digest in the answer; empty if its body holds none.
    detail : str
        Why there was no answer.
    elapsed_s : float
        Seconds from the send to its answer, or to the last answer.
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
    """Return a digest that no other request has.

    Parameters
    ----------
    service, method, path : str
        The request as its upstream sees it.
    body : bytes
        Its body.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    head = f'{service}\x00{method}\x00{path}\x00'.encode()
    return hashlib.sha256(head + body).hexdigest()


def answer_digest(body):
    """Return the digest that an upstream's answer holds.

    Parameters
    ----------
    body : bytes
        Body of the answer.

    Returns
    -------
    str
        The digest; empty if the body is not whole or holds none.
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


def read_records(path, kind):
    """Return the records of a file of JSON lines.

    A last line that its writer was stopped in the middle of is left out.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    kind : type
        Class of the records.

    Returns
    -------
    list
        Instances of ``kind``.

    Raises
    ------
    msgspec.DecodeError
        If a line is not such a record.
    """
    decoder = msgspec.json.Decoder(kind)
    lines = path.read_bytes().split(b'\n')[:-1]
    return [decoder.decode(line) for line in lines]
