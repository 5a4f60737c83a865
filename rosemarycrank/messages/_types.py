"""Typed messages of the call path.

Fields named ``*_s`` are seconds, ``*_ms`` milliseconds. Addresses are
``host:port`` of a node's messaging socket.
"""

import enum
import math

import attrs

from rosemarycrank.messages import _codec


@attrs.frozen
class CallContext:
    """What travels with a call down the graph.

    Attributes
    ----------
    rank : int
        Order of shedding; 0 is shed last.
    shed_hash : float
        Hash of the client request in [0, 1).
    allowance : int
        Retries lent to whoever runs the call.
    depth : int
        Calls above this one.
    """

    rank: int = 0
    shed_hash: float = 0.0
    allowance: int = 0
    depth: int = 0


class RevokeState(enum.Enum):
    """What a target's node says about a revoked attempt."""

    COMPLETE = 'complete'
    RUNNING = 'running'
    REVOKED = 'revoked'


@_codec.register
@attrs.frozen
class Hello:
    """Asks a node for its incarnation and clock tick."""


@_codec.register
@attrs.frozen
class HelloReply:
    """Answer to `Hello`."""

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

    ``target_tick`` is the target's own clock as the entry node last heard
    it; the target refuses an attempt whose tick is past its validity, so
    the set of revoked attempts that it has to remember is bounded.
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

    ``result`` is the number of a result code. ``body`` is whole whenever
    the outcome is complete. ``upstream_reached`` tells whether the upstream
    was sent the request, even if it then refused it. ``threshold_below``
    is the lowest ``rank + shed_hash`` that is shed by the services that
    the request needed further down.
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
    """Asks the target's node to make sure that an attempt never runs.

    ``silent`` tells that nothing was heard on the connection since the
    attempt was sent, so the answer is to come on a new one.
    """

    attempt_id: str
    target_incarnation: int
    silent: bool = False


@_codec.register
@attrs.frozen
class RevokeReply:
    """Answer to `Revoke`; ``reply`` is the kept answer when complete."""

    attempt_id: str
    state: RevokeState
    incarnation: int
    reply: AttemptReply | None = None


@_codec.register
@attrs.frozen
class Cancel:
    """Tells the target's node that nobody waits for an attempt."""

    attempt_id: str


@_codec.register
@attrs.frozen
class KeyedCall:
    """A non-idempotent client request, passed on to its key's owner."""

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
    """The owner's final answer to a `KeyedCall`."""

    call_id: str
    result: int
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    retry_after_s: float = 0.0
    allowance_left: int = 0
