"""Messages of the membership protocol.

Records are encoded as arrays: field names would double their size, and
records make up most of the bytes that the protocol sends.
"""

import enum

import attrs
import msgspec

from rosemarycrank import messages


class Status(enum.IntEnum):
    """State of a node in its record.

    Of two records with the same sequence, the one with the higher status
    takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Membership record of a node.

    Attributes
    ----------
    address : str
        ``host:port`` of the node.
    incarnation : int
        Random number that identifies one run of the node's process.
    sequence : int
        Version of the record. Only the process at this address increments
        it, so a greater sequence is more recent, also across restarts.
    status : Status
        State of the node.
    failure_domain : str
        Failure domain of the node's VM.
    service : str
        Service of the announced upstream; empty if none is announced.
    partner : str
        Partner that runs the upstream.
    slots : int
        Number of slots that the upstream announced.
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
    """Request to a node for contacts; ``record`` is the sender's record."""

    record: Record


@messages.register
@attrs.frozen
class JoinReply:
    """Reply to `Join`.

    ``known`` is the replying node's record of the joining node, if it
    differs from the record in the request.
    """

    failure_domain: str
    contacts: list[DomainContact]
    known: list[Record] = []


@messages.register
@attrs.frozen
class Ping:
    """Probe of a node, which replies with `Ack`.

    ``incarnation`` and ``sequence`` are those of the sender's own record.
    The receiver compares them with its record of the sender, and returns
    that record if they differ.
    """

    nonce: int
    incarnation: int
    sequence: int
    updates: list[Record] = []


@messages.register
@attrs.frozen
class PingRequest:
    """Request to probe ``address`` and to relay the `Ack` to the sender."""

    nonce: int
    address: str


@messages.register
@attrs.frozen
class Ack:
    """Reply to `Ping`, or to `PingRequest` after the probed node replied.

    ``address`` is the address of the probed node.
    """

    nonce: int
    address: str
    updates: list[Record] = []


@messages.register
@attrs.frozen
class Gossip:
    """Record updates for nodes of any failure domain; gets no reply."""

    updates: list[Record]


@messages.register
@attrs.frozen
class Digest:
    """Digests of the sender's records of a domain, 8 bytes per bucket."""

    nonce: int
    failure_domain: str
    buckets: bytes


@messages.register
@attrs.frozen
class DigestReply:
    """Reply to `Digest` with the records of the first differing buckets.

    ``buckets`` are the numbers of these buckets. The receiver sends back
    the records of these buckets that are newer in its own table. ``more``
    is true if further buckets differ.
    """

    nonce: int
    failure_domain: str
    buckets: list[int] = []
    updates: list[Record] = []
    more: bool = False


@messages.register
@attrs.frozen
class Repair:
    """Records that a digest comparison found missing; gets no reply.

    Unlike those of `Gossip`, these records are not propagated further:
    other nodes that lack them find out by their own digest comparisons.
    """

    updates: list[Record]


@messages.register
@attrs.frozen
class Beacon:
    """Heartbeat of a bridge node to a node of another failure domain.

    ``root`` is the digest of all records of the sender's domain, and
    ``bridges`` are the bridge nodes of that domain. ``contact`` names the
    bridge nodes of one further domain, chosen anew for each heartbeat.
    """

    failure_domain: str
    root: int
    bridges: list[str]
    contact: DomainContact | None = None


@messages.register
@attrs.frozen
class Subscribe:
    """Request to a bridge node for the targets of other failure domains.

    The bridge node is one of the sender's own domain. The digests are of
    the sender's records of other domains: ``digest_by_service`` has one for
    each service that the sender calls, ``whole_digest`` covers all services
    together, and ``contacts_digest`` covers the bridge nodes.
    """

    nonce: int
    digest_by_service: dict[str, int]
    whole_digest: int
    contacts_digest: int


@messages.register
@attrs.frozen
class SubscribeReply:
    """Reply to `Subscribe`; later changes follow as `Gossip`.

    ``services`` are those whose digests differ, and ``updates`` contains
    all their records. ``unreachable`` are the domains from which this
    bridge node receives no messages. ``whole`` is true on a small site,
    where every node keeps the targets of all services. A message with nonce
    0 is no reply: it reports a change of the reachable domains or of their
    bridge nodes.
    """

    nonce: int
    unreachable: list[str]
    whole: bool
    services: list[str] = []
    updates: list[Record] = []
    contacts: list[DomainContact] = []
