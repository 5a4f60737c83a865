"""Concurrency limit that adapts to latency and refusals of the upstream."""

import enum

import attrs

#: Factor on the limit in the first trial of a higher limit, the factor by
#: which it grows with each consecutive trial, and its maximum.
INITIAL_GROWTH_FACTOR = 1.3
GROWTH_FACTOR_STEP = 1.3
MAX_GROWTH_FACTOR = 2.0
#: Bounds of the factor on the limit in a trial of a lower limit. The minimum
#: also applies after a window without answers.
MAX_DECREASE_FACTOR = 0.7
MIN_DECREASE_FACTOR = 0.5
#: Share of the limit that a newly started upstream gets at first.
INITIAL_COLD_SHARE = 0.1
#: Weight of a window's mean latency in the moving average of the baseline,
#: when the latency is above or below it.
BASELINE_RISE_WEIGHT = 0.05
BASELINE_FALL_WEIGHT = 0.3
#: Minimum attempts in flight, as a share of the limit, for a new trial: while
#: the limit is not used, its effect cannot be measured.
MIN_USED_SHARE = 0.8
#: Elasticity is the relative change of latency over that of the attempts in
#: flight: 0 well below the capacity of the upstream and 1 well above it. A
#: higher limit is kept up to the first value, a lower one from the second on.
MAX_UP_ELASTICITY = 0.35
MIN_DOWN_ELASTICITY = 0.7
#: Relative change of the attempts in flight below which a trial is
#: inconclusive.
MIN_IN_FLIGHT_CHANGE = 0.1
#: Share of attempts refused by the upstream above which a lower limit is
#: tried.
MAX_REFUSED_SHARE = 0.02
#: Backoff after a trial that did not help; it doubles up to the maximum.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 4.0
#: Minimum age at which a measuring window closes.
MIN_WINDOW_S = 0.02
#: At this age, a window closes with fewer samples than configured, but not
#: with fewer than the minimum.
MAX_WINDOW_S = 4.0
MIN_WINDOW_SAMPLES = 16
#: Factor on the latency tolerance while the limit is at or below the announced
#: slots. There, a slow service is a more likely cause of high latency than an
#: upstream with fewer slots than announced.
ANNOUNCED_TOLERANCE_FACTOR = 1.5


class _Direction(enum.Enum):
    UP = 'up'
    DOWN = 'down'


@attrs.frozen
class _Trial:
    direction: _Direction
    previous_limit: float
    mean_in_flight: float
    mean_latency_s: float
    refused_share: float


@attrs.define
class _Backoff:
    duration_s: float = MIN_BACKOFF_S
    until: float = 0.0

    def extend(self, now):
        """Back off after a trial that did not help."""
        self.until = now + self.duration_s
        self.duration_s = min(MAX_BACKOFF_S, 2 * self.duration_s)

    def reset(self):
        """Allow the next trial immediately."""
        self.duration_s = MIN_BACKOFF_S
        self.until = 0.0


@attrs.define
class _Window:
    start: float
    answers: int = 0
    refusals: int = 0
    latency_sum_s: float = 0.0
    in_flight_sum: int = 0
    in_flight_samples: int = 0

    @property
    def count(self):
        """Number of answers and refusals."""
        return self.answers + self.refusals

    @property
    def mean_latency_s(self):
        """Mean latency of the answers."""
        return self.latency_sum_s / self.answers

    @property
    def mean_in_flight(self):
        """Mean number of attempts in flight when an attempt finished."""
        return self.in_flight_sum / self.in_flight_samples

    @property
    def refused_share(self):
        """Share of the attempts that the upstream refused."""
        return self.refusals / self.count


