"""Questions about attempts that get no reply, and their revocation."""

from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

#: Number of consecutive unanswered `Revoke` messages after which an
#: idempotent attempt is given up; its outcome is then unknown.
MAX_UNANSWERED_REVOKES = 3

#: Timeout of the reply to a `Revoke` message, in seconds.
REVOKE_TIMEOUT_S = 0.2

#: Factor by which the interval between `Revoke` messages grows each time the
#: target reports that the attempt is running.
REVOKE_BACKOFF_FACTOR = 2.0


class AttemptChecks:
    """Asks the targets of attempts without a reply to revoke them.

    The reply tells whether the attempt has run, is running or will never
    run.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    outgoing_attempts : OutgoingAttempts
        Open attempts.
    peer_clocks : PeerClocks
        Times of the last messages from other nodes.
    """

    def __init__(self, context, outgoing_attempts, peer_clocks):
        self.context = context
        self.outgoing_attempts = outgoing_attempts
        self.peer_clocks = peer_clocks

    def schedule(self, outgoing, delay_s):
        """Schedule the check of an attempt, in place of an earlier one.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An open attempt.
        delay_s : float
            Time without a reply, in seconds, after which it is checked.
        """
        if outgoing.check_timer is not None:
            outgoing.check_timer.cancel()
        outgoing.check_timer = self.context.timers.after(
            delay_s, lambda now: self.check(outgoing)
        )

    def check(self, outgoing):
        """Have an attempt without a reply revoked, or give it up.

        An attempt that was not sent is refused instead.

        Parameters
        ----------
        outgoing : OutgoingAttempt
            An attempt; one that has ended is left alone.
        """
        if not self.outgoing_attempts.is_open(outgoing):
            return
        silent = self._is_silent(outgoing)
        if silent:
            self.context.count('entry.connections_replaced')
            self.context.emit(kernel.ResetPeer(outgoing.target.address))
        if not outgoing.sent:
            self.outgoing_attempts.end_as_refused(
                outgoing, results.Result.NO_TARGET
            )
        elif (
            outgoing.unanswered_revokes >= MAX_UNANSWERED_REVOKES
            and outgoing.call.idempotent
        ):
            self.outgoing_attempts.end_as_lost(outgoing)
        else:
            self._send_revoke(outgoing, silent)

    def check_all_at(self, address):
        """Check the open attempts at a node whose connection was closed.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        """
        for outgoing in self.outgoing_attempts.open_at(address):
            self.check(outgoing)

    def handle_revoke_reply(self, sender, message):
        """Handle what a target says of an attempt.

        Parameters
        ----------
        sender : str
            ``host:port`` of the target's node.
        message : rosemarycrank.messages.RevokeReply
            The reply.
        """
        outgoing = self.outgoing_attempts.find_at(sender, message.attempt_id)
        if outgoing is None:
            return
        self.peer_clocks.record_message(sender, self.context.now)
        outgoing.unanswered_revokes = 0
        if message.incarnation != outgoing.incarnation:
            # The node has restarted since the attempt was sent to it.
            self.outgoing_attempts.end_as_lost(outgoing)
        elif message.state is messages.RevokeState.RUNNING:
            outgoing.check_delay_s *= REVOKE_BACKOFF_FACTOR
            self.schedule(outgoing, outgoing.check_delay_s)
        elif message.state is messages.RevokeState.REVOKED:
            self.outgoing_attempts.end_as_refused(
                outgoing, results.Result.REVOKED
            )
        elif message.reply is None:
            # The target has evicted its reply.
            self.outgoing_attempts.end_as_lost(outgoing)
        else:
            self.outgoing_attempts.end_with_reply(outgoing, message.reply)

    def _is_silent(self, outgoing):
        # A node that is only slow replies to the first Hello or Revoke. If it
        # doesn't, the connection may be dead although it is still open.
        awaiting_reply = outgoing.unanswered_revokes > 0 or not outgoing.sent
        return awaiting_reply and not self.peer_clocks.received_since(
            outgoing.target.address, outgoing.started_at
        )

    def _send_revoke(self, outgoing, silent):
        outgoing.unanswered_revokes += 1
        self.context.count('entry.revokes')
        self.context.send(
            outgoing.target.address,
            messages.Revoke(outgoing.attempt_id, outgoing.incarnation, silent),
        )
        self.schedule(outgoing, REVOKE_TIMEOUT_S)
