"""Metrics page and state dump of a node."""

import math

import aioprometheus
from aioprometheus import renderer
import msgspec

from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _small_server

_PREFIX = 'rosemarycrank_'


def _register_counter(registry, name, help_text, values):
    metric = aioprometheus.Counter(
        _PREFIX + name, help_text, registry=registry
    )
    for labels, value in values:
        metric.set(labels, value)


def _register_gauge(registry, name, help_text, values):
    metric = aioprometheus.Gauge(_PREFIX + name, help_text, registry=registry)
    for labels, value in values:
        metric.set(labels, value)


def _register_histogram(registry, name, help_text, histogram):
    buckets = []
    cumulative = 0
    bounds = [*map(str, _counters.LATENCY_BOUNDS_S), '+Inf']
    for bound, bucket_count in zip(bounds, histogram.counts):
        cumulative += bucket_count
        buckets.append(({'le': bound}, cumulative))
    _register_counter(registry, f'{name}_bucket', help_text, buckets)
    _register_counter(
        registry, f'{name}_sum', help_text, [({}, histogram.total_s)]
    )
    _register_counter(registry, f'{name}_count', help_text, [({}, cumulative)])


def _labelled_by_reason(by_reason):
    """Return the values of a counter whose keys are `Reason` numbers."""
    return [
        ({'reason': _frames.Reason(reason).name.lower()}, count)
        for reason, count in by_reason.items()
    ]


def _labelled(name, by_key):
    return [({name: str(key)}, count) for key, count in by_key.items()]


