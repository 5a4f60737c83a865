"""Token bucket that limits retries."""


class RetryBudget:
    """Retry budget for requests to one service.

    A retry is an attempt that follows one that may have reached a target.
    The limit on retries holds for all nodes together: a ratio of the requests,
    and a fixed number of further retries, the slack. Each node therefore
    spends only the tokens that its own requests deposit, and its share of the
    slack, which is its capacity.

    Parameters
    ----------
    ratio : float
        Tokens deposited for each request.
    capacity : float
        Initial and maximum number of tokens.
    """

    def __init__(self, ratio, capacity):
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = capacity

    def configure(self, ratio, capacity):
        """Change the limits; tokens beyond a lower capacity are lost.

        Parameters
        ----------
        ratio, capacity : float
            As for the constructor.
        """
        self.ratio = ratio
        self.capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def deposit(self):
        """Add the tokens for one request."""
        self._tokens = min(self.capacity, self._tokens + self.ratio)

    def try_spend(self, rank=0.0):
        """Take one token for a retry, if enough are left.

        Less urgent requests leave a part of the tokens to more urgent ones.

        Parameters
        ----------
        rank : float, default=0.0
            Urgency of the request; a request of rank 0, the most urgent, may
            take the last token.

        Returns
        -------
        bool
            Whether a token was taken.
        """
        reserved = (self.capacity - 1.0) * rank / (1.0 + rank)
        if self._tokens < 1.0 + max(0.0, reserved):
            return False
        self._tokens -= 1.0
        return True
