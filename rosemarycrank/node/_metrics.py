"""Metrics of a node in the Prometheus format."""

import aioprometheus
from aioprometheus import renderer


def render(dump, get_header):
    """Render a state dump as metrics.

    Parameters
    ----------
    dump : dict
        State dump of a node.
    get_header : callable
        Returns a request header by name, or None.

    Returns
    -------
    tuple of (bytes, dict)
        Body and headers of the HTTP response.
    """
    registry = aioprometheus.Registry()
    events = aioprometheus.Counter(
        'rosemarycrank_events_total',
        'Events by name.',
        registry=registry,
    )
    for name, value in dump['counters'].items():
        events.set({'event': name}, value)
    sent_bytes = aioprometheus.Counter(
        'rosemarycrank_sent_bytes_total',
        'Bytes sent to other nodes, by kind of message.',
        registry=registry,
    )
    for kind, value in dump['transport']['sent_bytes_by_kind'].items():
        sent_bytes.set({'kind': kind}, value)
    target_load = aioprometheus.Gauge(
        'rosemarycrank_target_load',
        'Attempts at the local upstream.',
        registry=registry,
    )
    for name, value in dump['target']['load'].items():
        target_load.set({'value': name}, value)
    waiting_clients = aioprometheus.Gauge(
        'rosemarycrank_waiting_clients',
        'Clients that wait for an answer.',
        registry=registry,
    )
    waiting_clients.set({}, dump['process']['waiting_clients'])
    accept = get_header('Accept')
    return renderer.render(registry, [accept] if accept else [])
