"""Messages of membership.

Records are encoded as arrays: field names would double their size, and
records are most of what membership sends.
"""

import enum

import attrs
import msgspec

from rosemarycrank import messages


class Status(enum.IntEnum):
    """State of a node in its record; of equal sequence, the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a node.

    Attributes
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Random number of that run of the node.
    sequence : int
        Version of the record. Only the process that holds the address
        raises it, so the greater sequence is the later news, also across
        restarts.
    status : Status
        State of the node.
    failure_domain : str
        Failure domain of the VM.
    service : str
        Service of the announced upstream; empty without one.
    partner : str
        Partner that runs the upstream.
    slots : int
        Announced slots of the upstream.
    """

    address: str
    incarnation: int
    sequence: int
    status: Status
    failure_domain: str
    service: str = ''
    partner: str = ''
    slots: int = 0


@messages.register
@attrs.frozen
class Join:
    """Asks any node for contacts; a node of the same domain adds its view.

    ``nonce`` comes back in the answer.
    """

    nonce: int
    record: Record


@messages.register
@attrs.frozen
class Ping:
    """Probe of a node; it answers with `Ack`.

    ``incarnation`` and ``sequence`` are the sender's own, so that the
    receiver can tell it about an older or contrary record.
    """

    nonce: int
    incarnation: int
    sequence: int
    updates: list[Record] = []


@messages.register
@attrs.frozen
class PingRequest:
    """Asks a third node to probe ``address`` and to pass on the answer."""

    nonce: int
    address: str


@messages.register
@attrs.frozen
class Ack:
    """Answer to `Ping`, or to `PingRequest` once the probed node answered.

    ``address`` is the node that was probed.
    """

    nonce: int
    address: str
    updates: list[Record] = []


@messages.register
@attrs.frozen
class Gossip:
    """News of nodes; not answered."""

    updates: list[Record]


@messages.register
@attrs.frozen
class Digest:
    """Digests of the sender's view by bucket, 8 bytes each."""

    nonce: int
    buckets: bytes


@messages.register
@attrs.frozen
class DigestReply:
    """Records of the buckets that differ.

    ``buckets`` are the numbers of these buckets; the receiver returns what
    it knows better.
    """

    nonce: int
    buckets: list[int] = []
    updates: list[Record] = []
