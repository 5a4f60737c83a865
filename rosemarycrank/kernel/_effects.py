"""Events that drivers hand to the kernel, and effects that they carry out.

Times are seconds; identifiers are opaque strings chosen by their sender.
"""

import attrs

from rosemarycrank import results

# Events


@attrs.frozen
class ClientRequest:
    """A whole HTTP request from a client or from the local upstream.

    ``token`` is the in-flight token that the local upstream copied from
    the request it is serving, or an empty string.
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
    """The connection of a waiting client is gone."""

    request_id: str


@attrs.frozen
class Received:
    """A message from another node."""

    sender: str
    message: object


@attrs.frozen
class SendFailed:
    """A message certainly never left this node."""

    address: str
    message: object


@attrs.frozen
class PeerLost:
    """The connection to a node dropped; messages on it may be lost."""

    address: str


@attrs.frozen
class UpstreamAnswer:
    """What came of an `UpstreamCall`.

    ``result`` is OK for a whole answer, CONNECT_FAILED when nothing was
    sent, UPSTREAM_REFUSED when the upstream says it did not run, or one of
    the codes whose outcome is unknown.
    """

    token: str
    result: results.Result
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b''
    retry_after_s: float = 0.0


@attrs.frozen
class UpstreamAnnounced:
    """The local upstream announced itself."""

    service: str
    address: str
    partner: str = ''
    slots: int = 0
    max_connections: int = 0


@attrs.frozen
class UpstreamWithdrawn:
    """The local upstream withdrew itself."""


@attrs.frozen
class UpstreamReport:
    """Load and health that the local upstream reports; may lag or lie."""

    in_flight: int
    slots: int
    healthy: bool


@attrs.frozen
class PlatformReply:
    """Answer of the platform to a `PlatformRequest`.

    ``error`` is empty on success. ``outcome_unknown`` is true when a write
    may or may not have taken effect.
    """

    operation_id: str
    error: str = ''
    outcome_unknown: bool = False
    value: object = None


@attrs.frozen
class DrainRequested:
    """An operator or a signal asks for a planned stop."""

    stop: bool = False


@attrs.frozen
class PartnerLeaveRequested:
    """An operator ends a partner at this node directly."""

    partner: str


# Effects


@attrs.frozen
class Answer:
    """Final answer to a client request.

    ``upstream_attempts`` counts the attempts that reached an upstream,
    ``allowance_left`` the retries that were lent and not spent.
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
    """Give a waiting client its final answer."""

    request_id: str
    answer: Answer


@attrs.frozen
class Send:
    """Send a message to a node's address; it may be lost silently."""

    address: str
    message: object


@attrs.frozen
class ResetPeer:
    """Replace the connection to a node by a new one."""

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
    """Tell the local upstream that nobody waits for a call."""

    token: str


@attrs.frozen
class PlatformRequest:
    """One operation on the platform's table service or object store.

    ``operation`` is a request of `rosemarycrank.table_service`.
    """

    operation_id: str
    operation: object


@attrs.frozen
class StopNow:
    """The planned stop is complete; the process may exit."""
