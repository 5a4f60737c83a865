"""Variants of the overload control that the simulation compares."""

import attrs

from benchmarks import _overload_limits
from rosemarycrank import admission
from rosemarycrank import retry


@attrs.frozen
class Variant:
    """Configuration of the overload control in one simulation.

    ``retry_after_share`` is the share of retries for which a client waits
    for the retry-after time of the answer. ``cancels_abandoned`` says
    whether work is cancelled when the client's deadline has passed.
    """

    name: str
    make_admission: object
    balancer: str = 'local-first'
    make_budget: object = retry.TokenBucket
    cancels_abandoned: bool = True
    retry_after_share: float = 0.5


def make_variants():
    """Return the variants to compare."""
    return [
        Variant(
            'pass-through',
            lambda slots: admission.PassThrough(),
            'random',
            retry.Unlimited,
            cancels_abandoned=False,
        ),
        Variant(
            'static',
            lambda slots: admission.StaticLimit(slots),
            'random',
            retry.Unlimited,
        ),
        Variant('trials', lambda slots: admission.AdaptiveLimit()),
        *_overload_limits.make_variants(Variant),
    ]


def make_weighted_variant(weight):
    """Return the adaptive limit with a given goodput weight."""
    return Variant(
        f'weight {weight:g}',
        lambda slots: admission.AdaptiveLimit(goodput_weight=weight),
    )
