"""Latency and processor time that two nodes add to a call.

Calls through both nodes and straight to the upstream alternate in one run,
at a fixed rate. Run with ``python -m benchmarks._overload_latency``.
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
MEDIAN_MS = 2.0
TIMEOUT_S = 2.0
WARM_UP_S = 3.0
IDLE_S = 10.0
#: Roles of the two nodes, in the order of the deployment's targets.
ROLES = ('entry', 'target')
PERCENTILES = (0.5, 0.9, 0.99)


def main(
    rate: typing.Annotated[float, typer.Option(help='calls/s')] = 75.0,
    duration_s: typing.Annotated[float, typer.Option()] = 20.0,
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS
    / 'overload-latency.json',
):
    """Measure and write the latencies with and without nodes."""
    with tempfile.TemporaryDirectory(prefix='rosemarycrank-bench-') as own:
        with _processes.ProcessGroup(pathlib.Path(own)) as processes:
            deployment = _start(processes)
            idle = _processor_shares(deployment, lambda: time.sleep(IDLE_S))
            latencies = {}
            busy = _processor_shares(
                deployment,
                lambda: latencies.update(
                    _measure(deployment, rate, duration_s)
                ),
            )
    result = {'calls_per_s': rate, 'duration_s': duration_s}
    for role in ROLES:
        share = busy[role] - idle[role]
        result[f'{role}_idle_share'] = round(idle[role], 4)
        result[f'{role}_us_per_call'] = round(share / rate * 1e6, 1)
    for name, values in latencies.items():
        result[name] = _percentiles(values)
    result['added_ms'] = {
        key: round(result['nodes_ms'][key] - result['direct_ms'][key], 3)
        for key in result['nodes_ms']
    }
    out.write_text(json.dumps(result, indent=1) + '\n')
    print(json.dumps(result))


def _start(processes):
    operators = _operators.Operators(processes.folder)
    plans = [
        _deployment.TargetPlan(
            service=service,
            failure_domain='domain-a',
            partner='partner-one',
            settings={'service_time': {'median_ms': MEDIAN_MS, 'sigma': 0.0}},
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
    bundle = processes.folder / 'latency.bundle.yaml'
    bundle.write_bytes(_overload_setup.bundle())
    operators.roll_out(bundle, f'http://{deployment.platform_address}')
    deployment.wait_until_known()
    deployment.wait_until_in_force(1)
    time.sleep(WARM_UP_S)
    return deployment


def _processor_shares(deployment, action):
    """Return the share of a core that each node took during an action."""
    before = [_processor_s(t.node.pid) for t in deployment.targets]
    began = time.monotonic()
    action()
    span_s = time.monotonic() - began
    after = [_processor_s(t.node.pid) for t in deployment.targets]
    return {
        role: (end - start) / span_s
        for role, start, end in zip(ROLES, before, after, strict=True)
    }


def _processor_s(pid):
    # Fields 14 and 15, counted behind the name, are user and system time.
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _measure(deployment, rate, duration_s):
    entry, leaf = deployment.targets
    ways = {
        'nodes_ms': (_client(entry.http_address), '/call/leaf/renewal/'),
        'direct_ms': (_client(leaf.upstream_address), '/renewal/'),
    }
    latencies = {name: [] for name in ways}
    source = random.Random(1)
    jobs = pool.Group()
    began = time.perf_counter()
    at_s = 0.0
    number = 0
    while at_s < duration_s + WARM_UP_S:
        gap_s = source.expovariate(rate)
        for name, (client, path) in ways.items():
            gevent.sleep(max(0.0, began + at_s - time.perf_counter()))
            kept = latencies[name] if at_s > WARM_UP_S else []
            jobs.spawn(_call, client, f'{path}{name}-{number}', kept)
            at_s += gap_s / len(ways)
            number += 1
    jobs.join()
    return latencies


def _call(client, path, latencies):
    headers = {'Rosemarycrank-Deadline-Ms': '1500'}
    began = time.perf_counter()
    answer = client.request('GET', path, b'', headers, TIMEOUT_S)
    if answer.status != 200:
        raise RuntimeError(f'{path}: status {answer.status}')
    latencies.append((time.perf_counter() - began) * 1000)


def _client(address):
    host, _, port = address.rpartition(':')
    return http_client.Client(host, int(port))


def _percentiles(values):
    ordered = sorted(values)
    return {
        f'p{share * 100:g}': round(ordered[int(len(ordered) * share)], 3)
        for share in PERCENTILES
    }


if __name__ == '__main__':
    typer.run(main)
