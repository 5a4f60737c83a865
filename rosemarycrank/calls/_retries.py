"""Decision whether another attempt of a call follows a failed one."""

from rosemarycrank import results

#: Refusals by nodes that accept no work at all. The call goes on to another
#: target without spending a retry.
_REDIRECT_REFUSALS = frozenset(
    {
        results.Result.LEAVING,
        results.Result.NO_TARGET,
        results.Result.PARTNER_LEFT,
        results.Result.STALE_ATTEMPT,
    }
)

#: Refusals after which another attempt could not succeed either.
_FINAL_REFUSALS = frozenset(
    {results.Result.CRASH_SUSPECT, results.Result.DEADLINE_TOO_SHORT}
)

#: Maximum number of redirects of one call that spend no retry.
MAX_FREE_REDIRECTS = 4


class Retries:
    """Free redirects, the retry allowance and the retry budget.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    budget : rosemarycrank.retry.RetryBudget
        Limits the retries to each service.
    """

    def __init__(self, context, budget):
        self.context = context
        self.budget = budget

    def record_call(self, call):
        """Record the start of a call, from which the budget grows."""
        self.budget.deposit(call.request.service, self.context.now)

    def allow_after_refusal(self, call, result):
        """Return whether another attempt follows one that has not run.

        Parameters
        ----------
        call : Call
            The call.
        result : rosemarycrank.results.Result
            Reason of the refusal.

        Returns
        -------
        bool
            True if a redirect or a retry was spent on another attempt.
        """
        if result in _REDIRECT_REFUSALS:
            call.redirect_count += 1
            return call.redirect_count <= MAX_FREE_REDIRECTS
        return result not in _FINAL_REFUSALS and self._spend_retry(call)

    def allow_after_unknown(self, call):
        """Return whether another attempt follows one that may have run.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        bool
            True if the call is idempotent and a retry was spent.
        """
        return call.idempotent and self._spend_retry(call)

    def _spend_retry(self, call):
        if self.context.now >= call.deadline:
            return False
        if call.allowance.remaining <= 0:
            self.context.count('entry.allowance_spent')
            return False
        if not self.budget.spend(call.request.service, self.context.now):
            self.context.count('entry.budget_spent')
            return False
        self.context.count('entry.retries')
        return call.allowance.spend()
