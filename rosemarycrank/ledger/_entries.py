"""States of the keys that this node owns, bounded in number and bytes."""

import enum
import heapq

import attrs

from rosemarycrank import kernel

_MAX_EXPIRED_PER_SWEEP = 500


class State(enum.Enum):
    """State of the request of a key."""

    NOT_RUN = 'not-run'
    RUNNING = 'running'
    KEPT = 'kept'


@attrs.define(eq=False)
class Entry:
    """A key that this node owns.

    Attributes
    ----------
    digest : str
        Digest of the only request that may use the key.
    expires_at_s : float
        End of the validity of the key, in seconds of the local clock.
    state : State
        Not run, running, or ended with a kept answer.
    answer : kernel.Answer or None
        Last answer; None before the first.
    allowance_left : int or None
        Retries that the key may still spend; None before its first run.
    reached_upstream : bool
        Whether a run reached an upstream, so that the next run is a retry.
    waiting_sends : list of Send
        Sends to answer when the running request ends.
    refused_call_ids : set of str
        Forwarded calls that were answered as not run. A late copy of such
        a call must not run either.
    """

    digest: str
    expires_at_s: float
    state: State = State.NOT_RUN
    answer: kernel.Answer | None = None
    allowance_left: int | None = None
    reached_upstream: bool = False
    waiting_sends: list = attrs.field(factory=list)
    refused_call_ids: set = attrs.field(factory=set)


class Entries:
    """Entries by key hash.

    An entry is removed only after the validity of its key, because a valid
    key without an entry counts as never run.

    Parameters
    ----------
    max_keys : int
        Maximum number of entries.
    max_kept_bytes : int
        Size of the kept answers in bytes from which on no entry may be
        added.

    Attributes
    ----------
    kept_bytes : int
        Size of the bodies of the kept answers, in bytes.
    running : int
        Number of keys whose request is running.
    """

    def __init__(self, max_keys, max_kept_bytes):
        self._max_keys = max_keys
        self._max_kept_bytes = max_kept_bytes
        self._by_key_hash = {}
        self._expiries = []
        self.kept_bytes = 0
        self.running = 0

    def __len__(self):
        return len(self._by_key_hash)

    def items(self):
        """Return pairs of key hash and entry."""
        return self._by_key_hash.items()

    def get(self, key_hash):
        """Return the entry of a key, or None."""
        return self._by_key_hash.get(key_hash)

    def is_full(self):
        """Return whether no entry may be added."""
        return (
            len(self._by_key_hash) >= self._max_keys
            or self.kept_bytes >= self._max_kept_bytes
        )

    def add(self, key_hash, digest, expires_at_s):
        """Add the entry of a key.

        Parameters
        ----------
        key_hash : str
            Hash of the key.
        digest : str
            Digest of its request.
        expires_at_s : float
            End of the validity of the key, in seconds of the local clock.

        Returns
        -------
        Entry
            The new entry.
        """
        entry = Entry(digest, expires_at_s)
        self._by_key_hash[key_hash] = entry
        heapq.heappush(self._expiries, (expires_at_s, key_hash))
        return entry

    def store_answer(self, entry, answer):
        """Store the answer of an entry until the key expires."""
        entry.answer = answer
        self.kept_bytes += len(answer.body)

    def remove_expired(self, now):
        """Remove the entries of expired keys, a bounded number per call.

        Entries with a running request are left for a later call.

        Parameters
        ----------
        now : float
            Current time, in seconds of the local clock.
        """
        running = []
        for _ in range(_MAX_EXPIRED_PER_SWEEP):
            if not self._expiries or self._expiries[0][0] > now:
                break
            expiry = heapq.heappop(self._expiries)
            if self._by_key_hash[expiry[1]].state is State.RUNNING:
                running.append(expiry)
            else:
                self._remove(expiry[1])
        for expiry in running:
            heapq.heappush(self._expiries, expiry)

    def _remove(self, key_hash):
        entry = self._by_key_hash.pop(key_hash)
        if entry.state is State.KEPT:
            self.kept_bytes -= len(entry.answer.body)
