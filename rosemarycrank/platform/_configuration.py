"""Format of the operator's configuration document."""

import math

import msgspec

from rosemarycrank import dataplane
from rosemarycrank import decoding

_IDEMPOTENT_ROUTE_TYPE = 'idempotent'


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_s: float
    aim_s: float = math.inf
    priority: int = 0
    max_attempts: int = 1
    service: str = ''
    weighted_services: list[_WeightedService] = []


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Document)


def _decode_route(route):
    try:
        return _convert_route(route)
    except ValueError as error:
        raise ValueError(f'route {route.name}: {error}') from error


def _convert_route(route):
    weighted_services = route.weighted_services or [
        _WeightedService(route.service)
    ]
    return dataplane.Route(
        name=route.name,
        host=route.hostname.lower().encode(),
        path_prefix=route.path_prefix.encode(),
        services=tuple(
            dataplane.WeightedService(entry.service, entry.weight)
            for entry in weighted_services
            if entry.weight > 0
        ),
        idempotent=route.route_type == _IDEMPOTENT_ROUTE_TYPE,
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_s,
        latency_goal_s=min(route.aim_s, route.timeout_s),
        priority=route.priority,
    )


def decode(body):
    """Decode a configuration document.

    Parameters
    ----------
    body : bytes
        JSON text.

    Returns
    -------
    rosemarycrank.dataplane.Configuration
        The decoded configuration.

    Raises
    ------
    ValueError
        If the document is not a valid configuration.
    """
    document = decoding.decode(_DECODER, body)
    limits = document.limits
    return dataplane.Configuration(
        version=document.version,
        routes=tuple(_decode_route(route) for route in document.routes),
        limits=dataplane.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        ),
        body=body,
    )
