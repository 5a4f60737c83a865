"""The operator's configuration document."""

import math

import msgspec

from rosemarycrank import dataplane

_IDEMPOTENT = 'idempotent'


class _Part(msgspec.Struct):
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
    weighted_services: list[_Part] = []


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


def _route(route):
    parts = route.weighted_services or [_Part(route.service)]
    return dataplane.Route(
        name=route.name,
        host=route.hostname.lower().encode(),
        path_prefix=route.path_prefix.encode(),
        services=tuple(
            dataplane.WeightedService(part.service, part.weight)
            for part in parts
            if part.weight > 0
        ),
        idempotent=route.route_type == _IDEMPOTENT,
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_s,
        latency_goal_s=min(route.aim_s, route.timeout_s),
        priority=route.priority,
    )


def decode(body):
    """Decode the document.

    Parameters
    ----------
    body : bytes
        JSON text.

    Returns
    -------
    rosemarycrank.dataplane.Configuration
        The configuration.

    Raises
    ------
    ValueError
        If it is not a configuration.
    """
    try:
        document = _DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    limits = document.limits
    return dataplane.Configuration(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
        limits=dataplane.Limits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        ),
        body=body,
    )
