"""Randomized soak test: real processes, injected faults, checked guarantees.

    python -m tests.soak.runner --seeds 1-50 [--seconds 8] [--planned]
        [--early-signals] [--other-build CHECKOUT]

Each seed determines a plan of faults, injected by three concurrent series, so
that they overlap. The exit status is 1 if a guarantee was violated in any
seed; the logs of such a seed are kept.

With ``--other-build`` a part of the nodes runs the code of another checkout,
with the environment in its ``.venv``. A fourth series then restarts nodes, and
each restart may switch the build of the node. Data that a node cannot decode
counts as a violation in such a run.

With ``--early-signals`` each restarted node gets signals from the moment at
which it handles them. SIGHUP may not end it, and SIGTERM must end it in order.
"""

import argparse
import json
import operator
import pathlib
import shutil
import signal
import sys
import tempfile

import gevent

from benchmarks import _builds
from benchmarks import _memory_loads
from rosemarycrank.platform import _settings
from tests.soak import place as soak_place

#: Maximum seconds after the last fault until requests are served again.
RECOVERY_TIMEOUT_S = 15.0

#: Seconds of load in each check of the recovery, and the minimum share of its
#: requests that must get status 200.
RECOVERY_WINDOW_S = 2.0
MIN_SERVED_SHARE = 0.95

#: Service of each target, path prefix that the targets of a service call, and
#: service of each path prefix.
SERVICES = ('front', 'front', 'archive', 'archive', 'dues')
CALLED_PREFIX_BY_SERVICE = {'front': 'read', 'dues': 'read'}
ROUTES = {'page': 'front', 'read': 'archive', 'pay': 'dues'}

#: Seconds that a run of the called service takes: usually, and during the
#: faults of half of the planned runs, so that calls outlast a planned stop.
CALLED_WORK_S = 0.01
SLOW_CALLED_WORK_S = 1.2

#: Share of the seeds in which clients make nodes hold much, what they send,
#: the connections of each series, and the share of its memory that a node may
#: take.
LOAD_SEEDS_SHARE = 0.3
LOAD_KINDS = (
    _memory_loads.UnfinishedHeads,
    _memory_loads.UnfinishedHeartbeats,
    _memory_loads.UnreadResponses,
    _memory_loads.UnfinishedFrames,
)
LOAD_CONNECTIONS = 20
MAX_MEMORY_SHARE = 0.9

#: Signals at a start: the most of a series, the longest time between two, in
#: seconds, and the share of the starts that SIGTERM ends.
MAX_EARLY_SIGNALS = 8
MAX_EARLY_INTERVAL_S = 0.15
EARLY_STOP_SHARE = 0.4


