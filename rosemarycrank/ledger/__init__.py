"""Idempotency keys: at most one run of each non-idempotent request."""

from rosemarycrank.ledger import _base
from rosemarycrank.ledger import _claims

Claims = _claims.Claims
KeyedRequest = _base.KeyedRequest
Ledger = _base.Ledger

__all__ = ['Claims', 'KeyedRequest', 'Ledger']
