"""Versioned policy bundles: content, signatures, roll-out, spreading."""

from rosemarycrank.bundles import _model

Bundle = _model.Bundle
BundleAccepted = _model.BundleAccepted
Partner = _model.Partner
Policy = _model.Policy
RequestClass = _model.RequestClass
Rule = _model.Rule

__all__ = [
    'Bundle',
    'BundleAccepted',
    'Partner',
    'Policy',
    'RequestClass',
    'Rule',
]
