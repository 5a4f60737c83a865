"""Versioned policy bundles: content, signatures, roll-out, replication."""

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _diff
from rosemarycrank.bundles import _document
from rosemarycrank.bundles import _holder
from rosemarycrank.bundles import _messages
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _roll_out
from rosemarycrank.bundles import _signed
from rosemarycrank.bundles import _table

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
unsigned_head = _signed.unsigned_head
signed_from_bytes = _signed.from_bytes

BundleHolder = _holder.BundleHolder
BundleAnnounce = _messages.BundleAnnounce
BundleDelta = _messages.BundleDelta
BundlePull = _messages.BundlePull
BundleWhole = _messages.BundleWhole

CurrentRow = _table.CurrentRow
body_name = _table.body_name
delta_name = _table.delta_name

LostRaceError = _roll_out.LostRaceError
OutOfSequenceError = _roll_out.OutOfSequenceError
OutcomeUnknownError = _roll_out.OutcomeUnknownError
RollOut = _roll_out.RollOut
RollOutError = _roll_out.RollOutError
read_content = _roll_out.read_content
read_current = _roll_out.read_current
roll_out = _roll_out.roll_out

Change = _diff.Change
diff = _diff.diff

load = _document.load
parse = _document.parse

__all__ = [
    'Bundle',
    'BundleAccepted',
    'BundleAnnounce',
    'BundleDelta',
    'BundleHolder',
    'BundlePull',
    'BundleWhole',
    'Change',
    'Content',
    'ContentError',
    'CurrentRow',
    'Delta',
    'Head',
    'LostRaceError',
    'OutOfSequenceError',
    'OutcomeUnknownError',
    'Partner',
    'Policy',
    'RequestClass',
    'RollOut',
    'RollOutError',
    'Rule',
    'Signature',
    'SignatureError',
    'SignedBundle',
    'UpstreamGroup',
    'body_name',
    'content_from_bundle',
    'content_from_bytes',
    'delta_name',
    'diff',
    'load',
    'parse',
    'read_content',
    'read_current',
    'roll_out',
    'signed_from_bytes',
    'unsigned_head',
]
