"""Figures of the simulation of overload control."""

import collections

import attrs

from benchmarks import _model_settings

RECOVERY_WINDOW_S = 2.0
RECOVERY_STEP_S = 0.25
#: Share of the expected completions from which on a window has recovered.
RECOVERED_SHARE = 0.95


@attrs.define
class Tally:
    """Counts and sums of one simulation.

    Work is in seconds of service time. The work for the current send of a
    request is kept by the request's number until the send has ended.
    """

    early_refusals: int = 0
    retries: int = 0
    completions: list = attrs.field(factory=list)
    wasted_work_s: float = 0.0
    total_work_s: float = 0.0
    _work_s_by_request: collections.Counter = attrs.field(
        factory=collections.Counter
    )

    def start_send(self, request):
        """Count work for a new send of a request from here on."""
        self._work_s_by_request[request.number] = 0.0

    def add_work(self, request, work_s):
        """Add work for the current send of a request."""
        self._work_s_by_request[request.number] += work_s

    def end_send(self, request, completed, now):
        """Record the end of a send of a request.

        Parameters
        ----------
        request : Request
            The request.
        completed : bool
            Whether the client got a complete answer.
        now : float
            Virtual time in seconds.
        """
        work_s = self._work_s_by_request.pop(request.number, 0.0)
        self.total_work_s += work_s
        if completed:
            self.completions.append(now)
        else:
            self.wasted_work_s += work_s


def summarize(variant_name, slowdown, requests, tally):
    """Return the figures of a simulation.

    Parameters
    ----------
    variant_name : str
        Name of the variant.
    slowdown : float
        Factor of the leaf's service time during the surge.
    requests : list of Request
        All client requests.
    tally : Tally
        Counts and sums.

    Returns
    -------
    dict
        Shares of completed requests ``before``, during (by rank) and
        ``after`` the surge, its goodput as a share of what the slowed leaf
        could serve (``surge``), the seconds until recovery, the share of
        wasted work, and counts of early refusals and retries.
    """
    surge_start = _model_settings.SURGE_START_S
    surge_end = _model_settings.SURGE_END_S
    before = _created_between(
        requests, _model_settings.WARM_UP_END_S, surge_start
    )
    after = _created_between(
        requests, surge_end + _model_settings.SETTLE_S, _model_settings.END_S
    )
    surge_capacity = _model_settings.CAPACITY_PER_S / slowdown
    surge_completions = _count_between(
        tally.completions, surge_start, surge_end
    )
    return {
        'variant': variant_name,
        'before': _completed_share(before),
        'surge': surge_completions
        / (surge_end - surge_start)
        / surge_capacity,
        'surge_by_rank': _completed_shares_by_rank(
            _created_between(requests, surge_start, surge_end)
        ),
        'after': _completed_share(after),
        'recovery_s': _recovery_s(requests, tally.completions),
        'wasted': tally.wasted_work_s / max(tally.total_work_s, 1e-9),
        'early': tally.early_refusals,
        'retries': tally.retries,
    }


def _created_between(requests, start, end):
    return [
        request for request in requests if start <= request.created_at < end
    ]


def _count_between(times, start, end):
    return sum(start <= time < end for time in times)


def _completed_share(requests):
    return sum(request.completed for request in requests) / max(
        1, len(requests)
    )


def _completed_shares_by_rank(requests):
    return [
        round(
            _completed_share([r for r in requests if r.rank == rank]),
            3,
        )
        for rank in range(len(_model_settings.SHARE_BY_RANK))
    ]


def _recovery_s(requests, completions):
    """Return the time from the end of the surge to lasting recovery.

    Goodput has recovered when every later window of 2 s has at least 95% of
    the expected completions. These are the lesser of the completions at the
    goodput before the surge and the arrivals in the same window a quarter of
    a second earlier.
    """
    goodput_before_per_s = _goodput_before_per_s(requests)
    recovered = start = _model_settings.SURGE_END_S
    while start + RECOVERY_WINDOW_S < _model_settings.END_S:
        end = start + RECOVERY_WINDOW_S
        arrivals = _created_between(
            requests, start - RECOVERY_STEP_S, end - RECOVERY_STEP_S
        )
        expected_count = min(
            RECOVERY_WINDOW_S * goodput_before_per_s, len(arrivals)
        )
        completed_count = _count_between(completions, start, end)
        if completed_count < RECOVERED_SHARE * expected_count:
            recovered = start + RECOVERY_STEP_S
        start += RECOVERY_STEP_S
    return recovered - _model_settings.SURGE_END_S


def _goodput_before_per_s(requests):
    start = _model_settings.WARM_UP_END_S
    end = _model_settings.SURGE_START_S
    completed_count = sum(
        request.completed for request in _created_between(requests, start, end)
    )
    return completed_count / (end - start)
