"""Events that drivers pass to the kernel, and effects that they execute.

Times are in seconds. Identifiers are opaque strings, chosen by the sender
of the request that they identify.
"""

import attrs

from rosemarycrank import results

# Events


@attrs.frozen
class ClientRequest:
    """A complete HTTP request from a client or from the local upstream.

    ``deadline_s`` is the time that the client allows for the request, or
    None. ``key`` is the idempotency key, or an empty string. ``token`` is
    the in-flight token that the local upstream copied from the request that
    it is serving; it is empty for a request from a client.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: dict
    body: bytes
    deadline_s: float | None = None
    key: str = ''
    token: str = ''


@attrs.frozen
class ClientGone:
    """A client closed its connection before it got its answer."""

    request_id: str


@attrs.frozen
class Received:
    """A message from another node."""

    sender: str
    message: object


@attrs.frozen
class SendFailed:
    """A message could not be sent; no part of it has left this node."""

    address: str
    message: object


@attrs.frozen
class PeerLost:
    """The connection to a node was closed; messages on it may be lost."""

    address: str


@attrs.frozen
class UpstreamAnswer:
    """Result of an `UpstreamCall`.

    ``result`` is OK for a complete answer, CONNECT_FAILED if nothing was
    sent, UPSTREAM_REFUSED if the upstream states that it did not run the
    request, or one of the codes whose outcome is unknown. ``process_ended``
    tells that the process of the upstream has ended during the run.
    """

    token: str
    result: results.Result
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''
    retry_after_s: float = 0.0
    process_ended: bool = False


@attrs.frozen
class UpstreamAnnounced:
    """The local upstream announced its service and address.

    It repeats the announcement periodically. 0 in ``slots`` or
    ``max_connections`` means that the upstream gave no number.
    """

    service: str
    address: str
    partner: str = ''
    slots: int = 0
    max_connections: int = 0


@attrs.frozen
class UpstreamWithdrawn:
    """The local upstream withdrew its announcement."""


@attrs.frozen
class UpstreamReport:
    """Load and health as reported by the local upstream.

    The report may be stale or wrong.
    """

    in_flight: int
    slots: int
    healthy: bool


@attrs.frozen
class PlatformReply:
    """Answer of the platform to a `PlatformRequest`.

    ``error`` is empty on success. ``outcome_unknown`` is true if a write
    may or may not have taken effect.
    """

    operation_id: str
    error: str = ''
    outcome_unknown: bool = False
    value: object = None


@attrs.frozen
class DrainRequested:
    """An operator or a signal requests that the node drains.

    If ``stop`` is true, the process exits once the node is drained.
    """

    stop: bool = False


@attrs.frozen
class PartnerLeaveRequested:
    """An operator ends a partner at this node, without a new bundle."""

    partner: str


# Effects


@attrs.frozen
class Answer:
    """Final answer to a client request.

    ``upstream_attempts`` is the number of attempts that reached an
    upstream, ``allowance_left`` the number of delegated retries that were
    not spent.
    """

    result: results.Result
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''
    retry_after_s: float = 0.0
    upstream_attempts: int = 0
    allowance_left: int = 0


@attrs.frozen
class Reply:
    """Send a waiting client its final answer."""

    request_id: str
    answer: Answer


@attrs.frozen
class Send:
    """Send a message to a node's address; it may be lost without an error."""

    address: str
    message: object


@attrs.frozen
class ResetPeer:
    """Close the connection to a node; the next message opens a new one."""

    address: str


@attrs.frozen
class UpstreamCall:
    """Call the local upstream."""

    token: str
    address: str
    method: str
    path: str
    headers: dict
    body: bytes
    timeout_s: float


@attrs.frozen
class UpstreamCancel:
    """Tell the local upstream that no caller waits for a call any more."""

    token: str


@attrs.frozen
class PlatformRequest:
    """One operation on the platform's table service or object store.

    ``operation`` is a request of `rosemarycrank.table_service`.
    """

    operation_id: str
    operation: object


@attrs.frozen
class StopBegun:
    """A planned stop has begun.

    ``exits_at`` is the latest time of `StopNow`, in seconds of the driver's
    monotonic clock.
    """

    exits_at: float


@attrs.frozen
class StopNow:
    """Let the process exit: the planned stop is complete."""
