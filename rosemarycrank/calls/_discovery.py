"""Wait for the first targets of a service that a node has just looked up."""

#: Time for which calls to a service without known targets wait for targets,
#: in seconds from the first such call at this node: the first lookup may have
#: to fetch them from another failure domain.
DISCOVERY_TIMEOUT_S = 0.5

#: Interval between lookups of the targets in that time, in seconds.
DISCOVERY_POLL_PERIOD_S = 0.05


class Discovery:
    """Times of the first lookups of services without known targets."""

    def __init__(self):
        self._first_lookup_at_by_service = {}

    def is_pending(self, service, now):
        """Return whether the first targets of a service may still arrive.

        Parameters
        ----------
        service : str
            Service without known targets.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False once the discovery timeout has passed.
        """
        first_lookup_at = self._first_lookup_at_by_service.setdefault(
            service, now
        )
        return now - first_lookup_at < DISCOVERY_TIMEOUT_S
