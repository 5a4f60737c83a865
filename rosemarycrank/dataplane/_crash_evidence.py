"""Weighs how far a request explains the crashes of targets that ran it.

Targets may also end for a cause outside: a rack, a failure domain, a release.
Then requests that many clients send have run at several of them. Two crashes
prove something only if nothing else explains them.
"""

import math

#: Number of crashes under a request after which it is refused.
CRASHES_TO_REFUSE = 2

#: Time for which a request is refused after its last crash if nothing else
#: explains its crashes, in seconds, and the growth of that time with each
#: further crash. It would otherwise end a target each time.
MIN_REFUSAL_S = 60.0
REFUSAL_GROWTH = 4.0
MAX_REFUSAL_S = 4.0 * 3600.0

#: The same if something else may explain them, in seconds. Then one run of the
#: request at a time, without other suspected ones beside it, shows what it
#: does.
PROBE_DELAY_S = 1.5

#: Number of separate runs under suspicion that end their targets, after which
#: other ends at about the same times explain nothing.
FAILED_PROBES_AS_PROOF = 2

#: Number of crashes in some time, in milliseconds, before another one, from
#: which on chance may explain that one.
CRASHES_IN_SERIES = 5
SERIES_MS = 10_000

#: Longest time between two crashes that may have a common cause, in
#: milliseconds.
COMMON_CAUSE_MS = 1000


def refusal_s(digest, crashes, all_crashes):
    """Return for how long a request is refused after its last crash.

    Parameters
    ----------
    digest : int
        Digest of the request.
    crashes : list of Crash
        Crashes under it that it was not cleared of.
    all_crashes : collection of Crash
        All crashes that are known.

    Returns
    -------
    float
        Time in seconds; 0 if it is not refused.
    """
    count = len(crashes)
    if count < CRASHES_TO_REFUSE:
        return 0.0
    if not is_proved(digest, crashes, all_crashes):
        return _probe_delay_s(digest, crashes, all_crashes)
    growth = REFUSAL_GROWTH ** min(count - CRASHES_TO_REFUSE, 16)
    return min(MAX_REFUSAL_S, MIN_REFUSAL_S * growth)


def _probe_delay_s(digest, crashes, all_crashes):
    """Return the pause before the next probe; it grows as they fail."""
    failed = _count_failed_probes(digest, crashes, all_crashes)
    growth = REFUSAL_GROWTH ** min(max(0, failed - 1), 16)
    return min(MIN_REFUSAL_S, PROBE_DELAY_S * growth)


def is_proved(digest, crashes, all_crashes):
    """Return whether a request is taken for the cause of its crashes.

    Either nothing else explains them, or targets have crashed in several runs
    that began when it was suspected: if targets end all the time for other
    causes, each crash coincides with one.

    Parameters
    ----------
    digest, crashes, all_crashes
        As for `refusal_s`.
    """
    return _is_only_cause(digest, crashes, all_crashes) or _has_failed_probes(
        digest, crashes, all_crashes
    )


def _is_only_cause(digest, crashes, all_crashes):
    """Return whether nothing else explains the crashes of a request.

    One crash is enough if its run began when the request was suspected, as
    such runs have no other suspects beside them, unless targets end all the
    time. Otherwise it takes two, and the request must not have run well
    before.
    """
    alone = [
        crash
        for crash in crashes
        if not _is_shared(digest, crash, crashes)
        and not _is_coincident(digest, crash, all_crashes)
    ]
    if any(
        digest in crash.watched and not _is_in_series(crash, all_crashes)
        for crash in alone
    ):
        return True
    unproven = [crash for crash in alone if digest not in crash.proven]
    return len(unproven) >= CRASHES_TO_REFUSE


def _has_failed_probes(digest, crashes, all_crashes):
    """Return whether targets have crashed in several runs under suspicion.

    Not if another request ran at all crashes: it explains as much.
    """
    failed = _count_failed_probes(digest, crashes, all_crashes)
    if failed < FAILED_PROBES_AS_PROOF:
        return False
    return set.intersection(*map(_likely_causes, crashes)) <= {digest}


def _count_failed_probes(digest, crashes, all_crashes):
    """Count the runs under suspicion in which targets crashed.

    Those that may have a common cause count once, those with a better
    explanation not at all.
    """
    watched = [crash for crash in crashes if digest in crash.watched]
    if len(watched) < FAILED_PROBES_AS_PROOF:
        return len(watched)
    count = 0
    counted_ms = -math.inf
    for crash in sorted(watched, key=lambda crash: crash.at_ms):
        is_separate = crash.at_ms - counted_ms > COMMON_CAUSE_MS
        if is_separate and not _is_explained(digest, crash, all_crashes):
            count += 1
            counted_ms = crash.at_ms
    return count


def _is_explained(digest, crash, all_crashes):
    """Return whether another request is the only cause of a crash."""
    others = set()
    for other in all_crashes:
        if other is not crash:
            others |= _likely_causes(crash) & other.suspects
    others.discard(digest)
    return any(
        _is_only_cause(
            other, [c for c in all_crashes if _counts(c, other)], all_crashes
        )
        for other in others
    )


def _counts(crash, digest):
    return digest in crash.suspects and digest not in crash.cleared


def _likely_causes(crash):
    """Return the requests that ran at a crash, but for unlikely causes."""
    return crash.suspects - crash.cleared - crash.proven


def _is_in_series(crash, all_crashes):
    """Return whether many other targets ended in the time before a crash."""
    first_ms = crash.at_ms - SERIES_MS
    count = sum(first_ms <= c.at_ms < crash.at_ms for c in all_crashes)
    return count >= CRASHES_IN_SERIES


def _is_shared(digest, crash, crashes):
    """Return whether another request ran at this and another crash.

    One that has run well before is no likely explanation.
    """
    others = _likely_causes(crash) - {digest}
    return any(
        not others.isdisjoint(other.suspects - other.cleared)
        for other in crashes
        if other is not crash
    )


def with_common_cause(crash, crashes):
    """Return those crashes that may have the same cause outside as one."""
    return [
        other
        for other in crashes
        if abs(other.at_ms - crash.at_ms) <= COMMON_CAUSE_MS
    ]


def _is_coincident(digest, crash, all_crashes):
    """Return whether a target that did not run it ended at about that time."""
    return any(
        digest not in other.suspects
        for other in with_common_cause(crash, all_crashes)
    )
