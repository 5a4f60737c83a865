"""Simulates a call graph in virtual time to compare admission controls.

An event queue drives the production admission controllers, balancers and
retry budgets. Each upstream has slots and a queue; a call holds its slot
while it waits for the service that it calls. Membership, message transport
and message loss are not simulated.

Run with ``python -m benchmarks._overload_model``.
"""

import itertools
import json
import random

import typer

from benchmarks import _model_clients
from benchmarks import _model_clock
from benchmarks import _model_entry
from benchmarks import _model_figures
from benchmarks import _model_settings
from benchmarks import _model_target
from benchmarks import _model_variants


class Model:
    """One simulation of the scenario with one variant and one seed.

    Parameters
    ----------
    variant : Variant
        Configuration of the overload control.
    seed : int
        Seed of all random choices.
    slowdown : float, default=2.0
        Factor of the leaf's service time during the surge.
    announced : float, default=1.0
        Ratio of the announced slots to the actual slots of each target.
    """

    def __init__(
        self,
        variant,
        seed,
        slowdown=_model_settings.LEAF_SLOWDOWN_FACTOR,
        announced=1.0,
    ):
        self.variant = variant
        self.slowdown = slowdown
        self.announced = announced
        self.rng = random.Random(seed)
        self.clock = _model_clock.Clock()
        self.tally = _model_figures.Tally()
        self.attempt_numbers = itertools.count()
        self.target_nodes_by_address = {}
        self.targets_by_service = {}
        for service in _model_settings.CHAIN:
            self._add_targets(service)
        entry_nodes = [
            _model_entry.EntryNode(self)
            for _ in range(_model_settings.TARGETS_PER_SERVICE)
        ]
        self.clients = _model_clients.Clients(self, entry_nodes)

    def run(self):
        """Run the simulation and return its figures."""
        self.clients.start()
        self.clock.run_until(_model_settings.END_S + _model_settings.CLOSING_S)
        return _model_figures.summarize(
            self.variant.name,
            self.slowdown,
            self.clients.requests,
            self.tally,
        )

    def work_s(self, service):
        """Return a random service time for one call, in seconds."""
        mean_s = _model_settings.WORK_S_BY_SERVICE[service]
        if service == 'leaf' and _model_settings.is_surge(self.clock.now):
            mean_s *= self.slowdown
        return mean_s * self.rng.gammavariate(4.0, 0.25)

    def _add_targets(self, service):
        nodes = [
            _model_target.TargetNode(
                self, service, number, _model_entry.EntryNode(self)
            )
            for number in range(_model_settings.TARGETS_PER_SERVICE)
        ]
        for node in nodes:
            self.target_nodes_by_address[node.target.address] = node
        self.targets_by_service[service] = tuple(n.target for n in nodes)


def main(seeds: list[int], announced: float = 1.0, weight: list[float] = ()):
    """Run all variants and print one JSON line for each run.

    Parameters
    ----------
    seeds : list of int
        Seeds of the runs.
    announced : float, default=1.0
        Ratio of the announced slots to the actual slots of each target.
    weight : list of float, optional
        Goodput weights. If given, only the adaptive limit is run, once with
        each weight.
    """
    variants = [
        _model_variants.make_weighted_variant(value) for value in weight
    ] or _model_variants.make_variants()
    for seed in seeds:
        for variant in variants:
            model = Model(variant, seed, announced=announced)
            figures = {'seed': seed, 'announced': announced}
            print(json.dumps(figures | _round_values(model.run())), flush=True)


def _round_values(figures):
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in figures.items()
    }


if __name__ == '__main__':
    typer.run(main)
