"""Command line of the load driver."""

import json
import pathlib
import sys
import typing

import attrs
import gevent
import typer

from rosemarycrank import _version_option
from rosemarycrank.load import _checker
from rosemarycrank.load import _driver
from rosemarycrank.load import _records
from rosemarycrank.load import _scenario
from rosemarycrank import settings

EXIT_REFUSED = 1
EXIT_FAULT = 3

APP = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    help='Drive open-loop load, or check its recorded events.',
)


@APP.callback()
def _options(
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version', callback=_version_option.print_version, is_eager=True
        ),
    ] = False,
):
    pass


@APP.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option('--settings', help='YAML file of the scenario'),
    ],
    node: typing.Annotated[
        list[str], typer.Option(help='host:port of an entry node; repeat')
    ],
    history: typing.Annotated[
        pathlib.Path, typer.Option(help='file of records, appended to')
    ],
    seed: typing.Annotated[
        int, typer.Option(help='replaces the seed of the file')
    ] = None,
    quiet: typing.Annotated[bool, typer.Option(help='no progress')] = False,
):
    """Send the requests of a scenario; print counts and latencies."""
    scenario = _load_scenario(settings_file, seed)
    writer = _records.Writer(history)
    driver = _driver.Driver(scenario, node, writer.append)
    if not quiet:
        gevent.spawn(driver.print_progress, _print_progress)
    driver.run()
    writer.close()
    print(json.dumps(driver.statistics.as_dict()))


@APP.command()
def check(
    history: typing.Annotated[list[pathlib.Path], typer.Option()],
    runs: typing.Annotated[list[pathlib.Path], typer.Option()],
):
    """Check histories against the run records of all upstreams."""
    report = _checker.check_files(history, runs)
    print(json.dumps(attrs.asdict(report)))
    if not report.passed:
        raise typer.Exit(EXIT_FAULT)


def _load_scenario(path, seed):
    try:
        scenario = settings.load(path, _scenario.Scenario)
    except settings.SettingsError as error:
        for problem in error.exceptions:
            print(problem, file=sys.stderr)
        raise typer.Exit(EXIT_REFUSED) from error
    if seed is None:
        return scenario
    return attrs.evolve(scenario, seed=seed)


def _print_progress(line):
    print(line, file=sys.stderr, flush=True)


def main():
    """Run the command line."""
    APP()


if __name__ == '__main__':
    main()
