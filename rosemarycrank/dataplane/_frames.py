"""Messages between nodes on the data path, and their encoding.

A frame consists of a 4-byte big-endian length and a MessagePack array whose
first element is the tag of the message type. On a connection, attempts flow
from the node that opened it and results from the node that accepted it;
notifications flow in both directions.
"""

import enum
import struct

import msgspec

#: Version of the frame format; connections to nodes with another version are
#: closed during the handshake.
PROTOCOL_VERSION = 2

#: Maximum payload size; fits a body of the maximum size and its headers.
MAX_FRAME_BYTES = 80 * 1024 * 1024

#: Length from which a body is a part of its frame by itself, in bytes.
MIN_SEPARATE_BODY_BYTES = 65536

#: Length prefix of a frame.
LENGTH = struct.Struct('>I')

# Binary data in MessagePack: none, and with a length of 32 bits.
_EMPTY_BODY = b'\xc4\x00'
_BIN_32 = 0xC6
_BODY_PREFIX = struct.Struct('>BI')


class FrameError(ValueError):
    """Raised for bytes that are not a valid frame."""


class Outcome(enum.IntEnum):
    """Whether a finished attempt was executed, as known to its sender.

    ``NOT_RUN`` means that the target certainly did not execute the request;
    ``UNKNOWN`` means that it may have.
    """

    COMPLETE = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Reason(enum.IntEnum):
    """Cause of an attempt that ended without a complete answer.

    Attributes
    ----------
    NONE
        The answer is complete.
    OTHER_TARGET
        The node's target is another instance than the requested one.
    LEAVING
        The target or its node is shutting down.
    NOT_ANNOUNCED
        No target has registered at the node.
    QUEUE_EXPIRED
        The time left became too short while the attempt was queued.
    QUEUE_FULL
        The queue is too long to finish the attempt before its deadline.
    REFUSED_BY_TARGET
        The target answered that it did not execute the request.
    CONNECT_FAILED
        The node could not connect to its target.
    ANSWER_LOST
        The connection to the target was lost before the end of the answer.
    ANSWER_INVALID
        The target sent an invalid answer.
    DEADLINE
        The deadline passed while the attempt was running.
    CANCELLED
        The sender cancelled the attempt, or was disconnected for too long.
    FORGOTTEN
        The target's node has already discarded results up to this number.
    NODE_UNREACHABLE
        The target's node could not be reached.
    NODE_RESTARTED
        The process of the target's node ended.
    CRASH_SUSPECT
        The request is refused, as targets have crashed under it.
    SUSPECT_ELSEWHERE
        A target has crashed under the request, which may run at another
        target only.
    """

    NONE = 0
    OTHER_TARGET = 1
    LEAVING = 2
    NOT_ANNOUNCED = 3
    QUEUE_EXPIRED = 4
    QUEUE_FULL = 5
    REFUSED_BY_TARGET = 6
    CONNECT_FAILED = 7
    ANSWER_LOST = 8
    ANSWER_INVALID = 9
    DEADLINE = 10
    CANCELLED = 11
    FORGOTTEN = 12
    NODE_UNREACHABLE = 13
    NODE_RESTARTED = 14
    CRASH_SUSPECT = 15
    SUSPECT_ELSEWHERE = 16


class Feature(enum.IntFlag):
    """Parts of the protocol that not all builds of a version have.

    A node uses them towards another one only if both have them.

    Attributes
    ----------
    CRASH_REPORTS
        Reports of crashes in earlier builds, by digests of other contents.
        This build neither sends nor reads them.
    DIRECTORY_DIGESTS
        Handshakes with a digest of the records instead of the records;
        `DirectoryDigests` and `DirectoryPart`.
    LOAD_REPORTS
        `LoadReport` as the answer to `Demand`.
    CRASH_FACTS
        `Crashes`, and `Reason.CRASH_SUSPECT`.
    """

    NONE = 0
    CRASH_REPORTS = 1
    DIRECTORY_DIGESTS = 2
    LOAD_REPORTS = 4
    CRASH_FACTS = 8


