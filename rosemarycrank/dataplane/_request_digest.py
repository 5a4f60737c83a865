"""Digest by which repeats of a request are recognised.

A repeat has a request identifier of its own, and may come at any VM. The name
of the route is left out, as it changes with the configuration.
"""

import hashlib

#: Length of a digest, in bytes.
DIGEST_BYTES = 7


def digest(caller_service, host, method, target, body):
    """Return a number that is the same for each repeat of a request.

    Parameters
    ----------
    caller_service : bytes
        Service on the VM where the request begins.
    host : bytes
        Host of the request.
    method, target : bytes
        Method, and request target of HTTP: path and query.
    body : bytes
        Body of the request.

    Returns
    -------
    int
        The digest; not 0.
    """
    # None of these parts has a zero byte, as the parser has checked.
    head = b'\0'.join((caller_service, host, method, target, b''))
    state = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    if body:
        state.update(body)
    return int.from_bytes(state.digest(), 'big') or 1
