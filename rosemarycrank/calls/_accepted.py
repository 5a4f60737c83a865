"""Attempts that a target's node has accepted and not yet answered."""

import attrs

from rosemarycrank import admission
from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _crash_suspects
from rosemarycrank.calls import _path_levels
from rosemarycrank import messages


@attrs.define(eq=False)
class AcceptedAttempt:
    """An attempt that is queued or running at the local upstream.

    ``token`` identifies the attempt to the local upstream, which sends the
    token back with its nested calls. ``started_at`` is the local time in
    seconds at which the upstream was called; None while the attempt is
    queued. ``threshold_below`` is the lowest shedding threshold among the
    services that the upstream has called for this attempt. ``digest`` stands
    for the request and all that are like it.
    """

    sender: str
    message: messages.Attempt
    ticket: admission.Ticket
    token: str
    allowance: _allowance.Allowance
    started_at: float | None = None
    cancelled: bool = False
    threshold_below: float = _path_levels.NO_THRESHOLD
    digest: str = ''


def make_accepted(context, sender, message):
    """Return an attempt for the admission controller to decide on.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel, whose random source draws the token.
    sender : str
        ``host:port`` of the entry node.
    message : rosemarycrank.messages.Attempt
        The attempt as received.

    Returns
    -------
    AcceptedAttempt
        The attempt, which is neither queued nor running yet.
    """
    return AcceptedAttempt(
        sender=sender,
        message=message,
        ticket=admission.Ticket(
            attempt_id=message.attempt_id,
            rank=message.context.rank,
            shed_hash=message.context.shed_hash,
            deadline=context.now + message.remaining_s,
        ),
        token=f'{context.random.getrandbits(128):032x}',
        allowance=_allowance.Allowance(message.context.allowance),
        digest=_crash_suspects.digest_of(message),
    )
