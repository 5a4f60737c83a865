"""Replies of a target's node to attempts and to their revocation."""

from rosemarycrank.calls import _refusals
from rosemarycrank import messages
from rosemarycrank import results


class Replies:
    """Sends each attempt its reply, and keeps it for duplicates.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    controller : rosemarycrank.admission.AdmissionController
        Admission controller, whose load and shedding level replies carry.
    cache : ReplyCache
        Cache of the replies.
    """

    def __init__(self, context, controller, cache):
        self.context = context
        self.controller = controller
        self.cache = cache

    def send_answer(self, attempt, event):
        """Reply to an attempt with the result of its upstream call.

        Parameters
        ----------
        attempt : AcceptedAttempt
            The attempt.
        event : rosemarycrank.kernel.UpstreamAnswer
            Result of the call.
        """
        self.context.count(f'target.answers.{event.result.name}')
        reply = self._make(
            attempt.message.attempt_id,
            event.result,
            status=event.status,
            headers=event.headers,
            body=event.body,
            allowance_left=attempt.allowance.remaining,
            retry_after_s=event.retry_after_s,
            upstream_reached=(
                event.result is not results.Result.CONNECT_FAILED
            ),
            threshold_below=attempt.threshold_below,
        )
        self._cache_and_send(attempt.sender, reply)

    def send_refusal(self, sender, message, result):
        """Refuse an attempt, which then never runs here.

        Parameters
        ----------
        sender : str
            ``host:port`` of the entry node.
        message : rosemarycrank.messages.Attempt
            The attempt.
        result : rosemarycrank.results.Result
            Reason of the refusal.
        """
        self.context.count(f'target.refused.{result.name}')
        retry_after_s = self.controller.retry_after_s(self.context.now)
        reply = self._make(
            message.attempt_id,
            result,
            allowance_left=message.context.allowance,
            retry_after_s=_refusals.add_jitter(self.context, retry_after_s),
        )
        self._cache_and_send(sender, reply)

    def resend(self, sender, cached):
        """Send the kept reply to a duplicate of an attempt.

        Parameters
        ----------
        sender : str
            ``host:port`` of the entry node.
        cached : CachedReply
            The kept reply; if it was evicted, nothing is sent.
        """
        if cached.reply is not None:
            self.context.send(sender, cached.reply)

    def revoke(self, attempt_id):
        """Return the state of an attempt that is not accepted at present.

        An attempt that has not arrived is revoked: it will never run.

        Parameters
        ----------
        attempt_id : str
            ID of the attempt.

        Returns
        -------
        rosemarycrank.messages.RevokeReply
            The state, with the kept reply if the attempt has run.
        """
        cached = self.cache.find(attempt_id)
        if cached is None:
            reply = self._make(attempt_id, results.Result.REVOKED)
            self.cache.add(reply, self.context.now)
            self.context.count('target.revoked')
            return self.revoke_reply(attempt_id, messages.RevokeState.REVOKED)
        if _is_revoked(cached.reply):
            return self.revoke_reply(attempt_id, messages.RevokeState.REVOKED)
        return self.revoke_reply(
            attempt_id, messages.RevokeState.COMPLETE, cached.reply
        )

    def revoke_reply(self, attempt_id, state, reply=None):
        """Return the reply to a `Revoke` message.

        Parameters
        ----------
        attempt_id : str
            ID of the attempt.
        state : rosemarycrank.messages.RevokeState
            State of the attempt.
        reply : rosemarycrank.messages.AttemptReply, optional
            Kept reply of an attempt that has run.

        Returns
        -------
        rosemarycrank.messages.RevokeReply
            The reply.
        """
        return messages.RevokeReply(
            attempt_id, state, self.context.incarnation, reply
        )

    def _cache_and_send(self, sender, reply):
        self.cache.add(reply, self.context.now)
        self.context.send(sender, reply)

    def _make(self, attempt_id, result, **fields):
        now = self.context.now
        load = self.controller.load(now)
        level = self.controller.shed_level(now)
        return messages.AttemptReply(
            attempt_id=attempt_id,
            result=result.number,
            incarnation=self.context.incarnation,
            tick=now,
            shed_rank=level.rank,
            shed_fraction=level.fraction,
            in_flight=load.in_flight + load.queued,
            limit=load.limit,
            **fields,
        )


def _is_revoked(reply):
    return reply is not None and reply.result == results.Result.REVOKED.number
