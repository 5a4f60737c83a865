"""The call path: entry node, target's node, planned stop."""

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _entry
from rosemarycrank.calls import _lifecycle
from rosemarycrank.calls import _target

Allowance = _allowance.Allowance
EntryCalls = _entry.EntryCalls
Lifecycle = _lifecycle.Lifecycle
TargetCalls = _target.TargetCalls

__all__ = ['Allowance', 'EntryCalls', 'Lifecycle', 'TargetCalls']
