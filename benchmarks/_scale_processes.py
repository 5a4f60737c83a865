"""Measurements of membership with real node processes on one machine."""

import os
import pathlib
import resource
import tempfile
import time

from benchmarks import _deployment
from benchmarks import _processes

IDLE_DURATION_S = 30.0
CONDITION_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def _target_plans(nodes):
    return [
        _deployment.TargetPlan(f'service-{number:04d}', 'domain-00')
        for number in range(nodes)
    ]


def _dump(target):
    return _deployment.request(target.admin_address, 'GET', '/dump')[1]


def _statuses(target):
    members = _dump(target)['membership']['members']
    return {address: member['status'] for address, member in members.items()}


def _wait_until(condition):
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > CONDITION_TIMEOUT_S:
            raise TimeoutError(
                f'condition did not hold within {CONDITION_TIMEOUT_S} s'
            )
        time.sleep(POLL_INTERVAL_S)
    return round(time.monotonic() - started_at, 1)


def _cpu_time_s(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def _resident_mb(pid):
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def _sample_usage(targets):
    """Return sent bytes, received bytes and CPU seconds of each node."""
    samples = []
    for target in targets:
        transport = _dump(target)['transport']
        samples.append(
            (
                sum(transport['sent_bytes_by_kind'].values()),
                transport['received_bytes'],
                _cpu_time_s(target.node.pid),
            )
        )
    return samples


def _measure_idle_usage(targets):
    before, started_at = _sample_usage(targets), time.monotonic()
    time.sleep(IDLE_DURATION_S)
    after = _sample_usage(targets)
    node_s = (time.monotonic() - started_at) * len(targets)
    sent_bytes_s, received_bytes_s, cpu_share = (
        sum(b[i] - a[i] for a, b in zip(before, after)) / node_s
        for i in range(3)
    )
    return {
        'sent_bytes_s': round(sent_bytes_s, 1),
        'received_bytes_s': round(received_bytes_s, 1),
        'cpu_share': round(cpu_share, 4),
        'peers': max(_dump(t)['transport']['peers'] for t in targets),
    }


def _all_report(targets, address, statuses):
    """Return whether all nodes list the address with one of the statuses."""
    return all(_statuses(t).get(address) in statuses for t in targets)


def _time_failure_and_leave(targets):
    """Time the failure of a killed node and the leave of a stopped one."""
    *remaining, stopped, killed = targets
    killed.node.kill()
    killed_address = killed.address
    suspected_s = _wait_until(
        lambda: _all_report(
            [*remaining], killed_address, ('suspect', 'failed')
        )
    )
    confirmation_s = _wait_until(
        lambda: _all_report(remaining, killed_address, ('failed',))
    )
    stopped.node.terminate()
    left_s = _wait_until(
        lambda: _all_report(remaining, stopped.address, ('left',))
    )
    return {
        'suspected_s': suspected_s,
        'failed_s': round(suspected_s + confirmation_s, 1),
        'left_s': left_s,
    }


def measure(nodes):
    """Measure idle node processes of one failure domain.

    Parameters
    ----------
    nodes : int
        Number of node processes.

    Returns
    -------
    dict
        The measured figures, as written to the results file. Processor time
        and memory are those of the whole process.
    """
    with tempfile.TemporaryDirectory() as folder:
        with _processes.ProcessGroup(pathlib.Path(folder)) as group:
            deployment = _deployment.Deployment(
                group, 'scale', _target_plans(nodes)
            )
            deployment.start_platform()
            deployment.start_nodes()
            targets = deployment.targets
            complete_s = _wait_until(
                lambda: all(len(_statuses(t)) == nodes for t in targets)
            )
            figures = {'nodes': nodes, 'known_s_after_ready': complete_s}
            figures['load_average'] = round(os.getloadavg()[0], 1)
            figures['idle'] = _measure_idle_usage(targets)
            figures['resident_mb'] = round(
                max(_resident_mb(t.node.pid) for t in targets), 1
            )
            figures.update(_time_failure_and_leave(targets))
            return figures
