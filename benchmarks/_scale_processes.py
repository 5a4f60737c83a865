"""Membership of real node processes on one machine."""

import os
import pathlib
import resource
import tempfile
import time

from benchmarks import _deployment
from benchmarks import _processes

IDLE_S = 30.0
LIMIT_S = 60.0
POLL_S = 0.1
CLOCK_TICKS_S = os.sysconf('SC_CLK_TCK')


def _plans(nodes):
    return [
        _deployment.TargetPlan(f'service-{number:04d}', 'domain-00')
        for number in range(nodes)
    ]


def _dump(target):
    return _deployment.request(target.admin_address, 'GET', '/dump')[1]


def _statuses(target):
    members = _dump(target)['membership']['members']
    return {address: member['status'] for address, member in members.items()}


def _wait(condition):
    began_at = time.monotonic()
    while not condition():
        if time.monotonic() - began_at > LIMIT_S:
            raise TimeoutError(f'not within {LIMIT_S} s')
        time.sleep(POLL_S)
    return round(time.monotonic() - began_at, 1)


def _process_seconds(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_S


def _resident_mb(pid):
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def _sample(targets):
    samples = []
    for target in targets:
        transport = _dump(target)['transport']
        samples.append(
            (
                sum(transport['sent_bytes_by_kind'].values()),
                transport['received_bytes'],
                _process_seconds(target.node.pid),
            )
        )
    return samples


def _idle_usage(targets):
    before, began_at = _sample(targets), time.monotonic()
    time.sleep(IDLE_S)
    after = _sample(targets)
    node_s = (time.monotonic() - began_at) * len(targets)
    sent, received, cpu_s = (
        sum(b[i] - a[i] for a, b in zip(before, after)) / node_s
        for i in range(3)
    )
    return {
        'sent_bytes_s': round(sent, 1),
        'received_bytes_s': round(received, 1),
        'cpu_share': round(cpu_s, 4),
        'peers': max(_dump(t)['transport']['peers'] for t in targets),
    }


def _first_with(targets, address, statuses):
    return all(_statuses(t).get(address) in statuses for t in targets)


def _time_events(targets):
    """Kill one node, and stop another as planned."""
    *others, stopped, killed = targets
    killed.node.kill()
    gone = killed.address
    suspected_s = _wait(
        lambda: _first_with([*others], gone, ('suspect', 'failed'))
    )
    rest_s = _wait(lambda: _first_with(others, gone, ('failed',)))
    stopped.node.terminate()
    left_s = _wait(lambda: _first_with(others, stopped.address, ('left',)))
    return {
        'suspected_s': suspected_s,
        'failed_s': round(suspected_s + rest_s, 1),
        'left_s': left_s,
    }


def measure(nodes):
    """Measure idle node processes of one failure domain.

    Parameters
    ----------
    nodes : int
        Node processes.

    Returns
    -------
    dict
        The figures; processor time is that of the whole process.
    """
    with tempfile.TemporaryDirectory() as folder:
        with _processes.ProcessGroup(pathlib.Path(folder)) as group:
            deployment = _deployment.Deployment(group, 'scale', _plans(nodes))
            deployment.start_platform()
            deployment.start_nodes()
            targets = deployment.targets
            known_s = _wait(
                lambda: all(len(_statuses(t)) == nodes for t in targets)
            )
            figures = {'nodes': nodes, 'known_s_after_ready': known_s}
            figures['load_average'] = round(os.getloadavg()[0], 1)
            figures['idle'] = _idle_usage(targets)
            figures['resident_mb'] = round(
                max(_resident_mb(t.node.pid) for t in targets), 1
            )
            figures.update(_time_events(targets))
            return figures
