"""Entry side of a call: from its start through attempts to its answer."""

import attrs

from rosemarycrank.calls import _attempt_checks
from rosemarycrank.calls import _attempt_sender
from rosemarycrank.calls import _call
from rosemarycrank.calls import _crash_suspects
from rosemarycrank.calls import _discovery
from rosemarycrank.calls import _early_refusals
from rosemarycrank.calls import _outgoing
from rosemarycrank.calls import _peers
from rosemarycrank.calls import _refusals
from rosemarycrank.calls import _retries
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results


class EntryCalls(kernel.Component):
    """Runs calls: makes attempts at targets until there is a final answer.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Membership, which knows the targets of a service.
    balancer : rosemarycrank.balancing.Balancer
        Chooses the target of each attempt.
    budget : rosemarycrank.retry.RetryBudget
        Limits the retries to each service.
    bundle_holder : object
        Holder whose ``current`` is the bundle in force, or None.
    target_calls : TargetCalls
        Target side, which knows the attempts that make nested calls.
    attempt_timeout_s : float, default=0.5
        Time without a reply after which a target is asked to revoke an
        attempt, in seconds.

    Attributes
    ----------
    calls_by_request_id_ : dict of str to Call
        Calls that have no final answer yet.
    """

    name = 'entry'
    handles = {
        kernel.PeerLost: '_on_peer_lost',
        kernel.SendFailed: '_on_send_failed',
        messages.AttemptReply: '_on_attempt_reply',
        messages.HelloReply: '_on_hello_reply',
        messages.RevokeReply: '_on_revoke_reply',
    }

    def __init__(
        self,
        directory,
        balancer,
        budget,
        bundle_holder,
        target_calls,
        attempt_timeout_s=0.5,
    ):
        self.directory = directory
        self.balancer = balancer
        self.budget = budget
        self.bundle_holder = bundle_holder
        self.target_calls = target_calls
        self.attempt_timeout_s = attempt_timeout_s
        self._calls = _call.CallTable()
        self.calls_by_request_id_ = self._calls.by_request_id
        self._discovery = _discovery.Discovery()
        self._peer_clocks = _peers.PeerClocks(target_calls.attempt_validity_s)
        target_calls.cancel_nested = self._cancel_nested

    def attach(self, context):
        """Store the context and create the parts of the entry side."""
        super().attach(context)
        self._early_refusals = _early_refusals.EarlyRefusals(
            context, self.balancer, self.bundle_holder, self.target_calls
        )
        self._retries = _retries.Retries(context, self.budget)
        self._outgoing_attempts = _outgoing.OutgoingAttempts(
            context, self.balancer, self._on_attempt_ended
        )
        self._checks = _attempt_checks.AttemptChecks(
            context, self._outgoing_attempts, self._peer_clocks
        )
        self._sender = _attempt_sender.AttemptSender(
            context,
            self._outgoing_attempts,
            self._checks,
            self._peer_clocks,
            self.attempt_timeout_s,
        )

    def start_drain(self, times=None):
        if times is not None:
            self._sender.latest_run_end_at = times.runs_end_at

    def end_drain(self):
        """Answer all calls: as not run only if nothing was sent on."""
        for call in list(self.calls_by_request_id_.values()):
            self.context.count('entry.cut_off')
            self._abandon_attempt(call)
            self._finish_as_leaving(call)

    def is_idle(self):
        return not self.calls_by_request_id_

    def dump(self):
        return {
            'calls': len(self.calls_by_request_id_),
            'attempts': len(self._outgoing_attempts),
            'waiting_for_clock': (
                self._outgoing_attempts.awaiting_clock_count()
            ),
            'peers': len(self._peer_clocks),
            'balancer': self.balancer.dump(),
            'thresholds_below': self._early_refusals.dump(),
        }

    def start(self, call):
        """Start a call, or refuse it if it would be shed downstream.

        Parameters
        ----------
        call : Call
            The call. Its ``finish`` is called exactly once.
        """
        retry_after_s = self._early_refusals.retry_after_s(call)
        if retry_after_s > 0.0:
            self._refuse_early(call, retry_after_s)
            return
        suspects = self.target_calls.crash_suspects
        call.digest = _crash_suspects.digest_of(call.request)
        refused_for_s = suspects.refused_for_s(call.digest)
        if refused_for_s > 0.0:
            self.context.count('entry.crash_suspects')
            call.finish(self._refuse_suspect(call, refused_for_s))
            return
        self._calls.add(call)
        call.deadline_timer = self.context.timers.after(
            max(0.0, call.deadline - self.context.now),
            lambda now: self._on_deadline(call),
        )
        self._retries.record_call(call)
        self._start_attempt(call)

    def cancel(self, call):
        """Cancel a call whose caller no longer waits for the answer.

        Parameters
        ----------
        call : Call
            A call that has no final answer yet.
        """
        self.context.count('entry.cancelled')
        self._abandon_attempt(call)
        self._finish(call, kernel.Answer(results.Result.CANCELLED))

    def _refuse_early(self, call, retry_after_s):
        self.context.count('entry.early_refusals')
        self._early_refusals.record_early_refusal(call)
        answer = _refusals.make_refusal(
            self.context, results.Result.SHED, retry_after_s
        )
        call.finish(
            attrs.evolve(answer, allowance_left=call.allowance.remaining)
        )

    def _refuse_suspect(self, call, refused_for_s):
        answer = _refusals.make_refusal(
            self.context, results.Result.CRASH_SUSPECT, refused_for_s
        )
        return attrs.evolve(answer, allowance_left=call.allowance.remaining)

    def _is_crash_suspect(self, call):
        suspects = self.target_calls.crash_suspects
        return suspects.refused_for_s(call.digest) > 0.0

    def _cancel_nested(self, parent_token):
        for call in self._calls.nested(parent_token):
            self.cancel(call)

    # Attempts

    def _start_attempt(self, call):
        if not self._sender.may_send():
            self._finish_as_leaving(call)
            return
        service = call.request.service
        targets = self.directory.targets(service)
        if not targets and self._discovery.is_pending(
            service, self.context.now
        ):
            self.context.timers.after(
                _discovery.DISCOVERY_POLL_PERIOD_S,
                lambda now: self._continue_discovery(call),
            )
            return
        target = self._choose_target(call, targets)
        if target is None:
            answer = call.last_refusal or _refusals.make_refusal(
                self.context, results.Result.NO_TARGET
            )
            self._finish(call, answer)
            return
        call.tried_addresses.add(target.address)
        self._sender.start(call, target)

    def _continue_discovery(self, call):
        if not call.done:
            self._start_attempt(call)

    def _choose_target(self, call, targets):
        bundle = self.bundle_holder.current
        candidates = [
            t for t in targets if not bundle.has_partner_left(t.partner)
        ]
        return self.balancer.choose(
            candidates,
            call.context.rank,
            call.tried_addresses,
            self.context.now,
        )

    def _abandon_attempt(self, call):
        if call.attempt is not None:
            self._outgoing_attempts.abandon(call.attempt)

    def _on_attempt_ended(self, call, answer, reply):
        if reply is not None:
            self._early_refusals.record_reply(call, reply)
        outcome = answer.result.outcome
        if outcome is results.Outcome.COMPLETE:
            another_follows = False
        elif self._is_crash_suspect(call):
            # It would end another upstream.
            call.may_have_run |= outcome is results.Outcome.UNKNOWN
            another_follows = False
        elif outcome is results.Outcome.NOT_RUN:
            call.last_refusal = answer
            another_follows = self._retries.allow_after_refusal(
                call, answer.result
            )
        else:
            call.may_have_run = True
            another_follows = self._retries.allow_after_unknown(call)
        if another_follows:
            self._start_attempt(call)
        else:
            self._finish(call, answer)

    # Messages and events

    def _on_hello_reply(self, sender, message):
        self._sender.handle_hello_reply(sender, message)

    def _on_attempt_reply(self, sender, message):
        self._peer_clocks.record_clock(
            sender, message.incarnation, message.tick, self.context.now
        )
        outgoing = self._outgoing_attempts.find_at(sender, message.attempt_id)
        if outgoing is None:
            self.context.count('entry.late_replies')
            return
        self._outgoing_attempts.end_with_reply(outgoing, message)

    def _on_revoke_reply(self, sender, message):
        self._checks.handle_revoke_reply(sender, message)

    def _on_send_failed(self, event):
        if not isinstance(event.message, messages.Attempt):
            return
        outgoing = self._outgoing_attempts.find(event.message.attempt_id)
        if outgoing is not None:
            self._outgoing_attempts.end_as_refused(
                outgoing, results.Result.BACKPRESSURE
            )

    def _on_peer_lost(self, event):
        self._peer_clocks.remove(event.address)
        self._checks.check_all_at(event.address)

    # Final answers

    def _on_deadline(self, call):
        if call.done:
            return
        self._abandon_attempt(call)
        if call.may_have_run:
            result = results.Result.DEADLINE_PASSED
        else:
            result = results.Result.DEADLINE_TOO_SHORT
        self._finish(call, kernel.Answer(result))

    def _finish_as_leaving(self, call):
        answer = _refusals.make_refusal(self.context, results.Result.LEAVING)
        self._finish(call, answer)

    def _finish(self, call, answer):
        if call.done:
            return
        call.done = True
        call.deadline_timer.cancel()
        self._calls.remove(call)
        if (
            call.may_have_run
            and answer.result.outcome is results.Outcome.NOT_RUN
        ):
            # An earlier attempt may have run, so the request must not be
            # reported as not run, even if the last attempt was refused.
            answer = attrs.evolve(answer, result=results.Result.ANSWER_LOST)
        self._early_refusals.record_final_answer(call, answer.result)
        call.finish(
            attrs.evolve(
                answer,
                upstream_attempts=call.upstream_attempts,
                allowance_left=_unspent_allowance(call),
            )
        )


def _unspent_allowance(call):
    # A nested call shares the allowance of its parent attempt, whose own
    # reply returns the unspent part.
    return 0 if call.parent_token else call.allowance.remaining
