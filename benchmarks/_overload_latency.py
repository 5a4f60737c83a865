"""Measures the latency and processor time that two nodes add to a call.

Calls through both nodes alternate with calls directly to the upstream, at a
fixed mean rate for each of the two. Run with
``python -m benchmarks._overload_latency``.
"""

import json
import os
import pathlib
import random
import tempfile
import time
import typing

import gevent
from gevent import pool
import typer

from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _overload_setup
from benchmarks import _processes
from rosemarycrank import http_client

RESULTS = pathlib.Path(__file__).parent / 'results'
SERVICE_TIME_MS = 2.0
CALL_TIMEOUT_S = 2.0
WARM_UP_S = 3.0
IDLE_DURATION_S = 10.0
#: Roles of the two nodes, in the order of the deployment's targets.
ROLES = ('entry', 'target')
PERCENTILES = (0.5, 0.9, 0.99)


def main(
    rate: typing.Annotated[float, typer.Option(help='calls/s')] = 75.0,
    duration_s: typing.Annotated[float, typer.Option()] = 20.0,
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS
    / 'overload-latency.json',
):
    """Measure and write the latencies with and without the nodes."""
    with tempfile.TemporaryDirectory(
        prefix='rosemarycrank-bench-'
    ) as temporary_folder:
        with _processes.ProcessGroup(
            pathlib.Path(temporary_folder)
        ) as processes:
            deployment = _start_deployment(processes)
            idle_shares = _measure_cpu_shares(
                deployment, lambda: time.sleep(IDLE_DURATION_S)
            )
            latencies = {}
            busy_shares = _measure_cpu_shares(
                deployment,
                lambda: latencies.update(
                    _measure_latencies(deployment, rate, duration_s)
                ),
            )
    result = {'calls_per_s': rate, 'duration_s': duration_s}
    for role in ROLES:
        cpu_share = busy_shares[role] - idle_shares[role]
        result[f'{role}_idle_share'] = round(idle_shares[role], 4)
        result[f'{role}_us_per_call'] = round(cpu_share / rate * 1e6, 1)
    for name, values_ms in latencies.items():
        result[name] = _percentiles(values_ms)
    result['added_ms'] = {
        key: round(result['nodes_ms'][key] - result['direct_ms'][key], 3)
        for key in result['nodes_ms']
    }
    out.write_text(json.dumps(result, indent=1) + '\n')
    print(json.dumps(result))


def _start_deployment(processes):
    operators = _operators.Operators(processes.folder)
    plans = [
        _deployment.TargetPlan(
            service=service,
            failure_domain='domain-a',
            partner='partner-one',
            settings={
                'service_time': {'median_ms': SERVICE_TIME_MS, 'sigma': 0.0}
            },
        )
        for service in ('front', 'leaf')
    ]
    deployment = _deployment.Deployment(
        processes,
        'latency',
        plans,
        trusted_keys_file=str(operators.trusted_keys_path),
    )
    deployment.start()
    bundle_path = processes.folder / 'latency.bundle.yaml'
    bundle_path.write_bytes(_overload_setup.encode_bundle())
    operators.roll_out(bundle_path, f'http://{deployment.platform_address}')
    deployment.wait_until_known()
    deployment.wait_until_in_force(1)
    time.sleep(WARM_UP_S)
    return deployment


def _measure_cpu_shares(deployment, action):
    """Return the share of a core that each node uses during an action."""
    cpu_times_before_s = [
        _cpu_time_s(target.node.pid) for target in deployment.targets
    ]
    started_at = time.monotonic()
    action()
    elapsed_s = time.monotonic() - started_at
    cpu_times_after_s = [
        _cpu_time_s(target.node.pid) for target in deployment.targets
    ]
    return {
        role: (end_s - start_s) / elapsed_s
        for role, start_s, end_s in zip(
            ROLES, cpu_times_before_s, cpu_times_after_s, strict=True
        )
    }


def _cpu_time_s(pid):
    # Fields 14 and 15 are user and system time. The name in field 2 may
    # contain spaces, so the line is split after its closing parenthesis.
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _measure_latencies(deployment, rate, duration_s):
    entry, leaf = deployment.targets
    clients_and_paths = {
        'nodes_ms': (
            http_client.Client.for_address(entry.http_address),
            '/call/leaf/renewal/',
        ),
        'direct_ms': (
            http_client.Client.for_address(leaf.upstream_address),
            '/renewal/',
        ),
    }
    latencies = {name: [] for name in clients_and_paths}
    rng = random.Random(1)
    calls = pool.Group()
    started_at = time.perf_counter()
    due_s = 0.0
    number = 0
    while due_s < duration_s + WARM_UP_S:
        interval_s = rng.expovariate(rate)
        for name, (client, path) in clients_and_paths.items():
            gevent.sleep(max(0.0, started_at + due_s - time.perf_counter()))
            recorded = latencies[name] if due_s > WARM_UP_S else []
            calls.spawn(_call, client, f'{path}{name}-{number}', recorded)
            due_s += interval_s / len(clients_and_paths)
            number += 1
    calls.join()
    return latencies


def _call(client, path, latencies):
    headers = {'Rosemarycrank-Deadline-Ms': '1500'}
    started_at = time.perf_counter()
    response = client.request('GET', path, b'', headers, CALL_TIMEOUT_S)
    if response.status != 200:
        raise RuntimeError(f'{path}: status {response.status}')
    latencies.append((time.perf_counter() - started_at) * 1000)


def _percentiles(values_ms):
    ordered_ms = sorted(values_ms)
    return {
        f'p{quantile * 100:g}': round(
            ordered_ms[int(len(ordered_ms) * quantile)], 3
        )
        for quantile in PERCENTILES
    }


if __name__ == '__main__':
    typer.run(main)
