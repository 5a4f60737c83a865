"""Crashes of targets, and the requests that may have caused them.

A request may end the process of each target that runs it, and take a service
down through its repeats. A crash puts all requests under suspicion that ran at
the target. Only one of them may be the cause, if it is one of them; a good run
clears a request. A request is refused once two targets have crashed under it:
for long if nothing else explains that, and otherwise until a probe.

All nodes hold the same facts: which start of a target has crashed, which
requests ran there, and which of them were cleared. Facts are added and never
taken back, so the result of merging them depends neither on their order nor on
their repetition.
"""

import hashlib
import logging

import attrs

from rosemarycrank.dataplane import _crash_evidence
from rosemarycrank.dataplane import _frames

#: Time for which a request that is not refused any more stays under suspicion,
#: in seconds.
SUSPICION_S = 1800.0

#: Time for which facts are kept, in seconds. Those of other nodes are taken
#: for a shorter time, so that nodes whose clocks differ don't pass a fact to
#: and fro that each of them drops in between.
RETENTION_S = _crash_evidence.MAX_REFUSAL_S + SUSPICION_S
ACCEPTANCE_S = RETENTION_S - 600.0

#: Maximum number of crashes that are remembered, and of requests in one crash.
#: The oldest crashes are dropped.
MAX_CRASHES = 500
MAX_REQUESTS_IN_CRASH = 1000

#: Length of the hash of a fact, in bytes.
_FACT_HASH_BYTES = 7

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Crash:
    """One crash, as known to this node.

    Attributes
    ----------
    start : tuple of (str, int)
        Identifier and start time of the target that crashed.
    at_ms : int
        Unix time of the crash in milliseconds, by the node that saw it.
    crashed_at : float
        Time of the crash in seconds of the node's clock.
    suspects, cleared : set of int
        Digests of the requests that ran, and of those that were cleared.
    proven, watched : set of int
        Digests of those that had run well at that target's node, and of those
        that were suspected when their runs began.
    """

    start: tuple
    at_ms: int
    crashed_at: float
    suspects: set = attrs.field(factory=set)
    cleared: set = attrs.field(factory=set)
    proven: set = attrs.field(factory=set)
    watched: set = attrs.field(factory=set)

    @property
    def age_key(self):
        """Sort key; the same at all nodes."""
        return (self.at_ms, self.start)


