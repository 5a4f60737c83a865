"""Messages by which bundles spread between nodes."""

import attrs

from rosemarycrank.bundles import _content
from rosemarycrank.bundles import _signed
from rosemarycrank import messages


@messages.register
@attrs.frozen
class BundleAnnounce:
    """Tells which bundle the sender holds; version 0 for none."""

    version: int
    hash: str


@messages.register
@attrs.frozen
class BundlePull:
    """Asks for the receiver's bundle.

    ``base_hash`` is the content hash that the sender holds and a delta may
    build on; empty to ask for the whole bundle.
    """

    base_hash: str = ''


@messages.register
@attrs.frozen
class BundleDelta:
    """Answer to `BundlePull`: what changes from the asked base."""

    head: _signed.Head
    delta: _content.Delta


@messages.register
@attrs.frozen
class BundleWhole:
    """Answer to `BundlePull`: all sections of the bundle."""

    head: _signed.Head
    sections: dict[str, bytes]
