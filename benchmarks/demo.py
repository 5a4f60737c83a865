"""Run both example deployments on this machine under load and faults.

Starts platform stand-ins, upstream stand-ins and nodes in three failure
domains, rolls out the bundles and generates mixed load. During the load it
rolls out another bundle version, drains one upstream and kills one node.
Then it stops all processes gracefully and compares the outcomes that clients
received with the runs that the upstreams recorded. The last line of the
output is one JSON object.

With ``--other-build`` every second node, and every second process of the
other kinds, runs the code of another checkout, as during a rolling upgrade.
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

from benchmarks import _builds
from benchmarks import _deployment
from benchmarks import _operators
from benchmarks import _processes
from rosemarycrank import bundles
from rosemarycrank import load

ROOT = pathlib.Path(__file__).parents[1]
ORGANISATIONS = ('oficina', 'kilimanjaro')

#: Median service time of the upstreams.
SERVICE_TIME_MEDIAN_MS = 10.0
#: Divides the slots and connections of the example bundles.
CAPACITY_DIVISOR = 10

#: Start of each event, as a fraction of the load's duration.
ROLL_OUT_FRACTION = 0.25
DRAIN_FRACTION = 0.45
KILL_FRACTION = 0.65

LOAD_FINISH_TIMEOUT_S = 60.0

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
    """An organisation with its deployment, bundle and load generator."""

    name: str
    bundle_path: pathlib.Path
    deployment: _deployment.Deployment
    history: pathlib.Path
    driver: _processes.Process | None = None
    statistics: dict = attrs.field(factory=dict)

    def target(self, service, failure_domain):
        """Return the target of a service in a failure domain."""
        target_name = f'{service}-{failure_domain}'
        by_name = {t.plan.name: t for t in self.deployment.targets}
        return by_name[target_name]


class Demo:
    """One run of the demo.

    Parameters
    ----------
    processes : ProcessGroup
        Group that starts the processes and owns their folder.
    duration_s : float
        Duration of the load, in seconds.
    seed : int
        Seed of the load; the seeds of the upstreams are derived from it.

    Attributes
    ----------
    organisations : list of Organisation
        The organisations with their deployments.
    undecodable_messages : int
        Messages that nodes could not decode, counted at the end of the load.
    """

    def __init__(self, processes, duration_s, seed):
        self.duration_s = duration_s
        self.seed = seed
        self.started_at = time.monotonic()
        self.undecodable_messages = 0
        self._processes = processes
        self._folder = processes.folder
        self._operators = _operators.Operators(self._folder)
        self.organisations = [
            self._make_organisation(name) for name in ORGANISATIONS
        ]

    def run(self):
        """Start the deployments, run the load and check the outcomes.

        Returns
        -------
        Report
            Findings of the outcome checker.
        """
        self._start_all()
        self._run_load_with_faults()
        self.undecodable_messages = sum(
            organisation.deployment.undecodable_messages()
            for organisation in self.organisations
        )
        self._stop_all()
        return self._check_outcomes()

    def hold(self):
        """Start the deployments and serve until SIGINT or SIGTERM."""
        self._start_all()
        for organisation in self.organisations:
            target = organisation.deployment.targets[0]
            print(f'# {organisation.name}')
            print(f'NODE={target.http_address} ADMIN={target.admin_address}')
        sys.stdout.flush()
        signal.pause()

    def _make_organisation(self, name):
        path = ROOT / 'examples' / f'{name}.bundle.yaml'
        bundle = bundles.load(path)
        deployment = _deployment.Deployment(
            self._processes,
            name,
            _make_target_plans(bundle, self.seed),
            trusted_keys_file=str(self._operators.trusted_keys_path),
        )
        history = self._folder / f'{name}.history'
        return Organisation(name, path, deployment, history)

    def _start_all(self):
        for organisation in self.organisations:
            self._start(organisation)
        for organisation in self.organisations:
            self._wait_until_serving(organisation)

    def _start(self, organisation):
        organisation.deployment.start()
        target_count = len(organisation.deployment.targets)
        self._print_progress(
            f'{organisation.name}: {target_count} nodes and upstreams started'
        )
        self._roll_out(organisation, version=1)

    def _roll_out(self, organisation, version):
        platform = organisation.deployment.platform_address
        path = self._folder / f'{organisation.name}-{version}.bundle.yaml'
        text = organisation.bundle_path.read_text()
        path.write_text(text.replace('version: 1', f'version: {version}'))
        self._operators.roll_out(path, f'http://{platform}')
        self._print_progress(
            f'{organisation.name}: bundle {version} rolled out'
        )

    def _wait_until_serving(self, organisation):
        organisation.deployment.wait_until_known()
        self._wait_until_in_force(organisation, version=1)

    def _wait_until_in_force(self, organisation, version):
        waited_s = organisation.deployment.wait_until_in_force(version)
        self._print_progress(
            f'{organisation.name}: bundle {version} in force at all nodes '
            f'within {waited_s:.1f} s'
        )

    def _run_load_with_faults(self):
        load_started_at = time.monotonic()
        for organisation in self.organisations:
            organisation.driver = self._start_load(organisation)
        self._print_progress(f'load started, {self.duration_s:g} s')
        oficina, kilimanjaro = self.organisations
        self._sleep_until_fraction(load_started_at, ROLL_OUT_FRACTION)
        self._roll_out(oficina, version=2)
        self._wait_until_in_force(oficina, version=2)
        self._sleep_until_fraction(load_started_at, DRAIN_FRACTION)
        self._drain(oficina.target('hemeroteca', 'alajuela'))
        self._sleep_until_fraction(load_started_at, KILL_FRACTION)
        self._kill(kilimanjaro.target('gallery', 'arusha-b'))
        for organisation in self.organisations:
            output = organisation.driver.output(
                self.duration_s + LOAD_FINISH_TIMEOUT_S
            )
            organisation.statistics = json.loads(output)
        self._print_progress('load ended')

    def _sleep_until_fraction(self, load_started_at, fraction):
        due_at = load_started_at + fraction * self.duration_s
        time.sleep(max(0.0, due_at - time.monotonic()))

    def _start_load(self, organisation):
        settings_path = self._write_load_settings(organisation)
        arguments = ['run', '--settings', str(settings_path), '--quiet']
        arguments += ['--history', str(organisation.history)]
        for target in organisation.deployment.targets:
            arguments += ['--node', target.http_address]
        return self._processes.start(
            f'{organisation.name}-load', 'rosemarycrank.load', arguments
        )

    def _write_load_settings(self, organisation):
        template_path = (
            ROOT / 'benchmarks' / 'load' / f'{organisation.name}.yaml'
        )
        values = msgspec.yaml.decode(template_path.read_bytes())
        values.update(duration_s=self.duration_s, seed=self.seed)
        path = self._folder / f'{organisation.name}.load.yaml'
        path.write_bytes(msgspec.yaml.encode(values))
        return path

    def _drain(self, target):
        _deployment.request(
            target.upstream_address, 'POST', '/control', {'drain': True}
        )
        self._print_progress(f'{target.plan.name}: upstream drained')

    def _kill(self, target):
        target.node.kill()
        self._print_progress(f'{target.plan.name}: node killed')

    def _stop_all(self):
        for organisation in self.organisations:
            failed = organisation.deployment.stop()
            if failed:
                raise RuntimeError(
                    f'processes did not stop gracefully: {failed}'
                )
        self._print_progress('all processes stopped gracefully')

    def _check_outcomes(self):
        histories = [o.history for o in self.organisations]
        run_files = []
        for organisation in self.organisations:
            run_files += organisation.deployment.run_files()
        return load.check_files(histories, run_files)

    def _print_progress(self, text):
        elapsed_s = time.monotonic() - self.started_at
        print(f'{elapsed_s:6.1f} s  {text}', flush=True)


def _make_target_plans(bundle, seed):
    plans = []
    for partner in bundle.partners_by_name.values():
        for group in partner.upstreams:
            settings = {
                'seed': seed + len(plans),
                'service_time': {'median_ms': SERVICE_TIME_MEDIAN_MS},
                'nested_keys': 'node',
                'routes': ROUTES_BY_SERVICE.get(group.service, []),
            }
            plan = _deployment.TargetPlan(
                service=group.service,
                failure_domain=group.failure_domain,
                partner=partner.name,
                slots=max(1, group.slots // CAPACITY_DIVISOR),
                max_connections=group.connections // CAPACITY_DIVISOR,
                settings=settings,
            )
            plans.append(plan)
    return plans


def _print_table(organisations):
    columns = ('complete', 'not-run', 'unknown', 'p50_ms', 'p99_ms')
    heading = ('organisation', 'class', *columns)
    row_format = '{:<13}{:<16}' + '{:>10}' * len(columns)
    print(row_format.format(*heading))
    for organisation in organisations:
        classes = organisation.statistics['classes']
        for name, values in classes.items():
            cells = [values.get(column, 0) for column in columns]
            print(row_format.format(organisation.name, name, *cells))


def _summarize(report):
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
        float,
        typer.Option('--seconds', help='duration of the load in seconds'),
    ] = 20.0,
    seed: typing.Annotated[int, typer.Option()] = 1,
    folder: typing.Annotated[
        pathlib.Path, typer.Option(help='folder for logs and records')
    ] = None,
    other_build: typing.Annotated[
        pathlib.Path,
        typer.Option(help='checkout with an environment in .venv'),
    ] = None,
    hold: typing.Annotated[
        bool, typer.Option(help='serve without load until Ctrl-C')
    ] = False,
):
    """Run both example deployments under load and faults."""
    with tempfile.TemporaryDirectory(
        prefix='rosemarycrank-demo-'
    ) as temporary_folder:
        folder = folder or pathlib.Path(temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        build = _builds.Build.at(other_build) if other_build else None
        with _processes.ProcessGroup(folder, build) as processes:
            demo = Demo(processes, duration_s, seed)
            if hold:
                demo.hold()
            report = demo.run()
    _print_table(demo.organisations)
    for suspect in report.suspects:
        print(suspect)
    summary = _summarize(report)
    summary['undecodable_messages'] = demo.undecodable_messages
    print(json.dumps(summary))
    sys.exit(0 if report.passed and not demo.undecodable_messages else 1)


if __name__ == '__main__':
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(_run)
    app()
