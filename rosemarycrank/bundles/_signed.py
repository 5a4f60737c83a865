"""Signature of a bundle's author and approval by a second operator."""

import attrs
import msgspec

from rosemarycrank.bundles import _content
from rosemarycrank import keys


class SignatureError(ValueError):
    """A bundle that is not signed and approved as it has to be."""


@attrs.frozen
class Signature:
    """Signature of one operator.

    Attributes
    ----------
    operator : str
        Name of the operator.
    public_key : str
        Key in hexadecimal.
    signature : str
        Signature in hexadecimal.
    """

    operator: str
    public_key: str
    signature: str


@attrs.frozen
class Head:
    """What names and vouches for one version of a bundle.

    Attributes
    ----------
    name : str
        Name of the bundle line.
    version : int
        Version of the bundle.
    hash : str
        Content hash in hexadecimal.
    author : Signature or None
        Signature of the author.
    approver : Signature or None
        Signature of the second operator.
    """

    name: str
    version: int
    hash: str
    author: Signature | None = None
    approver: Signature | None = None

    def verify(self, trusted_keys):
        """Check signature and approval.

        Parameters
        ----------
        trusted_keys : rosemarycrank.keys.TrustedKeys
            Whose signatures count.

        Raises
        ------
        SignatureError
            If one is missing, invalid or not trusted, or both are of one
            operator.
        """
        self._verify_role('author', self.author, trusted_keys)
        self._verify_role('approver', self.approver, trusted_keys)
        self._refuse_self_approval(
            self.approver.operator, self.approver.public_key
        )

    def sign(self, operator, private_key):
        """Return the head signed by its author.

        Parameters
        ----------
        operator : str
            Name of the author.
        private_key : rosemarycrank.keys.PrivateKey
            Key of the author.

        Returns
        -------
        Head
            The signed head; an earlier approval is dropped.
        """
        author = self._signature('author', operator, private_key)
        return attrs.evolve(self, author=author, approver=None)

    def approve(self, operator, private_key):
        """Return the head approved by a second operator.

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
            If the author has not signed, or would approve alone.
        """
        if self.author is None:
            raise SignatureError('author: got no signature')
        self._refuse_self_approval(operator, private_key.public_key)
        approver = self._signature('approver', operator, private_key)
        return attrs.evolve(self, approver=approver)

    def _signature(self, role, operator, private_key):
        message = self._message(role, operator)
        return Signature(
            operator, private_key.public_key, private_key.sign(message)
        )

    def _message(self, role, operator):
        # The role is signed too, so that an author's signature cannot be
        # presented as an approval.
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

    def _verify_role(self, role, signed, trusted_keys):
        if signed is None:
            raise SignatureError(f'{role}: got no signature')
        if not trusted_keys.trusts(signed.operator, signed.public_key):
            raise SignatureError(
                f'{role}: got operator {signed.operator!r} with key '
                f'{signed.public_key!r}, allowed trusted keys that are not '
                'revoked'
            )
        message = self._message(role, signed.operator)
        if not keys.verify(signed.public_key, signed.signature, message):
            raise SignatureError(
                f'{role}: signature of {signed.operator!r} does not match'
            )

    def _refuse_self_approval(self, operator, public_key):
        author = self.author
        if operator == author.operator or public_key == author.public_key:
            raise SignatureError(
                f'approver: got {operator!r}, allowed another operator than '
                f'the author {author.operator!r}'
            )


@attrs.frozen
class SignedBundle:
    """A bundle's content with its head, as operators pass it on.

    Attributes
    ----------
    head : Head
        Names and vouches for the content.
    content : Content
        The content.
    """

    head: Head
    content: _content.Content

    def to_bytes(self):
        """Return the bytes of a signed bundle file."""
        body = msgspec.Raw(self.content.to_bytes())
        encoded = msgspec.json.encode(_File(self.head, body))
        return msgspec.json.format(encoded) + b'\n'


@attrs.frozen
class _File:
    head: Head
    body: msgspec.Raw


def unsigned_head(content):
    """Return the unsigned head of a content.

    Parameters
    ----------
    content : Content
        The content.

    Returns
    -------
    Head
        Its head without signatures.
    """
    return Head(content.name, content.version, content.hash)


def from_bytes(text):
    """Return the signed bundle in a file's bytes.

    Parameters
    ----------
    text : bytes
        As made by `SignedBundle.to_bytes`; white space may differ.

    Returns
    -------
    SignedBundle
        The signed bundle; its signatures are still to be verified.

    Raises
    ------
    ContentError
        If the bytes are malformed, or the head does not fit the content.
    """
    try:
        decoded = msgspec.json.decode(text, type=_File)
        body = msgspec.json.encode(msgspec.json.decode(decoded.body))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _content.ContentError(f'signed bundle: {error}') from error
    content = _content.from_bytes(body)
    head = decoded.head
    if attrs.evolve(head, author=None, approver=None) != unsigned_head(
        content
    ):
        raise _content.ContentError(
            f'signed bundle: got hash {content.hash!r}, allowed {head.hash!r}'
        )
    return SignedBundle(head, content)
