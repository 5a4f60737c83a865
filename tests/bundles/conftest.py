"""Operators with keys, bundle content and signed heads."""

import attrs
import pytest

from rosemarycrank import bundles
from rosemarycrank import keys


@attrs.frozen
class Operators:
    """Private keys by operator name, and the matching trusted keys."""

    private_keys: dict
    trusted: keys.TrustedKeys

    def head(self, content, author='ana', approver='berta'):
        """Return the signed and approved head of a content."""
        head = bundles.unsigned_head(content)
        head = head.sign(author, self.private_keys[author])
        return head.approve(approver, self.private_keys[approver])


def make_operators(*names):
    private_keys = {
        name: keys.PrivateKey.from_seed(bytes([number]) * 32)
        for number, name in enumerate(names, start=1)
    }
    trusted = keys.TrustedKeys()
    for name, key in private_keys.items():
        trusted = trusted.with_key(name, key.public_key)
    return Operators(private_keys, trusted)


def make_content(version, name='demo', rank=0):
    """Return content; other ranks give other contents of one version."""
    bundle = bundles.Bundle(
        name=name,
        version=version,
        classes_by_name={'read': bundles.RequestClass('read', rank=rank)},
        rules=(bundles.Rule('shop', 'read'),),
        services=('shop',),
        policy=bundles.Policy(max_depth=1 + version % 8),
    )
    return bundles.content_from_bundle(bundle)


@pytest.fixture(scope='session')
def operators():
    return make_operators('ana', 'berta')


@pytest.fixture
def content():
    return make_content(1)
