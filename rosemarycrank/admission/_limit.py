"""Concurrency limit that follows what the upstream shows."""

import enum

import attrs

#: Growth in a first trial, and the factor by which the step grows with
#: each one that helped, up to the maximum.
GROWTH = 1.3
GROWTH_STEP = 1.3
MAX_GROWTH = 2.0
#: Least and greatest cut in one trial.
CUT = 0.7
MAX_CUT = 0.5
#: Share of the slots that a cold upstream is given at first.
COLD_SHARE = 0.1
#: Weight of a window's latency in the baseline, by direction.
RISE_WEIGHT = 0.05
FALL_WEIGHT = 0.3
#: Least share of in-flight attempts for which the limit counts as used.
USED_SHARE = 0.8
#: Relative change of latency over that of the limit, 0 well below the
#: capacity of the upstream and 1 well above: most for a higher limit to
#: stay, and least for a lower one.
MAX_UP_ELASTICITY = 0.35
MIN_DOWN_ELASTICITY = 0.7
#: Change of the attempts in flight below which a trial shows nothing.
MIN_CHANGE = 0.1
#: Share of refusals by the upstream that calls for a lower limit.
REFUSED_SHARE = 0.02
#: Wait after a trial that did not help, doubled up to the maximum.
MIN_WAIT_S = 1.0
MAX_WAIT_S = 4.0
#: Least length of a window.
MIN_WINDOW_S = 0.02
#: A window that lasts longer closes with fewer samples.
MAX_WINDOW_S = 4.0
MIN_SAMPLES = 16
#: Factor on the tolerance at or below the announced slots: a slow service
#: is then more likely than slots that it does not have.
ANNOUNCED_TOLERANCE = 1.5


class _Direction(enum.Enum):
    UP = 'up'
    DOWN = 'down'


@attrs.frozen
class _Trial:
    direction: _Direction
    limit: float
    in_flight: float
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
    in_flight_sum: int = 0
    counted: int = 0

    @property
    def count(self):
        """Samples of any kind."""
        return self.answers + self.refusals

    @property
    def mean_latency_s(self):
        """Mean latency of the answers."""
        return self.latency_sum_s / self.answers

    @property
    def mean_in_flight(self):
        """Mean of the attempts that ran when others ended."""
        return self.in_flight_sum / self.counted

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
        self._growth = GROWTH
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
        self._limit = float(slots or self.initial)
        self._cold_since = now
        self.baseline_s_ = None
        self._trial = None
        self._growth = GROWTH
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
        # What was admitted under an earlier limit says nothing about this.
        if now - sample.latency_s < window.start and self._trial:
            return
        window.in_flight_sum += in_flight
        window.counted += 1
        if sample.refused:
            window.refusals += 1
        elif sample.complete or self._is_long(sample.latency_s):
            window.answers += 1
            window.latency_sum_s += sample.latency_s
        age_s = now - window.start
        if age_s < MIN_WINDOW_S or window.count < MIN_SAMPLES:
            return
        if window.count >= self.samples or age_s >= MAX_WINDOW_S:
            if self._limit <= self._slots:
                tolerance *= ANNOUNCED_TOLERANCE
            self._close_window(tolerance, now)

    def _is_long(self, latency_s):
        return self.baseline_s_ is None or latency_s > self.baseline_s_

    def _ceiling(self, now):
        if self._cold_since is None:
            return self.largest
        share = (now - self._cold_since) / max(self.cold_s, 1e-9)
        if share >= 1.0:
            return self.largest
        return max(
            self.smallest,
            self._limit * (COLD_SHARE + (1 - COLD_SHARE) * share),
        )

    def _close_window(self, tolerance, now):
        window, self._window = self._window, _Window(now)
        if not window.answers:
            self._set_limit(self._limit * MAX_CUT)
        elif self._trial is None or self._judge(window, now):
            self._update_baseline(window, tolerance)
            self._decide(window, tolerance, now)

    def _judge(self, window, now):
        trial, self._trial = self._trial, None
        change = window.mean_in_flight / trial.in_flight - 1.0
        if abs(change) < MIN_CHANGE:
            self._set_limit(trial.limit)
            return True
        rise = window.mean_latency_s / trial.latency_s - 1.0
        elasticity = rise / change
        refused_more = window.refused_share > (
            trial.refused_share + REFUSED_SHARE
        )
        refused_less = window.refused_share < trial.refused_share / 2
        if trial.direction is _Direction.UP:
            helped = elasticity <= MAX_UP_ELASTICITY and not refused_more
            wait = self._up
        else:
            helped = elasticity >= MIN_DOWN_ELASTICITY or refused_less
            wait = self._down
        if helped:
            wait.succeed()
            return True
        self._set_limit(trial.limit)
        wait.fail(now)
        self._growth = GROWTH
        if trial.direction is _Direction.DOWN:
            # The service itself is slower: this latency is its own.
            self.baseline_s_ = window.mean_latency_s
        return False

    def _update_baseline(self, window, tolerance):
        latency_s = window.mean_latency_s
        if self.baseline_s_ is None:
            self.baseline_s_ = latency_s
        elif latency_s < self.baseline_s_:
            self.baseline_s_ += FALL_WEIGHT * (latency_s - self.baseline_s_)
        elif latency_s <= tolerance * self.baseline_s_:
            self.baseline_s_ += RISE_WEIGHT * (latency_s - self.baseline_s_)

    def _decide(self, window, tolerance, now):
        if self._ceiling(now) < self._limit:
            return
        if window.mean_in_flight < USED_SHARE * self.value(now):
            return
        refused = window.refused_share > REFUSED_SHARE
        inflated = window.mean_latency_s > tolerance * self.baseline_s_
        if (refused or inflated) and now >= self._down.until:
            excess = tolerance * self.baseline_s_ / window.mean_latency_s
            cut = min(CUT, 1 - window.refused_share, excess)
            self._growth = GROWTH
            self._try(_Direction.DOWN, max(MAX_CUT, cut), window)
        elif refused or inflated:
            return
        elif now >= self._up.until:
            self._try(_Direction.UP, self._growth, window)
            self._growth = min(MAX_GROWTH, self._growth * GROWTH_STEP)

    def _try(self, direction, factor, window):
        before = self._limit
        self._set_limit(before * factor)
        if self._limit != before:
            self._trial = _Trial(
                direction,
                before,
                window.mean_in_flight,
                window.mean_latency_s,
                window.refused_share,
            )

    def _set_limit(self, limit):
        self._limit = min(self.largest, max(self.smallest, limit))
