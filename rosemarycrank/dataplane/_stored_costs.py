"""Format of the costs of a service in the store."""

import msgspec


class StoredCall(msgspec.Struct):
    """Calls to one route that one request of another route makes directly.

    The field names are part of the format of the store.

    Attributes
    ----------
    service, route : str
        Service and route that are called.
    caller : str
        Route of the request that makes the calls.
    count : float
        Calls per request.
    """

    service: str
    route: str
    caller: str
    count: float


class StoredCosts(msgspec.Struct):
    """Costs of the routes that run at one service.

    The field names are part of the format of the store.

    Attributes
    ----------
    service : str
        Name of the service.
    costs_by_route : dict of str to dict of str to float
        Calls at each service in the whole call tree of one request, by
        route and service.
    calls : list of StoredCall
        Direct calls of its routes.
    """

    service: str
    costs_by_route: dict[str, dict[str, float]]
    calls: list[StoredCall]
