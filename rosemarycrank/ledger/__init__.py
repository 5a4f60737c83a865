"""Idempotency keys: at most one run of each non-idempotent request."""

from rosemarycrank.ledger import _base

Ledger = _base.Ledger
KeyedRequest = _base.KeyedRequest

__all__ = ['KeyedRequest', 'Ledger']
