"""Signals of a process, recorded by their handlers and delivered by its loop.

A handler runs between any two instructions of the main thread: also within an
import, a destructor, the callback of a weak reference or an extension that
calls Python. An exception that it raises there may be dropped, so that the
process goes on, or may end the process by a crash. So the handlers here record
the signal and do nothing else, from the first moment of the start to the exit.

This module imports little, so that it can be used before other imports.
"""

import signal


class StopRequestedError(Exception):
    """Raised if a process is to stop before it has completed its start."""


class ProcessSignals:
    """Handlers of signals for the whole time of a process.

    Parameters
    ----------
    numbers : iterable of int
        Signals to handle.
    """

    def __init__(self, numbers=()):
        self._numbers = tuple(numbers)
        self._received = set()
        self._undelivered = set()
        self._callbacks_by_number = {}
        for number in self._numbers:
            signal.signal(number, self._record)

    def _record(self, number, _frame):
        self._received.add(number)
        self._undelivered.add(number)

    @property
    def has_stop(self):
        """Whether SIGTERM has been received."""
        return signal.SIGTERM in self._received

    def check_start(self):
        """Check that the start may go on.

        Raises
        ------
        StopRequestedError
            If SIGTERM has been received.
        """
        if self.has_stop:
            raise StopRequestedError('stopped during the start')

    def subscribe(self, number, callback):
        """Call a function when a signal is delivered.

        Parameters
        ----------
        number : int
            Signal.
        callback : callable
            Called without arguments, by `deliver`. Signals that are received
            before a delivery are delivered together.
        """
        self._callbacks_by_number[number] = callback

    def deliver(self):
        """Call the functions for the signals since the last delivery."""
        for number in self._undelivered & self._callbacks_by_number.keys():
            # Before the call: a signal during it is delivered later.
            self._undelivered.discard(number)
            self._callbacks_by_number[number]()

    def ignore(self):
        """Ignore the signals from now on, as the process exits.

        The interpreter resets other handlers during its exit, so that a
        signal would change the exit status.
        """
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)
