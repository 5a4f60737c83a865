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

    def spend(self, rank=0.0):
        """Take a token for a repeat.

        What matters less leaves part of the stock to what matters more.

        Parameters
        ----------
        rank : float, default=0.0
            How urgent the request is; 0 may take the last token.

        Returns
        -------
        bool
            Whether there was one.
        """
        reserved = (self.stock - 1.0) * rank / (1.0 + rank)
        if self._tokens < 1.0 + max(0.0, reserved):
            return False
        self._tokens -= 1.0
        return True
