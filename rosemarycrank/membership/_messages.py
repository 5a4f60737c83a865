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


class DomainContact(msgspec.Struct, array_like=True, frozen=True):
    """Addresses of the bridge nodes of a failure domain."""

    failure_domain: str
    bridges: list[str]


@messages.register
@attrs.frozen
class Join:
    """Asks any node for contacts; ``record`` is the sender's own."""

    record: Record


@messages.register
@attrs.frozen
class JoinReply:
    """Answer to `Join`.

    ``known`` is what the answering node believes of the asker, when that
    is not what the asker said.
    """

    failure_domain: str
    contacts: list[DomainContact]
    known: list[Record] = []


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
    """News of nodes of any failure domain; not answered."""

    updates: list[Record]


@messages.register
@attrs.frozen
class Digest:
    """Digests, 8 bytes a bucket, of what the sender knows of a domain."""

    nonce: int
    failure_domain: str
    buckets: bytes


@messages.register
@attrs.frozen
class DigestReply:
    """Records of the first buckets that differ.

    ``buckets`` are the numbers of these buckets; the receiver returns what
    it knows better. ``more`` is true when other buckets differ as well.
    """

    nonce: int
    failure_domain: str
    buckets: list[int] = []
    updates: list[Record] = []
    more: bool = False


@messages.register
@attrs.frozen
class Repair:
    """Records that a comparison showed to be missing; not answered.

    Unlike `Gossip`, they are not passed on: views that miss them as well
    find out by comparing.
    """

    updates: list[Record]


@messages.register
@attrs.frozen
class Beacon:
    """Heartbeat of a bridge node to a bridge node of another domain.

    ``root`` is the digest of what the sender knows of its own domain.
    ``contact`` tells of one further domain at a time.
    """

    failure_domain: str
    root: int
    bridges: list[str]
    contact: DomainContact | None = None


@messages.register
@attrs.frozen
class Subscribe:
    """Asks a bridge node of the own domain for targets of other domains.

    ``digest_by_service`` holds the digest of what the sender knows of each
    service that it calls, ``whole_digest`` of all services together, and
    ``contacts_digest`` of the bridges of other domains.
    """

    nonce: int
    digest_by_service: dict[str, int]
    whole_digest: int
    contacts_digest: int


@messages.register
@attrs.frozen
class SubscribeReply:
    """Answer to `Subscribe`; later changes follow as `Gossip`.

    ``services`` are those whose digests differ: all records of them are in
    ``updates``. ``unreachable`` are the domains that this bridge does not
    hear from. ``whole`` is true on a small site, where every node keeps
    the targets of all services. A reply with nonce 0 only reports a change
    of domains.
    """

    nonce: int
    unreachable: list[str]
    whole: bool
    services: list[str] = []
    updates: list[Record] = []
    contacts: list[DomainContact] = []
