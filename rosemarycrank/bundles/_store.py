"""Storage of a node's bundle, and the rules for replacing it."""

import collections
import enum

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _signed

#: Contents kept as bases of deltas, the current one included.
MAX_BASE_CONTENTS = 8


class Verdict(enum.Enum):
    """Result of checking a candidate against the bundle in force."""

    ACCEPTED = 'accepted'
    OLDER = 'older'
    SAME = 'same'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


@attrs.frozen(eq=False)
class VerifiedBundle:
    """A decoded bundle with its verified head and its content."""

    head: _signed.Head
    content: _content.Content
    bundle: _model.Bundle


class Store:
    """Stores the newest accepted bundle; its version never decreases.

    Parameters
    ----------
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Keys whose signatures are accepted.

    Attributes
    ----------
    current : VerifiedBundle or None
        The bundle in force.
    last_error : str
        Reason for the latest refusal; empty if there was none.
    """

    def __init__(self, trusted_keys):
        self.trusted_keys = trusted_keys
        self.current = None
        self.last_error = ''
        self._verified_head = None
        self._base_contents_by_hash = collections.OrderedDict()
        self._deltas_by_base_hash = {}

    @property
    def version(self):
        """Version in force; 0 if there is none."""
        return self.current.head.version if self.current else 0

    @property
    def hash(self):
        """Content hash in force; empty if there is none."""
        return self.current.head.hash if self.current else ''

    def compare(self, version, content_hash):
        """Compare a candidate's version and hash with those in force.

        Parameters
        ----------
        version : int
            Version of the candidate.
        content_hash : str
            Content hash of the candidate.

        Returns
        -------
        Verdict
            ACCEPTED if the candidate is newer; its name and signatures are
            not checked yet. CONFLICT if it has the version in force, but
            another hash.
        """
        if version > self.version:
            return Verdict.ACCEPTED
        if version < self.version:
            return Verdict.OLDER
        if content_hash != self.hash:
            return Verdict.CONFLICT
        return Verdict.SAME

    def check(self, head):
        """Check a candidate's head, before its content is fetched.

        Parameters
        ----------
        head : Head
            Head of the candidate.

        Returns
        -------
        Verdict
            ACCEPTED if the candidate is newer, has the name of the bundle
            in force, and is signed and approved.
        """
        verdict = self.compare(head.version, head.hash)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        if self.current and head.name != self.current.head.name:
            return self._refuse(f'not the name in force: {head.name!r}')
        try:
            self._verify_once(head)
        except _signed.SignatureError as error:
            return self._refuse(str(error))
        return Verdict.ACCEPTED

    def try_accept(self, head, content):
        """Replace the bundle in force by a candidate if all checks pass.

        Parameters
        ----------
        head : Head
            Head of the candidate.
        content : Content
            Content of the candidate.

        Returns
        -------
        Verdict
            ACCEPTED if the candidate is now in force.
        """
        verdict = self.check(head)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        if attrs.evolve(
            head, author=None, approver=None
        ) != _signed.unsigned_head(content):
            return self._refuse(f'head does not match content {content.hash}')
        try:
            bundle = content.to_bundle()
        except _content.ContentError as error:
            return self._refuse(str(error))
        self._set_current(VerifiedBundle(head, content, bundle))
        return Verdict.ACCEPTED

    def apply(self, head, delta):
        """Apply a delta to the content in force.

        Parameters
        ----------
        head : Head
            Head of the candidate.
        delta : Delta
            Changes from the content in force to the candidate's content.

        Returns
        -------
        Content or None
            Content of the candidate; None if the delta applies to another
            base or the result does not have the head's hash.
        """
        if self.current is None or delta.base_hash != self.hash:
            return None
        content = self.current.content.apply(delta, head.version)
        return content if content.hash == head.hash else None

    def delta_from(self, base_hash):
        """Return the delta from an earlier content to the one in force.

        Parameters
        ----------
        base_hash : str
            Content hash of the base.

        Returns
        -------
        Delta or None
            None if the store does not keep the base.
        """
        base = self._base_contents_by_hash.get(base_hash)
        if base is None:
            return None
        if base_hash not in self._deltas_by_base_hash:
            delta = self.current.content.delta_from(base)
            self._deltas_by_base_hash[base_hash] = delta
        return self._deltas_by_base_hash[base_hash]

    def _verify_once(self, head):
        # The same head is checked before its content is fetched and again
        # with the content; its signatures are verified only the first time.
        if head != self._verified_head:
            head.verify(self.trusted_keys)
            self._verified_head = head

    def _set_current(self, current):
        self.current = current
        self._base_contents_by_hash[current.head.hash] = current.content
        if len(self._base_contents_by_hash) > MAX_BASE_CONTENTS:
            self._base_contents_by_hash.popitem(last=False)
        self._deltas_by_base_hash.clear()

    def _refuse(self, reason):
        self.last_error = reason
        return Verdict.REFUSED
