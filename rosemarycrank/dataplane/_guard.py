"""Callbacks of which one that fails stops no other."""

import collections
import logging
import time

from rosemarycrank.dataplane import _repeated_lines

#: Shortest time between two lines about failures of one callback, in seconds.
FAILURE_LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class Guard:
    """Calls callbacks; counts and logs those that raise.

    Parameters
    ----------
    clock : callable, optional
        Returns the monotonic time in seconds.

    Attributes
    ----------
    failures_by_name : collections.Counter
        Number of calls that failed, by the name of the function.
    """

    def __init__(self, clock=time.monotonic):
        self.failures_by_name = collections.Counter()
        self._clock = clock
        self._lines_by_name = {}

    def call(self, callback, *arguments):
        """Call a function; an exception is recorded.

        Returns
        -------
        object
            Result of the function; None if it failed.
        """
        try:
            return callback(*arguments)
        except Exception:
            self.record(callback)
            return None

    def record(self, callback):
        """Record that a function raised the exception that is handled.

        Parameters
        ----------
        callback : callable
            The function.
        """
        name = getattr(callback, '__qualname__', type(callback).__name__)
        self.failures_by_name[name] += 1
        lines = self._lines_by_name.get(name)
        if lines is None:
            lines = _repeated_lines.RepeatedLines(FAILURE_LINE_INTERVAL_S)
            self._lines_by_name[name] = lines
        if not lines.suppress(self._clock()):
            _LOG.exception(
                '%s failed',
                name,
                extra={
                    'event': 'callback_failed',
                    'callback': name,
                    'suppressed': lines.take_suppressed(),
                },
            )
