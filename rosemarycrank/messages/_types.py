"""Messages of the call path.

Fields named ``*_s`` are in seconds. ``tick`` is the current time in seconds
of the monotonic clock of the node that sends the message, and
``incarnation`` the number that identifies its current run.
"""

import enum
import math

import attrs

from rosemarycrank.messages import _codec


@attrs.frozen
class CallContext:
    """Context that a call passes on to the calls that are made for it.

    Attributes
    ----------
    rank : int
        Rank of the request in the order of shedding; 0 is shed last.
    shed_hash : float
        Hash of the client request in [0, 1). Of the requests of one rank,
        those with the highest hashes are shed first.
    allowance : int
        Number of retries delegated to the node that runs the call.
    depth : int
        Number of calls between the client request and this call.
    """

    rank: int = 0
    shed_hash: float = 0.0
    allowance: int = 0
    depth: int = 0


class RevokeState(enum.Enum):
    """State of an attempt that a target's node was asked to revoke.

    COMPLETE: its final answer was sent. RUNNING: it was accepted and has none
    yet. REVOKED: it has not run, and never will.
    """

    COMPLETE = 'complete'
    RUNNING = 'running'
    REVOKED = 'revoked'


@_codec.register
@attrs.frozen
class Hello:
    """Request for a node's incarnation, clock and target."""


@_codec.register
@attrs.frozen
class HelloReply:
    """Reply to `Hello`.

    ``service`` and ``partner`` are empty if no upstream is announced.
    ``accepting`` tells whether the target accepts attempts.
    """

    incarnation: int
    tick: float
    service: str
    failure_domain: str
    partner: str
    accepting: bool


@_codec.register
@attrs.frozen
class Attempt:
    """One attempt at a call, from an entry node to a target's node.

    ``target_tick`` is the tick that the entry node last received from the
    target. The target refuses an attempt whose tick is too old. It therefore
    has to remember a revoked attempt only for a limited time.
    """

    attempt_id: str
    request_id: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    context: CallContext
    remaining_s: float
    target_incarnation: int
    target_tick: float
    idempotent: bool = True


@_codec.register
@attrs.frozen
class AttemptReply:
    """Final answer to an `Attempt`.

    ``result`` is the number of a result code. ``body`` is complete if the
    outcome is complete. ``allowance_left`` is the number of delegated retries
    that were not spent. ``upstream_reached`` tells whether the request was
    sent to the upstream, even if the upstream refused it.

    ``shed_rank`` and ``shed_fraction`` are the current shed level of the
    target, ``in_flight`` and ``limit`` its load. ``threshold_below`` is the
    lowest ``rank + shed_hash`` at which one of the services that were called
    for this request sheds.
    """

    attempt_id: str
    result: int
    incarnation: int
    tick: float
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    allowance_left: int = 0
    retry_after_s: float = 0.0
    shed_rank: int = 1 << 30
    shed_fraction: float = 0.0
    in_flight: int = 0
    limit: int = 0
    upstream_reached: bool = False
    threshold_below: float = math.inf


@_codec.register
@attrs.frozen
class Revoke:
    """Request to the target's node to ensure that an attempt never runs.

    ``silent`` is true if the sender has received nothing from that node since
    it sent the attempt. The node then replies on a new connection, since the
    old one may have lost messages.
    """

    attempt_id: str
    target_incarnation: int
    silent: bool = False


@_codec.register
@attrs.frozen
class RevokeReply:
    """Reply to `Revoke`.

    If the state is COMPLETE, ``reply`` is the cached answer, or None if it
    was evicted.
    """

    attempt_id: str
    state: RevokeState
    incarnation: int
    reply: AttemptReply | None = None


@_codec.register
@attrs.frozen
class Cancel:
    """Notifies the target's node that no caller waits for an attempt."""

    attempt_id: str


@_codec.register
@attrs.frozen
class CrashMark:
    """Tells that an upstream crashed during a run of a request.

    ``digest`` stands for the request and all that are like it. If ``cleared``
    is true, the request has run well since, and this crash does not count
    against it any more.
    """

    digest: str
    crash_id: str
    cleared: bool = False


@_codec.register
@attrs.frozen
class KeyedCall:
    """A non-idempotent client request, forwarded to the owner of its key.

    If ``query_only`` is true, the owner only looks up the outcome of the key
    and does not run a request.
    """

    call_id: str
    key: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    remaining_s: float
    query_only: bool = False
    context: CallContext = CallContext()


@_codec.register
@attrs.frozen
class KeyedReply:
    """Final answer of the owner of a key to a `KeyedCall`."""

    call_id: str
    result: int
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    retry_after_s: float = 0.0
    allowance_left: int = 0