class Soak:
    """Run of one seed: load, injected faults and checks.

    Parameters
    ----------
    cluster : ProxiedDeployment
        Deployment that the seed runs on.
    seed : int
        Seed of the plan of faults.
    seconds : float
        Duration of the load and of the fault injection.
    planned_only : bool
        Whether only planned operations are injected: node stops, new
        configurations and the draining of a target.
    early_signals : bool
        Whether nodes get signals from their start on.
    """

    def __init__(self, cluster, seed, seconds, planned_only, early_signals):
        self.cluster = cluster
        self.early_signals = early_signals
        self.random = soak_place.random_for(seed)
        # Another generator, so that the faults of a seed stay as they are.
        self._load_random = soak_place.random_for(f'loads-{seed}')
        self.seconds = seconds
        self.planned_only = planned_only
        self.version = 1
        self.log = []
        self.failed_starts = []
        self.memory_violations = []
        self._disrupted_ips = set()

    def run(self):
        """Run the seed; return a line for each violated guarantee."""
        cluster = self.cluster
        if self.planned_only and self.random.random() < 0.5:
            cluster.set_work('archive', SLOW_CALLED_WORK_S)
        cluster.configure(self.version, **ROUTES)
        cluster.start_all()
        started_at = gevent.get_hub().loop.now()
        until = started_at + self.seconds
        clients = self._start_clients(until)
        injectors = [
            gevent.spawn(self._inject_faults, until) for _ in range(3)
        ]
        if self._has_loads():
            injectors.append(gevent.spawn(self._play_loads, until))
        if cluster.build_sequence is not None:
            injectors.append(gevent.spawn(self._restart_nodes, until))
        gevent.joinall(injectors, raise_error=True)
        gevent.joinall(clients, raise_error=True)
        cluster.heal()
        cluster.set_work('archive', CALLED_WORK_S)
        self._restart_exited_nodes()
        violations = self.failed_starts + self.memory_violations
        violations += self._check_recovery()
        return violations + cluster.find_violations(self.planned_only)

    def _start_clients(self, until):
        return [
            gevent.spawn(
                soak_place.Client(self.cluster, ip, prefix).run, until
            )
            for ip in self.cluster.ips
            for prefix in ROUTES
        ]

    def _log_fault(self, fault, *details):
        now = round(gevent.get_hub().loop.now(), 2)
        self.log.append((now, fault, *details))

    def _inject_faults(self, until):
        faults = [self._stop_node, self._configure, self._drain_target]
        if not self.planned_only:
            faults += [
                self._kill_node,
                self._pause_node,
                self._impair_peer_link,
                self._impair_store_link,
                self._reset_peer_links,
                self._disrupt_store,
            ]
        while gevent.get_hub().loop.now() < until:
            gevent.sleep(self.random.uniform(0.0, 0.8))
            self.random.choice(faults)(self.random.uniform(0.1, 2.5))

    def _has_loads(self):
        return (
            not self.planned_only
            and self._load_random.random() < LOAD_SEEDS_SHARE
        )

    def _play_loads(self, until):
        """Open connections that make a node hold much, in series."""
        while gevent.get_hub().loop.now() < until:
            ip = self._load_random.choice(self.cluster.ips)
            load = self._load_random.choice(LOAD_KINDS)(ip)
            self._log_fault('load', type(load).__name__, ip)
            load.run(LOAD_CONNECTIONS)
            gevent.sleep(self._load_random.uniform(0.1, 2.5))
            used_mb = self.cluster.resident_mb(ip)
            load.close()
            if used_mb > MAX_MEMORY_SHARE * _settings.DEFAULT_MEMORY_MB:
                self.memory_violations.append(
                    f'memory: {ip} has {used_mb:.0f} MB'
                )

    def _restart_nodes(self, until):
        """Restart one node after the other, as in a rolling upgrade."""
        restarts = [self._stop_node]
        if not self.planned_only:
            restarts.append(self._kill_node)
        while gevent.get_hub().loop.now() < until:
            gevent.sleep(self.random.uniform(0.0, 0.8))
            self.random.choice(restarts)(self.random.uniform(0.1, 2.5))

    def _choose_node(self):
        """Return a node that no other fault disrupts now, or None."""
        undisrupted = [
            ip for ip in self.cluster.ips if ip not in self._disrupted_ips
        ]
        # At most three of the five nodes are disrupted at a time, so that
        # requests are still served.
        return (
            self.random.choice(undisrupted) if len(undisrupted) > 2 else None
        )

    def _kill_node(self, duration_s):
        ip = self._choose_node()
        if ip is None:
            return
        self._disrupted_ips.add(ip)
        self._log_fault('kill', ip)
        self.cluster.signal(ip, signal.SIGKILL)
        self.cluster.wait_for_exit(ip)
        gevent.sleep(0.3 * duration_s)
        self._start_node(ip)
        self._disrupted_ips.discard(ip)

    def _stop_node(self, _duration_s):
        ip = self._choose_node()
        if ip is None:
            return
        self._disrupted_ips.add(ip)
        self._log_fault('stop', ip)
        self.cluster.signal(ip, signal.SIGTERM)
        if self.random.random() < 0.3:
            self.cluster.signal(ip, signal.SIGHUP)
        self.cluster.wait_for_exit(ip)
        self._start_node(ip)
        self._disrupted_ips.discard(ip)

    def _start_node(self, ip):
        self.cluster.start(ip)
        if not self.early_signals:
            return
        self.cluster.wait_until_caught(ip, signal.SIGTERM)
        self._send_early_signals(ip)
        if self.random.random() < EARLY_STOP_SHARE:
            self._log_fault('stop at start', ip)
            self.cluster.signal(ip, signal.SIGTERM)
            self._check_exit(ip, self.cluster.wait_for_exit(ip))
            self.cluster.start(ip)

    def _send_early_signals(self, ip):
        for _ in range(self.random.randint(0, MAX_EARLY_SIGNALS)):
            gevent.sleep(self.random.uniform(0.0, MAX_EARLY_INTERVAL_S))
            if self.cluster.has_exited(ip):
                self.failed_starts.append(f'start: SIGHUP has ended {ip}')
                return
            self.cluster.signal(ip, signal.SIGHUP)

    def _check_exit(self, ip, status):
        if status != 0:
            self.failed_starts.append(f'start: {ip} ended with {status}')

    def _pause_node(self, duration_s):
        ip = self._choose_node()
        if ip is None:
            return
        self._disrupted_ips.add(ip)
        self._log_fault('pause', ip, round(duration_s, 2))
        paused_at = gevent.get_hub().loop.now()
        self.cluster.signal(ip, signal.SIGSTOP)
        gevent.sleep(duration_s)
        self.cluster.signal(ip, signal.SIGCONT)
        self.cluster.pauses_by_ip[ip].append(
            (paused_at, gevent.get_hub().loop.now())
        )
        self._disrupted_ips.discard(ip)

    def _impair(self, link_proxy, ip, duration_s):
        modes = ('pass', 'delay', 'hold', 'drop')
        link_proxy.forward = self.random.choice(modes)
        link_proxy.backward = self.random.choice(modes)
        self._log_fault('harm', ip, link_proxy.forward, link_proxy.backward)
        gevent.sleep(duration_s)
        link_proxy.heal()

    def _impair_peer_link(self, duration_s):
        ip = self.random.choice(self.cluster.ips)
        self._impair(self.cluster.peer_proxies[ip], ip, duration_s)

    def _impair_store_link(self, duration_s):
        ip = self.random.choice(self.cluster.ips)
        self._impair(
            self.cluster.store_proxies[ip], f'store of {ip}', duration_s
        )

    def _reset_peer_links(self, _duration_s):
        ip = self.random.choice(self.cluster.ips)
        self._log_fault('reset', ip)
        self.cluster.peer_proxies[ip].reset()

    def _disrupt_store(self, duration_s):
        if self.random.random() < 0.3:
            self._log_fault('compact')
            self.cluster.store.compact()
            return
        self.cluster.store.mode = self.random.choice(
            ('busy', 'silent', 'lost')
        )
        self._log_fault('store', self.cluster.store.mode)
        gevent.sleep(duration_s)
        self.cluster.store.mode = 'up'

    def _configure(self, _duration_s):
        self.version += self.random.randint(1, 9)
        self._log_fault('configure', self.version)
        routes = dict(ROUTES)
        if self.random.random() < 0.5:
            routes['page'] = 'archive'
        self.cluster.configure(self.version, **routes)

    def _drain_target(self, _duration_s):
        """Drain one of the two targets of a service, once."""
        ip = self.cluster.ips[1]
        if ip not in self.cluster.drain_acked_at_by_ip:
            self._log_fault('leave', ip)
            self.cluster.drain(ip)

    def _restart_exited_nodes(self):
        for ip in self.cluster.ips:
            if self.cluster.has_exited(ip):
                self._log_fault('found ended', ip)
                self.cluster.start(ip)

    def _check_recovery(self):
        """Return a line if requests are not served again after the faults."""
        deadline = gevent.get_hub().loop.now() + RECOVERY_TIMEOUT_S
        share = 0.0
        while gevent.get_hub().loop.now() < deadline:
            count_before = len(self.cluster.requests)
            until = gevent.get_hub().loop.now() + RECOVERY_WINDOW_S
            gevent.joinall(self._start_clients(until), raise_error=True)
            statuses = [
                request.status
                for request in self.cluster.requests[count_before:]
            ]
            share = statuses.count(200) / max(1, len(statuses))
            if share >= MIN_SERVED_SHARE:
                return []
        return [
            f'recover: {share:.2f} served {RECOVERY_TIMEOUT_S:.0f} s later'
        ]


