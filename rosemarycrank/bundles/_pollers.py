"""Selection of the nodes that poll the platform for a failure domain."""

import hashlib

_SCORE_BYTES = 8


class PollerSelector:
    """Selects pollers by rendezvous hashing over the members.

    Nodes with different views of the membership may select different
    pollers. Extra pollers only cost additional reads.

    Parameters
    ----------
    count : int
        Number of pollers in one failure domain.
    """

    def __init__(self, count):
        self.count = count
        self._members = None
        self._pollers = frozenset()

    def select(self, members):
        """Return the pollers.

        Parameters
        ----------
        members : sequence of str
            Addresses of the failure domain's nodes.

        Returns
        -------
        frozenset of str
            Addresses of the pollers.
        """
        members = tuple(members)
        if members != self._members:
            self._members = members
            self._pollers = frozenset(
                sorted(members, key=_score)[: self.count]
            )
        return self._pollers


def _score(address):
    text = f'bundle poller {address}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
