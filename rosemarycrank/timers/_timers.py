"""Timers of the kernel, driven by the driver's clock."""

import heapq
import itertools

import attrs


@attrs.define(eq=False)
class Timer:
    """A pending timer.

    Attributes
    ----------
    due_at : float
        Time at which it fires, in seconds of the driver's monotonic clock.
    callback : callable or None
        Called with the current time in seconds; None once cancelled.
    period_s : float
        Seconds between firings; 0 for a timer that fires once.
    cancelled : bool
        Whether it has been cancelled.
    """

    due_at: float
    callback: object
    period_s: float = 0.0
    cancelled: bool = False

    def cancel(self):
        """Prevent all further firings of the timer; forget the callback.

        The timer stays in the queue until it is due, and what the callback
        refers to would stay as long.
        """
        self.cancelled = True
        self.callback = None


class Timers:
    """Priority queue of pending timers; the driver advances its clock.

    Timers that are due at the same time fire in the order in which they
    were scheduled.

    Parameters
    ----------
    on_error : callable, optional
        Called with the callback of each timer that fails, while its exception
        is handled. If not given, `advance` raises the exceptions.
    """

    def __init__(self, on_error=None):
        self._on_error = on_error
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
            The timer, which can be cancelled.
        """
        return self._schedule(Timer(self.now + delay_s, callback))

    def every(self, period_s, callback, first_delay_s=None):
        """Call back periodically.

        Parameters
        ----------
        period_s : float
            Seconds between calls.
        callback : callable
            Called with the current time in seconds.
        first_delay_s : float, optional
            Delay of the first call in seconds; the period if not given.

        Returns
        -------
        Timer
            The timer, which can be cancelled.
        """
        first_delay_s = period_s if first_delay_s is None else first_delay_s
        return self._schedule(
            Timer(self.now + first_delay_s, callback, period_s=period_s)
        )

    def next_due(self):
        """Return the time at which the next timer is due.

        Returns
        -------
        float or None
            Seconds of the driver's clock; None if no timer is pending.
        """
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def advance(self, now):
        """Set the clock and fire the timers that are due.

        Parameters
        ----------
        now : float
            Current time in seconds. If it is less than that of an earlier
            call, the clock stays where it is.

        Raises
        ------
        Exception
            The error of a callback, after all due timers have fired; an
            `ExceptionGroup` of several errors. None if there is an
            ``on_error``.
        """
        self.now = max(self.now, now)
        # The due timers are removed before any of them fires. Otherwise a
        # callback that schedules a timer with a delay of 0 could keep the
        # loop from ending.
        due_timers = []
        while self._heap and self._heap[0][0] <= self.now:
            due_timers.append(heapq.heappop(self._heap)[2])
        errors = []
        for timer in due_timers:
            if timer.cancelled:
                continue
            if timer.period_s > 0:
                # Missed periods are skipped: after a pause of the process, a
                # burst of firings would act on stale state.
                timer.due_at = self.now + timer.period_s
                self._schedule(timer)
            callback = timer.callback
            try:
                callback(self.now)
            except Exception as error:
                if self._on_error is None:
                    errors.append(error)
                else:
                    self._on_error(callback)
        if len(errors) == 1:
            raise errors[0]
        if errors:
            raise ExceptionGroup('timer callbacks failed', errors)

    def _schedule(self, timer):
        heapq.heappush(
            self._heap,
            (timer.due_at, next(self._sequence), timer),
        )
        return timer