def collect(process):
    """Return a registry with all metrics of a node.

    Parameters
    ----------
    process : NodeProcess
        The node.
    """
    registry = aioprometheus.Registry()
    counters = process.counters
    load = process.target_side.load()
    rate_per_s = process.target_side.rate_limit.per_s
    _register_counter(
        registry,
        'requests_total',
        'Requests read.',
        [({}, counters.requests)],
    )
    _register_counter(
        registry,
        'answers_total',
        'Answers given, by status.',
        _labelled('status', counters.responses_by_status),
    )
    _register_counter(
        registry,
        'refusals_total',
        'Answers of the node itself, by reason.',
        _labelled('reason', counters.refusals_by_reason),
    )
    _register_counter(
        registry,
        'retries_total',
        'Further attempts, by the reason that the last one ended.',
        _labelled('reason', counters.retries_by_reason),
    )
    _register_counter(
        registry,
        'cancelled_total',
        'Requests whose client left.',
        [({}, counters.cancelled)],
    )
    _register_counter(
        registry,
        'callback_failures_total',
        'Calls of timers and handlers that failed, by function.',
        _labelled('callback', process.reactor.guard.failures_by_name),
    )
    _register_counter(
        registry,
        'accept_failures_total',
        'Connections of clients that could not be accepted.',
        [({}, process.clients.accept_failures)],
    )
    _register_counter(
        registry,
        'connections_closed_for_room_total',
        'Idle connections of clients that were closed to make room.',
        [({}, process.clients.closed_for_room)],
    )
    _register_gauge(
        registry,
        'client_connections',
        'Open connections of clients, by state.',
        _labelled('state', process.clients.count_by_state()),
    )
    _register_gauge(
        registry,
        'node_connections',
        'Open connections to and from other nodes.',
        [({}, len(process.node.all_connections()))],
    )
    resident = process.resident_memory
    _register_gauge(
        registry,
        'resident_memory_bytes',
        'Resident memory of the process, its peak and its limit.',
        _labelled(
            'value',
            {
                'now': resident.used_bytes,
                'peak': resident.peak_bytes,
                'limit': resident.limit_bytes,
            },
        ),
    )
    budgets_by_name = process.memory.budgets_by_name
    _register_gauge(
        registry,
        'memory_held_bytes',
        'Memory held for messages, by kind.',
        _labelled(
            'kind',
            {
                name: budget.used_bytes
                for name, budget in budgets_by_name.items()
            },
        ),
    )
    _register_gauge(
        registry,
        'memory_shortage',
        'Whether there is no room for large requests (1), nor for unfinished '
        'messages (2).',
        [({}, int(process.memory.shortage))],
    )
    _register_counter(
        registry,
        'memory_shed_total',
        'Things given up for want of memory, by kind.',
        _labelled('kind', process.memory_guard.shed_by_name),
    )
    _register_counter(
        registry,
        'memory_refusals_total',
        'Messages refused for want of memory, by kind.',
        _labelled(
            'kind',
            {
                name: budget.refusals
                for name, budget in budgets_by_name.items()
            },
        ),
    )
    _register_counter(
        registry,
        'target_sends_total',
        'Requests sent to the local target.',
        [({}, counters.target_sends)],
    )
    _register_counter(
        registry,
        'target_failures_total',
        'Attempts at the local target without an answer, by reason.',
        _labelled_by_reason(counters.target_failures_by_reason),
    )
    _register_counter(
        registry,
        'target_connections_total',
        'Connections opened to the local target.',
        [({}, process.pool.opened)],
    )
    _register_gauge(
        registry,
        'target_connections_open',
        'Open connections to the local target.',
        [({}, process.pool.open_count)],
    )
    _register_gauge(
        registry,
        'target_attempts',
        'Attempts at the local target, by state.',
        [
            ({'state': 'running'}, load.running),
            ({'state': 'waiting'}, load.waiting),
        ],
    )
    _register_gauge(
        registry,
        'target_limit',
        'Attempts that may run at the local target at once.',
        [({}, load.limit)],
    )
    _register_gauge(
        registry,
        'target_rate_limit',
        'Requests per second that the local target takes; -1 for no limit.',
        [({}, -1.0 if math.isinf(rate_per_s) else rate_per_s)],
    )
    _register_gauge(
        registry,
        'requests_under_way',
        'Requests that wait for an answer.',
        [({}, process.entry.in_flight)],
    )
    _register_gauge(
        registry,
        'crash_suspects',
        'Requests that are suspected of crashing targets.',
        [({}, len(process.node.crash_history.suspects))],
    )
    _register_counter(
        registry,
        'store_returns_total',
        'Returns of the store from an older copy.',
        [({}, process.store.rises)],
    )
    _register_gauge(
        registry,
        'configuration_version',
        'Version in force; -1 for none.',
        [({}, process.node.configuration_version())],
    )
    handler = process.log_handler
    if handler is not None:
        _register_counter(
            registry,
            'log_lines_total',
            'Lines of the log, by what became of them.',
            [
                ({'end': 'written'}, handler.written),
                ({'end': 'dropped'}, handler.dropped),
            ],
        )
    _register_histogram(
        registry,
        'request_seconds',
        'Seconds from request to answer.',
        counters.request_time,
    )
    _register_histogram(
        registry,
        'target_seconds',
        'Seconds of runs at the local target.',
        counters.service_time,
    )
    _register_histogram(
        registry,
        'loop_delay_seconds',
        'Seconds by which timers ran late.',
        process.reactor.delays,
    )
    return registry


def dump(process):
    """Return the state of a node as data that can be encoded as JSON."""
    node = process.node
    return {
        'node': process.settings.node_name,
        'incarnation': process.incarnation,
        'ready': process.ready(),
        'stopping': process.planned_stop.has_begun,
        'configuration': node.configuration_version(),
        'target': process.target_side.record,
        'load': process.target_side.load(),
        'targets': node.directory.records(),
        'crashes': node.crash_history.facts(),
        'peers': {
            address: {
                'reachable': peer.reachable,
                'leaving': peer.leaving,
                'outstanding': peer.outstanding,
                'load': peer.load,
            }
            for address, peer in node.peers_by_node.items()
        },
        'under_way': process.entry.in_flight,
        # Estimated calls that one request causes, by service.
        'costs': {
            f'{service}/{route}': cost
            for (
                service,
                route,
            ), cost in process.costs.costs_by_service_route.items()
        },
        'pressures': process.front.pressures(process.reactor.now()),
    }


def handle_request(process, message):
    """Return the reply to a request for the metrics or the state dump."""
    if message.target.startswith(b'/state'):
        return _small_server.Reply(200, msgspec.json.encode(dump(process)))
    text, _ = renderer.render(collect(process), ['text/plain'])
    return _small_server.Reply(200, text, b'text/plain; version=0.0.4')
