"""Versioned policy bundles: content, signatures, roll-out, spreading."""

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _document
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _signed

Bundle = _model.Bundle
BundleAccepted = _model.BundleAccepted
Partner = _model.Partner
Policy = _model.Policy
RequestClass = _model.RequestClass
Rule = _model.Rule
UpstreamGroup = _model.UpstreamGroup

Content = _content.Content
ContentError = _content.ContentError
Delta = _content.Delta
content_from_bundle = _content.from_bundle
content_from_bytes = _content.from_bytes

Head = _signed.Head
Signature = _signed.Signature
SignatureError = _signed.SignatureError
SignedBundle = _signed.SignedBundle
head_of = _signed.head_of
signed_from_bytes = _signed.from_bytes

load = _document.load
parse = _document.parse

__all__ = [
    'Bundle',
    'BundleAccepted',
    'Content',
    'ContentError',
    'Delta',
    'Head',
    'Partner',
    'Policy',
    'RequestClass',
    'Rule',
    'Signature',
    'SignatureError',
    'SignedBundle',
    'UpstreamGroup',
    'content_from_bundle',
    'content_from_bytes',
    'head_of',
    'load',
    'parse',
    'signed_from_bytes',
]
