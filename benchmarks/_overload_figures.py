"""Figures of a run, from the client's history and the upstreams' runs."""

import collections
import math
import pathlib

import attrs

from benchmarks import _overload_setup
from rosemarycrank import load

#: Recovery compares completions in windows of this length with the lesser
#: of the goodput before and what arrived a little earlier.
WINDOW_S = 2.0
STEP_S = 0.25
RECOVERED_SHARE = 0.95
#: Left out of "before", while connections and limits settle.
WARM_UP_S = 1.5
SERIES_STEP_S = 0.5


@attrs.define
class _Request:
    class_name: str
    due_at: float
    begun_at: float
    ended_at: float = math.inf
    whole: bool = False
    sends: int = 0


class _History:
    """Requests of a client history, in seconds since the first was due."""

    def __init__(self, path):
        self.by_nonce = {}
        for record in load.read_records(pathlib.Path(path), load.ClientEvent):
            self._take(record)
        start = min(r.due_at for r in self.by_nonce.values())
        for request in self.by_nonce.values():
            request.due_at -= start
            request.begun_at -= start
            request.ended_at -= start

    def between(self, start, end):
        """Return the requests that were due in an interval."""
        return [r for r in self.by_nonce.values() if start <= r.due_at < end]

    def completions(self):
        """Return when whole answers came."""
        return sorted(r.ended_at for r in self.by_nonce.values() if r.whole)

    def _take(self, record):
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
                request.begun_at, record.at - record.latency_s
            )
            request.whole = record.outcome == 'complete' and (
                record.status == 200
            )


def figures(history_path, run_paths, scenario):
    """Return the figures of a run.

    Parameters
    ----------
    history_path : pathlib.Path
        Records of the load driver.
    run_paths : iterable of pathlib.Path
        Records of the upstreams.
    scenario : Scenario
        What was run.

    Returns
    -------
    dict
        Values that JSON can carry; shares in [0, 1], times in seconds.
    """
    history = _History(history_path)
    times = scenario.times
    before = history.between(WARM_UP_S, times.trigger_s)
    trigger = history.between(times.trigger_s, times.trigger_end_s)
    after = history.between(times.trigger_end_s + 2.0, times.end_s)
    completions = history.completions()
    during = sum(
        times.trigger_s <= at < times.trigger_end_s for at in completions
    )
    capacity = _overload_setup.CAPACITY * scenario.capacity
    span_s = times.trigger_end_s - times.trigger_s
    offered = len(trigger) / span_s
    return {
        'before_share': _share(before),
        'trigger_goodput_per_s': during / span_s,
        'trigger_goodput_of_possible': during
        / span_s
        / min(capacity, offered),
        'trigger_share_by_class': _share_by_class(trigger),
        'after_share': _share(after),
        'after_share_by_class': _share_by_class(after),
        'recovery_s': _recovery_s(history, completions, times),
        'sends_per_request': _mean(r.sends for r in history.by_nonce.values()),
        'driver_late_ms': _lateness_ms(history),
        'series': _series(history, completions, times),
    } | _work(history, run_paths)


def _share(requests):
    return sum(r.whole for r in requests) / max(1, len(requests))


def _share_by_class(requests):
    return {
        name: _share([r for r in requests if r.class_name == name])
        for name in _overload_setup.SHARE_BY_CLASS
    }


def _mean(values):
    values = list(values)
    return sum(values) / max(1, len(values))


def _recovery_s(history, completions, times):
    """Return when goodput is back for good; None if it never is."""
    span_s = times.trigger_s - WARM_UP_S
    before = sum(WARM_UP_S <= at < times.trigger_s for at in completions)
    recovered = start = times.trigger_end_s
    last = times.end_s - WINDOW_S
    while start <= last:
        arrived = len(history.between(start - STEP_S, start - STEP_S + 2.0))
        whole = sum(start <= at < start + WINDOW_S for at in completions)
        goal = min(before / span_s * WINDOW_S, arrived)
        if whole < RECOVERED_SHARE * goal:
            recovered = start + STEP_S
        start += STEP_S
    return None if recovered > last else recovered - times.trigger_end_s


def _lateness_ms(history):
    """Return how late the driver began requests, at p50 and p99."""
    late = sorted(
        max(0.0, r.begun_at - r.due_at) * 1000
        for r in history.by_nonce.values()
    )
    return [late[int(len(late) * share)] for share in (0.5, 0.99)]


def _series(history, completions, times):
    """Return offered and whole requests per second over time."""
    steps = int(times.end_s / SERIES_STEP_S)
    offered, whole = [0] * steps, [0] * steps
    for request in history.by_nonce.values():
        step = int(request.due_at / SERIES_STEP_S)
        if step < steps:
            offered[step] += 1
    for at in completions:
        step = int(at / SERIES_STEP_S)
        if step < steps:
            whole[step] += 1
    return {
        'step_s': SERIES_STEP_S,
        'offered_per_s': [count / SERIES_STEP_S for count in offered],
        'whole_per_s': [count / SERIES_STEP_S for count in whole],
    }


def _work(history, run_paths):
    """Return runs by depth and the share of runs that were wasted.

    A run is wasted if its client request did not end whole.
    """
    runs_by_depth = collections.Counter()
    wasted = 0
    for path in run_paths:
        for record in load.read_records(pathlib.Path(path), load.RunEvent):
            if record.event != 'start':
                continue
            root, _, rest = record.nonce.partition('.')
            depth = 1 + len(rest.split('.')) if rest else 1
            runs_by_depth[depth] += 1
            wasted += not history.by_nonce[root].whole
    total = sum(runs_by_depth.values())
    count = len(history.by_nonce)
    return {
        'runs_per_request_by_depth': {
            str(depth): runs / count
            for depth, runs in sorted(runs_by_depth.items())
        },
        'wasted_share': wasted / max(1, total),
    }