#: Features of this build.
FEATURES = (
    Feature.DIRECTORY_DIGESTS | Feature.LOAD_REPORTS | Feature.CRASH_FACTS
)

#: Number of hash ranges into which the records of a directory fall. Fixed, as
#: nodes compare their digests.
DIGEST_RANGES = 64


class TargetRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of a target, published by the node on the same VM.

    Attributes
    ----------
    node : str
        ``host:port`` at which the node accepts attempts.
    instance : str
        Identifier of the target.
    service, failure_domain : str
        Service that the target provides, and its failure domain.
    slots : int
        Maximum number of requests that the target runs concurrently.
    state : str
        ``ready``, ``draining`` or ``gone``.
    born_ms : int
        Start time of the target in Unix milliseconds.
    sequence : int
        Sequence number of the heartbeat that the record is based on.
    """

    node: str
    instance: str
    service: str
    failure_domain: str
    slots: int
    state: str
    born_ms: int
    sequence: int


class Pressure(msgspec.Struct, array_like=True, frozen=True):
    """Overload of a service, as known to the reporting node.

    Attributes
    ----------
    share : float
        Fraction of the service's load that entry nodes have to shed.
    age_s : float
        Seconds since the nodes of the service's targets last reported.
    factor_by_rank : dict of int to float
        See `Load`.
    """

    share: float
    age_s: float
    factor_by_rank: dict[int, float] = {}


class Load(msgspec.Struct, array_like=True):
    """Load of a target, measured by the node on the same VM.

    Attributes
    ----------
    running, waiting, limit : int
        Attempts that run, attempts in the queue, and the concurrency limit.
    service_s : float
        Moving average of the service time of one attempt, in seconds.
    arrivals_per_s : float
        Rate of attempts that were offered to this target first.
    demand_per_s, admitted_per_s : float
        Rate of calls to the target's service that the entry nodes expect
        their clients' requests to cause, before and after load shedding at
        the entry nodes.
    pressures : dict of str to Pressure
        Overloaded services that the node knows about.
    factor_by_rank : dict of int to float
        Factors by which the requests that are admitted are to be multiplied,
        by the rank of their calls; 1 if not named.
    """

    running: int
    waiting: int
    limit: int
    service_s: float
    arrivals_per_s: float = 0.0
    demand_per_s: float = 0.0
    admitted_per_s: float = 0.0
    pressures: dict[str, Pressure] = {}
    factor_by_rank: dict[int, float] = {}


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """Facts about a crash of a target.

    Attributes
    ----------
    instance : str
        Identifier of the target.
    born_ms : int
        Its start time in Unix milliseconds. A later crash of the same target
        is that of another start.
    at_ms : int
        Unix time of the crash in milliseconds, by the node beside the target.
    suspects : list of int
        Digests of requests that ran when it crashed.
    cleared : list of int
        Digests of those that have run well since.
    proven : list of int
        Digests of the suspects that had run well at the target's node.
    watched : list of int
        Digests of the suspects that were suspected when their runs began.
    """

    instance: str
    born_ms: int
    at_ms: int
    suspects: list[int]
    cleared: list[int]
    proven: list[int] = []
    watched: list[int] = []


class Hello(msgspec.Struct, array_like=True, tag=0):
    """Handshake, the first frame that each side sends.

    Attributes
    ----------
    protocol : int
        `PROTOCOL_VERSION` of the sender.
    node : str
        ``host:port`` at which the sender accepts attempts.
    incarnation : int
        Random number that identifies the sender's process.
    generation : int
        Number of the connection among those that the sender has opened to
        this peer; increases. 0 if the sender accepted the connection.
    configuration_version : int
        Version of the sender's configuration; -1 if it has none.
    records : list of TargetRecord
        The record of the sender's own target; all that it knows for a
        receiver without `Feature.DIRECTORY_DIGESTS`.
    client_routes : list of str
        Routes that are known to be called by clients.
    features : int
        `Feature` flags of the sender.
    directory_digest : int
        Digest of all records that the sender knows; 0 for none.
    crashes : list of Crash
        All facts by which requests are under suspicion.
    crash_digest : int
        Digest of all facts about crashes that the sender knows; 0 for none.
    """

    protocol: int
    node: str
    incarnation: int
    generation: int
    configuration_version: int
    records: list[TargetRecord]
    client_routes: list[str]
    features: int = 0
    directory_digest: int = 0
    crashes: list[Crash] = []
    crash_digest: int = 0


class Attempt(msgspec.Struct, array_like=True, tag=1):
    """Attempt to run a request at one target.

    Attributes
    ----------
    number : int
        Number of the attempt, unique for the sender; increases.
    instance : str
        The only target that may run the request.
    previous_offers : int
        Number of targets that the request was offered to before.
    remaining_ms : int
        Time until the deadline of the request, in milliseconds.
    soft_deadline_ms : int
        Time until the latency goal of the route is missed, in milliseconds;
        may be negative. Attempts with less time are served first.
    rank : float
        Priority of the request; 0 is the highest.
    idempotent : bool
        Whether the request may run more than once.
    route : str
        Name of the route.
    request_id : bytes
        Identifier of the client's request.
    head, body : bytes
        Request line and headers without the terminating empty line; body,
        which may be another object that holds bytes.
    digest : int
        Digest by which repeats of the request are recognised; 0 if the
        sender is of an earlier build.
    is_suspect : bool
        Whether the sender knows that a target has crashed under the request.
    """

    number: int
    instance: str
    previous_offers: int
    remaining_ms: int
    soft_deadline_ms: int
    rank: float
    idempotent: bool
    route: str
    request_id: bytes
    head: bytes
    body: bytes
    digest: int = 0
    is_suspect: bool = False


class Cancel(msgspec.Struct, array_like=True, tag=2):
    """Cancellation of an attempt; its sender ignores the result."""

    number: int


class Result(msgspec.Struct, array_like=True, tag=3):
    """Outcome of an attempt.

    Attributes
    ----------
    number : int
        Number of the attempt.
    outcome, reason : int
        Values of `Outcome` and `Reason`.
    status : int
        HTTP status of the answer; 0 without an answer.
    head, body : bytes
        Header lines and body of the answer; the latter may be another object
        that holds bytes.
    load : Load or None
        Load of the target when the attempt ended.
    """

    number: int
    outcome: int
    reason: int
    status: int
    head: bytes
    body: bytes
    load: Load | None


class Ping(msgspec.Struct, array_like=True, tag=4):
    """Liveness check of the peer.

    Attributes
    ----------
    configuration_version : int
        Version of the sender's configuration.
    oldest_pending : int
        Smallest attempt number that still waits for a result; the receiver
        may discard the results of attempts with smaller numbers.
    """

    configuration_version: int
    oldest_pending: int


class Pong(msgspec.Struct, array_like=True, tag=5):
    """Reply to `Ping`.

    Attributes
    ----------
    configuration_version : int
        Version of the sender's configuration; -1 for none.
    load : Load or None
        Load of the sender's target; None without a target.
    directory_digest : int
        Digest of all records that the sender knows; 0 for none.
    crash_digest : int
        Digest of all facts about crashes that the sender knows; 0 for none.
    """

    configuration_version: int
    load: Load | None
    directory_digest: int = 0
    crash_digest: int = 0


class Announcement(msgspec.Struct, array_like=True, tag=6):
    """Target records that changed."""

    records: list[TargetRecord]


class ConfigurationRequest(msgspec.Struct, array_like=True, tag=7):
    """Request for the configuration of the receiver."""


class ConfigurationBody(msgspec.Struct, array_like=True, tag=8):
    """Reply to `ConfigurationRequest`: the document as read from the store."""

    body: bytes


class Leaving(msgspec.Struct, array_like=True, tag=9):
    """The sender is shutting down and accepts no new attempts."""


class RouteCosts(msgspec.Struct, array_like=True, tag=10):
    """Calls that requests to a service cause in their whole call tree.

    Attributes
    ----------
    service : str
        The service that receives the requests.
    costs_by_route : dict of str to dict of str to float
        Mean number of calls per request, by route of the request and called
        service; includes the request itself.
    """

    service: str
    costs_by_route: dict[str, dict[str, float]]


class Demand(msgspec.Struct, array_like=True, tag=11):
    """Rate of calls that the sender expects its clients' requests to cause.

    Attributes
    ----------
    offered_per_s, admitted_per_s : float
        Calls per second to the service of the receiver's target, before
        and after load shedding at the sender.
    """

    offered_per_s: float
    admitted_per_s: float


class DirectoryDigests(msgspec.Struct, array_like=True, tag=13):
    """Question for the records that differ from those of the sender.

    Attributes
    ----------
    digests : list of int, shape (DIGEST_RANGES,)
        Digest of the records in each hash range.
    """

    digests: list[int]


class DirectoryPart(msgspec.Struct, array_like=True, tag=14):
    """Answer to `DirectoryDigests`.

    Attributes
    ----------
    ranges : list of int
        Hash ranges that differ, or the first of them.
    records : list of TargetRecord
        All records of the sender in these ranges.
    """

    ranges: list[int]
    records: list[TargetRecord]


class LoadReport(msgspec.Struct, array_like=True, tag=15):
    """Answer to `Demand`.

    Not a `Pong`, which would say that all earlier frames have been read.

    Attributes
    ----------
    load : Load or None
        Load of the sender's target, with the demand of all entry nodes.
    """

    load: Load | None


class Crashes(msgspec.Struct, array_like=True, tag=16):
    """Facts about crashes of targets.

    Attributes
    ----------
    crashes : list of Crash
        The facts.
    is_complete : bool
        Whether these are all facts that the sender knows. The receiver
        answers with what is missing.
    """

    crashes: list[Crash]
    is_complete: bool = False


Frame = (
    Hello
    | Attempt
    | Cancel
    | Result
    | Ping
    | Pong
    | Announcement
    | ConfigurationRequest
    | ConfigurationBody
    | Leaving
    | RouteCosts
    | Demand
    | DirectoryDigests
    | DirectoryPart
    | LoadReport
    | Crashes
)

# Other objects that hold bytes are encoded as bytes.
_ENCODER = msgspec.msgpack.Encoder(enc_hook=bytes)


def encode(frame):
    """Return a message as a frame, with its length prefix."""
    payload = _ENCODER.encode(frame)
    return LENGTH.pack(len(payload)) + payload


def encode_parts(frame):
    """Return a message with a body as a frame in parts.

    A large body is a part by itself, the object that the message has, so that
    it is not copied.

    Parameters
    ----------
    frame : Attempt or Result
        The message.

    Returns
    -------
    tuple of (bytes or bytearray)
        Parts whose concatenation is the frame.
    """
    body = frame.body
    if len(body) < MIN_SEPARATE_BODY_BYTES:
        return (encode(frame),)
    tail = _encode_fields_after_body(frame)
    without_body = msgspec.structs.replace(frame, body=b'')
    payload = _ENCODER.encode(without_body)
    head = payload[: len(payload) - len(tail) - len(_EMPTY_BODY)]
    head += _BODY_PREFIX.pack(_BIN_32, len(body))
    length = len(head) + len(body) + len(tail)
    return LENGTH.pack(length) + head, body, tail


def _encode_fields_after_body(frame):
    names = frame.__struct_fields__
    after_body = names[names.index('body') + 1 :]
    return b''.join(
        _ENCODER.encode(getattr(frame, name)) for name in after_body
    )
