"""Configuration in force: routes, services and limits."""

import attrs

from rosemarycrank.dataplane import _http1


@attrs.frozen
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """A route of the configuration.

    Attributes
    ----------
    name : str
        Its name.
    host, path_prefix : bytes
        What it matches.
    services : tuple of WeightedService
        Where its requests go.
    idempotent : bool
        Whether a request may run more than once.
    max_attempts : int
        Most targets that one request is sent to.
    timeout_s, latency_goal_s : float
        Longest time to an answer, and the time within which it is worth
        most, in seconds.
    priority : int
        Rank; 0 matters most.
    """

    name: str
    host: bytes
    path_prefix: bytes
    services: tuple
    idempotent: bool
    max_attempts: int
    timeout_s: float
    latency_goal_s: float
    priority: int


@attrs.frozen(eq=False)
class Configuration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        All routes.
    limits : Limits
        Bounds on what clients send.
    body : bytes
        The document, for peers that lack it.
    """

    version: int
    routes: tuple
    limits: _http1.Limits
    body: bytes
    _by_host: dict = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self):
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host, target):
        """Return the route of a request, or None.

        Parameters
        ----------
        host : bytes
            Value of the Host header.
        target : bytes
            Request target: path and query.
        """
        routes = self._by_host.get(host)
        if routes is None:
            name, _, port = host.lower().rpartition(b':')
            host = name if name and port.isdigit() else host.lower()
            routes = self._by_host.get(host, ())
        for route in routes:
            if target.startswith(route.path_prefix):
                return route
        return None


class ServicePicker:
    """Distributes the requests of a route by the weights of its services.

    Smooth weighted round-robin: over any run of requests each service's
    count stays within one or two of its share, so even a part with a small
    weight gets its share from the first requests on. The random start keeps
    many nodes from favouring the same service with their first request.

    Parameters
    ----------
    random : random.Random
        Random source.
    """

    def __init__(self, random):
        self.random = random
        self._credits_by_route = {}

    def reset(self):
        """Drop all counts, for example when weights have changed."""
        self._credits_by_route.clear()

    def pick(self, route):
        """Return the service of the next request.

        Parameters
        ----------
        route : Route
            Its route.

        Returns
        -------
        str
            Name of the service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        total = sum(part.weight for part in route.services)
        credits = self._credits_by_route.get(route.name)
        if credits is None or len(credits) != len(route.services):
            credits = [
                self.random.random() * part.weight for part in route.services
            ]
            self._credits_by_route[route.name] = credits
        for index, part in enumerate(route.services):
            credits[index] += part.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total
        return route.services[best].service
