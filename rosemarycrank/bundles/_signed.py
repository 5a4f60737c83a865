"""Bundle signed by its author and approved by a second operator."""

import attrs
import msgspec

from rosemarycrank.bundles import _content
from rosemarycrank import decoding
from rosemarycrank import keys


class SignatureError(ValueError):
    """A signature or approval of a bundle is missing or invalid."""


@attrs.frozen
class Signature:
    """Signature of one operator.

    Attributes
    ----------
    operator : str
        Name of the operator.
    public_key : str
        Public key in hexadecimal.
    signature : str
        Signature in hexadecimal.
    """

    operator: str
    public_key: str
    signature: str


@attrs.frozen
class Head:
    """Identity of one version of a bundle, with its signatures.

    Attributes
    ----------
    name : str
        Name shared by all versions of the bundle.
    version : int
        Version of the bundle.
    hash : str
        Content hash in hexadecimal.
    author : Signature or None
        Signature of the author; None before signing.
    approver : Signature or None
        Signature of the second operator; None before approval.
    """

    name: str
    version: int
    hash: str
    author: Signature | None = None
    approver: Signature | None = None

    def verify(self, trusted_keys):
        """Check the author's signature and the approval.

        Parameters
        ----------
        trusted_keys : rosemarycrank.keys.TrustedKeys
            Keys whose signatures are accepted.

        Raises
        ------
        SignatureError
            If a signature is missing, invalid or made with a key that is not
            trusted, or if both were made by the same operator or key.
        """
        self._check_signature('author', self.author, trusted_keys)
        self._check_signature('approver', self.approver, trusted_keys)
        self._check_not_self_approved(
            self.approver.operator, self.approver.public_key
        )

    def sign(self, operator, private_key):
        """Return a copy of the head signed by its author.

        Parameters
        ----------
        operator : str
            Name of the author.
        private_key : rosemarycrank.keys.PrivateKey
            Key of the author.

        Returns
        -------
        Head
            The signed head, without an earlier approval.
        """
        author = self._make_signature('author', operator, private_key)
        return attrs.evolve(self, author=author, approver=None)

    def approve(self, operator, private_key):
        """Return a copy of the head approved by a second operator.

        Parameters
        ----------
        operator : str
            Name of the second operator.
        private_key : rosemarycrank.keys.PrivateKey
            Key of the second operator.

        Returns
        -------
        Head
            The approved head.

        Raises
        ------
        SignatureError
            If the author has not signed, or the second operator or key is
            the author's.
        """
        if self.author is None:
            raise SignatureError('author: no signature')
        self._check_not_self_approved(operator, private_key.public_key)
        approver = self._make_signature('approver', operator, private_key)
        return attrs.evolve(self, approver=approver)

    def _make_signature(self, role, operator, private_key):
        message = self._encode_signed_message(role, operator)
        return Signature(
            operator, private_key.public_key, private_key.sign(message)
        )

    def _encode_signed_message(self, role, operator):
        # The role is part of the message, so that an author's signature
        # cannot be reused as an approval.
        return msgspec.json.encode(
            [
                'rosemarycrank bundle',
                role,
                operator,
                self.name,
                self.version,
                self.hash,
            ]
        )

    def _check_signature(self, role, signature, trusted_keys):
        if signature is None:
            raise SignatureError(f'{role}: no signature')
        if not trusted_keys.trusts(signature.operator, signature.public_key):
            raise SignatureError(
                f'{role}: got operator {signature.operator!r} with key '
                f'{signature.public_key!r}, allowed trusted keys that are not '
                'revoked'
            )
        message = self._encode_signed_message(role, signature.operator)
        if not keys.verify(signature.public_key, signature.signature, message):
            raise SignatureError(
                f'{role}: signature of {signature.operator!r} does not match'
            )

    def _check_not_self_approved(self, operator, public_key):
        author = self.author
        if operator == author.operator or public_key == author.public_key:
            raise SignatureError(
                f'approver: got {operator!r}, allowed another operator than '
                f'the author {author.operator!r}'
            )


@attrs.frozen
class SignedBundle:
    """Content of a bundle with its head, as stored in a signed bundle file.

    Attributes
    ----------
    head : Head
        Head of the bundle.
    content : Content
        Content of the bundle.
    """

    head: Head
    content: _content.Content

    def to_bytes(self):
        """Return the bytes of a signed bundle file."""
        body = msgspec.Raw(self.content.to_bytes())
        encoded = msgspec.json.encode(_SignedFile(self.head, body))
        return msgspec.json.format(encoded) + b'\n'


@attrs.frozen
class _SignedFile:
    head: Head
    body: msgspec.Raw


_FILE_DECODER = msgspec.json.Decoder(_SignedFile)
_BODY_DECODER = msgspec.json.Decoder()


def unsigned_head(content):
    """Return the head of a content, without signatures.

    Parameters
    ----------
    content : Content
        The content.

    Returns
    -------
    Head
        The unsigned head.
    """
    return Head(content.name, content.version, content.hash)


def from_bytes(data):
    """Parse the bytes of a signed bundle file.

    Parameters
    ----------
    data : bytes
        Result of `SignedBundle.to_bytes`; white space may differ.

    Returns
    -------
    SignedBundle
        The signed bundle; its signatures are not verified.

    Raises
    ------
    ContentError
        If the bytes are malformed, or the head does not match the content.
    """
    try:
        decoded = decoding.decode(_FILE_DECODER, data)
        body = msgspec.json.encode(
            decoding.decode(_BODY_DECODER, decoded.body)
        )
    except decoding.DecodeError as error:
        raise _content.ContentError(f'signed bundle: {error}') from error
    content = _content.from_bytes(body)
    head = decoded.head
    if attrs.evolve(head, author=None, approver=None) != unsigned_head(
        content
    ):
        raise _content.ContentError(
            f'signed bundle: got hash {content.hash!r}, expected {head.hash!r}'
        )
    return SignedBundle(head, content)
