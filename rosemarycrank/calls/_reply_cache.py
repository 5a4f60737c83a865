"""Replies that a target's node keeps for duplicates of attempts."""

import collections

import attrs

from rosemarycrank import messages


@attrs.frozen
class CachedReply:
    """The reply to an attempt; None if it was evicted.

    ``expires_at`` is in seconds of the local clock.
    """

    reply: messages.AttemptReply | None
    expires_at: float


class ReplyCache:
    """Replies and revocations by attempt ID.

    Parameters
    ----------
    validity_s : float
        Seconds for which a reply is kept.
    max_bytes : int
        Maximum total size of the bodies. Beyond it, the oldest replies are
        evicted; their attempt IDs stay.

    Attributes
    ----------
    body_bytes : int
        Total size of the bodies.
    """

    def __init__(self, validity_s, max_bytes):
        self.validity_s = validity_s
        self.max_bytes = max_bytes
        self.body_bytes = 0
        self._cached_by_attempt_id = collections.OrderedDict()

    def __len__(self):
        return len(self._cached_by_attempt_id)

    def add(self, reply, now):
        """Add the reply to an attempt that has none yet.

        Parameters
        ----------
        reply : rosemarycrank.messages.AttemptReply
            The reply.
        now : float
            Current time in seconds.
        """
        self._cached_by_attempt_id[reply.attempt_id] = CachedReply(
            reply, now + self.validity_s
        )
        self.body_bytes += len(reply.body)
        if self.body_bytes > self.max_bytes:
            self._evict_replies()

    def find(self, attempt_id):
        """Return the cached reply to an attempt.

        Parameters
        ----------
        attempt_id : str
            ID of the attempt.

        Returns
        -------
        CachedReply or None
            None if the attempt is unknown.
        """
        return self._cached_by_attempt_id.get(attempt_id)

    def remove_expired(self, now):
        """Remove the replies past their validity.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        while self._cached_by_attempt_id:
            cached = next(iter(self._cached_by_attempt_id.values()))
            if cached.expires_at > now:
                break
            self._cached_by_attempt_id.popitem(last=False)
            if cached.reply is not None:
                self.body_bytes -= len(cached.reply.body)

    def _evict_replies(self):
        # The attempt IDs stay, so a late duplicate still cannot run.
        for attempt_id, cached in self._cached_by_attempt_id.items():
            if self.body_bytes <= self.max_bytes:
                break
            if cached.reply is not None and cached.reply.body:
                self.body_bytes -= len(cached.reply.body)
                self._cached_by_attempt_id[attempt_id] = CachedReply(
                    None, cached.expires_at
                )
