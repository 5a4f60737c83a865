"""Requests that may crash the target that runs them.

Guards against a request that ends the process of each target it reaches, and
takes the service down through its repeats. Requests are compared by digest.

A crash puts all requests under suspicion that ran at the target. Only one of
them may be the cause; a good run clears a request. A request is refused once
two targets have crashed under it.
"""

import collections
import logging
import math

import attrs

#: Number of crashes under a request after which it is refused.
CRASHES_TO_REFUSE = 2

#: Time for which a request is refused, in seconds; doubles with each further
#: crash. Each node adds up to the share of jitter, so that not all nodes let
#: the request through again at the same moment.
MIN_REFUSAL_S = 60.0
MAX_REFUSAL_S = 900.0
REFUSAL_JITTER = 0.5

#: Time after the last crash under a request until it is forgotten, in seconds.
RETENTION_S = 1800.0

#: Time after a refusal has begun during which lost requests are not repeated
#: and suspects run one at a time, in seconds.
CONFIRMATION_S = 10.0

#: Time during which reports of good runs of a request count as one, in
#: seconds: the nodes on both ends of an attempt report it.
GOOD_RUN_INTERVAL_S = 0.5

#: Number of suspects that run at a target at once, and that number while a
#: request is known to crash targets.
MAX_SUSPECT_RUNS = 8
MAX_CONFIRMED_SUSPECT_RUNS = 1

#: Maximum number of suspects that are remembered; the oldest are dropped.
MAX_SUSPECTS = 10000

_LOG = logging.getLogger(__name__)


@attrs.define(slots=True)
class _Suspect:
    """Crashes under one request.

    Attributes
    ----------
    crashes : int
        Number of crashes, less the good runs since.
    last_crash_at, good_run_at, refused_until : float
        Seconds of the node's clock.
    """

    crashes: int = 0
    last_crash_at: float = 0.0
    good_run_at: float = -math.inf
    refused_until: float = 0.0


class CrashSuspects:
    """Requests under suspicion, as known to one node.

    Parameters
    ----------
    random : random.Random
        Random source.

    """

    def __init__(self, random):
        self._random = random
        self._by_digest = collections.OrderedDict()
        self._confirmed_at = None

    def __contains__(self, request_digest):
        return request_digest in self._by_digest

    def __len__(self):
        return len(self._by_digest)

    def record_crash(self, digests, now):
        """Add a crash of a target to the requests that ran there.

        Parameters
        ----------
        digests : iterable of int
            Digests of these requests.
        now : float
            Seconds of the node's clock.
        """
        for request_digest in set(digests):
            suspect = self._by_digest.setdefault(request_digest, _Suspect())
            self._by_digest.move_to_end(request_digest)
            suspect.crashes += 1
            suspect.last_crash_at = now
            if suspect.crashes >= CRASHES_TO_REFUSE:
                self._refuse(request_digest, suspect, now)
        self._drop_oldest(now)

    def record_good_run(self, request_digest, now):
        """Lower the suspicion of a request after a run without a crash.

        Parameters
        ----------
        request_digest : int
            Its digest.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        bool
            Whether the run has lowered the suspicion of the request.
        """
        suspect = self._by_digest.get(request_digest)
        if suspect is None or now - suspect.good_run_at < GOOD_RUN_INTERVAL_S:
            return False
        suspect.good_run_at = now
        suspect.refused_until = 0.0
        if suspect.crashes >= CRASHES_TO_REFUSE:
            _LOG.info(
                'request %x is not refused any more, as it has run well',
                request_digest,
                extra={
                    'event': 'crash_suspect_released',
                    'digest': '%x' % request_digest,
                },
            )
        suspect.crashes -= 1
        if suspect.crashes <= 0:
            del self._by_digest[request_digest]
        return True

    def count_crashes(self, request_digest):
        """Return how many crashes count against a request."""
        suspect = self._by_digest.get(request_digest)
        return 0 if suspect is None else suspect.crashes

    def refused_for_s(self, request_digest, now):
        """Return for how long a request is refused, in seconds.

        Parameters
        ----------
        request_digest : int
            Its digest.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float
            The time; 0 if the request may run.
        """
        suspect = self._by_digest.get(request_digest)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.refused_until - now)

    def max_runs(self, now):
        """Return how many suspects may run at a target at once.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self.is_confirmed(now):
            return MAX_CONFIRMED_SUSPECT_RUNS
        return MAX_SUSPECT_RUNS

    def is_confirmed(self, now):
        """Return whether a request has lately crashed a second target.

        Then requests that are lost in a crash are not repeated: one of them
        may be another request of that kind.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        return (
            self._confirmed_at is not None
            and now - self._confirmed_at < CONFIRMATION_S
        )

    def may_repeat(self, request_digest, now):
        """Return whether a request that was lost may be sent again.

        Parameters
        ----------
        request_digest : int
            Its digest.
        now : float
            Seconds of the node's clock.
        """
        if request_digest not in self._by_digest:
            return True
        return not (
            self.is_confirmed(now) or self.refused_for_s(request_digest, now)
        )

    def _refuse(self, request_digest, suspect, now):
        self._confirmed_at = now
        doublings = suspect.crashes - CRASHES_TO_REFUSE
        refusal_s = min(MAX_REFUSAL_S, MIN_REFUSAL_S * 2.0**doublings)
        refusal_s *= 1.0 + REFUSAL_JITTER * self._random.random()
        suspect.refused_until = now + refusal_s
        _LOG.warning(
            'request %x is refused: %d targets have crashed under it',
            request_digest,
            suspect.crashes,
            extra={
                'event': 'crash_suspect_refused',
                'digest': '%x' % request_digest,
                'refusal_s': round(refusal_s, 1),
            },
        )

    def _drop_oldest(self, now):
        by_digest = self._by_digest
        while by_digest:
            oldest = next(iter(by_digest.values()))
            if (
                len(by_digest) <= MAX_SUSPECTS
                and now - oldest.last_crash_at <= RETENTION_S
            ):
                return
            by_digest.popitem(last=False)
