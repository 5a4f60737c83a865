"""Signatures, approvals, private key files and the trusted keys file."""

import stat

import attrs
import pytest

from rosemarycrank import bundles
from rosemarycrank import keys
from rosemarycrank import settings
from tests.bundles import conftest


def test_signed_and_approved_head_is_accepted(operators, content):
    operators.head(content).verify(operators.trusted)


def _unapproved(operators, head):
    return attrs.evolve(head, approver=None)


def _unsigned(operators, head):
    return attrs.evolve(head, author=None)


def _other_hash(operators, head):
    return attrs.evolve(head, hash='0' * 64)


def _other_version(operators, head):
    return attrs.evolve(head, version=head.version + 1)


def _other_name(operators, head):
    return attrs.evolve(head, name='other')


def _author_as_approver(operators, head):
    return attrs.evolve(head, approver=head.author)


def _renamed_author_as_approver(operators, head):
    approver = attrs.evolve(head.author, operator='berta')
    return attrs.evolve(head, approver=approver)


def _signed_by_untrusted_key(operators, head):
    key = keys.PrivateKey.from_seed(b'z' * 32)
    return head.sign('ana', key).approve(
        'berta', operators.private_keys['berta']
    )


def _malformed(operators, head):
    approver = attrs.evolve(head.approver, signature='no hex')
    return attrs.evolve(head, approver=approver)


@pytest.mark.parametrize(
    'forge',
    [
        _unapproved,
        _unsigned,
        _other_hash,
        _other_version,
        _other_name,
        _author_as_approver,
        _renamed_author_as_approver,
        _signed_by_untrusted_key,
        _malformed,
    ],
)
def test_forged_heads_are_refused(operators, content, forge):
    head = forge(operators, operators.head(content))
    with pytest.raises(bundles.SignatureError):
        head.verify(operators.trusted)


def test_author_cannot_approve(operators, content):
    with pytest.raises(bundles.SignatureError, match='another operator'):
        operators.head(content, approver='ana')


def test_self_approval_is_refused_by_verification_too(operators, content):
    # A modified command-line tool could approve without the check in
    # `Head.approve`, so nodes must check it themselves.
    head = operators.head(content)
    self_approval = head._make_signature(
        'approver', 'ana', operators.private_keys['ana']
    )
    with pytest.raises(bundles.SignatureError, match='another operator'):
        attrs.evolve(head, approver=self_approval).verify(operators.trusted)


def test_signature_of_a_revoked_key_is_refused(operators, content):
    public_key = operators.private_keys['berta'].public_key
    trusted = operators.trusted.with_revoked('berta', public_key)
    with pytest.raises(bundles.SignatureError, match='approver'):
        operators.head(content).verify(trusted)


def test_rotated_operator_may_use_both_keys(operators, content):
    newer = keys.PrivateKey.from_seed(b'n' * 32)
    trusted = operators.trusted.with_key('ana', newer.public_key)
    operators.head(content).verify(trusted)
    head = bundles.unsigned_head(content).sign('ana', newer)
    head.approve('berta', operators.private_keys['berta']).verify(trusted)


def test_signed_bundle_file_round_trip(operators, content):
    signed = bundles.SignedBundle(operators.head(content), content)
    decoded = bundles.signed_from_bytes(signed.to_bytes())
    assert decoded.head == signed.head
    assert decoded.content.to_bytes() == content.to_bytes()


def test_signed_bundle_file_with_another_body_is_refused(operators):
    signed = bundles.SignedBundle(
        operators.head(conftest.make_content(1)),
        conftest.make_content(1, rank=5),
    )
    with pytest.raises(bundles.ContentError, match='hash'):
        bundles.signed_from_bytes(signed.to_bytes())


def test_private_key_file_is_private_and_never_overwritten(tmp_path):
    key = keys.PrivateKey.create()
    path = tmp_path / 'ana.key'
    key.write(path)
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert keys.PrivateKey.read(path).public_key == key.public_key
    with pytest.raises(FileExistsError):
        key.write(path)


@pytest.mark.parametrize('text', [b'', b'key', b'ab' * 31, b'\xff' * 99])
def test_malformed_private_key_file_is_refused(tmp_path, text):
    path = tmp_path / 'ana.key'
    path.write_bytes(text)
    with pytest.raises(keys.KeyFileError):
        keys.PrivateKey.read(path)


def test_trusted_list_round_trip(tmp_path, operators):
    path = tmp_path / 'trusted-keys.yaml'
    path.write_text(operators.trusted.to_yaml())
    assert keys.load(path) == operators.trusted


def test_one_key_under_two_names_is_refused(tmp_path, operators):
    public_key = operators.private_keys['ana'].public_key
    path = tmp_path / 'trusted-keys.yaml'
    shared = operators.trusted.with_key('carla', public_key)
    path.write_text(shared.to_yaml())
    with pytest.raises(settings.SettingsError) as caught:
        keys.load(path)
    assert 'each key once' in str(caught.value.exceptions[0])
