"""Drain, margins and cut-offs, scaled to the grace period.

Each margin has a duration and a maximum share, so that a short grace period
still leaves time to finish requests.
"""

import attrs

#: Seconds between the beginning of the exit and the end of the grace period,
#: so that the process exits before it is killed, and the maximum share of the
#: grace period.
EXIT_MARGIN_S = 0.5
MAX_EXIT_MARGIN_SHARE = 0.3

#: Maximum share of the time until the exit that is left after the drain.
MAX_CLOSING_SHARE = 0.25

#: Seconds between the latest end of runs and the end of the drain, and the
#: maximum share of the drain. A target answers at its deadline, which its node
#: counts from the arrival of the attempt; and the answer has to arrive.
RESULT_MARGIN_S = 0.4
MAX_RESULT_MARGIN_SHARE = 0.1

#: Seconds before the end of the drain in which calls of the local upstream are
#: refused, because they might not finish in time, and the maximum share of the
#: drain.
CALL_CUTOFF_S = 1.0
MAX_CUTOFF_SHARE = 0.2


@attrs.frozen
class StopTimes:
    """Times of a planned stop, in seconds of the local clock.

    Attributes
    ----------
    calls_end_at : float
        Time from which calls of the local upstream are refused.
    runs_end_at : float
        Latest deadline of what is sent to a target during the stop.
    drain_ends_at : float
        Time at which whatever is left is answered.
    exits_at : float
        Latest time at which the process begins to exit.
    """

    calls_end_at: float
    runs_end_at: float
    drain_ends_at: float
    exits_at: float


def plan(now, grace_s, closing_s=0.0):
    """Return the times of a planned stop that begins now.

    Parameters
    ----------
    now : float
        Current time in seconds of the local clock.
    grace_s : float
        Seconds from the stop signal until the process is killed.
    closing_s : float, default=0.0
        Seconds between the end of the drain and the exit; a short grace
        period leaves less.

    Returns
    -------
    StopTimes
        The times.
    """
    exits_at = now + grace_s - exit_margin_s(grace_s)
    drain_s = max_drain_s(grace_s, closing_s)
    drain_ends_at = now + drain_s
    return StopTimes(
        calls_end_at=drain_ends_at
        - limit_to_share(CALL_CUTOFF_S, drain_s, MAX_CUTOFF_SHARE),
        runs_end_at=drain_ends_at
        - limit_to_share(RESULT_MARGIN_S, drain_s, MAX_RESULT_MARGIN_SHARE),
        drain_ends_at=drain_ends_at,
        exits_at=exits_at,
    )


def max_drain_s(grace_s, closing_s=0.0):
    """Return the time from the stop signal to the latest end of the drain.

    Parameters
    ----------
    grace_s : float
        Seconds from the stop signal until the process is killed.
    closing_s : float, default=0.0
        Seconds between the end of the drain and the exit; a short grace
        period leaves less.

    Returns
    -------
    float
        Seconds.
    """
    max_stop_s = grace_s - exit_margin_s(grace_s)
    return max_stop_s - limit_to_share(
        closing_s, max_stop_s, MAX_CLOSING_SHARE
    )


def exit_margin_s(grace_s):
    """Return the time that the exit itself may take.

    Parameters
    ----------
    grace_s : float
        Seconds from the stop signal until the process is killed.

    Returns
    -------
    float
        Seconds.
    """
    return limit_to_share(EXIT_MARGIN_S, grace_s, MAX_EXIT_MARGIN_SHARE)


def limit_to_share(duration_s, whole_s, max_share):
    """Return a duration, or the maximum share of the whole if that is less.

    Parameters
    ----------
    duration_s, whole_s : float
        Seconds.
    max_share : float
        Share in [0, 1].

    Returns
    -------
    float
        Seconds.
    """
    return min(duration_s, whole_s * max_share)
