"""Settings and run-time switches of the upstream stand-in."""

import attrs

from rosemarycrank import load


@load.with_constraints
@attrs.frozen
class ServiceTime:
    """Log-normal distribution of service times.

    ``sigma`` is the standard deviation of the logarithm of the time.
    """

    median_ms: float = 10.0
    sigma: float = 0.3


@load.with_constraints
@attrs.frozen
class ColdStart:
    """Increase of service times after the start, by ``factor``.

    It applies until ``duration_s`` seconds have passed and ``requests``
    requests have been started.
    """

    factor: float = 1.0
    duration_s: float = 0.0
    requests: int = 0


@load.with_constraints
@attrs.frozen
class Route:
    """Nested calls of requests that match a method and a path pattern."""

    calls: tuple[load.NestedCall, ...]
    method: str = '*'
    path: str = '*'


@load.with_constraints
@attrs.frozen
class Behaviour:
    """Switches that ``POST /control`` changes; rates are in [0, 1].

    Attributes
    ----------
    slow_factor : float
        Factor applied to service times.
    shed, drain : bool
        Whether new requests are refused; with `drain` the upstream is also
        withdrawn from its node.
    shed_rate : float
        Share of requests that are refused.
    drop_early_rate : float
        Share of requests whose connection is closed before they run.
    drop_rate, truncate_rate, hang_rate : float
        Share of requests whose connection is closed, whose answer is
        truncated, or which get no answer, after they have run.
    reported_healthy : bool
        Value that the health endpoint reports.
    load_factor : float
        Factor applied to the reported load.
    report_lag_s : float
        Maximum age of the reported load, in seconds.
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
        ``host:port`` to listen on; port 0 picks a free port.
    service, partner : str
        Service that the upstream provides, and partner that runs it.
    node_admin, node_http : str
        ``host:port`` of the admin port and the HTTP port of the local node.
        Without `node_admin` the upstream is not announced; without
        `node_http` every nested call fails.
    slots, queue_limit, max_connections : int
        Maximum numbers of running requests, of requests that wait for a
        slot, and of open connections.
    service_time, cold_start, behaviour
        Service times and injected faults.
    routes : tuple of Route
        Nested calls of requests whose body lists none; the first matching
        route applies.
    nested_keys : Keys
        Source of the idempotency keys of paid nested calls. Keys issued by
        the node are used only within paid requests, which run at most once:
        a second run of an unpaid request would send a different key.
    answer_bytes : int
        Padding of answers, in bytes.
    runs_file : str
        File that run events are appended to; empty for none.
    heartbeat_s, drain_s : float
        Interval of announcements, and maximum wait for requests in flight
        on shutdown, in seconds.
    seed : int
        Seed of the service times and of the injected faults.
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
