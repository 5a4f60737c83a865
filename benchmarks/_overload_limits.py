"""Other ways to find a concurrency limit, for comparison.

`Gradient` follows Netflix concurrency-limits' published idea (limit scaled
by the ratio of long-term to short-term latency), `Aimd` additive increase
and multiplicative decrease on a latency threshold.
"""

from rosemarycrank import admission
from rosemarycrank.admission import _limit


class _Windowed(_limit.ConcurrencyLimit):
    def _close_window(self, tolerance, now):
        window, self._window = self._window, _limit._Window(now)
        if not window.answers:
            self._set_limit(self._limit * 0.5)
            return
        used = window.mean_in_flight >= 0.8 * self.value(now)
        self._update_baseline(window, tolerance)
        self._adjust(window, used, tolerance)


class Gradient(_Windowed):
    """Limit scaled by long-term over short-term latency."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._long_s = None

    def _adjust(self, window, used, tolerance):
        short_s = window.mean_latency_s
        if self._long_s is None:
            self._long_s = short_s
        self._long_s += 0.05 * (short_s - self._long_s)
        if not used:
            return
        ratio = max(0.5, min(1.0, tolerance * self._long_s / short_s))
        goal = self._limit * ratio + self._limit**0.5
        self._set_limit(0.8 * self._limit + 0.2 * goal)


class Aimd(_Windowed):
    """Additive increase, multiplicative decrease."""

    def _adjust(self, window, used, tolerance):
        slow = window.mean_latency_s > tolerance * self.baseline_s_
        if slow or window.refused_share > 0.02:
            self._set_limit(self._limit * 0.9)
        elif used:
            self._set_limit(self._limit + 1)


def _make(limit_class):
    def make(slots):
        controller = admission.AdaptiveLimit()
        controller._limit = limit_class(16, 1, 4096, 32, 2.0)
        return controller

    return make


def variants(variant_class):
    """Return the variants to compare."""
    return [
        variant_class('gradient', _make(Gradient)),
        variant_class('aimd', _make(Aimd)),
    ]
