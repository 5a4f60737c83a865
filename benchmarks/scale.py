"""Membership at scale: ``make scale``.

Parts are ``domains`` (one failure domain), ``sites`` (many), ``bundles``
(all three in virtual time) and ``processes`` (real nodes on this machine).
Each writes ``benchmarks/results/scale_<part>.json``. One part at other
sizes: ``python -m benchmarks.scale --part domains --sizes 16 64``.
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
from benchmarks import _scale_scenarios

RESULTS = pathlib.Path(__file__).parent / 'results'
STEADY_S = 60.0
SETTLE_S = 20.0
SIZES_BY_PART = {
    'domains': ('16', '64', '256', '511'),
    'sites': ('3x16', '18x16', '18x64', '18x256'),
    'bundles': ('16', '64', '256', '511'),
    'processes': ('8', '32', '64'),
}


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


def _site(size, seed):
    domains, nodes = map(int, size.split('x'))
    return _scale_domains.measure(domains, nodes, seed)


def _measure(part, size, seed):
    if part == 'domains':
        return _domain(int(size), seed)
    if part == 'sites':
        return _site(size, seed)
    if part == 'bundles':
        return _scale_bundles.measure(int(size), seed)
    return _scale_processes.measure(int(size))


def _commit():
    found = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


def _run(part, sizes, seed, folder):
    results = {
        'command': f'python -m benchmarks.scale --part {part}',
        'commit': _commit(),
        'seed': seed,
        'python': platform.python_version(),
        'cores': os.cpu_count(),
        part: [],
    }
    if part == 'domains':
        results['memory'] = _scale_memory.measure()
    for size in sizes:
        results[part].append(_measure(part, size, seed))
        results['fits'] = _scale_fit.fits(part, results[part])
        folder.mkdir(exist_ok=True)
        text = json.dumps(results, indent=1)
        (folder / f'scale_{part}.json').write_text(text + '\n')
    print(_scale_fit.table(part, results[part]))


def _parse(argv):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--part', choices=SIZES_BY_PART)
    parser.add_argument('--sizes', nargs='+')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--results', type=pathlib.Path, default=RESULTS)
    return parser.parse_args(argv)


def main(argv=None):
    """Measure, write the results and print a table of each part."""
    options = _parse(argv)
    for part in (options.part,) if options.part else SIZES_BY_PART:
        sizes = options.sizes or SIZES_BY_PART[part]
        _run(part, sizes, options.seed, options.results)


if __name__ == '__main__':
    sys.exit(main())
