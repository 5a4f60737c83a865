"""Concurrency limit that follows what the upstream shows."""

import enum

import attrs

#: Change of the limit in one trial.
GROWTH = 1.2
CUT = 0.8
#: Growth per window of a cold upstream, without a trial.
COLD_GROWTH = 1.5
#: Least share of in-flight attempts for which the limit counts as used.
USED_SHARE = 0.8
#: Change of latency over change of limit above which attempts queue at
#: the upstream: 0 well below its capacity, 1 well above.
QUEUEING_ELASTICITY = 0.5
#: Share of refusals by the upstream that calls for a lower limit.
REFUSED_SHARE = 0.02
#: Share by which the limit falls at most for refusals in one window.
MAX_REFUSAL_CUT = 0.5
#: Wait after a trial that did not help, doubled up to the maximum.
MIN_WAIT_S = 0.25
MAX_WAIT_S = 4.0
#: Least length of a window.
MIN_WINDOW_S = 0.02
#: A window that lasts longer closes with fewer samples.
MAX_WINDOW_S = 1.0
MIN_SAMPLES = 4


class _Direction(enum.Enum):
    UP = 'up'
    DOWN = 'down'


@attrs.frozen
class _Trial:
    direction: _Direction
    limit: float
    latency_s: float
    refused_share: float


@attrs.define
class _Wait:
    duration_s: float = MIN_WAIT_S
    until: float = 0.0

    def fail(self, now):
        """Wait longer after each trial that did not help."""
        self.until = now + self.duration_s
        self.duration_s = min(MAX_WAIT_S, 2 * self.duration_s)

    def succeed(self):
        """Allow the next trial at once."""
        self.duration_s = MIN_WAIT_S
        self.until = 0.0


@attrs.define
class _Window:
    start: float
    answers: int = 0
    refusals: int = 0
    latency_sum_s: float = 0.0
    peak_in_flight: int = 0

    @property
    def count(self):
        """Samples of any kind."""
        return self.answers + self.refusals

    @property
    def latency_s(self):
        """Mean latency of the answers."""
        return self.latency_sum_s / self.answers

    @property
    def refused_share(self):
        """Share of the samples that the upstream refused."""
        return self.refusals / self.count


class ConcurrencyLimit:
    """Limit found by trials: a change stays only if it helped.

    A higher limit stays if latency did not rise in proportion; a lower one
    stays if latency or refusals fell. A service that became slow for
    another reason thus keeps the limit at which it can use all its slots.

    Parameters
    ----------
    initial : int
        Limit before the upstream announced slots.
    smallest : int
        Lowest limit.
    largest : int
        Highest limit.
    samples : int
        Least number of samples in a window.
    cold_s : float
        Time over which a cold upstream may reach its announced slots, in
        seconds.

    Attributes
    ----------
    baseline_s_ : float or None
        Latency in seconds that counts as free of queueing.
    """

    def __init__(self, initial, smallest, largest, samples, cold_s):
        self.initial = initial
        self.smallest = smallest
        self.largest = largest
        self.samples = samples
        self.cold_s = cold_s
        self.baseline_s_ = None
        self._limit = float(initial)
        self._slots = 0
        self._cold_since = None
        self._trial = None
        self._up = _Wait()
        self._down = _Wait()
        self._window = _Window(0.0)

    def start_cold(self, slots, now):
        """Begin low for an upstream that has just started.

        Parameters
        ----------
        slots : int
            Announced slots; 0 when not known.
        now : float
            Current time in seconds.
        """
        self._slots = slots
        self._limit = max(self.smallest, 0.1 * (slots or self.initial))
        self._cold_since = now
        self.baseline_s_ = None
        self._trial = None
        self._up = _Wait()
        self._down = _Wait()
        self._window = _Window(now)

    def value(self, now):
        """Return the limit.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Attempts that may run at once.
        """
        return max(1, int(min(self._limit, self._ceiling(now)) + 0.5))

    def record(self, sample, in_flight, tolerance, now):
        """Learn from one attempt.

        Parameters
        ----------
        sample : Sample
            What it showed.
        in_flight : int
            Attempts that ran when it ended, itself included.
        tolerance : float
            Ratio of latency to the baseline from which on a lower limit
            is tried.
        now : float
            Current time in seconds.
        """
        window = self._window
        window.peak_in_flight = max(window.peak_in_flight, in_flight)
        # What was admitted under an earlier limit says nothing about this.
        if now - sample.latency_s < window.start and self._trial:
            return
        if sample.refused:
            window.refusals += 1
        elif sample.complete or self._is_long(sample.latency_s):
            window.answers += 1
            window.latency_sum_s += sample.latency_s
        age_s = now - window.start
        if age_s < MIN_WINDOW_S or window.count < MIN_SAMPLES:
            return
        if window.count >= self.samples or age_s >= MAX_WINDOW_S:
            self._close(tolerance, now)

    def _is_long(self, latency_s):
        return self.baseline_s_ is None or latency_s > self.baseline_s_

    def _ceiling(self, now):
        if self._cold_since is None:
            return self.largest
        share = (now - self._cold_since) / max(self.cold_s, 1e-9)
        if share >= 1.0:
            return self.largest
        slots = self._slots or self.initial
        return max(self.smallest, slots * (0.1 + 0.9 * share))

    def _close(self, tolerance, now):
        window, self._window = self._window, _Window(now)
        if not window.answers:
            self._set(self._limit * MAX_REFUSAL_CUT)
        elif self._trial:
            self._judge(window, now)
        else:
            self._lower_baseline(window)
            self._decide(window, tolerance, now)

    def _judge(self, window, now):
        trial, self._trial = self._trial, None
        change = self._limit / trial.limit - 1.0
        rise = window.latency_s / trial.latency_s - 1.0
        queueing = rise / change >= QUEUEING_ELASTICITY
        refused_more = window.refused_share > (
            trial.refused_share + REFUSED_SHARE
        )
        refused_less = window.refused_share < trial.refused_share / 2
        if trial.direction is _Direction.UP:
            if queueing or refused_more:
                self._set(trial.limit)
                self._up.fail(now)
            else:
                self._up.succeed()
            return
        if queueing or refused_less:
            self._down.succeed()
        else:
            self._set(trial.limit)
            self._down.fail(now)
            self.baseline_s_ = window.latency_s

    def _lower_baseline(self, window):
        if self.baseline_s_ is None or window.latency_s < self.baseline_s_:
            self.baseline_s_ = window.latency_s

    def _decide(self, window, tolerance, now):
        if window.peak_in_flight < USED_SHARE * self.value(now):
            return
        refused = window.refused_share > REFUSED_SHARE
        inflated = window.latency_s > tolerance * self.baseline_s_
        if (refused or inflated) and now >= self._down.until:
            cut = max(MAX_REFUSAL_CUT, min(CUT, 1 - window.refused_share))
            self._try(_Direction.DOWN, cut, window)
        elif refused or inflated:
            return
        elif self._limit < self._slots and self._cold_since is not None:
            self._set(min(self._slots, self._limit * COLD_GROWTH))
        elif now >= self._up.until:
            self._try(_Direction.UP, GROWTH, window)

    def _try(self, direction, factor, window):
        before = self._limit
        self._set(before * factor)
        if self._limit != before:
            self._trial = _Trial(
                direction, before, window.latency_s, window.refused_share
            )

    def _set(self, limit):
        self._limit = min(self.largest, max(self.smallest, limit))
