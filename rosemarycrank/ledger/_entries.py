"""State of the keys that this node owns, bounded in number and bytes."""

import enum
import heapq

import attrs

from rosemarycrank import kernel

_FORGET_AT_ONCE = 500


class State(enum.Enum):
    """What has become of a key."""

    NOT_RUN = 'not-run'
    RUNNING = 'running'
    KEPT = 'kept'


@attrs.define(eq=False)
class Entry:
    """A key that this node owns.

    Attributes
    ----------
    digest : str
        Digest of the one request that the key stands for.
    expires : float
        When the key is past its validity, in seconds of the local clock.
    state : State
        Running, not run, or an outcome that is kept.
    answer : kernel.Answer or None
        Last answer; None before the first.
    allowance_left : int or None
        Retries that the key may still spend; None before its first run.
    reached_upstream : bool
        Whether a run reached an upstream, so that the next is a retry.
    waiting : list of Send
        Sends to answer when the running request ends.
    refused_call_ids : set of str
        Forwarded calls that were told that they did not run; a late copy
        of one must not run either.
    """

    digest: str
    expires: float
    state: State = State.NOT_RUN
    answer: kernel.Answer | None = None
    allowance_left: int | None = None
    reached_upstream: bool = False
    waiting: list = attrs.field(factory=list)
    refused_call_ids: set = attrs.field(factory=set)


class Entries:
    """Entries by key hash.

    An entry is forgotten only once the key is past its validity, since
    without its entry a key would count as never run.

    Parameters
    ----------
    max_keys : int
        Largest number of entries.
    max_kept_bytes : int
        Bytes of kept answers beyond which no entry is added.
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

    def add(self, key_hash, digest, expires):
        """Add the entry of a key.

        Parameters
        ----------
        key_hash : str
            Name of the key.
        digest : str
            Digest of its request.
        expires : float
            When the key is past its validity, in seconds of the local
            clock.

        Returns
        -------
        Entry
            The new entry.
        """
        entry = Entry(digest, expires)
        self._by_key_hash[key_hash] = entry
        heapq.heappush(self._expiries, (expires, key_hash))
        return entry

    def keep(self, entry, answer):
        """Keep the answer of an entry for the time of its validity."""
        entry.answer = answer
        self.kept_bytes += len(answer.body)

    def forget_expired(self, now):
        """Forget keys past their validity, a bounded number at once.

        Parameters
        ----------
        now : float
            Seconds of the local clock.
        """
        running = []
        for _ in range(_FORGET_AT_ONCE):
            if not self._expiries or self._expiries[0][0] > now:
                break
            expiry = heapq.heappop(self._expiries)
            if self._by_key_hash[expiry[1]].state is State.RUNNING:
                running.append(expiry)
            else:
                self._forget(expiry[1])
        for expiry in running:
            heapq.heappush(self._expiries, expiry)

    def _forget(self, key_hash):
        entry = self._by_key_hash.pop(key_hash)
        if entry.state is State.KEPT:
            self.kept_bytes -= len(entry.answer.body)