class ConcurrencyLimit:
    """Limit that is adjusted by trials, which are reverted unless they help.

    A higher limit is kept if latency did not rise in proportion, a lower one
    if latency or refusals fell. A service that became slow for another reason
    thus keeps the limit at which it can use all its slots.

    Parameters
    ----------
    initial_limit : int
        Limit in attempts until the upstream announces its slots.
    min_limit : int
        Minimum limit, in attempts.
    max_limit : int
        Maximum limit, in attempts.
    window_samples : int
        Number of samples at which a window closes.
    cold_s : float
        Duration in seconds over which the limit of a newly started upstream
        rises to its announced slots.

    Attributes
    ----------
    baseline_s_ : float or None
        Estimate of the latency without queueing, in seconds.
    """

    def __init__(
        self, initial_limit, min_limit, max_limit, window_samples, cold_s
    ):
        self.initial_limit = initial_limit
        self.min_limit = min_limit
        self.max_limit = max_limit
        self.window_samples = window_samples
        self.cold_s = cold_s
        self.baseline_s_ = None
        self._limit = float(initial_limit)
        self._slots = 0
        self._cold_start_time = None
        self._trial = None
        self._growth_factor = INITIAL_GROWTH_FACTOR
        self._increase_backoff = _Backoff()
        self._decrease_backoff = _Backoff()
        self._window = _Window(0.0)

    def start_cold(self, slots, now):
        """Reset the limit for an upstream that has just started.

        Parameters
        ----------
        slots : int
            Announced slots; 0 when not known.
        now : float
            Current time in seconds.
        """
        self._slots = slots
        self._limit = float(slots or self.initial_limit)
        self._cold_start_time = now
        self.baseline_s_ = None
        self._trial = None
        self._growth_factor = INITIAL_GROWTH_FACTOR
        self._increase_backoff = _Backoff()
        self._decrease_backoff = _Backoff()
        self._window = _Window(now)

    def value(self, now):
        """Return the current limit.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Maximum number of attempts in flight.
        """
        return max(
            1, int(min(self._limit, self._cold_start_ceiling(now)) + 0.5)
        )

    def record(self, sample, in_flight, tolerance, now):
        """Record a finished attempt and adjust the limit if a window closes.

        Parameters
        ----------
        sample : Sample
            Measurements of the attempt.
        in_flight : int
            Attempts in flight when it finished, including itself.
        tolerance : float
            Ratio of latency to the baseline above which a lower limit is
            tried.
        now : float
            Current time in seconds.
        """
        window = self._window
        # An attempt that was admitted under an earlier limit says nothing
        # about the one on trial.
        if now - sample.latency_s < window.start and self._trial:
            return
        window.in_flight_sum += in_flight
        window.in_flight_samples += 1
        if sample.refused:
            window.refusals += 1
        elif sample.complete or self._exceeds_baseline(sample.latency_s):
            window.answers += 1
            window.latency_sum_s += sample.latency_s
        age_s = now - window.start
        if age_s < MIN_WINDOW_S or window.count < MIN_WINDOW_SAMPLES:
            return
        if window.count >= self.window_samples or age_s >= MAX_WINDOW_S:
            if self._limit <= self._slots:
                tolerance *= ANNOUNCED_TOLERANCE_FACTOR
            self._close_window(tolerance, now)

    def _exceeds_baseline(self, latency_s):
        return self.baseline_s_ is None or latency_s > self.baseline_s_

    def _cold_start_ceiling(self, now):
        if self._cold_start_time is None:
            return self.max_limit
        share = (now - self._cold_start_time) / max(self.cold_s, 1e-9)
        if share >= 1.0:
            return self.max_limit
        return max(
            self.min_limit,
            self._limit
            * (INITIAL_COLD_SHARE + (1 - INITIAL_COLD_SHARE) * share),
        )

    def _close_window(self, tolerance, now):
        window, self._window = self._window, _Window(now)
        if not window.answers:
            self._set_limit(self._limit * MIN_DECREASE_FACTOR)
        elif self._trial is None or self._evaluate_trial(window, now):
            self._update_baseline(window, tolerance)
            self._consider_trial(window, tolerance, now)

    def _evaluate_trial(self, window, now):
        trial, self._trial = self._trial, None
        in_flight_change = window.mean_in_flight / trial.mean_in_flight - 1.0
        if abs(in_flight_change) < MIN_IN_FLIGHT_CHANGE:
            self._set_limit(trial.previous_limit)
            return True
        latency_rise = window.mean_latency_s / trial.mean_latency_s - 1.0
        elasticity = latency_rise / in_flight_change
        refusals_rose = window.refused_share > (
            trial.refused_share + MAX_REFUSED_SHARE
        )
        refusals_fell = window.refused_share < trial.refused_share / 2
        if trial.direction is _Direction.UP:
            helped = elasticity <= MAX_UP_ELASTICITY and not refusals_rose
            backoff = self._increase_backoff
        else:
            helped = elasticity >= MIN_DOWN_ELASTICITY or refusals_fell
            backoff = self._decrease_backoff
        if helped:
            backoff.reset()
            return True
        self._set_limit(trial.previous_limit)
        backoff.extend(now)
        self._growth_factor = INITIAL_GROWTH_FACTOR
        if trial.direction is _Direction.DOWN:
            # The lower limit did not reduce latency, so the service itself
            # has become slower and this latency is without queueing.
            self.baseline_s_ = window.mean_latency_s
        return False

    def _update_baseline(self, window, tolerance):
        latency_s = window.mean_latency_s
        if self.baseline_s_ is None:
            self.baseline_s_ = latency_s
        elif latency_s < self.baseline_s_:
            self.baseline_s_ += BASELINE_FALL_WEIGHT * (
                latency_s - self.baseline_s_
            )
        elif latency_s <= tolerance * self.baseline_s_:
            self.baseline_s_ += BASELINE_RISE_WEIGHT * (
                latency_s - self.baseline_s_
            )

    def _consider_trial(self, window, tolerance, now):
        if self._cold_start_ceiling(now) < self._limit:
            return
        if window.mean_in_flight < MIN_USED_SHARE * self.value(now):
            return
        refusals_high = window.refused_share > MAX_REFUSED_SHARE
        latency_high = window.mean_latency_s > tolerance * self.baseline_s_
        if (
            refusals_high or latency_high
        ) and now >= self._decrease_backoff.until:
            latency_factor = (
                tolerance * self.baseline_s_ / window.mean_latency_s
            )
            decrease_factor = min(
                MAX_DECREASE_FACTOR, 1 - window.refused_share, latency_factor
            )
            self._growth_factor = INITIAL_GROWTH_FACTOR
            self._start_trial(
                _Direction.DOWN,
                max(MIN_DECREASE_FACTOR, decrease_factor),
                window,
            )
        elif refusals_high or latency_high:
            return
        elif now >= self._increase_backoff.until:
            self._start_trial(_Direction.UP, self._growth_factor, window)
            self._growth_factor = min(
                MAX_GROWTH_FACTOR, self._growth_factor * GROWTH_FACTOR_STEP
            )

    def _start_trial(self, direction, factor, window):
        previous_limit = self._limit
        self._set_limit(previous_limit * factor)
        if self._limit != previous_limit:
            self._trial = _Trial(
                direction,
                previous_limit,
                window.mean_in_flight,
                window.mean_latency_s,
                window.refused_share,
            )

    def _set_limit(self, limit):
        self._limit = min(self.max_limit, max(self.min_limit, limit))
