"""Guarantees for every request, checked on what clients and targets see."""

import attrs

#: Seconds after a target's draining was acknowledged in which waiting
#: requests may still start.
MAX_DRAIN_S = 2.0

#: Maximum seconds from the deadline of a request to its answer.
MAX_LATENESS_S = 1.5

#: Statuses that guarantee that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class SentRequest:
    """A request that a client sent, and its result.

    Attributes
    ----------
    request_id, prefix : str
        Identifier, and path prefix of the route.
    ip : str
        Address of the entry node.
    sent_at, ended_at : float
        Seconds of the event loop's clock; `ended_at` is 0 while the request
        is in flight.
    status : int
        HTTP status; 0 if the connection was closed without an answer.
    body : str
        Body of the answer.
    signed : bool
        Whether the answer carries a signature of the target.
    """

    request_id: str
    prefix: str
    ip: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ''
    signed: bool = False


def find_violations(
    request, runs, services, deadline_s, paused_s=0.0, planned_only=False
):
    """Return a line for each guarantee that a request violates.

    Parameters
    ----------
    request : SentRequest
        The request.
    runs : int
        Number of runs at all targets.
    services : set of str
        Services to which some configuration routed the prefix.
    deadline_s : float
        Deadline that the client set, in seconds after the request was sent.
    paused_s : float, default=0.0
        Seconds during which the entry node was paused and could not answer
        while the request was in flight; they extend the deadline.
    planned_only : bool, default=False
        Whether there were planned operations only, which must not
        interrupt requests.

    Returns
    -------
    list of str
        The violations, each with its kind before a colon.
    """
    label = (
        f'{request.request_id} ({request.prefix} at {request.ip}, '
        f'sent {request.sent_at:.2f})'
    )
    violations = []
    if request.status == 200:
        if not request.body.startswith(f'{request.request_id}@'):
            violations.append(f'mixed: {label} got {request.body!r}')
        if not request.signed:
            violations.append(f'mixed: {label} has no signature')
        if not runs:
            violations.append(f'mixed: {label} got status 200 without a run')
        if request.body.rpartition('@')[2] not in services:
            violations.append(
                f'route: {label} ran at the wrong service: {request.body!r}'
            )
    if request.status in NOT_RUN_STATUSES and runs:
        violations.append(
            f'refused: {label} got {request.status}, but ran {runs} times'
        )
    if request.prefix == 'pay' and runs > 1:
        violations.append(f'twice: {label} ran {runs} times')
    if request.status in (400, 404):
        violations.append(f'denied: {label} got {request.status}')
    elapsed_s = request.ended_at - request.sent_at
    if elapsed_s > deadline_s + paused_s + MAX_LATENESS_S:
        violations.append(f'late: {label} took {elapsed_s:.1f} s')
    if planned_only and request.ended_at and not request.status and runs:
        violations.append(f'lost: {label} ran, but its connection was closed')
    return violations


def overlap_s(span, other_span):
    """Return the overlap of two spans ``(start, end)``, in seconds."""
    return max(0.0, min(span[1], other_span[1]) - max(span[0], other_span[0]))


def runs_after_drain(run_starts, drain_acked_at):
    """Return the requests that started too long after a target's draining.

    Parameters
    ----------
    run_starts : list of (float, str)
        Start time and identifier of each run at the target.
    drain_acked_at : float
        Time at which the target's draining was acknowledged.

    Returns
    -------
    list of str
        Identifiers of the requests that started more than `MAX_DRAIN_S`
        later.
    """
    return [
        request_id
        for started_at, request_id in run_starts
        if started_at > drain_acked_at + MAX_DRAIN_S
    ]
