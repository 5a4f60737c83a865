"""Sending of attempts, each with a recent clock of the target's node."""

import math

import attrs

from rosemarycrank import messages
from rosemarycrank import results

#: Timeout of the reply to a `Hello` message, in seconds. The attempt has not
#: been sent at that point, so another target is tried.
HELLO_TIMEOUT_S = 0.2


class AttemptSender:
    """Sends attempts, and asks for the clocks that they have to carry.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    outgoing_attempts : OutgoingAttempts
        Open attempts.
    checks : AttemptChecks
        Checks of attempts that get no reply.
    peer_clocks : PeerClocks
        Last received clocks of other nodes.
    attempt_timeout_s : float
        Time without a reply, in seconds, after which an attempt is checked.

    Attributes
    ----------
    latest_run_end_at : float
        Latest deadline of attempts, in seconds of the local clock.
    """

    def __init__(
        self,
        context,
        outgoing_attempts,
        checks,
        peer_clocks,
        attempt_timeout_s,
    ):
        self.context = context
        self.outgoing_attempts = outgoing_attempts
        self.checks = checks
        self.peer_clocks = peer_clocks
        self.attempt_timeout_s = attempt_timeout_s
        self.latest_run_end_at = math.inf

    def start(self, call, target):
        """Start an attempt of a call at a target.

        Parameters
        ----------
        call : Call
            The call, which has no other open attempt.
        target : rosemarycrank.balancing.Target
            The target.
        """
        outgoing = self.outgoing_attempts.open(
            call, target, self.attempt_timeout_s
        )
        clock = self.peer_clocks.find_usable(
            target, self.context.now, self.context
        )
        if clock is None:
            self._ask_for_clock(outgoing)
        else:
            self._send(outgoing, clock)

    def may_send(self):
        """Return whether an attempt that is sent now may end in time."""
        return self.context.now < self.latest_run_end_at

    def handle_hello_reply(self, sender, message):
        """Send the attempts that wait for the clock in a reply.

        Parameters
        ----------
        sender : str
            ``host:port`` of the node that replied.
        message : rosemarycrank.messages.HelloReply
            The reply.
        """
        clock = self.peer_clocks.record_clock(
            sender, message.incarnation, message.tick, self.context.now
        )
        for outgoing in self.outgoing_attempts.take_awaiting_clock(sender):
            if not self.outgoing_attempts.is_open(outgoing):
                continue
            if message.accepting and self.may_send():
                self._send(outgoing, clock)
            else:
                self.outgoing_attempts.end_as_refused(
                    outgoing, results.Result.LEAVING
                )

    def _ask_for_clock(self, outgoing):
        self.checks.schedule(outgoing, HELLO_TIMEOUT_S)
        self.outgoing_attempts.await_clock(outgoing)
        self.context.send(outgoing.target.address, messages.Hello())

    def _send(self, outgoing, clock):
        self.checks.schedule(outgoing, outgoing.check_delay_s)
        outgoing.sent = True
        outgoing.incarnation = clock.incarnation
        outgoing.delegated_retries = outgoing.call.allowance.delegate_half()
        self.context.count('entry.attempts')
        self.context.send(
            outgoing.target.address, self._make_message(outgoing, clock)
        )

    def _make_message(self, outgoing, clock):
        call = outgoing.call
        request = call.request
        return messages.Attempt(
            attempt_id=outgoing.attempt_id,
            request_id=call.request_id,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            context=attrs.evolve(
                call.context, allowance=outgoing.delegated_retries
            ),
            remaining_s=min(call.deadline, self.latest_run_end_at)
            - self.context.now,
            target_incarnation=clock.incarnation,
            target_tick=clock.tick,
            idempotent=call.idempotent,
        )
