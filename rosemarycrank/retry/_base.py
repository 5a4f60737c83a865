"""Base class of retry budgets, and an unlimited budget as a baseline."""

import abc

from rosemarycrank import kernel


class RetryBudget(abc.ABC):
    """Limits the retries that one entry node sends to a service.

    The limit applies in addition to the retry allowance that is passed along
    with each request.
    """

    @abc.abstractmethod
    def deposit(self, service, now):
        """Add to the budget for the first attempt of a call.

        Parameters
        ----------
        service : str
            Service that the attempt is sent to.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def spend(self, service, now):
        """Withdraw the cost of one retry, if the budget suffices.

        Parameters
        ----------
        service : str
            Service that the retry is sent to.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """


@kernel.register('retry', 'unlimited')
class Unlimited(RetryBudget):
    """Permits every retry."""

    def deposit(self, service, now):
        """Do nothing: no state is kept."""

    def spend(self, service, now):
        """Permit the retry."""
        return True
