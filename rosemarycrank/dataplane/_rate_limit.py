"""Rate limit that the local target names in its answers."""

import math
import re

#: Time of which the requests may start at once, in seconds. It covers the
#: interval between two checks of a queue, `_target.SWEEP_INTERVAL_S`.
BURST_S = 0.25

#: Lowest rate, in requests per second. The end of a limit is learned from
#: answers only, so some requests are sent whatever the limit.
MIN_PER_S = 0.5

#: Change of the limit, as a share of it, above which it is logged.
LOGGED_CHANGE = 0.1

_DECIMAL = re.compile(rb'[0-9]{1,12}(\.[0-9]{1,12})?')


def parse(value):
    """Parse the header field with the limit.

    Parameters
    ----------
    value : bytes
        Requests per second, a decimal number.

    Returns
    -------
    float
        Requests per second.

    Raises
    ------
    ValueError
        If the value is not a decimal number of at most 12 digits before and
        after the point. Signs, exponents, infinity and lists are invalid.
    """
    if not _DECIMAL.fullmatch(value):
        raise ValueError(f'rate limit: got {value!r}, allowed a number')
    return float(value)


class RateLimit:
    """Limit on the requests per second that are sent to the local target.

    A token bucket over the requests that start. All requests of all nodes
    reach the target through the node beside it, so one bucket is enough.

    Attributes
    ----------
    per_s : float
        Requests per second; infinite without a limit.
    """

    def __init__(self):
        self.per_s = math.inf
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def applied_per_s(self):
        """Requests per second that are sent, at least `MIN_PER_S`."""
        return max(MIN_PER_S, self.per_s)

    def set(self, per_s, now):
        """Set the limit that the newest answer names.

        Parameters
        ----------
        per_s : float
            Requests per second; infinite for none.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        bool
            Whether the limit starts, ends or changes notably.
        """
        known = self.per_s
        if known != math.inf:
            self._refill(now)
        self.per_s = per_s
        self._updated_at = now
        if per_s == known:
            return False
        if math.inf in (per_s, known):
            return True
        return abs(per_s - known) > LOGGED_CHANGE * known

    def allows_start(self, now):
        """Return whether a request may start now."""
        if self.per_s == math.inf:
            return True
        self._refill(now)
        return self._tokens >= 1.0

    def record_start(self, now):
        """Count a request that starts."""
        if self.per_s != math.inf:
            self._refill(now)
            self._tokens -= 1.0

    def expected_wait_s(self, ahead, now):
        """Return the seconds until a request may start.

        Parameters
        ----------
        ahead : int
            Number of waiting requests that start earlier.
        now : float
            Seconds of the node's clock.
        """
        if self.per_s == math.inf:
            return 0.0
        self._refill(now)
        missing = ahead + 1 - self._tokens
        return max(0.0, missing / self.applied_per_s)

    def _refill(self, now):
        rate = self.applied_per_s
        self._tokens = min(
            max(1.0, rate * BURST_S),
            self._tokens + rate * (now - self._updated_at),
        )
        self._updated_at = now

    def reset(self):
        """Remove the limit, as the target has just started."""
        self.per_s = math.inf
        self._tokens = 0.0
