"""Calls from other nodes to the owners of keys.

A call is resent until its answer arrives, because messages may be lost.
The owner detects duplicates by the identifier of the call and by the key.
The identifier begins with the incarnation of the owner that the call is
meant for, so that a late copy never runs at a later incarnation.
"""

import functools
import math

import attrs

from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

_MAX_RESEND_DELAY_S = 2.0


@attrs.define(eq=False)
class _Call:
    address: str
    send: object
    callback: object
    resend_delay_s: float


class Forwarder:
    """Forwards sends to the owners of their keys.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    resend_s : float
        Delay of the first resend, in seconds; it doubles with each
        resend, up to 2 s.

    Attributes
    ----------
    latest_run_end_at : float
        Latest deadline of forwarded calls, in seconds of the local clock.
    """

    def __init__(self, context, resend_s):
        self._context = context
        self._resend_s = resend_s
        self._by_call_id = {}
        self.latest_run_end_at = math.inf

    def __len__(self):
        return len(self._by_call_id)

    def forward(self, address, incarnation, send, callback):
        """Forward a send, and resend it until it has its answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the owner.
        incarnation : int
            Incarnation of the owner.
        send : Send
            Send to forward.
        callback : callable
            Called at most once with the owner's `kernel.Answer`.

        Returns
        -------
        str
            Identifier of the call, for `abandon`.
        """
        nonce = self._context.random.getrandbits(64)
        call_id = f'{incarnation:016x}-{nonce:016x}'
        self._by_call_id[call_id] = _Call(
            address, send, callback, self._resend_s
        )
        self._context.count('ledger_forwarded')
        self._send(call_id, None)
        return call_id

    def is_waiting(self, call_id):
        """Return whether a call still waits for its answer."""
        return call_id in self._by_call_id

    def abandon(self, call_id):
        """Stop resending a call, and ignore its answer."""
        self._by_call_id.pop(call_id, None)

    def on_reply(self, reply):
        """Pass the answer of an owner to the callback of its call.

        Parameters
        ----------
        reply : rosemarycrank.messages.KeyedReply
            The answer; it is ignored if no call waits for it.
        """
        call = self._by_call_id.pop(reply.call_id, None)
        if call is not None:
            call.callback(_to_answer(reply))

    def _send(self, call_id, _now):
        call = self._by_call_id.get(call_id)
        if call is None:
            return
        if not call.send.is_open:
            self.abandon(call_id)
            return
        deadline = min(call.send.deadline, self.latest_run_end_at)
        remaining_s = deadline - self._context.now
        self._context.send(
            call.address, _to_message(call_id, call.send, remaining_s)
        )
        self._context.timers.after(
            call.resend_delay_s, functools.partial(self._send, call_id)
        )
        call.resend_delay_s = min(2 * call.resend_delay_s, _MAX_RESEND_DELAY_S)


def intended_incarnation(call_id):
    """Return the incarnation of the owner that a call is meant for.

    Parameters
    ----------
    call_id : str
        Identifier of the call.

    Returns
    -------
    int or None
        The incarnation; None if the identifier is malformed.
    """
    try:
        return int(call_id.partition('-')[0], 16)
    except ValueError:
        return None


def to_reply(call_id, answer):
    """Return the message that carries an answer.

    Parameters
    ----------
    call_id : str
        Identifier of the call.
    answer : kernel.Answer
        The owner's answer.

    Returns
    -------
    rosemarycrank.messages.KeyedReply
        The message.
    """
    return messages.KeyedReply(
        call_id,
        answer.result.number,
        answer.status,
        answer.headers,
        answer.body,
        answer.retry_after_s,
        answer.allowance_left,
    )


def _to_answer(reply):
    return kernel.Answer(
        results.from_message(reply.result),
        reply.status,
        reply.headers,
        reply.body,
        reply.retry_after_s,
        allowance_left=reply.allowance_left,
    )


def _to_message(call_id, send, remaining_s):
    if send.is_query:
        return messages.KeyedCall(
            call_id, send.key, '', '', '', {}, b'', remaining_s, True
        )
    request = send.request
    return messages.KeyedCall(
        call_id,
        send.key,
        request.service,
        request.method,
        request.path,
        request.headers,
        request.body,
        remaining_s,
        context=request.context,
    )
