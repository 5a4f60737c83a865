"""Membership at scale, in virtual time: ``make scale``.

Writes ``benchmarks/results/scale.json`` and prints a small table. Sizes can
be chosen: ``python -m benchmarks.scale --nodes 16 64 --sites 18x16``.
"""

import argparse
import json
import os
import pathlib
import platform
import subprocess
import sys

from benchmarks import _scale_domains
from benchmarks import _scale_fit
from benchmarks import _scale_memory
from benchmarks import _scale_scenarios

RESULTS = pathlib.Path(__file__).parent / 'results' / 'scale.json'
NODES = (16, 64, 256, 511)
SITES = ('3x16', '18x16', '18x64', '18x256')
STEADY_S = 60.0
SETTLE_S = 20.0


def _domain(nodes, seed):
    site, cold = _scale_scenarios.cold_start(nodes, seed)
    network = site.network
    network.run(SETTLE_S)
    figures = {'nodes': nodes, 'cold_start': cold}
    figures['steady'] = _scale_scenarios.measure(
        site, site.members_of(0), STEADY_S
    )
    figures['news'] = _scale_scenarios.news(site, 5)
    network.run(SETTLE_S)
    figures['quiet'] = [
        _scale_scenarios.false_suspicions(site, 120.0, loss, pauses)
        for loss, pauses in ((0.05, False), (0.0, True), (0.05, True))
    ]
    network.run(SETTLE_S)
    figures['restarts'] = _scale_scenarios.restarts(site, 30.0, 1.0)
    network.run(SETTLE_S)
    figures['split'] = _scale_scenarios.split_domain(site, 30.0)
    return figures


def _commit():
    found = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


def _parse(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='*', default=NODES)
    parser.add_argument('--sites', nargs='*', default=SITES)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--results', type=pathlib.Path, default=RESULTS)
    return parser.parse_args(argv)


def main(argv=None):
    """Measure, write the results and print a table."""
    options = _parse(argv)
    results = {
        'command': 'python -m benchmarks.scale',
        'commit': _commit(),
        'seed': options.seed,
        'python': platform.python_version(),
        'cores': os.cpu_count(),
        'memory': _scale_memory.measure(),
        'domains': [],
        'sites': [],
    }
    for nodes in options.nodes:
        results['domains'].append(_domain(nodes, options.seed))
        _write(options.results, results)
    for size in options.sites:
        domains, nodes = map(int, size.split('x'))
        results['sites'].append(
            _scale_domains.measure(domains, nodes, options.seed)
        )
        _write(options.results, results)
    print(_scale_fit.table(results))


def _write(path, results):
    results['fits'] = _scale_fit.fits(results)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(results, indent=1) + '\n')


if __name__ == '__main__':
    sys.exit(main())
