"""Call path: entry side, target side and planned stop of a node."""

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _client_requests
from rosemarycrank.calls import _entry
from rosemarycrank.calls import _lifecycle
from rosemarycrank.calls import _target

Allowance = _allowance.Allowance
ClientRequests = _client_requests.ClientRequests
EntryCalls = _entry.EntryCalls
Lifecycle = _lifecycle.Lifecycle
TargetCalls = _target.TargetCalls

__all__ = [
    'Allowance',
    'ClientRequests',
    'EntryCalls',
    'Lifecycle',
    'TargetCalls',
]
