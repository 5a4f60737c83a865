"""Rate limit that the local target names in its answers."""

import math
import re

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

    Attributes
    ----------
    per_s : float
        Requests per second; infinite without a limit.
    """

    def __init__(self):
        self.per_s = math.inf

    def set(self, per_s):
        """Set the limit that the newest answer names.

        Parameters
        ----------
        per_s : float
            Requests per second; infinite for none.

        Returns
        -------
        bool
            Whether the limit starts, ends or changes notably.
        """
        known = self.per_s
        self.per_s = per_s
        if per_s == known:
            return False
        if math.inf in (per_s, known):
            return True
        return abs(per_s - known) > LOGGED_CHANGE * known

    def reset(self):
        """Remove the limit, as the target has just started."""
        self.per_s = math.inf
