"""Computes figures of a run from client history and upstream runs."""

import collections
import math
import pathlib

import attrs

from benchmarks import _overload_setup
from rosemarycrank import load

#: Length of the windows in which recovery is assessed: completions are
#: compared with the lesser of the goodput before the trigger and the arrivals
#: one step earlier.
WINDOW_S = 2.0
WINDOW_STEP_S = 0.25
RECOVERED_SHARE = 0.95
#: Excluded from the figures before the trigger, because connections and
#: limits are not yet stable.
WARM_UP_S = 1.5
SERIES_STEP_S = 0.5


@attrs.define
class _Request:
    class_name: str
    due_at: float
    started_at: float
    ended_at: float = math.inf
    completed: bool = False
    sends: int = 0


class _History:
    """Requests of a client history.

    Times are in seconds since the first request was due.
    """

    def __init__(self, path):
        self.by_nonce = {}
        for record in load.read_records(pathlib.Path(path), load.ClientEvent):
            self._add_event(record)
        start = min(request.due_at for request in self.by_nonce.values())
        for request in self.by_nonce.values():
            request.due_at -= start
            request.started_at -= start
            request.ended_at -= start

    def due_between(self, start, end):
        """Return the requests that were due in an interval."""
        return [
            request
            for request in self.by_nonce.values()
            if start <= request.due_at < end
        ]

    def completions(self):
        """Return the times of complete answers, in ascending order."""
        return sorted(
            request.ended_at
            for request in self.by_nonce.values()
            if request.completed
        )

    def _add_event(self, record):
        if record.event == 'begin':
            self.by_nonce[record.nonce] = _Request(
                record.class_name, record.at, record.at
            )
            return
        request = self.by_nonce[record.nonce]
        if record.event == 'answer':
            request.sends += 1
        elif record.event == 'end':
            request.ended_at = record.at
            request.due_at = min(
                request.started_at, record.at - record.latency_s
            )
            request.completed = record.outcome == 'complete' and (
                record.status == 200
            )


def compute_figures(history_path, run_paths, scenario):
    """Compute the figures of a run.

    Parameters
    ----------
    history_path : pathlib.Path
        History file of the load generator.
    run_paths : iterable of pathlib.Path
        Files to which the upstreams wrote their runs.
    scenario : Scenario
        Scenario of the run.

    Returns
    -------
    dict
        Values that can be encoded as JSON; shares are in [0, 1] and times in
        seconds, unless the key has another unit.
    """
    history = _History(history_path)
    times = scenario.times
    requests_before = history.due_between(WARM_UP_S, times.trigger_s)
    requests_during = history.due_between(times.trigger_s, times.trigger_end_s)
    requests_after = history.due_between(
        times.trigger_end_s + 2.0, times.end_s
    )
    completions = history.completions()
    completed_during = sum(
        times.trigger_s <= completed_at < times.trigger_end_s
        for completed_at in completions
    )
    capacity = _overload_setup.CAPACITY_PER_S * scenario.capacity
    duration_s = times.trigger_end_s - times.trigger_s
    offered = len(requests_during) / duration_s
    return {
        'before_share': _completed_share(requests_before),
        'trigger_goodput_per_s': completed_during / duration_s,
        'trigger_goodput_of_possible': completed_during
        / duration_s
        / min(capacity, offered),
        'trigger_share_by_class': _completed_share_by_class(requests_during),
        'after_share': _completed_share(requests_after),
        'after_share_by_class': _completed_share_by_class(requests_after),
        'recovery_s': _recovery_s(history, completions, times),
        'sends_per_request': _mean(
            request.sends for request in history.by_nonce.values()
        ),
        'driver_late_ms': _start_delays_ms(history),
        'series': _time_series(history, completions, times),
    } | _run_figures(history, run_paths)


def _completed_share(requests):
    return sum(request.completed for request in requests) / max(
        1, len(requests)
    )


def _completed_share_by_class(requests):
    return {
        name: _completed_share(
            [request for request in requests if request.class_name == name]
        )
        for name in _overload_setup.SHARE_BY_CLASS
    }


def _mean(values):
    values = list(values)
    return sum(values) / max(1, len(values))


def _recovery_s(history, completions, times):
    """Return the time from the trigger's end to lasting recovery.

    It is None if goodput does not recover before the end of the run.
    """
    duration_s = times.trigger_s - WARM_UP_S
    completed_before = sum(
        WARM_UP_S <= completed_at < times.trigger_s
        for completed_at in completions
    )
    recovered = start = times.trigger_end_s
    last = times.end_s - WINDOW_S
    while start <= last:
        arrived_count = len(
            history.due_between(
                start - WINDOW_STEP_S, start - WINDOW_STEP_S + 2.0
            )
        )
        completed_count = sum(
            start <= completed_at < start + WINDOW_S
            for completed_at in completions
        )
        expected_count = min(
            completed_before / duration_s * WINDOW_S, arrived_count
        )
        if completed_count < RECOVERED_SHARE * expected_count:
            recovered = start + WINDOW_STEP_S
        start += WINDOW_STEP_S
    return None if recovered > last else recovered - times.trigger_end_s


def _start_delays_ms(history):
    """Return the delay at which requests were started, at p50 and p99."""
    delays_ms = sorted(
        max(0.0, request.started_at - request.due_at) * 1000
        for request in history.by_nonce.values()
    )
    return [
        delays_ms[int(len(delays_ms) * quantile)] for quantile in (0.5, 0.99)
    ]


def _time_series(history, completions, times):
    """Return offered and completed requests per second over time."""
    steps = int(times.end_s / SERIES_STEP_S)
    offered, completed = [0] * steps, [0] * steps
    for request in history.by_nonce.values():
        step = int(request.due_at / SERIES_STEP_S)
        if step < steps:
            offered[step] += 1
    for completed_at in completions:
        step = int(completed_at / SERIES_STEP_S)
        if step < steps:
            completed[step] += 1
    return {
        'step_s': SERIES_STEP_S,
        'offered_per_s': [count / SERIES_STEP_S for count in offered],
        'whole_per_s': [count / SERIES_STEP_S for count in completed],
    }


def _run_figures(history, run_paths):
    """Return the runs per request by depth and the share of wasted runs.

    A run is wasted if its client request was not completed.
    """
    runs_by_depth = collections.Counter()
    wasted = 0
    for path in run_paths:
        for record in load.read_records(pathlib.Path(path), load.RunEvent):
            if record.event != 'start':
                continue
            root, _, nested_path = record.nonce.partition('.')
            depth = 1 + len(nested_path.split('.')) if nested_path else 1
            runs_by_depth[depth] += 1
            wasted += not history.by_nonce[root].completed
    total = sum(runs_by_depth.values())
    count = len(history.by_nonce)
    return {
        'runs_per_request_by_depth': {
            str(depth): runs / count
            for depth, runs in sorted(runs_by_depth.items())
        },
        'wasted_share': wasted / max(1, total),
    }
