"""One run of the overload benchmark on real processes."""

import json
import pathlib
import tempfile
import time

from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _overload_figures
from benchmarks import _overload_setup
from benchmarks import _processes

LOAD_GRACE_S = 30.0
#: Time in which limits of cold upstreams rise before load starts.
SETTLE_S = 2.5


class Run:
    """One scenario with one variant and one seed.

    Parameters
    ----------
    processes : ProcessGroup
        Where processes are started.
    scenario : Scenario
        What happens.
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
            _overload_setup.plans(seed, scenario.behaviour),
            trusted_keys_file=str(self._operators.trusted_keys_path),
            node_settings=variant.node_settings(),
        )

    def run(self):
        """Run the scenario.

        Returns
        -------
        dict
            Figures.
        """
        self.deployment.start()
        self.roll_out(1)
        self.deployment.wait_until_known()
        self.deployment.wait_until_in_force(1)
        time.sleep(SETTLE_S)
        history = self._folder / 'overload.history'
        driver = self._start_load(history)
        began = time.time()
        times = self.scenario.times
        _sleep_until(began + times.trigger_s)
        self.scenario.start(self)
        _sleep_until(began + times.trigger_end_s)
        self.scenario.end(self)
        driver.output(times.end_s + LOAD_GRACE_S)
        counters = self._counters()
        self.processes.kill_all()
        figures = _overload_figures.figures(
            history, self.deployment.run_files(), self.scenario
        )
        return figures | {'counters': counters}

    def roll_out(self, version, ended=()):
        """Roll out a version of the bundle.

        Parameters
        ----------
        version : int
            Its version.
        ended : collection of str
            Partners that have left.
        """
        path = self._folder / f'overload-{version}.bundle.yaml'
        path.write_bytes(_overload_setup.bundle(version, ended))
        platform = self.deployment.platform_address
        self._operators.roll_out(path, f'http://{platform}')

    def _start_load(self, history):
        path = self._folder / 'load.yaml'
        path.write_bytes(_overload_setup.load(self.seed, self.scenario.times))
        arguments = ['run', '--settings', str(path), '--quiet']
        arguments += ['--history', str(history)]
        for target in self.deployment.targets:
            arguments += ['--node', target.http_address]
        return self.processes.start('load', 'rosemarycrank.load', arguments)

    def _counters(self):
        """Return the nodes' counters, summed."""
        total = {}
        for target in self.deployment.targets:
            dump = _deployment.request(target.admin_address, 'GET', '/dump')
            for name, count in dump[1]['counters'].items():
                total[name] = total.get(name, 0) + count
        wanted = ('entry.', 'target.refused', 'target.answers')
        return {
            name: count
            for name, count in sorted(total.items())
            if name.startswith(wanted)
        }


def run(scenario, variant, seed, keep=None):
    """Run one scenario in a folder of its own.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    variant : Variant
        Plug-ins of all nodes.
    seed : int
        Seed.
    keep : pathlib.Path, optional
        Folder for logs and records; a temporary one when not given.

    Returns
    -------
    dict
        Figures, with the names of scenario and variant and the seed.
    """
    with tempfile.TemporaryDirectory(prefix='rosemarycrank-bench-') as own:
        folder = pathlib.Path(keep or own)
        folder.mkdir(parents=True, exist_ok=True)
        with _processes.ProcessGroup(folder) as processes:
            figures = Run(processes, scenario, variant, seed).run()
    head = {
        'scenario': scenario.name,
        'variant': variant.name,
        'seed': seed,
    }
    return head | json.loads(json.dumps(figures))


def _sleep_until(at):
    time.sleep(max(0.0, at - time.time()))