class CrashHistory:
    """Facts about crashes, as known to one node.

    Parameters
    ----------
    reactor : Reactor
        Clocks of the node.
    on_crash : callable, optional
        Called with each new crash: the identifier and start time of the
        target, and the time of the crash in seconds of the node's clock.

    Attributes
    ----------
    digest : int
        Exclusive or of the hashes of all facts; 0 without any.
    """

    def __init__(self, reactor, on_crash=None):
        self.digest = 0
        self._reactor = reactor
        self._on_crash = on_crash
        self._crashes_by_start = {}
        self._crashes_by_suspect = {}
        self._repeat_suspects = set()
        self._refusal_s_by_suspect = {}
        self._own_starts = set()

    def __len__(self):
        return len(self._crashes_by_start)

    @property
    def suspects(self):
        """Digests of the requests that are under suspicion."""
        return [d for d in self._crashes_by_suspect if self.count_crashes(d)]

    def record_crash(self, instance, born_ms, digests, proven=(), watched=()):
        """Add a crash that this node has seen.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        born_ms : int
            Its start time in Unix milliseconds.
        digests : iterable of int
            Digests of the requests that ran there.
        proven, watched : iterable of int, optional
            Those among them that had run well at this node, and those that
            were suspected when their runs began.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
            The facts that were new.
        """
        self._own_starts.add((instance, born_ms))
        suspects = list(dict.fromkeys(digests))[:MAX_REQUESTS_IN_CRASH]
        at_ms = self._reactor.unix_ms()
        crash = _frames.Crash(
            instance, born_ms, at_ms, suspects, [], list(proven), list(watched)
        )
        return self.merge([crash])

    def merge(self, crashes):
        """Add facts.

        Parameters
        ----------
        crashes : iterable of rosemarycrank.dataplane.Crash
            The facts, those of other nodes too.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
            Those that were new.
        """
        new = []
        for crash in crashes:
            added = self._merge_crash(crash)
            if added is not None:
                new.append(added)
        if new:
            self._refusal_s_by_suspect.clear()
            self._drop_oldest()
            self._refusal_s_by_suspect.clear()
        return new

    def clear(self, digest, starts):
        """Clear a request that has run well of a crash before that run.

        One run clears it of one crash only, as a request may crash some of
        the targets that run it, but together with those that may have a
        common cause, unless nothing else explains them.

        Parameters
        ----------
        digest : int
            Digest of the request.
        starts : iterable of tuple of (str, int)
            Starts of the targets that had crashed under it before the run.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
            The facts that were new.
        """
        known = self._crashes_by_suspect.get(digest, [])
        crash = next((c for c in known if c.start in starts), None)
        if crash is None:
            return []
        cleared = [crash]
        everything = self._crashes_by_start.values()
        if not _crash_evidence.is_proved(digest, known, everything):
            before = [c for c in known if c.start in starts]
            cleared = _crash_evidence.with_common_cause(crash, before)
        return self.merge(
            _frames.Crash(*c.start, c.at_ms, [], [digest]) for c in cleared
        )

    def has_crashed(self, record):
        """Return whether the start of a target that a record names crashed.

        Parameters
        ----------
        record : TargetRecord
            Record of the target.
        """
        return (record.instance, record.born_ms) in self._crashes_by_start

    def starts_of(self, digest):
        """Return which starts of targets have crashed under a request.

        Parameters
        ----------
        digest : int
            Digest of the request.

        Returns
        -------
        tuple of tuple of (str, int)
            Identifiers and start times, the earliest crash first.
        """
        if not self.count_crashes(digest):
            return ()
        return tuple(c.start for c in self._crashes_by_suspect[digest])

    def count_crashes(self, digest):
        """Return how many crashes count against a request."""
        crashes = self._crashes_by_suspect.get(digest)
        if not crashes:
            return 0
        age_s = self._reactor.now() - crashes[-1].crashed_at
        if age_s > self._refusal_s(digest) + SUSPICION_S:
            return 0
        return len(crashes)

    def is_probed(self, digest):
        """Return whether a request may run as a probe only.

        Parameters
        ----------
        digest : int
            Digest of the request.
        """
        return digest in self._repeat_suspects and bool(
            self.count_crashes(digest)
        )

    def _refusal_s(self, digest):
        """Return for how long a request is refused after its last crash."""
        refusal_s = self._refusal_s_by_suspect.get(digest)
        if refusal_s is None:
            refusal_s = self._refusal_s_by_suspect[digest] = (
                _crash_evidence.refusal_s(
                    digest,
                    self._crashes_by_suspect[digest],
                    self._crashes_by_start.values(),
                )
            )
        return refusal_s

    def is_watched(self, digest):
        """Return whether the runs of a request have to be watched.

        Not if only one target has crashed under it, and that has a better
        explanation, a request under which another target has crashed too.
        Requests that share several crashes would explain them for each other.

        Parameters
        ----------
        digest : int
            Digest of the request.
        """
        if not self.count_crashes(digest):
            return False
        if digest in self._repeat_suspects:
            return True
        return not all(
            self._is_explained(crash, digest)
            for crash in self._crashes_by_suspect[digest]
        )

    def _is_explained(self, crash, digest):
        return any(
            other in crash.suspects and other not in crash.cleared
            for other in self._repeat_suspects
            if other != digest
        )

    def refused_for_s(self, digest):
        """Return for how long a request is refused, in seconds.

        Parameters
        ----------
        digest : int
            Digest of the request.

        Returns
        -------
        float
            The time; 0 if the request may run.
        """
        crashes = self._crashes_by_suspect.get(digest)
        if not crashes:
            return 0.0
        refused_until = crashes[-1].crashed_at + self._refusal_s(digest)
        return max(0.0, refused_until - self._reactor.now())

    def last_crash_at(self, digest):
        """Return the time of the last crash under a suspected request.

        Parameters
        ----------
        digest : int
            Digest of a request that is under suspicion.

        Returns
        -------
        float
            Seconds of the node's clock.
        """
        return self._crashes_by_suspect[digest][-1].crashed_at

    def facts(self):
        """Return all facts.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
        """
        return [
            _fact(crash, crash.suspects, crash.cleared)
            for crash in self._crashes_by_start.values()
        ]

    def lasting_facts(self):
        """Return the facts that this node has to keep in the store.

        They are about crashes that it has seen, and name the requests that
        are refused for them, or will be once another node's facts are added.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
        """
        facts = []
        for start in sorted(self._own_starts):
            crash = self._crashes_by_start.get(start)
            if crash is None:
                continue
            refused = self._repeat_suspects & crash.suspects - crash.cleared
            if refused:
                facts.append(_fact(crash, refused, ()))
        return facts

    def merge_own(self, crashes):
        """Add facts that an earlier process of this node has kept."""
        self._own_starts.update((c.instance, c.born_ms) for c in crashes)
        self.merge(crashes)

    def suspicions(self, digest=None):
        """Return the facts by which requests are under suspicion.

        Parameters
        ----------
        digest : int, optional
            Only those about this request.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
        """
        if digest is not None:
            crashes = self._crashes_by_suspect.get(digest, ())
            return [_fact(crash, [digest], ()) for crash in crashes]
        return [
            _fact(crash, crash.suspects - crash.cleared, ())
            for crash in self._crashes_by_start.values()
            if crash.suspects > crash.cleared
        ]

    def missing_from(self, crashes):
        """Return the facts that are not among those of another node.

        Parameters
        ----------
        crashes : iterable of rosemarycrank.dataplane.Crash
            All facts of the other node.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
        """
        known = {(crash.instance, crash.born_ms): crash for crash in crashes}
        missing = []
        for crash in self._crashes_by_start.values():
            other = known.get(crash.start)
            suspects, cleared = crash.suspects, crash.cleared
            if other is not None:
                suspects = suspects.difference(other.suspects)
                cleared = cleared.difference(other.cleared)
            if other is None or suspects or cleared:
                missing.append(_fact(crash, suspects, cleared))
        return missing

    def cleared_among(self, crashes):
        """Return which suspicions of another node have been lifted.

        Parameters
        ----------
        crashes : iterable of rosemarycrank.dataplane.Crash
            Suspicions of the other node.

        Returns
        -------
        list of rosemarycrank.dataplane.Crash
            The facts that clear these requests.
        """
        lifted = []
        for fact in crashes:
            crash = self._crashes_by_start.get((fact.instance, fact.born_ms))
            if crash is None:
                continue
            cleared = crash.cleared.intersection(fact.suspects)
            if cleared:
                lifted.append(_fact(crash, (), cleared))
        return lifted

    def _merge_crash(self, fact):
        age_s = (self._reactor.unix_ms() - fact.at_ms) / 1000.0
        if age_s > ACCEPTANCE_S:
            return None
        start = (fact.instance, fact.born_ms)
        crash = self._crashes_by_start.get(start)
        is_new = crash is None
        if is_new:
            crashed_at = self._reactor.now() - max(0.0, age_s)
            crash = _Crash(start, fact.at_ms, crashed_at)
            self._crashes_by_start[start] = crash
            self._toggle(crash, 0, 'crash')
            if self._on_crash is not None:
                self._on_crash(*start, crashed_at)
        suspects = [d for d in fact.suspects if d not in crash.suspects]
        cleared = [d for d in fact.cleared if d not in crash.cleared]
        crash.proven.update(fact.proven)
        crash.watched.update(fact.watched)
        self._refusal_s_by_suspect.clear()
        for digest in cleared:
            self._add_cleared(crash, digest)
        for digest in suspects:
            self._add_suspect(crash, digest)
        if not (is_new or suspects or cleared):
            return None
        return _fact(crash, suspects, cleared)

    def _add_suspect(self, crash, digest):
        crash.suspects.add(digest)
        self._toggle(crash, digest, 'suspect')
        if digest in crash.cleared:
            return
        crashes = self._crashes_by_suspect.setdefault(digest, [])
        crashes.append(crash)
        crashes.sort(key=lambda known: known.crashed_at)
        if len(crashes) >= _crash_evidence.CRASHES_TO_REFUSE:
            self._repeat_suspects.add(digest)
            _log_refusal(digest, crashes, self.refused_for_s(digest))

    def _add_cleared(self, crash, digest):
        crash.cleared.add(digest)
        self._toggle(crash, digest, 'cleared')
        if digest not in crash.suspects:
            return
        before = self.count_crashes(digest)
        self._remove_suspicion(crash, digest)
        if (
            before
            >= _crash_evidence.CRASHES_TO_REFUSE
            > (self.count_crashes(digest))
        ):
            _log_release(digest)

    def _remove_suspicion(self, crash, digest):
        crashes = self._crashes_by_suspect[digest]
        crashes.remove(crash)
        if len(crashes) < _crash_evidence.CRASHES_TO_REFUSE:
            self._repeat_suspects.discard(digest)
        if not crashes:
            del self._crashes_by_suspect[digest]

    def _drop_oldest(self):
        oldest_first = sorted(
            self._crashes_by_start.values(), key=lambda crash: crash.age_key
        )
        too_many = max(0, len(oldest_first) - MAX_CRASHES)
        expired_at_ms = self._reactor.unix_ms() - RETENTION_S * 1000.0
        for index, crash in enumerate(oldest_first):
            if index >= too_many and crash.at_ms >= expired_at_ms:
                return
            self._drop(crash)

    def _drop(self, crash):
        del self._crashes_by_start[crash.start]
        self._toggle(crash, 0, 'crash')
        for digest in crash.suspects:
            self._toggle(crash, digest, 'suspect')
            if digest not in crash.cleared:
                self._remove_suspicion(crash, digest)
        for digest in crash.cleared:
            self._toggle(crash, digest, 'cleared')

    def _toggle(self, crash, digest, kind):
        """Add a fact to the digest of all facts, or take it out."""
        text = f'{crash.start[0]} {crash.start[1]} {digest} {kind}'
        state = hashlib.blake2b(text.encode(), digest_size=_FACT_HASH_BYTES)
        self.digest ^= int.from_bytes(state.digest(), 'big')


def _fact(crash, suspects, cleared):
    return _frames.Crash(
        *crash.start,
        crash.at_ms,
        sorted(suspects),
        sorted(cleared),
        sorted(crash.proven.intersection(suspects)),
        sorted(crash.watched.intersection(suspects)),
    )


def _log_refusal(digest, crashes, refusal_s):
    shared = set.intersection(*(crash.suspects for crash in crashes))
    spread_ms = max(c.at_ms for c in crashes) - min(c.at_ms for c in crashes)
    _LOG.warning(
        'request %x is refused: %d targets have crashed under it',
        digest,
        len(crashes),
        extra={
            'event': 'crash_suspect_refused',
            'digest': '%x' % digest,
            'crashes': len(crashes),
            'refusal_s': round(refusal_s, 1),
            # Other requests that ran at all of these crashes, and the time
            # between the first and the last one.
            'shared_with': len(shared) - 1,
            'spread_ms': spread_ms,
        },
    )


def _log_release(digest):
    _LOG.info(
        'request %x is not refused any more, as it has run well',
        digest,
        extra={'event': 'crash_suspect_released', 'digest': '%x' % digest},
    )
