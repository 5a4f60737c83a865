"""Rendezvous hashing: choices that change little as targets come and go."""

import hashlib

#: Length of a score, in bytes.
_SCORE_BYTES = 8


def ranked(key, records):
    """Return records in the order of preference of a key.

    All nodes get the same order for the same key. A record that is added or
    removed leaves the order of the others as it is.

    Parameters
    ----------
    key : str
        Who chooses, or what is chosen for.
    records : iterable of TargetRecord
        Records to choose from.

    Returns
    -------
    list of TargetRecord
        The records, the preferred one first.
    """
    prefix = key.encode() + b'|'
    return sorted(
        records, key=lambda record: _score(prefix + record.node.encode())
    )


def _score(data):
    return hashlib.blake2b(data, digest_size=_SCORE_BYTES).digest()
