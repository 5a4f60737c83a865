"""Overload benchmark on real processes: a chain of four services.

Each scenario runs with pass-through, a static limit and the adaptive
plug-ins. Results are written as JSON, with a table on standard output.
"""

import json
import pathlib
import typing

import typer

from benchmarks import _overload_run
from benchmarks import _overload_scenarios
from benchmarks import _overload_setup

RESULTS = pathlib.Path(__file__).parent / 'results' / 'overload.json'
COLUMNS = (
    ('before_share', 'before'),
    ('trigger_goodput_of_possible', 'goodput'),
    ('critical', 'critical'),
    ('after_share', 'after'),
    ('recovery_s', 'recovery s'),
    ('wasted_share', 'wasted'),
)


def main(
    scenario: typing.Annotated[
        list[str], typer.Option(help='name; all when not given')
    ] = None,
    variant: typing.Annotated[list[str], typer.Option()] = None,
    seed: typing.Annotated[list[int], typer.Option()] = (1, 2, 3),
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS,
    keep: typing.Annotated[
        pathlib.Path, typer.Option(help='folder for logs and records')
    ] = None,
):
    """Run scenarios and write the figures of all runs."""
    runs = []
    _print_heading()
    for chosen in _chosen(_overload_scenarios.SCENARIOS, scenario):
        for number in seed:
            for way in _chosen(_overload_setup.VARIANTS, variant):
                name = f'{chosen.name}-{way.name}-{number}'
                figures = _overload_run.run(
                    chosen, way, number, keep and keep / name
                )
                runs.append(figures)
                _print_row(figures)
                _write(out, runs)


def _chosen(known, names):
    return [entry for entry in known if not names or entry.name in names]


def _write(path, runs):
    path.parent.mkdir(exist_ok=True)
    setting = {
        'capacity_per_s': _overload_setup.CAPACITY,
        'base_load': _overload_setup.BASE_LOAD,
        'surge_load': _overload_setup.SURGE_LOAD,
        'share_by_class': _overload_setup.SHARE_BY_CLASS,
    }
    text = json.dumps({'setting': setting, 'runs': runs}, indent=1)
    path.write_text(text + '\n')


def _print_heading():
    titles = [title for _, title in COLUMNS]
    print(_line('scenario', 'variant', 'seed', titles), flush=True)


def _print_row(figures):
    critical = figures['trigger_share_by_class']['renewal']
    values = figures | {'critical': critical}
    cells = [_cell(values[name]) for name, _ in COLUMNS]
    head = figures['scenario'], figures['variant'], figures['seed']
    print(_line(*head, cells), flush=True)


def _cell(value):
    return 'never' if value is None else f'{value:.3f}'


def _line(scenario, variant, seed, cells):
    head = f'{scenario:14}{variant:14}{seed!s:>5}'
    return head + ''.join(f'{cell:>11}' for cell in cells)


if __name__ == '__main__':
    typer.run(main)
