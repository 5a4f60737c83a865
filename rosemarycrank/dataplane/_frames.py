"""Messages between nodes on the data path, and their encoding.

A frame is a length of 4 bytes, big-endian, and a MessagePack array whose
first element names the kind. A connection carries the attempts of the node
that opened it and the results of the node that accepted it; notices go both
ways.
"""

import enum
import struct

import msgspec

#: Version of the frames; nodes of other versions are not talked to.
PROTOCOL_VERSION = 2

#: Largest frame, in bytes: a body at the limit and its headers.
MAX_FRAME_BYTES = 80 * 1024 * 1024

_LENGTH = struct.Struct('>I')


class FrameError(ValueError):
    """Bytes that are not a frame of this protocol."""


class Outcome(enum.IntEnum):
    """What is known of an attempt that ended."""

    COMPLETE = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Reason(enum.IntEnum):
    """Why an attempt did not end with a complete answer."""

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


class TargetRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a node says of the target on its VM.

    Attributes
    ----------
    node : str
        ``host:port`` at which the node takes attempts.
    instance : str
        Identifier of the target.
    service, failure_domain : str
        What it serves, and where.
    slots : int
        Requests that it runs at once.
    state : str
        ``ready``, ``draining`` or ``gone``.
    born_ms : int
        Start of the target in Unix milliseconds.
    sequence : int
        Number of the heartbeat from which the record was made.
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
    """How short a service is of room, as a node has heard it.

    Attributes
    ----------
    share : float
        Share of its load that has to be kept away at the front.
    age_s : float
        Seconds since the service's own nodes reported.
    """

    share: float
    age_s: float


class Load(msgspec.Struct, array_like=True):
    """How busy a target is, as its node sees it.

    Attributes
    ----------
    running, waiting, limit : int
        Attempts at work, in the queue, and the most that run at once.
    service_s : float
        Usual seconds that one takes.
    arrivals_per_s : float
        Attempts a second for which this target is the first choice.
    demand_per_s, admitted_per_s : float
        Calls a second to the service that the entry nodes expect from what
        their clients ask, and from what they let in of it.
    pressures : dict of str to Pressure
        What the node knows of services that are short of room.
    """

    running: int
    waiting: int
    limit: int
    service_s: float
    arrivals_per_s: float = 0.0
    demand_per_s: float = 0.0
    admitted_per_s: float = 0.0
    pressures: dict[str, Pressure] = {}


class Hello(msgspec.Struct, array_like=True, tag=0):
    """First frame of each side.

    Attributes
    ----------
    protocol : int
        `PROTOCOL_VERSION`.
    node : str
        ``host:port`` at which the sender takes attempts.
    incarnation : int
        Random number of this run of the sender.
    generation : int
        Number of the sender's connection to this peer; grows.
    configuration_version : int
        Version in force at the sender; -1 for none.
    records : list of TargetRecord
        All that the sender knows.
    client_routes : list of str
        Routes that clients are known to use.
    """

    protocol: int
    node: str
    incarnation: int
    generation: int
    configuration_version: int
    records: list[TargetRecord]
    client_routes: list[str]


class Attempt(msgspec.Struct, array_like=True, tag=1):
    """One try of a request at one target.

    Attributes
    ----------
    number : int
        Number of the attempt at the sender; grows.
    instance : str
        Target that may run it.
    offers : int
        Targets to which the request was offered before.
    remaining_ms : int
        Time that is left for the answer.
    urgency_ms : int
        Time until the answer loses worth; less is served first.
    rank : float
        How urgent the client's request is; 0 matters most.
    idempotent : bool
        Whether it may run more than once.
    route : str
        Name of its route.
    request_id : bytes
        Identifier of the client's request.
    head, body : bytes
        Request line and headers without the last empty line; the body.
    """

    number: int
    instance: str
    offers: int
    remaining_ms: int
    urgency_ms: int
    rank: float
    idempotent: bool
    route: str
    request_id: bytes
    head: bytes
    body: bytes


class Cancel(msgspec.Struct, array_like=True, tag=2):
    """The sender gave an attempt up; no result is wanted."""

    number: int


class Result(msgspec.Struct, array_like=True, tag=3):
    """End of an attempt."""

    number: int
    outcome: int
    reason: int
    status: int
    head: bytes
    body: bytes
    load: Load | None


class Ping(msgspec.Struct, array_like=True, tag=4):
    """Question whether the peer lives.

    Attributes
    ----------
    configuration_version : int
        Version in force at the sender.
    oldest : int
        Least number of an attempt that still waits for a result; the
        receiver may forget those below.
    """

    configuration_version: int
    oldest: int


class Pong(msgspec.Struct, array_like=True, tag=5):
    """Answer to `Ping`."""

    configuration_version: int
    load: Load | None


class Announcement(msgspec.Struct, array_like=True, tag=6):
    """Records that changed."""

    records: list[TargetRecord]


class ConfigurationWanted(msgspec.Struct, array_like=True, tag=7):
    """Question for the configuration in force."""


class ConfigurationBody(msgspec.Struct, array_like=True, tag=8):
    """The configuration in force, as it stands in the store."""

    body: bytes


class Leaving(msgspec.Struct, array_like=True, tag=9):
    """The sender is about to stop and takes no new attempts."""


class RouteCosts(msgspec.Struct, array_like=True, tag=10):
    """Calls that the requests of a service cause below it.

    Attributes
    ----------
    service : str
        The service.
    costs_by_route : dict of str to dict of str to float
        Calls by route and service.
    """

    service: str
    costs_by_route: dict[str, dict[str, float]]


class Demand(msgspec.Struct, array_like=True, tag=11):
    """Calls a second that the sender expects its clients to cause.

    Attributes
    ----------
    offered_per_s, admitted_per_s : float
        Calls to the service of the receiver's target, before any refusal
        and after it.
    """

    offered_per_s: float
    admitted_per_s: float


Frame = (
    Hello
    | Attempt
    | Cancel
    | Result
    | Ping
    | Pong
    | Announcement
    | ConfigurationWanted
    | ConfigurationBody
    | Leaving
    | RouteCosts
    | Demand
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame):
    """Return the bytes of a frame."""
    payload = _ENCODER.encode(frame)
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Return the frames that are complete.

        Raises
        ------
        FrameError
            If the bytes are not frames.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        position = 0
        end = len(buffer)
        while end - position >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, position)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f'frame of {length} bytes')
            start = position + _LENGTH.size
            if end - start < length:
                break
            try:
                payload = bytes(buffer[start : start + length])
                frames.append(_DECODER.decode(payload))
            except msgspec.MsgspecError as error:
                raise FrameError(str(error)) from error
            position = start + length
        if position:
            del buffer[:position]
        return frames