def run_seed(
    seed,
    directory,
    seconds,
    planned_only=False,
    other_build=None,
    early_signals=False,
):
    """Run one seed.

    Parameters
    ----------
    seed : int
        The seed.
    directory : pathlib.Path
        Directory for settings files and logs.
    seconds : float
        Duration of the load and of the fault injection.
    planned_only : bool, default=False
        Whether only planned operations are injected.
    other_build : Build, default=None
        Build that a part of the nodes runs.
    early_signals : bool, default=False
        Whether nodes get signals from their start on.

    Returns
    -------
    tuple of (list of str, Soak)
        The violated guarantees, and the run with its log of faults.
    """
    prefix = f'127.3.{1 + seed % 250}'
    cluster = soak_place.ProxiedDeployment(
        directory,
        prefix,
        SERVICES,
        CALLED_PREFIX_BY_SERVICE,
        seed,
        other_build,
    )
    soak = Soak(cluster, seed, seconds, planned_only, early_signals)
    try:
        return soak.run(), soak
    finally:
        cluster.close()


def _parse_seeds(text):
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def _exit_on_signals():
    """Exit on SIGTERM and SIGINT, so that started processes are stopped."""
    main_greenlet = gevent.getcurrent()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(
            number, gevent.kill, main_greenlet, SystemExit(1)
        )


