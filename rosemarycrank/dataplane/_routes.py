"""Configuration in force: routes, weighted services and limits."""

import attrs

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _ranges


@attrs.frozen
class WeightedService:
    """A service and its weight in the distribution of a route's requests."""

    service: str
    weight: float = attrs.field(validator=_ranges.validate)


@attrs.frozen
class Route:
    """A route of the configuration.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : bytes
        Host and prefix of the path of the requests that match, the host in
        lower case.
    services : tuple of WeightedService
        Services among which the requests are distributed.
    idempotent : bool
        Whether a request may run more than once.
    max_attempts : int
        Maximum number of targets that one request may reach.
    timeout_s : float
        Maximum time to the response, in seconds.
    latency_goal_s : float
        Time within which a response has its full value, in seconds.
    priority : int
        Importance; 0 is the most important.
    """

    name: str
    host: bytes
    path_prefix: bytes
    services: tuple
    idempotent: bool
    max_attempts: int = attrs.field(validator=_ranges.validate)
    timeout_s: float = attrs.field(validator=_ranges.validate)
    latency_goal_s: float = attrs.field(validator=_ranges.validate)
    priority: int = attrs.field(validator=_ranges.validate)


def _check_limits(_instance, _attribute, limits):
    for field in attrs.fields(type(limits)):
        _ranges.check(field.name, getattr(limits, field.name))


@attrs.frozen(eq=False)
class Configuration:
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Version number; increases with each change.
    routes : tuple of Route
        All routes.
    limits : Limits
        Limits on requests and connections of clients.
    body : bytes
        The encoded document, to be sent to peers that lack this version.
    """

    version: int = attrs.field(validator=_ranges.validate)
    routes: tuple
    limits: _http1.Limits = attrs.field(validator=_check_limits)
    body: bytes
    _routes_by_host: dict = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self):
        for route in self.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host, target):
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : bytes
            Value of the Host header.
        target : bytes
            Request target of HTTP: path and query.
        """
        routes = self._routes_by_host.get(host)
        if routes is None:
            name, _, port = host.lower().rpartition(b':')
            host = name if name and port.isdigit() else host.lower()
            routes = self._routes_by_host.get(host, ())
        for route in routes:
            if target.startswith(route.path_prefix):
                return route
        return None


class ServicePicker:
    """Distributes the requests of a route by the weights of its services.

    Implements smooth weighted round-robin: over any sequence of requests,
    the count of each service stays within one or two of its share, so that
    a service with a small weight gets its share from the first requests on.
    The initial credits are random, so that many nodes do not send their
    first requests to the same service.

    Parameters
    ----------
    random : random.Random
        Random source.
    """

    def __init__(self, random):
        self.random = random
        self._credits_by_route = {}

    def reset(self):
        """Drop all credits, for example after a change of the weights."""
        self._credits_by_route.clear()

    def pick(self, route):
        """Choose the service of the next request.

        Parameters
        ----------
        route : Route
            Route of the request.

        Returns
        -------
        str
            Name of the service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        total_weight = sum(weighted.weight for weighted in route.services)
        credits = self._credits_by_route.get(route.name)
        if credits is None or len(credits) != len(route.services):
            credits = [
                self.random.random() * weighted.weight
                for weighted in route.services
            ]
            self._credits_by_route[route.name] = credits
        for index, weighted in enumerate(route.services):
            credits[index] += weighted.weight
        best_index = max(range(len(credits)), key=credits.__getitem__)
        credits[best_index] -= total_weight
        return route.services[best_index].service
