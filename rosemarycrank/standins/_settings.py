"""Settings of the upstream stand-in and its switches."""

import attrs

from rosemarycrank import load


@load.with_constraints
@attrs.frozen
class ServiceTime:
    """Log-normal distribution of service times.

    ``sigma`` is the standard deviation of the logarithm.
    """

    median_ms: float = 10.0
    sigma: float = 0.3


@load.with_constraints
@attrs.frozen
class ColdStart:
    """Service times are ``factor`` times longer at first.

    For ``duration_s`` seconds and until ``requests`` requests were served.
    """

    factor: float = 1.0
    duration_s: float = 0.0
    requests: int = 0


@load.with_constraints
@attrs.frozen
class Route:
    """Nested calls of the requests that match a method and a path pattern."""

    calls: tuple[load.NestedCall, ...]
    method: str = '*'
    path: str = '*'


@load.with_constraints
@attrs.frozen
class Behaviour:
    """Switches that `POST /control` changes; rates are in [0, 1].

    Attributes
    ----------
    slow_factor : float
        Factor on service times.
    shed, drain : bool
        Refuse new requests; a draining upstream also withdraws.
    shed_rate : float
        Share of requests that are refused.
    drop_early_rate : float
        Share whose connection closes before they run.
    drop_rate, truncate_rate, hang_rate : float
        Share whose connection closes, whose answer is cut short, or whose
        answer never comes, after they ran.
    reported_healthy : bool
        What the health endpoint says.
    load_factor : float
        Factor on the reported load.
    report_lag_s : float
        Age that the reported load may have, in seconds.
    """

    slow_factor: float = 1.0
    shed: bool = False
    shed_rate: float = load.constrained_field(load.FRACTION, 0.0)
    drain: bool = False
    drop_early_rate: float = load.constrained_field(load.FRACTION, 0.0)
    drop_rate: float = load.constrained_field(load.FRACTION, 0.0)
    truncate_rate: float = load.constrained_field(load.FRACTION, 0.0)
    hang_rate: float = load.constrained_field(load.FRACTION, 0.0)
    reported_healthy: bool = True
    load_factor: float = 1.0
    report_lag_s: float = 0.0


@load.with_constraints
@attrs.frozen
class UpstreamSettings:
    """Settings of the upstream stand-in.

    Attributes
    ----------
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    service, partner : str
        What is served, and the firm that runs the upstream.
    node_admin, node_http : str
        ``host:port`` of the local node's two ports. Without the first, the
        upstream does not announce itself; without the second, it makes no
        nested calls.
    slots, queue_limit, max_connections : int
        Requests that run at once, that wait for it, and open connections.
    service_time, cold_start, behaviour
        How long requests take and what goes wrong.
    routes : tuple of Route
        Nested calls; the first route that matches decides.
    nested_keys : Keys
        Where keys of nested paid calls come from. Keys issued by the node
        are used only in requests that are paid themselves: another run of
        the same request would bring another key.
    answer_bytes : int
        Padding of answers, in bytes.
    runs_file : str
        File of run events, appended to; empty for none.
    heartbeat_s, drain_s : float
        Interval of announcements, and longest wait for requests in flight
        at a stop, in seconds.
    seed : int
        Seed of service times and of what goes wrong.
    """

    address: str = '127.0.0.1:0'
    service: str = 'service'
    partner: str = ''
    node_admin: str = ''
    node_http: str = ''
    slots: int = 100
    queue_limit: int = 100
    max_connections: int = 750
    service_time: ServiceTime = ServiceTime()
    cold_start: ColdStart = ColdStart()
    behaviour: Behaviour = Behaviour()
    routes: tuple[Route, ...] = ()
    nested_keys: load.Keys = load.Keys.CLIENT
    answer_bytes: int = 300
    runs_file: str = ''
    heartbeat_s: float = 1.0
    drain_s: float = 30.0
    seed: int = 0
