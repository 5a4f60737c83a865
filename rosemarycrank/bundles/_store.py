"""The bundle that a node holds, and the rules for replacing it."""

import collections
import enum

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _model
from rosemarycrank.bundles import _signed

#: Earlier contents kept to make deltas from.
KEPT_CONTENTS = 8


class Verdict(enum.Enum):
    """What became of an offered bundle."""

    ACCEPTED = 'accepted'
    OLDER = 'older'
    SAME = 'same'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


@attrs.frozen(eq=False)
class Held:
    """A bundle in force with what vouches for it."""

    head: _signed.Head
    content: _content.Content
    bundle: _model.Bundle


class Store:
    """Holds the newest accepted bundle; never replaces it by an older one.

    Parameters
    ----------
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Whose signatures count.

    Attributes
    ----------
    held : Held or None
        The bundle in force.
    last_error : str
        Why the latest refused bundle was refused.
    """

    def __init__(self, trusted_keys):
        self.trusted_keys = trusted_keys
        self.held = None
        self.last_error = ''
        self._verified_head = None
        self._contents_by_hash = collections.OrderedDict()
        self._deltas_by_base_hash = {}

    @property
    def version(self):
        """Version in force; 0 for none."""
        return self.held.head.version if self.held else 0

    @property
    def hash(self):
        """Content hash in force; empty for none."""
        return self.held.head.hash if self.held else ''

    def compare(self, version, content_hash):
        """Say what would become of a bundle, by its version and hash.

        Parameters
        ----------
        version : int
            Version of the bundle.
        content_hash : str
            Its content hash.

        Returns
        -------
        Verdict
            ACCEPTED stands for a newer bundle that is still to be checked.
        """
        if version > self.version:
            return Verdict.ACCEPTED
        if version < self.version:
            return Verdict.OLDER
        if content_hash != self.hash:
            return Verdict.CONFLICT
        return Verdict.SAME

    def check(self, head):
        """Check a head before its content is fetched.

        Parameters
        ----------
        head : Head
            Head of the offered bundle.

        Returns
        -------
        Verdict
            ACCEPTED if it is newer, signed and approved.
        """
        verdict = self.compare(head.version, head.hash)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        if self.held and head.name != self.held.head.name:
            return self._refuse(f'name: got {head.name!r}')
        try:
            self._verify(head)
        except _signed.SignatureError as error:
            return self._refuse(str(error))
        return Verdict.ACCEPTED

    def offer(self, head, content):
        """Replace the bundle in force if the offered one may do so.

        Parameters
        ----------
        head : Head
            Head of the offered bundle.
        content : Content
            Its content.

        Returns
        -------
        Verdict
            What became of it.
        """
        verdict = self.check(head)
        if verdict is not Verdict.ACCEPTED:
            return verdict
        if attrs.evolve(
            head, author=None, approver=None
        ) != _signed.unsigned_head(content):
            return self._refuse(f'content: got hash {content.hash}')
        try:
            bundle = content.to_bundle()
        except _content.ContentError as error:
            return self._refuse(str(error))
        self._replace(Held(head, content, bundle))
        return Verdict.ACCEPTED

    def apply(self, head, delta):
        """Return the content that a delta leads to.

        Parameters
        ----------
        head : Head
            Head of the offered bundle.
        delta : Delta
            Its changes to the content in force.

        Returns
        -------
        Content or None
            None if the delta does not lead from here to the head's hash.
        """
        if self.held is None or delta.base_hash != self.hash:
            return None
        content = self.held.content.apply(delta, head.version)
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
            None if the base is not kept.
        """
        base = self._contents_by_hash.get(base_hash)
        if base is None:
            return None
        if base_hash not in self._deltas_by_base_hash:
            delta = self.held.content.delta_from(base)
            self._deltas_by_base_hash[base_hash] = delta
        return self._deltas_by_base_hash[base_hash]

    def _verify(self, head):
        # A head is checked before its content is fetched and again with
        # it; the signatures need verifying once.
        if head != self._verified_head:
            head.verify(self.trusted_keys)
            self._verified_head = head

    def _replace(self, held):
        self.held = held
        self._contents_by_hash[held.head.hash] = held.content
        if len(self._contents_by_hash) > KEPT_CONTENTS:
            self._contents_by_hash.popitem(last=False)
        self._deltas_by_base_hash.clear()

    def _refuse(self, reason):
        self.last_error = reason
        return Verdict.REFUSED
