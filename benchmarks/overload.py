"""Overload benchmark on real processes: a chain of four services.

Each scenario runs without limits (pass-through), with a static limit and
with the adaptive plug-ins. The results are written as JSON and printed as a
table.
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
        list[str], typer.Option(help='scenario name; default: all')
    ] = None,
    variant: typing.Annotated[list[str], typer.Option()] = None,
    seed: typing.Annotated[list[int], typer.Option()] = (1, 2, 3),
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS,
    keep: typing.Annotated[
        pathlib.Path, typer.Option(help='folder for logs and records')
    ] = None,
):
    """Run the scenarios and write the figures of all runs."""
    runs = []
    _print_heading()
    for selected in _select(_overload_scenarios.SCENARIOS, scenario):
        for run_seed in seed:
            for selected_variant in _select(_overload_setup.VARIANTS, variant):
                name = f'{selected.name}-{selected_variant.name}-{run_seed}'
                figures = _overload_run.run(
                    selected, selected_variant, run_seed, keep and keep / name
                )
                runs.append(figures)
                _print_row(figures)
                _write_results(out, runs)


def _select(entries, names):
    return [entry for entry in entries if not names or entry.name in names]


def _write_results(path, runs):
    path.parent.mkdir(exist_ok=True)
    setting = {
        'capacity_per_s': _overload_setup.CAPACITY_PER_S,
        'base_load': _overload_setup.BASE_LOAD,
        'surge_load': _overload_setup.SURGE_LOAD,
        'share_by_class': _overload_setup.SHARE_BY_CLASS,
    }
    text = json.dumps({'setting': setting, 'runs': runs}, indent=1)
    path.write_text(text + '\n')


def _print_heading():
    titles = [title for _, title in COLUMNS]
    print(_format_line('scenario', 'variant', 'seed', titles), flush=True)


def _print_row(figures):
    critical_share = figures['trigger_share_by_class']['renewal']
    values = figures | {'critical': critical_share}
    cells = [_format_cell(values[name]) for name, _ in COLUMNS]
    run_columns = figures['scenario'], figures['variant'], figures['seed']
    print(_format_line(*run_columns, cells), flush=True)


def _format_cell(value):
    return 'never' if value is None else f'{value:.3f}'


def _format_line(scenario, variant, seed, cells):
    run_columns = f'{scenario:14}{variant:14}{seed!s:>5}'
    return run_columns + ''.join(f'{cell:>11}' for cell in cells)


if __name__ == '__main__':
    typer.run(main)
