"""Messages that replicate bundles between nodes."""

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _signed
from rosemarycrank import messages


@messages.register
@attrs.frozen
class BundleAnnounce:
    """Version and content hash of the sender's bundle; 0 and '' for none."""

    version: int
    hash: str


@messages.register
@attrs.frozen
class BundlePull:
    """Request for the receiver's bundle.

    ``base_hash`` is the hash of the sender's current content, which a delta
    may apply to; empty to request the whole bundle.
    """

    base_hash: str = ''


@messages.register
@attrs.frozen
class BundleDelta:
    """Answer to `BundlePull`: the delta from the requested base."""

    head: _signed.Head
    delta: _content.Delta


@messages.register
@attrs.frozen
class BundleWhole:
    """Answer to `BundlePull`: all sections of the bundle."""

    head: _signed.Head
    sections: dict[str, bytes]
