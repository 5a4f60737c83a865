"""Plots the results of the overload benchmark.

Requires the optional dependencies of the extra ``plots``.
"""

import json
import pathlib
import typing

import matplotlib.pyplot as pyplot
import typer

RESULTS = pathlib.Path(__file__).parent / 'results'


def main(
    results: typing.Annotated[
        list[pathlib.Path], typer.Option(help='result files')
    ] = None,
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS,
):
    """Draw goodput over time, one figure file for each scenario."""
    runs = []
    for path in results or sorted(RESULTS.glob('overload*.json')):
        runs += json.loads(path.read_text()).get('runs', [])
    for scenario in sorted({run['scenario'] for run in runs}):
        scenario_runs = [run for run in runs if run['scenario'] == scenario]
        _draw(scenario, scenario_runs, out / f'overload-{scenario}.svg')


def _draw(scenario, runs, path):
    figure, axes = pyplot.subplots(figsize=(8, 4))
    variants = sorted({run['variant'] for run in runs})
    for variant_index, variant in enumerate(variants):
        variant_runs = [run for run in runs if run['variant'] == variant]
        for run_index, run in enumerate(variant_runs):
            series = run['series']
            values = series['whole_per_s']
            times = [step * series['step_s'] for step in range(len(values))]
            label = None if run_index else variant
            axes.plot(
                times, values, color=f'C{variant_index}', label=label, lw=1
            )
    offered = runs[0]['series']
    times = [
        step * offered['step_s']
        for step in range(len(offered['offered_per_s']))
    ]
    axes.plot(times, offered['offered_per_s'], 'k:', lw=1, label='offered')
    axes.set_xlabel('time (s)')
    axes.set_ylabel('completed requests per second')
    axes.set_title(scenario)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)


if __name__ == '__main__':
    typer.run(main)
