"""Timer service that components subscribe to."""

import heapq
import itertools

import attrs


@attrs.define(eq=False)
class Timer:
    """A pending timer.

    Attributes
    ----------
    due : float
        Time at which it fires, in seconds of the driver's monotonic clock.
    callback : callable
        Called with the current time.
    period : float
        Seconds between firings; 0 for a timer that fires once.
    cancelled : bool
        Whether it has been cancelled.
    """

    due: float
    callback: object
    period: float = 0.0
    cancelled: bool = False

    def cancel(self):
        """Keep the timer from firing again."""
        self.cancelled = True


class Timers:
    """Timers in order of due time; the driver advances the clock."""

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()
        self.now = 0.0

    def after(self, delay_s, callback):
        """Call back once, after a delay.

        Parameters
        ----------
        delay_s : float
            Delay in seconds.
        callback : callable
            Called with the current time in seconds.

        Returns
        -------
        Timer
            Handle that can be cancelled.
        """
        return self._push(Timer(self.now + delay_s, callback))

    def every(self, period_s, callback, first_delay_s=None):
        """Call back periodically.

        Parameters
        ----------
        period_s : float
            Seconds between calls.
        callback : callable
            Called with the current time in seconds.
        first_delay_s : float, optional
            Delay of the first call; the period when not given.

        Returns
        -------
        Timer
            Handle that can be cancelled.
        """
        first_delay_s = period_s if first_delay_s is None else first_delay_s
        return self._push(
            Timer(self.now + first_delay_s, callback, period=period_s)
        )

    def next_due(self):
        """Return the time of the next firing, or None.

        Returns
        -------
        float or None
            Seconds of the driver's clock.
        """
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def advance(self, now):
        """Set the clock and fire what is due.

        Parameters
        ----------
        now : float
            Current time in seconds; a clock that goes back is ignored.
        """
        self.now = max(self.now, now)
        # A firing may subscribe anew; only what is due now fires now, so
        # a timer with a delay of 0 cannot hold the loop.
        due = []
        while self._heap and self._heap[0][0] <= self.now:
            due.append(heapq.heappop(self._heap)[2])
        for subscription in due:
            if subscription.cancelled:
                continue
            if subscription.period > 0:
                # Missed periods are skipped, not made up: after a pause
                # a burst of firings would act on a stale view.
                subscription.due = self.now + subscription.period
                self._push(subscription)
            subscription.callback(self.now)

    def _push(self, subscription):
        heapq.heappush(
            self._heap,
            (subscription.due, next(self._sequence), subscription),
        )
        return subscription
