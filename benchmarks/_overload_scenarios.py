"""What happens in each scenario of the overload benchmark."""

import time

import attrs

from benchmarks import _deployment
from benchmarks import _overload_setup

SLOW_FACTOR = 2.0
COLD_START = {'factor': 4.0, 'duration_s': 3.0}
#: Load in scenarios whose trigger is a loss of targets.
LOSS_LOAD = 1.0


@attrs.frozen
class Times:
    """Seconds from the start of the load.

    ``factor`` multiplies the load from the trigger to its end.
    """

    trigger_s: float = 5.0
    trigger_end_s: float = 15.0
    end_s: float = 24.0
    factor: float = _overload_setup.SURGE_LOAD / _overload_setup.BASE_LOAD


@attrs.frozen
class Scenario:
    """A trigger, its end, and what is true from the start.

    ``capacity`` is the share of the leaf's capacity that is left during
    the trigger.
    """

    name: str
    start: object
    end: object
    times: Times = Times()
    behaviour: dict = attrs.field(factory=dict)
    capacity: float = 1.0


def _control(run, targets, **changes):
    for target in targets:
        _deployment.request(
            target.upstream_address, 'POST', '/control', changes
        )


def _leaves(run):
    return [t for t in run.deployment.targets if t.plan.service == 'leaf']


def _third(run):
    return [
        target
        for target in run.deployment.targets
        if target.plan.failure_domain == _overload_setup.DOMAINS[-1]
    ]


def _slow_leaf(run):
    _control(run, _leaves(run), slow_factor=SLOW_FACTOR)


def _normal_leaf(run):
    _control(run, _leaves(run), slow_factor=1.0)


def _replace_third(run):
    targets = _third(run)
    run.processes.stop([target.upstream for target in targets])
    for target in targets:
        target.plan = attrs.evolve(
            target.plan,
            settings={**target.plan.settings, 'cold_start': COLD_START},
        )
    run.deployment.start_upstreams(targets)


def _pause_domain(run):
    for target in _third(run):
        target.node.pause()
        target.upstream.pause()


def _resume_domain(run):
    for target in _third(run):
        target.upstream.resume()
        target.node.resume()


def _end_partner(run):
    run.roll_out(2, ended=('partner-two',))


def _nothing(run):
    time.sleep(0)


_LOSS = Times(factor=1.0)

SCENARIOS = (
    Scenario('surge', _slow_leaf, _normal_leaf, capacity=1 / SLOW_FACTOR),
    Scenario(
        'lying',
        _slow_leaf,
        _normal_leaf,
        behaviour={
            'reported_healthy': False,
            'load_factor': 10.0,
            'report_lag_s': 5.0,
        },
        capacity=1 / SLOW_FACTOR,
    ),
    Scenario('cold', _replace_third, _nothing, _LOSS),
    Scenario('silent-domain', _pause_domain, _resume_domain, _LOSS, {}, 2 / 3),
    Scenario('partner', _end_partner, _nothing, _LOSS, {}, 2 / 3),
)
