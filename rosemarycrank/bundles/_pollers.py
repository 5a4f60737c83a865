"""Choice of the nodes that poll the platform for a failure domain."""

import hashlib

_SCORE_BYTES = 8


class Pollers:
    """Chooses pollers by rendezvous hashing over the members.

    Nodes whose views differ may choose differently; more pollers than
    needed cost reads and do no other harm.

    Parameters
    ----------
    count : int
        Pollers in one failure domain.
    """

    def __init__(self, count):
        self.count = count
        self._members = None
        self._chosen = frozenset()

    def chosen(self, members):
        """Return the pollers.

        Parameters
        ----------
        members : sequence of str
            Addresses of the nodes of the failure domain.

        Returns
        -------
        frozenset of str
            Addresses of the pollers.
        """
        members = tuple(members)
        if members != self._members:
            self._members = members
            self._chosen = frozenset(sorted(members, key=_score)[: self.count])
        return self._chosen


def _score(address):
    text = f'bundle poller {address}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
