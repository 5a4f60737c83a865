"""Traffic and processor time of simulated nodes."""

import contextlib

from benchmarks import _scale_network

# At the measured message rates each frame travels in a packet of its own,
# with headers of IPv4 (20 bytes) and TCP with timestamps (32) and the length
# prefix of nng (8). The receiver returns a TCP acknowledgement.
PACKET_OVERHEAD_BYTES = 20 + 32 + 8
ACKNOWLEDGEMENT_BYTES = 52


@contextlib.contextmanager
def measuring(network):
    """Measure the usage of all members of a network from zero.

    Parameters
    ----------
    network : Network
        The network, which measures until the end of the context.
    """
    network.measures_usage = True
    network.reset_usage()
    yield
    network.measures_usage = False


def usage_report(members, duration_s):
    """Return the traffic and processor time of members.

    Parameters
    ----------
    members : sequence of Member
        Members over which the report averages.
    duration_s : float
        Virtual seconds since the usage was reset.

    Returns
    -------
    dict
        Rates per node and virtual second: bytes of sent and received frames,
        frames, bytes on the wire with packet overhead, and processor time
        (of which ``cpu_tick_us_s`` is that of timers). ``by_kind`` has for
        each message kind the rates, the mean size and the mean processor
        time of receiving a message.
    """
    usage = _total_usage(members)
    node_s = len(members) * duration_s
    sent_bytes = usage.sent_bytes.total()
    received_bytes = usage.received_bytes.total()
    frames = usage.sent.total() + usage.received.total()
    wire_bytes = (
        sent_bytes
        + received_bytes
        + frames * (PACKET_OVERHEAD_BYTES + ACKNOWLEDGEMENT_BYTES)
    )
    cpu_ns = usage.encode_ns + usage.tick_ns + usage.handle_ns.total()
    return {
        'nodes': len(members),
        'sent_bytes_s': round(sent_bytes / node_s, 1),
        'received_bytes_s': round(received_bytes / node_s, 1),
        'frames_s': round(frames / node_s, 2),
        'wire_bytes_s': round(wire_bytes / node_s, 1),
        'cpu_us_s': round(cpu_ns / 1000 / node_s, 1),
        'cpu_tick_us_s': round(usage.tick_ns / 1000 / node_s, 1),
        'by_kind': {
            kind: _kind_report(usage, kind, node_s)
            for kind in sorted(usage.sent)
        },
    }


def _total_usage(members):
    total = _scale_network.Usage()
    for member in members:
        usage = member.usage
        total.sent_bytes.update(usage.sent_bytes)
        total.sent.update(usage.sent)
        total.received_bytes.update(usage.received_bytes)
        total.received.update(usage.received)
        total.handle_ns.update(usage.handle_ns)
        total.encode_ns += usage.encode_ns
        total.tick_ns += usage.tick_ns
    return total


def _kind_report(usage, kind, node_s):
    receive_us = usage.handle_ns[kind] / 1000 / max(1, usage.received[kind])
    return {
        'sent_s': round(usage.sent[kind] / node_s, 3),
        'bytes': round(usage.sent_bytes[kind] / usage.sent[kind]),
        'sent_bytes_s': round(usage.sent_bytes[kind] / node_s, 1),
        'receive_us': round(receive_us, 1),
    }


def measure_usage(cluster, members, duration_s):
    """Run for ``duration_s`` virtual seconds; report the members' usage."""
    with measuring(cluster.network):
        cluster.network.run(duration_s)
    return usage_report(members, duration_s)
