"""Benchmark of membership by number of nodes: ``make scale``.

The parts ``domains`` (one failure domain), ``sites`` (several) and
``bundles`` run in virtual time; ``processes`` runs real nodes on this
machine. Each part writes ``benchmarks/results/scale_<part>.json``. To run
one part at other sizes:
``python -m benchmarks.scale --part domains --sizes 16 64``.
"""

import argparse
import json
import os
import pathlib
import platform
import subprocess
import sys

from benchmarks import _scale_bundles
from benchmarks import _scale_domains
from benchmarks import _scale_fit
from benchmarks import _scale_memory
from benchmarks import _scale_processes
from benchmarks import _scale_propagation
from benchmarks import _scale_scenarios
from benchmarks import _scale_usage

RESULTS_DIR = pathlib.Path(__file__).parent / 'results'
STEADY_DURATION_S = 60.0
SETTLE_DURATION_S = 20.0
# Nodes of a failure domain; for ``sites``, domains x nodes of each.
SIZES_BY_PART = {
    'domains': ('16', '64', '256', '511'),
    'sites': ('3x16', '18x16', '18x64', '18x256'),
    'bundles': ('16', '64', '256', '511'),
    'processes': ('8', '32', '64'),
}


def _measure_domain(nodes, seed):
    cluster, cold_start_figures = _scale_scenarios.measure_cold_start(
        nodes, seed
    )
    network = cluster.network
    network.run(SETTLE_DURATION_S)
    figures = {'nodes': nodes, 'cold_start': cold_start_figures}
    figures['steady'] = _scale_usage.measure_usage(
        cluster, cluster.members_of(0), STEADY_DURATION_S
    )
    figures['news'] = _scale_propagation.measure_propagation(cluster, 5)
    network.run(SETTLE_DURATION_S)
    figures['quiet'] = [
        _scale_scenarios.count_false_suspicions(cluster, 120.0, loss, pauses)
        for loss, pauses in ((0.05, False), (0.0, True), (0.05, True))
    ]
    network.run(SETTLE_DURATION_S)
    figures['restarts'] = _scale_scenarios.measure_restarts(cluster, 30.0, 1.0)
    network.run(SETTLE_DURATION_S)
    figures['split'] = _scale_scenarios.measure_partition(cluster, 30.0)
    return figures


def _measure_several_domains(size, seed):
    domains, nodes = map(int, size.split('x'))
    return _scale_domains.measure(domains, nodes, seed)


def _measure_part(part, size, seed):
    if part == 'domains':
        return _measure_domain(int(size), seed)
    if part == 'sites':
        return _measure_several_domains(size, seed)
    if part == 'bundles':
        return _scale_bundles.measure(int(size), seed)
    return _scale_processes.measure(int(size))


def _commit_hash():
    completed = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip()


def _run_part(part, sizes, seed, results_dir):
    report = {
        'command': f'python -m benchmarks.scale --part {part}',
        'commit': _commit_hash(),
        'seed': seed,
        'python': platform.python_version(),
        'cores': os.cpu_count(),
        part: [],
    }
    if part == 'domains':
        report['memory'] = _scale_memory.measure()
    for size in sizes:
        report[part].append(_measure_part(part, size, seed))
        report['fits'] = _scale_fit.fit_lines(part, report[part])
        results_dir.mkdir(exist_ok=True)
        text = json.dumps(report, indent=1)
        (results_dir / f'scale_{part}.json').write_text(text + '\n')
    print(_scale_fit.format_table(part, report[part]))


def _parse_arguments(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=SIZES_BY_PART)
    parser.add_argument('--sizes', nargs='+')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--results', type=pathlib.Path, default=RESULTS_DIR)
    return parser.parse_args(argv)


def main(argv=None):
    """Run the parts; write the results and print a table of each part."""
    options = _parse_arguments(argv)
    for part in (options.part,) if options.part else SIZES_BY_PART:
        sizes = options.sizes or SIZES_BY_PART[part]
        _run_part(part, sizes, options.seed, options.results)


if __name__ == '__main__':
    sys.exit(main())
