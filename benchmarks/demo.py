"""Both example deployments on this machine, under load and faults.

Starts platform stand-ins, upstream stand-ins and nodes in three failure
domains, rolls out the bundles, drives mixed load with one node killed, one
upstream drained and a bundle rolled out in the middle, stops everything
gracefully, and checks what clients were told against what ran. The last
line is one JSON object.
"""

import json
import pathlib
import signal
import sys
import tempfile
import time
import typing

import attrs
import msgspec
import typer

from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _processes
from rosemarycrank import bundles
from rosemarycrank import load

ROOT = pathlib.Path(__file__).parents[1]
ORGANISATIONS = ('oficina', 'kilimanjaro')

#: Service time of the upstreams, and what their slots are divided by.
MEDIAN_MS = 10.0
SCALE = 10

#: When something happens, as shares of the load's duration.
ROLL_OUT_AT = 0.25
DRAIN_AT = 0.45
KILL_AT = 0.65

LOAD_GRACE_S = 60.0

ROUTES_BY_SERVICE = {
    'mesa-edicion': [
        {
            'method': 'GET',
            'calls': [{'service': 'hemeroteca', 'path': '/issues/{nonce}'}],
        }
    ],
    'gallery': [
        {
            'method': 'GET',
            'calls': [{'service': 'jobs', 'path': '/jobs/{nonce}'}],
        }
    ],
}


@attrs.define(eq=False)
class Organisation:
    """An organisation's deployment, its bundle and its load."""

    name: str
    bundle_path: pathlib.Path
    deployment: _deployment.Deployment
    history: pathlib.Path
    driver: _processes.Process | None = None
    statistics: dict = attrs.field(factory=dict)

    def target(self, service, failure_domain):
        """Return the target of a service in a failure domain."""
        wanted = f'{service}-{failure_domain}'
        by_name = {t.plan.name: t for t in self.deployment.targets}
        return by_name[wanted]


class Demo:
    """One run of the demo.

    Parameters
    ----------
    processes : ProcessGroup
        Where processes are started.
    duration_s : float
        Seconds of load.
    seed : int
        Seed of the load and of the upstreams.
    """

    def __init__(self, processes, duration_s, seed):
        self.duration_s = duration_s
        self.seed = seed
        self.started_at = time.monotonic()
        self._processes = processes
        self._folder = processes.folder
        self._operators = _operators.Operators(self._folder)
        self.organisations = [
            self._organisation(name) for name in ORGANISATIONS
        ]

    def run(self):
        """Run all of it.

        Returns
        -------
        Report
            What the checker found.
        """
        self._start_all()
        self._drive()
        self._stop()
        return self._check()

    def hold(self):
        """Serve without load until SIGINT or SIGTERM."""
        self._start_all()
        for organisation in self.organisations:
            target = organisation.deployment.targets[0]
            print(f'# {organisation.name}')
            print(f'NODE={target.http_address} ADMIN={target.admin_address}')
        sys.stdout.flush()
        signal.pause()

    def _organisation(self, name):
        path = ROOT / 'examples' / f'{name}.bundle.yaml'
        bundle = bundles.load(path)
        deployment = _deployment.Deployment(
            self._processes,
            name,
            _plans(bundle, self.seed),
            trusted_keys_file=str(self._operators.trusted_keys_path),
        )
        history = self._folder / f'{name}.history'
        return Organisation(name, path, deployment, history)

    def _start_all(self):
        for organisation in self.organisations:
            self._start(organisation)
        for organisation in self.organisations:
            self._wait_until_served(organisation)

    def _start(self, organisation):
        organisation.deployment.start()
        count = len(organisation.deployment.targets)
        self._say(f'{organisation.name}: {count} nodes and upstreams started')
        self._roll_out(organisation, version=1)

    def _roll_out(self, organisation, version):
        platform = organisation.deployment.platform_address
        path = self._folder / f'{organisation.name}-{version}.bundle.yaml'
        text = organisation.bundle_path.read_text()
        path.write_text(text.replace('version: 1', f'version: {version}'))
        self._operators.roll_out(path, f'http://{platform}')
        self._say(f'{organisation.name}: bundle {version} rolled out')

    def _wait_until_served(self, organisation):
        organisation.deployment.wait_until_known()
        self._wait_until_in_force(organisation, version=1)

    def _wait_until_in_force(self, organisation, version):
        waited_s = organisation.deployment.wait_until_in_force(version)
        self._say(
            f'{organisation.name}: bundle {version} in force at all nodes '
            f'within {waited_s:.1f} s'
        )

    def _drive(self):
        began_at = time.monotonic()
        for organisation in self.organisations:
            organisation.driver = self._start_load(organisation)
        self._say(f'load started, {self.duration_s:g} s')
        oficina, kilimanjaro = self.organisations
        self._wait_for(began_at, ROLL_OUT_AT)
        self._roll_out(oficina, version=2)
        self._wait_until_in_force(oficina, version=2)
        self._wait_for(began_at, DRAIN_AT)
        self._drain(oficina.target('hemeroteca', 'alajuela'))
        self._wait_for(began_at, KILL_AT)
        self._kill(kilimanjaro.target('gallery', 'arusha-b'))
        for organisation in self.organisations:
            printed = organisation.driver.output(
                self.duration_s + LOAD_GRACE_S
            )
            organisation.statistics = json.loads(printed)
        self._say('load ended')

    def _wait_for(self, began_at, share):
        due_at = began_at + share * self.duration_s
        time.sleep(max(0.0, due_at - time.monotonic()))

    def _start_load(self, organisation):
        scenario = self._scenario(organisation)
        arguments = ['run', '--settings', str(scenario), '--quiet']
        arguments += ['--history', str(organisation.history)]
        for target in organisation.deployment.targets:
            arguments += ['--node', target.http_address]
        return self._processes.start(
            f'{organisation.name}-load', 'rosemarycrank.load', arguments
        )

    def _scenario(self, organisation):
        source = ROOT / 'benchmarks' / 'load' / f'{organisation.name}.yaml'
        values = msgspec.yaml.decode(source.read_bytes())
        values.update(duration_s=self.duration_s, seed=self.seed)
        path = self._folder / f'{organisation.name}.load.yaml'
        path.write_bytes(msgspec.yaml.encode(values))
        return path

    def _drain(self, target):
        _deployment.request(
            target.upstream_address, 'POST', '/control', {'drain': True}
        )
        self._say(f'{target.plan.name}: upstream drained')

    def _kill(self, target):
        target.node.kill()
        self._say(f'{target.plan.name}: node killed')

    def _stop(self):
        for organisation in self.organisations:
            failed = organisation.deployment.stop()
            if failed:
                raise RuntimeError(f'no graceful stop: {failed}')
        self._say('everything stopped gracefully')

    def _check(self):
        histories = [o.history for o in self.organisations]
        run_files = []
        for organisation in self.organisations:
            run_files += organisation.deployment.run_files()
        return load.check_files(histories, run_files)

    def _say(self, text):
        elapsed_s = time.monotonic() - self.started_at
        print(f'{elapsed_s:6.1f} s  {text}', flush=True)


