"""Records that the checker reads, and the digest that ties them together.

A client request carries a nonce that no other has, in its body or as the
last segment of its path. A nested call's nonce is that of the request it
serves, a dot, and its number among the calls of that request.
"""

import hashlib

import attrs
import msgspec


@attrs.frozen
class RunEvent:
    """What an upstream did with a request that reached it.

    Attributes
    ----------
    event : str
        ``'start'`` when a run starts, ``'end'`` when it ends, ``'refused'``
        when a request arrived and did not run.
    upstream : str
        ``host:port`` of the upstream.
    number : int
        Number of the request at this upstream; ties an end to its start.
    at : float
        Seconds since the epoch.
    nonce, service, method, path, digest : str
        The request.
    request_id, key : str
        As the node sent them; empty if it did not.
    paid : bool
        Whether the request may run at most once.
    detail : str
        How the run ended, or why the request was refused.
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


@attrs.frozen
class _AnswerBody:
    digest: str = ''


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


def read_lines(path, kind):
    """Yield the records of a file of JSON lines.

    A last line that its writer was stopped in the middle of is left out.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    kind : type
        Class of the records.

    Yields
    ------
    object
        Instances of ``kind``.
    """
    decoder = msgspec.json.Decoder(kind)
    for line in path.read_bytes().split(b'\n')[:-1]:
        yield decoder.decode(line)
