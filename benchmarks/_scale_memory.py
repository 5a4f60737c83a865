"""Memory use of the membership state at the target size."""

import gc
import tracemalloc

from benchmarks import _scale_cluster
from benchmarks import _scale_network
from rosemarycrank import kernel
from rosemarycrank.membership import _messages

DOMAIN_COUNT = 18
NODES_PER_DOMAIN = 511
SERVICE_COUNT = 1400
RECORDS_PER_MESSAGE = 64


def _repair_messages(codec, domain):
    """Yield the records of a domain in messages, as received by a node."""
    records = [
        _messages.Record(
            _scale_cluster.address(domain, number),
            (domain << 40) + (number << 20) + 12345,
            3,
            _messages.Status.ALIVE,
            _scale_cluster.domain_name(domain),
            _scale_cluster.service_name(
                (number + 37 * domain) % SERVICE_COUNT
            ),
            'north',
            110,
        )
        for number in range(NODES_PER_DOMAIN)
    ]
    for start in range(0, NODES_PER_DOMAIN, RECORDS_PER_MESSAGE):
        message = _messages.Repair(
            records[start : start + RECORDS_PER_MESSAGE]
        )
        yield codec.decode(codec.encode(message))[1]


def _receive_domains(member, codec, domains):
    for domain in domains:
        for message in _repair_messages(codec, domain):
            event = kernel.Received('10.0.0.9:7400', message)
            member.kernel.handle(event, 0.0)


def measure():
    """Measure the memory use of a node and of a bridge node.

    Returns
    -------
    dict
        Numbers of records, and KiB that Python allocates for the state.
    """
    network = _scale_network.Network()
    tracemalloc.start()
    initial_bytes = _allocated_bytes()
    member = network.start(
        _scale_cluster.address(0, 0), _scale_cluster.domain_name(0)
    )
    codec = member.codec
    _receive_domains(member, codec, [0])
    node_bytes = _allocated_bytes()
    # A node stores records of other domains in the same way as a bridge
    # node, only fewer, so this node stands for a bridge from here on.
    member.directory.on_subscribe_reply(
        '', _messages.SubscribeReply(0, [], whole=True)
    )
    _receive_domains(member, codec, range(1, DOMAIN_COUNT))
    bridge_bytes = _allocated_bytes()
    tracemalloc.stop()
    return {
        'records_of_a_node': NODES_PER_DOMAIN,
        'records_of_a_bridge': member.directory.node_count(),
        'node_kb': round((node_bytes - initial_bytes) / 1024),
        'bridge_kb': round((bridge_bytes - initial_bytes) / 1024),
    }


def _allocated_bytes():
    gc.collect()
    return tracemalloc.get_traced_memory()[0]
