"""Defines the scenarios of the overload benchmark."""

import time

import attrs

from benchmarks import _deployment
from benchmarks import _overload_setup

SLOW_FACTOR = 2.0
COLD_START = {'factor': 4.0, 'duration_s': 3.0}


@attrs.frozen
class Times:
    """Times of a scenario, in seconds from the start of the load.

    ``factor`` multiplies the load from the start to the end of the trigger.
    """

    trigger_s: float = 5.0
    trigger_end_s: float = 15.0
    end_s: float = 24.0
    factor: float = _overload_setup.SURGE_LOAD / _overload_setup.BASE_LOAD


@attrs.frozen
class Scenario:
    """Scenario with a temporary trigger of overload.

    ``start`` and ``end`` are functions of a run that start and end the
    trigger. ``behaviour`` are settings of the upstream stand-ins for the
    whole run. ``capacity`` is the share of the leaf's capacity that remains
    during the trigger.
    """

    name: str
    start: object
    end: object
    times: Times = Times()
    behaviour: dict = attrs.field(factory=dict)
    capacity: float = 1.0


def _change_behaviour(run, targets, **changes):
    for target in targets:
        _deployment.request(
            target.upstream_address, 'POST', '/control', changes
        )


def _leaf_targets(run):
    return [
        target
        for target in run.deployment.targets
        if target.plan.service == 'leaf'
    ]


def _last_domain_targets(run):
    return [
        target
        for target in run.deployment.targets
        if target.plan.failure_domain == _overload_setup.FAILURE_DOMAINS[-1]
    ]


def _slow_down_leaf(run):
    _change_behaviour(run, _leaf_targets(run), slow_factor=SLOW_FACTOR)


def _restore_leaf(run):
    _change_behaviour(run, _leaf_targets(run), slow_factor=1.0)


def _replace_last_domain_upstreams(run):
    targets = _last_domain_targets(run)
    run.processes.stop([target.upstream for target in targets])
    for target in targets:
        target.plan = attrs.evolve(
            target.plan,
            settings={**target.plan.settings, 'cold_start': COLD_START},
        )
    run.deployment.start_upstreams(targets)


def _pause_last_domain(run):
    for target in _last_domain_targets(run):
        target.node.pause()
        target.upstream.pause()


def _resume_last_domain(run):
    for target in _last_domain_targets(run):
        target.upstream.resume()
        target.node.resume()


def _end_partner(run):
    run.roll_out(2, ended=('partner-two',))


def _do_nothing(run):
    time.sleep(0)


_TARGET_LOSS = Times(factor=1.0)

SCENARIOS = (
    Scenario(
        'surge', _slow_down_leaf, _restore_leaf, capacity=1 / SLOW_FACTOR
    ),
    Scenario(
        'lying',
        _slow_down_leaf,
        _restore_leaf,
        behaviour={
            'reported_healthy': False,
            'load_factor': 10.0,
            'report_lag_s': 5.0,
        },
        capacity=1 / SLOW_FACTOR,
    ),
    Scenario(
        'cold', _replace_last_domain_upstreams, _do_nothing, _TARGET_LOSS
    ),
    Scenario(
        'silent-domain',
        _pause_last_domain,
        _resume_last_domain,
        _TARGET_LOSS,
        {},
        2 / 3,
    ),
    Scenario('partner', _end_partner, _do_nothing, _TARGET_LOSS, {}, 2 / 3),
)
