"""Times that targets take to start again after a crash, by service."""

#: Weight of a new sample in the mean.
SAMPLE_WEIGHT = 0.3

#: Longest time that counts as a restart, in seconds. A target that is away for
#: longer was replaced.
MAX_RESTART_S = 30.0


class RestartTimes:
    """Expects when a service without targets has one again."""

    def __init__(self):
        self._crashed_at_by_node = {}
        self._service_by_node = {}
        self._mean_s_by_service = {}

    def record_crash(self, record, crashed_at):
        """Record that a target has crashed.

        Parameters
        ----------
        record : TargetRecord
            The target.
        crashed_at : float
            Time of the crash, in seconds of the node's clock.
        """
        self._crashed_at_by_node[record.node] = crashed_at
        self._service_by_node[record.node] = record.service

    def record_start(self, node, now):
        """Record that a node has a target again.

        Parameters
        ----------
        node : str
            Address of the node.
        now : float
            Seconds of the node's clock.
        """
        crashed_at = self._crashed_at_by_node.pop(node, None)
        service = self._service_by_node.pop(node, '')
        if crashed_at is None or now - crashed_at > MAX_RESTART_S:
            return
        sample_s = now - crashed_at
        mean_s = self._mean_s_by_service.get(service, sample_s)
        self._mean_s_by_service[service] = mean_s + SAMPLE_WEIGHT * (
            sample_s - mean_s
        )

    def expected_s(self, service, now):
        """Return the expected time until a crashed target is back.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        float or None
            Seconds, at least 0; None if nothing is known of the service, or
            it takes longer than expected.
        """
        mean_s = self._mean_s_by_service.get(service)
        if mean_s is None:
            return None
        crashes = [
            crashed_at
            for node, crashed_at in self._crashed_at_by_node.items()
            if self._service_by_node[node] == service
        ]
        returns = [at + mean_s for at in crashes if at + mean_s > now]
        return min(returns) - now if returns else None
