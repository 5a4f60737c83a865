"""Memory of membership at the target size."""

import gc
import tracemalloc

from benchmarks import _scale_network
from benchmarks import _scale_scenarios
from rosemarycrank import kernel
from rosemarycrank.membership import _messages

DOMAINS = 18
NODES = 511
SERVICES = 1400
PAGE_RECORDS = 64


def _records(codec, domain):
    """Return the records of a domain as a node gets them, decoded."""
    records = [
        _messages.Record(
            _scale_scenarios.address(domain, number),
            (domain << 40) + (number << 20) + 12345,
            3,
            _messages.Status.ALIVE,
            _scale_scenarios.domain_name(domain),
            _scale_scenarios.service_name((number + 37 * domain) % SERVICES),
            'north',
            110,
        )
        for number in range(NODES)
    ]
    for start in range(0, NODES, PAGE_RECORDS):
        page = _messages.Repair(records[start : start + PAGE_RECORDS])
        yield codec.decode(codec.encode(page))[1]


def _load(member, codec, domains):
    for domain in domains:
        for message in _records(codec, domain):
            event = kernel.Received('10.0.0.9:7400', message)
            member.kernel.handle(event, 0.0)


def measure():
    """Measure the memory of a node and of a bridge node.

    Returns
    -------
    dict
        Kilobytes that Python allocates for the state.
    """
    network = _scale_network.Network()
    tracemalloc.start()
    before = _allocated()
    member = network.start(
        _scale_scenarios.address(0, 0), _scale_scenarios.domain_name(0)
    )
    codec = member.codec
    _load(member, codec, [0])
    node = _allocated()
    # A node keeps other domains' records like a bridge; it only has fewer.
    member.directory.on_subscribe_reply(
        '', _messages.SubscribeReply(0, [], whole=True)
    )
    _load(member, codec, range(1, DOMAINS))
    bridge = _allocated()
    tracemalloc.stop()
    return {
        'records_of_a_node': NODES,
        'records_of_a_bridge': member.directory.node_count(),
        'node_kb': round((node - before) / 1024),
        'bridge_kb': round((bridge - before) / 1024),
    }


def _allocated():
    gc.collect()
    return tracemalloc.get_traced_memory()[0]