def _plans(bundle, seed):
    plans = []
    for partner in bundle.partners_by_name.values():
        for group in partner.upstreams:
            settings = {
                'seed': seed + len(plans),
                'service_time': {'median_ms': MEDIAN_MS},
                'nested_keys': 'node',
                'routes': ROUTES_BY_SERVICE.get(group.service, []),
            }
            plan = _deployment.TargetPlan(
                service=group.service,
                failure_domain=group.failure_domain,
                partner=partner.name,
                slots=max(1, group.slots // SCALE),
                max_connections=group.connections // SCALE,
                settings=settings,
            )
            plans.append(plan)
    return plans


def _print_table(organisations):
    columns = ('complete', 'not-run', 'unknown', 'p50_ms', 'p99_ms')
    heading = ('organisation', 'class', *columns)
    form = '{:<13}{:<16}' + '{:>10}' * len(columns)
    print(form.format(*heading))
    for organisation in organisations:
        classes = organisation.statistics['classes']
        for name, values in classes.items():
            cells = [values.get(column, 0) for column in columns]
            print(form.format(organisation.name, name, *cells))


def _summary(report):
    names = (
        'calls',
        'complete',
        'not_run',
        'unknown',
        'wrong_answers',
        'duplicate_paid_runs',
        'runs_reported_not_run',
        'unaccounted',
        'successful',
        'no_answer',
        'sends',
        'runs',
        'most_retries_per_send',
    )
    return {name: getattr(report, name) for name in names}


def _run(
    duration_s: typing.Annotated[
        float, typer.Option('--seconds', help='seconds of load')
    ] = 20.0,
    seed: typing.Annotated[int, typer.Option()] = 1,
    folder: typing.Annotated[
        pathlib.Path, typer.Option(help='where logs and records are kept')
    ] = None,
    hold: typing.Annotated[
        bool, typer.Option(help='no load; serve until Ctrl-C')
    ] = False,
):
    """Run both example deployments under load and faults."""
    with tempfile.TemporaryDirectory(prefix='rosemarycrank-demo-') as own:
        folder = folder or pathlib.Path(own)
        folder.mkdir(parents=True, exist_ok=True)
        with _processes.ProcessGroup(folder) as processes:
            demo = Demo(processes, duration_s, seed)
            if hold:
                demo.hold()
            report = demo.run()
    _print_table(demo.organisations)
    for suspect in report.suspects:
        print(suspect)
    print(json.dumps(_summary(report)))
    sys.exit(0 if report.passed else 1)


if __name__ == '__main__':
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(_run)
    app()
