"""Admission control on the node of the target."""

from rosemarycrank.admission import _adaptive
from rosemarycrank.admission import _base
from rosemarycrank.admission import _baselines

AdaptiveLimit = _adaptive.AdaptiveLimit
AdmissionController = _base.AdmissionController
Decision = _base.Decision
Load = _base.Load
Sample = _base.Sample
ShedLevel = _base.ShedLevel
Ticket = _base.Ticket
Verdict = _base.Verdict
PassThrough = _baselines.PassThrough
StaticLimit = _baselines.StaticLimit

__all__ = [
    'AdaptiveLimit',
    'AdmissionController',
    'Decision',
    'Load',
    'PassThrough',
    'Sample',
    'ShedLevel',
    'StaticLimit',
    'Ticket',
    'Verdict',
]
