"""Retry allowance of one client request."""


class Allowance:
    """Retries that one client request may still spend.

    Calls that run for the same request share one object on a node. A call
    to another node lends part of it; what comes back is unspent, and a lent
    part whose answer is lost counts as spent. Retries over the whole call
    graph therefore never exceed the first amount.

    Parameters
    ----------
    amount : int
        Retries available at first.

    Attributes
    ----------
    left : int
        Retries not spent and not lent.
    """

    def __init__(self, amount):
        self.amount = amount
        self.left = amount

    def take(self):
        """Spend one retry.

        Returns
        -------
        bool
            False if none is left.
        """
        if self.left <= 0:
            return False
        self.left -= 1
        return True

    def lend(self):
        """Lend half of what is left, rounded down.

        The rest stays, so that a lost answer does not take all of it.

        Returns
        -------
        int
            Retries lent.
        """
        lent = self.left // 2
        self.left -= lent
        return lent

    def lend_all(self):
        """Lend everything, to whoever runs the whole request.

        Returns
        -------
        int
            Retries lent.
        """
        lent, self.left = self.left, 0
        return lent

    def give_back(self, amount):
        """Take back an unspent part of what was lent.

        Parameters
        ----------
        amount : int
            Retries not spent.
        """
        self.left += amount
