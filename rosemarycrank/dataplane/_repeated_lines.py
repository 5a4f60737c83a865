"""Limit on lines of the log that say the same of many requests."""


class RepeatedLines:
    """Lets the first of many lines pass, and counts the others.

    Parameters
    ----------
    interval_s : float
        Shortest time between two lines, in seconds.
    """

    def __init__(self, interval_s):
        self.interval_s = interval_s
        self._suppressed = 0
        self._next_at = 0.0

    def suppress(self, now):
        """Return whether a line is left out; count it if so.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if now < self._next_at:
            self._suppressed += 1
            return True
        self._next_at = now + self.interval_s
        return False

    def take_suppressed(self):
        """Return the number of lines left out since the last call."""
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