def _parse_build(text):
    try:
        return _builds.Build.at(pathlib.Path(text))
    except FileNotFoundError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def _summarize(seed, soak, violations):
    """Return the figures of a seed for its line of output."""
    requests = soak.cluster.requests
    figures = {
        'seed': seed,
        'sent': len(requests),
        'served': sum(request.status == 200 for request in requests),
        'faults': len(soak.log),
        'broken': violations[:5],
    }
    sequence = soak.cluster.build_sequence
    if sequence is not None:
        figures['upgrades'] = sequence.upgrades
        figures['downgrades'] = sequence.downgrades
    return figures


def _write_findings(directory, soak, violations):
    """Write the violations, and the faults and starts in order of time."""
    events = sorted(soak.log + soak.cluster.starts, key=operator.itemgetter(0))
    (directory / 'faults.json').write_text(json.dumps(events))
    (directory / 'violations.json').write_text(json.dumps(violations))


def main():
    """Run the seeds given on the command line."""
    _exit_on_signals()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=_parse_seeds, default=range(1, 4))
    parser.add_argument('--seconds', type=float, default=8.0)
    parser.add_argument('--planned', action='store_true')
    parser.add_argument('--early-signals', action='store_true')
    parser.add_argument('--other-build', type=_parse_build, metavar='CHECKOUT')
    options = parser.parse_args()
    failed_seeds = 0
    for seed in options.seeds:
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations, soak = run_seed(
            seed,
            directory,
            options.seconds,
            options.planned,
            options.other_build,
            options.early_signals,
        )
        print(json.dumps(_summarize(seed, soak, violations)), flush=True)
        if violations:
            failed_seeds += 1
            _write_findings(directory, soak, violations)
            print(f'logs of seed {seed}: {directory}', flush=True)
        else:
            shutil.rmtree(directory)
    sys.exit(1 if failed_seeds else 0)


if __name__ == '__main__':
    main()
