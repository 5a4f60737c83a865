"""What has to hold of every request, from what clients and targets see."""

import attrs

#: Seconds after an acknowledged leaving in which what waits may still start.
DRAIN_S = 2.0

#: Seconds beyond a request's own time within which it has to be answered.
LATE_S = 1.5

#: Statuses that promise that a request has not run.
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Sent:
    """A request of a client, and how it ended.

    Attributes
    ----------
    request_id, prefix : str
        Identifier, and what was asked.
    ip : str
        Entry node.
    sent_at, ended_at : float
        Seconds of the loop's clock; `ended_at` is 0 while it is under way.
    status : int
        Status; 0 if the connection ended without one.
    body : str
        Body of the answer.
    signed : bool
        Whether it bears the target's signature.
    """

    request_id: str
    prefix: str
    ip: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ''
    signed: bool = False


def broken_by(
    sent, runs, services, deadline_s, paused_s=0.0, planned_only=False
):
    """Return a line for each promise that a request shows to be broken.

    Parameters
    ----------
    sent : Sent
        The request.
    runs : int
        How often targets ran it.
    services : set of str
        Services to which any configuration allowed it to go.
    deadline_s : float
        Seconds that its client waited.
    paused_s : float, default=0.0
        Seconds of these in which its entry node stood still, as nothing
        answers then.
    planned_only : bool, default=False
        Whether there was planned work only, which must not cut requests.

    Returns
    -------
    list of str
        The lines.
    """
    name = f'{sent.request_id} ({sent.prefix} at {sent.ip})'
    lines = []
    if sent.status == 200:
        if not sent.body.startswith(f'{sent.request_id}@'):
            lines.append(f'mixed: {name} got {sent.body!r}')
        if not sent.signed:
            lines.append(f'mixed: {name} has no signature')
        if not runs:
            lines.append(f'mixed: {name} was answered and did not run')
        if sent.body.rpartition('@')[2] not in services:
            lines.append(f'route: {name} ran elsewhere: {sent.body!r}')
    if sent.status in NOT_RUN and runs:
        lines.append(f'refused: {name} got {sent.status}, ran {runs} times')
    if sent.prefix == 'pay' and runs > 1:
        lines.append(f'twice: {name} ran {runs} times')
    if sent.status in (400, 404):
        lines.append(f'denied: {name} got {sent.status}')
    took_s = sent.ended_at - sent.sent_at
    if took_s > deadline_s + paused_s + LATE_S:
        lines.append(f'late: {name} took {took_s:.1f} s')
    if planned_only and sent.ended_at and not sent.status and runs:
        lines.append(f'lost: {name} ran and its connection was closed')
    return lines


def overlap_s(one, other):
    """Return the seconds that two spans ``(start, end)`` have in common."""
    return max(0.0, min(one[1], other[1]) - max(one[0], other[0]))


def late_runs(started, left_at):
    """Return the requests that began after a target had left.

    Parameters
    ----------
    started : list of (float, str)
        When requests began at the target, and their identifiers.
    left_at : float
        When its leaving was acknowledged.
    """
    return [request_id for at, request_id in started if at > left_at + DRAIN_S]
