"""Idempotency keys: run each non-idempotent request at most once."""

from rosemarycrank.ledger import _base
from rosemarycrank.ledger import _claims

Claims = _claims.Claims
KeyedRequest = _base.KeyedRequest
Ledger = _base.Ledger

__all__ = ['Claims', 'KeyedRequest', 'Ledger']
