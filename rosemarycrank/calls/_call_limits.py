"""Limits that a node sets for a call: rank, depth, deadline and retries."""

import hashlib

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank import messages


@attrs.frozen
class CallLimits:
    """Context, deadline and retry allowance of a call.

    ``deadline`` is in seconds of the local clock.
    """

    context: messages.CallContext
    deadline: float
    allowance: _allowance.Allowance


def limits_of_client_call(request, request_class, now):
    """Return the limits of a call for a client.

    Nothing of the context is taken from the client.

    Parameters
    ----------
    request : rosemarycrank.kernel.ClientRequest
        Request of a client.
    request_class : rosemarycrank.bundles.RequestClass
        Class of the request.
    now : float
        Current time in seconds.

    Returns
    -------
    CallLimits
        The limits.
    """
    return CallLimits(
        context=messages.CallContext(
            rank=request_class.rank, shed_hash=_shed_hash(request), depth=0
        ),
        deadline=_deadline(request, request_class, now),
        allowance=_allowance.Allowance(request_class.allowance),
    )


def limits_of_nested_call(request, request_class, parent, now):
    """Return the limits of a call that the local upstream makes.

    Parameters
    ----------
    request : rosemarycrank.kernel.ClientRequest
        Request of the local upstream.
    request_class : rosemarycrank.bundles.RequestClass
        Class of the request.
    parent : AcceptedAttempt
        The running attempt for which the call is made.
    now : float
        Current time in seconds.

    Returns
    -------
    CallLimits
        The limits; the allowance is that of the parent.
    """
    return CallLimits(
        # A nested call is at least as important as its parent request.
        context=messages.CallContext(
            rank=min(request_class.rank, parent.ticket.rank),
            shed_hash=parent.ticket.shed_hash,
            depth=parent.message.context.depth + 1,
        ),
        deadline=min(
            _deadline(request, request_class, now), parent.ticket.deadline
        ),
        allowance=parent.allowance,
    )


def _deadline(request, request_class, now):
    return now + min(
        request_class.deadline_s,
        request.deadline_s or request_class.deadline_s,
    )


def _shed_hash(request):
    """Return a number in [0, 1) that is stable for a client request.

    Repeated sends with the same key get the same number.
    """
    identity = request.key or request.request_id
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2.0**64
