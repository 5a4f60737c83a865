"""Base class of retry budgets, and the baseline without a limit."""

import abc

from rosemarycrank import kernel


class RetryBudget(abc.ABC):
    """Bounds the share of retries that one node sends to a service.

    This is besides the allowance that travels with each request.
    """

    @abc.abstractmethod
    def deposit(self, service, now):
        """Record a first attempt.

        Parameters
        ----------
        service : str
            Service that it goes to.
        now : float
            Current time in seconds.
        """

    @abc.abstractmethod
    def spend(self, service, now):
        """Take what one retry costs.

        Parameters
        ----------
        service : str
            Service that the retry goes to.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """


@kernel.register('retry', 'unlimited')
class Unlimited(RetryBudget):
    """Permits every retry; the baseline."""

    def deposit(self, service, now):
        """Do nothing: no state is kept."""

    def spend(self, service, now):
        """Permit the retry."""
        return True
