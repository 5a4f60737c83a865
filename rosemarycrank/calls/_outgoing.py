"""Attempts of calls from this node at targets, from their start to the end."""

import itertools

import attrs

from rosemarycrank.calls import _call
from rosemarycrank.calls import _cancellations
from rosemarycrank.calls import _refusals
from rosemarycrank import kernel
from rosemarycrank import results


@attrs.define(eq=False)
class OutgoingAttempt:
    """An attempt from this node at a target, in flight or about to be sent.

    ``started_at`` is the local time in seconds at which the target was
    chosen. Until the clock of the target's node is known, ``sent`` is False.
    ``check_delay_s`` is the time without a reply after which the target is
    asked to revoke the attempt.
    """

    attempt_id: str
    call: _call.Call
    target: object
    started_at: float
    check_delay_s: float
    delegated_retries: int = 0
    unanswered_revokes: int = 0
    check_timer: object = None
    sent: bool = False
    incarnation: int = 0


class OutgoingAttempts:
    """Open attempts, and what their end means for their calls.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    balancer : rosemarycrank.balancing.Balancer
        Balancer, which learns of each attempt's start and end.
    on_ended : callable
        Called with the call, the answer and the reply of each attempt that
        ended and was not abandoned. The reply is None if there was none.
    """

    def __init__(self, context, balancer, on_ended):
        self.context = context
        self.balancer = balancer
        self._on_ended = on_ended
        self._by_id = {}
        self._awaiting_clock_by_address = {}
        self._sequence = itertools.count(1)
        self._cancellations = _cancellations.Cancellations(context)

    def __len__(self):
        return len(self._by_id)

    def open(self, call, target, check_delay_s):
        """Open an attempt.

        Parameters
        ----------
        call : Call
            The call, which has no other open attempt.
        target : rosemarycrank.balancing.Target
            The target.
        check_delay_s : float
            Time without a reply, in seconds, after which the target is asked
            to revoke the attempt.

        Returns
        -------
        OutgoingAttempt
            The attempt, which is not sent yet.
        """
        number = next(self._sequence)
        outgoing = OutgoingAttempt(
            attempt_id=f'{self.context.incarnation:016x}-{number}',
            call=call,
            target=target,
            started_at=self.context.now,
            check_delay_s=check_delay_s,
        )
        call.attempt = outgoing
        self._by_id[outgoing.attempt_id] = outgoing
        self.balancer.record_sent(target, self.context.now)
        return outgoing

    def is_open(self, outgoing):
        """Return whether an attempt has not ended."""
        return outgoing.attempt_id in self._by_id

    def find(self, attempt_id):
        """Return the open attempt with a given ID, or None."""
        return self._by_id.get(attempt_id)

    def find_at(self, address, attempt_id):
        """Return an open attempt if it is at the node that replied.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        attempt_id : str
            ID of the attempt.

        Returns
        -------
        OutgoingAttempt or None
            None if no such attempt is open.
        """
        outgoing = self._by_id.get(attempt_id)
        if outgoing is None:
            self._cancellations.confirm(attempt_id)
            return None
        return outgoing if outgoing.target.address == address else None

    def open_at(self, address):
        """Return the list of the open attempts at a node."""
        return [
            outgoing
            for outgoing in self._by_id.values()
            if outgoing.target.address == address
        ]

    # Attempts that wait for the clock of their target's node

    def await_clock(self, outgoing):
        """Add an attempt to those that wait for the clock of a node."""
        awaiting_clock = self._awaiting_clock_by_address.setdefault(
            outgoing.target.address, []
        )
        awaiting_clock.append(outgoing)

    def take_awaiting_clock(self, address):
        """Remove and return the attempts that wait for a node's clock."""
        return self._awaiting_clock_by_address.pop(address, [])

    def awaiting_clock_count(self):
        """Return the number of attempts that wait for a node's clock."""
        return sum(map(len, self._awaiting_clock_by_address.values()))

    # Ends of attempts

    def end_with_reply(self, outgoing, reply):
        """End an attempt that got a reply.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An open attempt.
        reply : rosemarycrank.messages.AttemptReply
            The reply.
        """
        call = outgoing.call
        self._close(outgoing, reply)
        call.allowance.return_unspent(
            min(reply.allowance_left, max(0, outgoing.delegated_retries))
        )
        call.upstream_attempts += reply.upstream_reached
        self._on_ended(call, _answer_from(reply), reply)

    def end_as_refused(self, outgoing, result):
        """End an attempt that has not run and never will.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An open attempt.
        result : rosemarycrank.results.Result
            Reason of the refusal, whose outcome is "not run".
        """
        self._close(outgoing, None)
        outgoing.call.allowance.return_unspent(outgoing.delegated_retries)
        answer = _refusals.make_refusal(self.context, result)
        self._on_ended(outgoing.call, answer, None)

    def end_as_lost(self, outgoing):
        """End a sent attempt whose outcome cannot be learned any more.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An open attempt.
        """
        self.abandon(outgoing)
        answer = kernel.Answer(results.Result.ANSWER_LOST)
        self._on_ended(outgoing.call, answer, None)

    def abandon(self, outgoing):
        """Give up an attempt, and tell its target to cancel it.

        The retries delegated to a sent attempt count as spent.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An open attempt.
        """
        self._close(outgoing, None)
        if outgoing.sent:
            outgoing.call.may_have_run = True
            self._cancellations.send(
                outgoing.target.address, outgoing.attempt_id
            )

    def _close(self, outgoing, reply):
        outgoing.call.attempt = None
        del self._by_id[outgoing.attempt_id]
        outgoing.check_timer.cancel()
        if not outgoing.sent:
            self._stop_awaiting_clock(outgoing)
        now = self.context.now
        self.balancer.record_finished(
            outgoing.target, now - outgoing.started_at, reply, now
        )

    def _stop_awaiting_clock(self, outgoing):
        address = outgoing.target.address
        awaiting_clock = self._awaiting_clock_by_address.get(address, [])
        if outgoing in awaiting_clock:
            awaiting_clock.remove(outgoing)
            if not awaiting_clock:
                del self._awaiting_clock_by_address[address]


def _answer_from(reply):
    return kernel.Answer(
        result=results.from_message(reply.result),
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
        retry_after_s=reply.retry_after_s,
    )
