"""Limits on the attempts of a request and on the retries to a service."""

from rosemarycrank.dataplane import _budget

#: Maximum number of nodes to which one request is sent, whether or not it
#: reached a target there. Bounds the work per request while targets start
#: and stop.
MAX_NODES_TRIED = 6

#: Share of the configured retry budget that this node uses. The remainder
#: absorbs the unevenness of short measurement windows.
RETRY_BUDGET_SHARE = 0.7

#: Minimum time left before the deadline for a retry, in seconds.
MIN_RETRY_TIME_LEFT_S = 0.02


class RetryLimits:
    """Decides whether a request may be sent to another target.

    Parameters
    ----------
    directory : Directory
        Known targets; their number decides this node's share of the budget.
    settings : RetryBudgetSettings
        Retry budget of all nodes together.
    """

    def __init__(self, directory, settings):
        self.directory = directory
        self.settings = settings
        self._budgets_by_service = {}

    def budget(self, service):
        """Return this node's retry budget for a service.

        The settings hold for all nodes together, so the slack is divided
        among the known nodes.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        RetryBudget
            The budget; the same object for each call.
        """
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = _budget.RetryBudget(*self._share())
            self._budgets_by_service[service] = budget
        return budget

    def configure(self, settings):
        """Change the retry budget of all nodes together.

        Parameters
        ----------
        settings : RetryBudgetSettings
            The budget.
        """
        self.settings = settings
        for budget in self._budgets_by_service.values():
            budget.configure(*self._share())

    def _share(self):
        """Return ratio and capacity of this node's budget for a service."""
        settings = self.settings
        node_count = max(1, len(self.directory.records_by_node))
        return (
            settings.ratio * RETRY_BUDGET_SHARE,
            max(1.0, settings.slack * RETRY_BUDGET_SHARE / node_count),
        )

    def allow_retry(self, exchange, now, deadline_at):
        """Return whether a request may be sent again; spend the budget.

        Parameters
        ----------
        exchange : Exchange
            Request whose last attempt has failed.
        now, deadline_at : float
            Current time, and deadline of a further attempt, in seconds of the
            node's clock.

        Returns
        -------
        bool
            Whether a further attempt may be sent.
        """
        route = exchange.route
        if exchange.may_have_run and not route.idempotent:
            return False
        if exchange.deliveries >= route.max_attempts:
            return False
        if len(exchange.tried_nodes) >= MAX_NODES_TRIED:
            return False
        if now + MIN_RETRY_TIME_LEFT_S > deadline_at:
            return False
        if exchange.deliveries == 0:
            return True
        return self.budget(exchange.service).try_spend(exchange.rank)
