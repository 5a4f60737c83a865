"""Reading of records that other failure domains have and this node lacks."""

import attrs

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _probing

PULL_RETRY_S = 1.0

_NEVER = float('-inf')


@attrs.define
class _Pull:
    root_digest: int
    sender: str
    requested_at: float = _NEVER
    nonce: int = 0


class Pulls:
    """Compares digests with other domains until all records have been read.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    remote : RemoteView
        Records of other failure domains.
    """

    def __init__(self, context, remote):
        self.context = context
        self.remote = remote
        self._pull_by_domain = {}

    def clear(self):
        """Stop reading."""
        self._pull_by_domain.clear()

    def record_digest(self, name, root_digest, sender):
        """Record the digest in a heartbeat from another domain.

        Parameters
        ----------
        name : str
            Name of the domain.
        root_digest : int
            Digest of all records of the domain.
        sender : str
            Address of the node that sent the digest and has the records.
        """
        pull = self._pull_by_domain.get(name)
        if pull is None or pull.root_digest != root_digest:
            self._pull_by_domain[name] = _Pull(root_digest, sender)

    def record_reply(self, reply):
        """Record a reply, so that the next page may be read.

        Parameters
        ----------
        reply : DigestReply
            Reply of another domain.

        Returns
        -------
        bool
            Whether it answers the latest request to the domain.
        """
        pull = self._pull_by_domain.get(reply.failure_domain)
        if pull is None or pull.nonce != reply.nonce:
            return False
        pull.requested_at = _NEVER
        return True

    def tick(self, now):
        """Read from one domain whose records differ.

        One page per tick: a new bridge node has to read whole domains and
        must keep within the same limit on traffic as other nodes.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for name, pull in self._pull_by_domain.items():
            if now - pull.requested_at < PULL_RETRY_S:
                continue
            if self._is_up_to_date(name, pull):
                continue
            self._request(name, pull)
            # The other domains have their turn first.
            self._pull_by_domain[name] = self._pull_by_domain.pop(name)
            return

    def _is_up_to_date(self, name, pull):
        domain = self.remote.domain(name)
        return (
            domain.table.root_digest() == pull.root_digest and domain.confirmed
        )

    def _request(self, name, pull):
        pull.requested_at = self.context.now
        pull.nonce = _probing.new_nonce(self.context)
        digest = self.remote.domain(name).table.digest()
        self.context.send(
            pull.sender, _messages.Digest(pull.nonce, name, digest)
        )
