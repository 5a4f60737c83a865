"""Budget of repeats: further arrivals of a request at a service."""


class RepeatBudget:
    """Tokens for repeats to one service.

    The bound holds for all nodes together, so each spends from what its own
    first arrivals earn, and from a small stock that is its share of the
    common one.

    Parameters
    ----------
    ratio : float
        Repeats that a first arrival earns.
    stock : float
        Tokens at the start, and the most that are kept.
    """

    def __init__(self, ratio, stock):
        self.ratio = ratio
        self.stock = stock
        self._tokens = stock

    def earn(self):
        """Count a first arrival."""
        self._tokens = min(self.stock, self._tokens + self.ratio)

    def spend(self):
        """Take a token for a repeat.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
