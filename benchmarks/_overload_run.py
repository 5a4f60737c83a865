"""Runs one scenario of the overload benchmark on real processes."""

import json
import pathlib
import tempfile
import time

from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _overload_figures
from benchmarks import _overload_setup
from benchmarks import _processes

LOAD_FINISH_TIMEOUT_S = 30.0
#: Time before the load starts, in which the limits of cold upstreams rise.
WARM_UP_S = 2.5


class Run:
    """Run of one scenario with one variant and one seed.

    Parameters
    ----------
    processes : ProcessGroup
        Group that starts the processes and owns their folder.
    scenario : Scenario
        Scenario to run.
    variant : Variant
        Plug-ins of all nodes.
    seed : int
        Seed of load and service times.
    """

    def __init__(self, processes, scenario, variant, seed):
        self.processes = processes
        self.scenario = scenario
        self.variant = variant
        self.seed = seed
        self._folder = processes.folder
        self._operators = _operators.Operators(self._folder)
        self.deployment = _deployment.Deployment(
            processes,
            'overload',
            _overload_setup.make_target_plans(seed, scenario.behaviour),
            trusted_keys_file=str(self._operators.trusted_keys_path),
            node_settings=variant.node_settings(),
        )

    def run(self):
        """Run the scenario.

        Returns
        -------
        dict
            Figures of the run and the counters of its nodes.
        """
        self.deployment.start()
        self.roll_out(1)
        self.deployment.wait_until_known()
        self.deployment.wait_until_in_force(1)
        time.sleep(WARM_UP_S)
        history = self._folder / 'overload.history'
        load_generator = self._start_load(history)
        load_started_at = time.time()
        times = self.scenario.times
        _sleep_until(load_started_at + times.trigger_s)
        self.scenario.start(self)
        _sleep_until(load_started_at + times.trigger_end_s)
        self.scenario.end(self)
        load_generator.output(times.end_s + LOAD_FINISH_TIMEOUT_S)
        counters = self._sum_counters()
        self.processes.kill_all()
        figures = _overload_figures.compute_figures(
            history, self.deployment.run_files(), self.scenario
        )
        return figures | {'counters': counters}

    def roll_out(self, version, ended_partners=()):
        """Roll out a version of the bundle.

        Parameters
        ----------
        version : int
            Version of the bundle.
        ended_partners : collection of str
            Names of the partners that have left.
        """
        path = self._folder / f'overload-{version}.bundle.yaml'
        path.write_bytes(
            _overload_setup.encode_bundle(version, ended_partners)
        )
        platform = self.deployment.platform_address
        self._operators.roll_out(path, f'http://{platform}')

    def _start_load(self, history):
        path = self._folder / 'load.yaml'
        path.write_bytes(
            _overload_setup.encode_load_settings(
                self.seed, self.scenario.times
            )
        )
        arguments = ['run', '--settings', str(path), '--quiet']
        arguments += ['--history', str(history)]
        for target in self.deployment.targets:
            arguments += ['--node', target.http_address]
        return self.processes.start('load', 'rosemarycrank.load', arguments)

    def _sum_counters(self):
        """Return selected counters, summed over all nodes."""
        total = {}
        for target in self.deployment.targets:
            dump = _deployment.request(target.admin_address, 'GET', '/dump')
            for name, count in dump[1]['counters'].items():
                total[name] = total.get(name, 0) + count
        reported_prefixes = ('entry.', 'target.refused', 'target.answers')
        return {
            name: count
            for name, count in sorted(total.items())
            if name.startswith(reported_prefixes)
        }


def run(scenario, variant, seed, keep=None):
    """Run one scenario in a separate folder.

    Parameters
    ----------
    scenario : Scenario
        Scenario to run.
    variant : Variant
        Plug-ins of all nodes.
    seed : int
        Seed of load and service times.
    keep : pathlib.Path, optional
        Folder for logs and records; a temporary one when not given.

    Returns
    -------
    dict
        Figures, with the names of scenario and variant and the seed.
    """
    with tempfile.TemporaryDirectory(
        prefix='rosemarycrank-bench-'
    ) as temporary_folder:
        folder = pathlib.Path(keep or temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        with _processes.ProcessGroup(folder) as processes:
            figures = Run(processes, scenario, variant, seed).run()
    run_columns = {
        'scenario': scenario.name,
        'variant': variant.name,
        'seed': seed,
    }
    return run_columns | json.loads(json.dumps(figures))


def _sleep_until(due_at):
    time.sleep(max(0.0, due_at - time.time()))
