"""Retry allowance of one client request."""


class Allowance:
    """Retries that remain for one client request.

    On a node, all calls that run for the same client request share one
    object. A call to another node delegates part of the allowance to it.
    The reply to that call returns the unspent part; if the reply is lost,
    the delegated part counts as spent. The number of retries over the whole
    call graph therefore never exceeds the initial number.

    Parameters
    ----------
    retries : int
        Initial number of retries.

    Attributes
    ----------
    remaining : int
        Number of retries neither spent nor delegated.
    """

    def __init__(self, retries):
        self.initial_retries = retries
        self.remaining = retries

    def spend(self):
        """Spend one retry.

        Returns
        -------
        bool
            False if no retry remains.
        """
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True

    def delegate_half(self):
        """Delegate half of the remaining retries, rounded down.

        The other half stays here, so that a lost reply doesn't use up the
        whole allowance.

        Returns
        -------
        int
            Number of retries delegated.
        """
        delegated = self.remaining // 2
        self.remaining -= delegated
        return delegated

    def delegate_all(self):
        """Delegate all remaining retries to the node that runs the request.

        Returns
        -------
        int
            Number of retries delegated.
        """
        delegated, self.remaining = self.remaining, 0
        return delegated

    def return_unspent(self, retries):
        """Return unspent delegated retries to the allowance.

        Parameters
        ----------
        retries : int
            Number of retries that were delegated but not spent.
        """
        self.remaining += retries
