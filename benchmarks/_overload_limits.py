"""Alternative algorithms for a concurrency limit, for comparison.

`Gradient` follows the published idea of Netflix's concurrency-limits: the
limit is scaled by the ratio of long-term to short-term latency. `Aimd` uses
additive increase, and multiplicative decrease above a latency threshold.
"""

from rosemarycrank import admission
from rosemarycrank.admission import _limit


class _WindowedLimit(_limit.ConcurrencyLimit):
    def _close_window(self, tolerance, now):
        window, self._window = self._window, _limit._Window(now)
        if not window.answers:
            self._set_limit(self._limit * 0.5)
            return
        is_limit_used = window.mean_in_flight >= 0.8 * self.value(now)
        self._update_baseline(window, tolerance)
        self._adjust_limit(window, is_limit_used, tolerance)


class Gradient(_WindowedLimit):
    """Concurrency limit scaled by long-term over short-term latency."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._long_term_latency_s = None

    def _adjust_limit(self, window, is_limit_used, tolerance):
        short_term_latency_s = window.mean_latency_s
        if self._long_term_latency_s is None:
            self._long_term_latency_s = short_term_latency_s
        self._long_term_latency_s += 0.05 * (
            short_term_latency_s - self._long_term_latency_s
        )
        if not is_limit_used:
            return
        ratio = max(
            0.5,
            min(
                1.0,
                tolerance * self._long_term_latency_s / short_term_latency_s,
            ),
        )
        target_limit = self._limit * ratio + self._limit**0.5
        self._set_limit(0.8 * self._limit + 0.2 * target_limit)


class Aimd(_WindowedLimit):
    """Concurrency limit with additive increase, multiplicative decrease."""

    def _adjust_limit(self, window, is_limit_used, tolerance):
        latency_high = window.mean_latency_s > tolerance * self.baseline_s_
        if latency_high or window.refused_share > 0.02:
            self._set_limit(self._limit * 0.9)
        elif is_limit_used:
            self._set_limit(self._limit + 1)


def _make_admission_factory(limit_class):
    def make(slots):
        controller = admission.AdaptiveLimit()
        controller._limit = limit_class(16, 1, 4096, 32, 2.0)
        return controller

    return make


def make_variants(variant_class):
    """Return one variant for each alternative algorithm."""
    return [
        variant_class('gradient', _make_admission_factory(Gradient)),
        variant_class('aimd', _make_admission_factory(Aimd)),
    ]
