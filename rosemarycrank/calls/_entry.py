"""Calls at the entry node: admission of client requests and attempts."""

import itertools

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _path_levels
from rosemarycrank.calls import _peers
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

#: Refusals that another target may still accept, at no cost in retries:
#: the refusing node takes no work at all.
_FREE_REDIRECTS = frozenset(
    {
        results.Result.LEAVING,
        results.Result.NO_TARGET,
        results.Result.PARTNER_LEFT,
        results.Result.STALE_ATTEMPT,
    }
)

#: Refusals after which another attempt would be no use.
_FINAL_REFUSALS = frozenset({results.Result.DEADLINE_TOO_SHORT})

#: Most targets that one call may be redirected to at no cost.
MAX_FREE_REDIRECTS = 4

#: Revocations without an answer after which a target counts as silent.
MAX_SILENT_REVOKES = 3

#: Longest wait for the answer to a revocation, in seconds.
REVOKE_TIMEOUT_S = 0.2

#: Longest wait for a target's clock before another target is tried; nothing
#: has been sent by then, in seconds.
HELLO_TIMEOUT_S = 0.2

#: How long after a service was first asked for its targets may still be on
#: their way from another failure domain, and how often to look, in seconds.
LOOKUP_S = 0.5
LOOKUP_PERIOD_S = 0.05

#: Growth of the interval between questions about a running attempt.
CHECK_BACKOFF = 2.0

#: Advice to clients when a node cannot tell when to come back, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0

#: Spread of that advice, so that refused clients do not come back at once.
RETRY_JITTER = 0.5


@attrs.define(eq=False)
class Call:
    """A call that this node makes for a client or for its own upstream.

    ``deadline`` is in seconds of the local clock; ``finish`` is called
    once with the final `kernel.Answer`.
    """

    request: object
    idempotent: bool
    context: messages.CallContext
    deadline: float
    allowance: _allowance.Allowance
    finish: object
    request_id: str
    class_name: str
    parent_token: str = ''
    threshold: float = _path_levels.NO_THRESHOLD
    tried: set = attrs.field(factory=set)
    redirects: int = 0
    upstream_attempts: int = 0
    may_have_run: bool = False
    last_refusal: kernel.Answer | None = None
    attempt: object = None
    timer: object = None
    done: bool = False


@attrs.define(eq=False)
class Outgoing:
    """An attempt in flight from this node to a target's node."""

    attempt_id: str
    call: Call
    target: object
    sent_at: float
    lent: int = 0
    check_s: float = 0.0
    silent_checks: int = 0
    timer: object = None
    sent: bool = False
    incarnation: int = 0


class EntryCalls(kernel.Component):
    """Makes calls: attempts at targets, until there is a final answer.

    Parameters
    ----------
    directory : rosemarycrank.membership.Directory
        Targets.
    balancer : rosemarycrank.balancing.Balancer
        Choice of target.
    budget : rosemarycrank.retry.RetryBudget
        Retry budget by service.
    bundle_holder : object
        Its ``current`` is the bundle in force, or None.
    target_calls : TargetCalls
        Gives the context of nested calls.
    attempt_timeout_s : float, default=0.5
        Silence after which the target is asked about an attempt.

    Attributes
    ----------
    calls_by_request_id_ : dict of str to Call
        Calls without a final answer.
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
        self.calls_by_request_id_ = {}
        self._calls_by_parent_token = {}
        self._outgoing_by_id = {}
        self._peers = _peers.Peers(target_calls.attempt_validity_s)
        self._waiting_by_address = {}
        self._asked_at_by_service = {}
        self._path_levels = _path_levels.PathLevels()
        self._sequence = itertools.count(1)
        target_calls.cancel_nested = self._cancel_nested

    def idle(self):
        return not self.calls_by_request_id_

    def dump(self):
        return {
            'calls': len(self.calls_by_request_id_),
            'attempts': len(self._outgoing_by_id),
            'waiting_for_clock': sum(
                map(len, self._waiting_by_address.values())
            ),
            'peers': len(self._peers),
            'balancer': self.balancer.dump(),
            'thresholds_below': self._path_levels.dump(),
        }

    def _early_refusal_s(self, service, class_name, context):
        """Return when to come back if the call would be shed; else 0."""
        now = self.context.now
        retry_after_s = self.balancer.shed_retry_after_s(
            service, context.rank, context.shed_hash, now
        )
        if retry_after_s > 0.0:
            return retry_after_s
        if self._path_levels.sheds(
            (service, class_name), _score(context), now, self.context.random
        ):
            self.context.count('entry.early_refusals_below')
            return DEFAULT_RETRY_AFTER_S
        return 0.0

    def _shed_for(self, call):
        """Note at the attempt that needed a call that the call was shed."""
        parent = self.target_calls.running(call.parent_token)
        if parent is not None:
            key = (call.request.service, call.class_name)
            parent.threshold_below = min(
                parent.threshold_below,
                _score(call.context),
                self._path_levels.threshold(key),
            )

    def _cancel_nested(self, token):
        for call in list(self._calls_by_parent_token.get(token, ())):
            self.cancel(call)

    def cancel(self, call):
        """End a call that nobody waits for.

        Parameters
        ----------
        call : Call
            A call without a final answer.
        """
        self.context.count('entry.cancelled')
        self._abandon_attempt(call)
        self._finish(call, kernel.Answer(results.Result.CANCELLED))

    # Attempts

    def start(self, call):
        """Begin a call, unless it would be shed further on.

        Parameters
        ----------
        call : Call
            The call; its ``finish`` is called exactly once.
        """
        retry_after_s = self._early_refusal_s(
            call.request.service, call.class_name, call.context
        )
        if retry_after_s > 0.0:
            self.context.count('entry.early_refusals')
            self._shed_for(call)
            answer = self._refuse(results.Result.SHED, retry_after_s)
            call.finish(
                attrs.evolve(answer, allowance_left=call.allowance.left)
            )
            return
        self.calls_by_request_id_[call.request_id] = call
        if call.parent_token:
            siblings = self._calls_by_parent_token.setdefault(
                call.parent_token, set()
            )
            siblings.add(call)
        call.timer = self.context.timers.after(
            max(0.0, call.deadline - self.context.now),
            lambda now: self._on_deadline(call),
        )
        self.budget.deposit(call.request.service, self.context.now)
        self._next_attempt(call)

    def _next_attempt(self, call):
        now = self.context.now
        bundle = self.bundle_holder.current
        known = self.directory.targets(call.request.service)
        if not known and self._is_looked_up(call.request.service):
            self.context.timers.after(
                LOOKUP_PERIOD_S, lambda now: self._look_again(call)
            )
            return
        candidates = [
            t for t in known if not bundle.has_partner_left(t.partner)
        ]
        target = self.balancer.choose(
            candidates, call.context.rank, call.tried, now
        )
        if target is None:
            answer = call.last_refusal or self._refuse(
                results.Result.NO_TARGET
            )
            self._finish(call, answer)
            return
        call.tried.add(target.address)
        outgoing = Outgoing(
            attempt_id=(
                f'{self.context.incarnation:016x}-{next(self._sequence)}'
            ),
            call=call,
            target=target,
            sent_at=now,
            check_s=self.attempt_timeout_s,
        )
        call.attempt = outgoing
        self._outgoing_by_id[outgoing.attempt_id] = outgoing
        self.balancer.record_sent(target, now)
        peer = self._peers.fresh(target, now, self.context)
        if peer is None:
            # The target's clock is not known: ask before sending.
            self._schedule_check(outgoing, HELLO_TIMEOUT_S)
            waiting = self._waiting_by_address.setdefault(target.address, [])
            waiting.append(outgoing)
            self.context.send(target.address, messages.Hello())
        else:
            self._send(outgoing, peer)

    def _is_looked_up(self, service):
        now = self.context.now
        asked_at = self._asked_at_by_service.setdefault(service, now)
        return now - asked_at < LOOKUP_S

    def _look_again(self, call):
        if not call.done:
            self._next_attempt(call)

    def _send(self, outgoing, peer):
        call = outgoing.call
        self._schedule_check(outgoing, outgoing.check_s)
        outgoing.sent = True
        outgoing.incarnation = peer.incarnation
        outgoing.lent = call.allowance.lend()
        self.context.count('entry.attempts')
        request = call.request
        self.context.send(
            outgoing.target.address,
            messages.Attempt(
                attempt_id=outgoing.attempt_id,
                request_id=call.request_id,
                service=request.service,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                context=attrs.evolve(call.context, allowance=outgoing.lent),
                remaining_s=call.deadline - self.context.now,
                target_incarnation=peer.incarnation,
                target_tick=peer.tick,
                idempotent=call.idempotent,
            ),
        )

    def _on_hello_reply(self, sender, message):
        peer = self._peers.heard(
            sender, message.incarnation, message.tick, self.context.now
        )
        for outgoing in self._waiting_by_address.pop(sender, ()):
            if outgoing.attempt_id not in self._outgoing_by_id:
                continue
            if message.accepting:
                self._send(outgoing, peer)
            else:
                self._attempt_refused(outgoing, results.Result.LEAVING)

    def _on_attempt_reply(self, sender, message):
        self._peers.heard(
            sender, message.incarnation, message.tick, self.context.now
        )
        outgoing = self._outgoing_by_id.get(message.attempt_id)
        if outgoing is None or sender != outgoing.target.address:
            self.context.count('entry.late_replies')
            return
        self._take_reply(outgoing, message)

    def _take_reply(self, outgoing, message):
        call = outgoing.call
        self._end_attempt(outgoing, message)
        call.allowance.give_back(
            min(message.allowance_left, max(0, outgoing.lent))
        )
        call.upstream_attempts += message.upstream_reached
        self._hear_threshold(call, message)
        answer = kernel.Answer(
            result=results.describe(message.result),
            status=message.status,
            headers=message.headers,
            body=message.body,
            retry_after_s=message.retry_after_s,
        )
        outcome = answer.result.outcome
        if outcome is results.Outcome.COMPLETE:
            self._finish(call, answer)
        elif outcome is results.Outcome.NOT_RUN:
            self._refused(call, answer)
        else:
            self._lost(call, answer)

    def _hear_threshold(self, call, message):
        key = (call.request.service, call.class_name)
        classes = self.bundle_holder.current.classes_by_name.values()
        highest = 1.0 + max(each.rank for each in classes)
        self._path_levels.heard(
            key, message.threshold_below, highest, self.context.now
        )
        own = message.shed_rank + 1.0 - message.shed_fraction
        call.threshold = min(own, message.threshold_below)

    def _attempt_refused(self, outgoing, result):
        self._end_attempt(outgoing, None)
        outgoing.call.allowance.give_back(outgoing.lent)
        self._refused(outgoing.call, self._refuse(result))

    def _refused(self, call, answer):
        """Go on after an attempt that is known not to have run."""
        call.last_refusal = answer
        if answer.result in _FREE_REDIRECTS:
            call.redirects += 1
            if call.redirects <= MAX_FREE_REDIRECTS:
                self._next_attempt(call)
                return
        elif answer.result not in _FINAL_REFUSALS and self._may_retry(call):
            self._next_attempt(call)
            return
        self._finish(call, answer)

    def _lost(self, call, answer):
        """Go on after an attempt that may have run."""
        call.may_have_run = True
        if call.idempotent and self._may_retry(call):
            self._next_attempt(call)
        else:
            self._finish(call, answer)

    def _may_retry(self, call):
        if self.context.now >= call.deadline:
            return False
        if call.allowance.left <= 0:
            self.context.count('entry.allowance_spent')
            return False
        if not self.budget.spend(call.request.service, self.context.now):
            self.context.count('entry.budget_spent')
            return False
        self.context.count('entry.retries')
        return call.allowance.take()

    def _end_attempt(self, outgoing, reply):
        outgoing.call.attempt = None
        del self._outgoing_by_id[outgoing.attempt_id]
        outgoing.timer.cancel()
        if not outgoing.sent:
            self._stop_waiting(outgoing)
        self.balancer.record_finished(
            outgoing.target,
            self.context.now - outgoing.sent_at,
            reply,
            self.context.now,
        )

    def _stop_waiting(self, outgoing):
        address = outgoing.target.address
        waiting = self._waiting_by_address.get(address)
        if waiting is not None and outgoing in waiting:
            waiting.remove(outgoing)
            if not waiting:
                del self._waiting_by_address[address]

    def _abandon_attempt(self, call):
        """Give up an attempt in flight; what it was lent is spent."""
        outgoing = call.attempt
        if outgoing is None:
            return
        self._end_attempt(outgoing, None)
        if outgoing.sent:
            call.may_have_run = True
            self.context.send(
                outgoing.target.address, messages.Cancel(outgoing.attempt_id)
            )

    # Silence

    def _schedule_check(self, outgoing, delay_s):
        if outgoing.timer is not None:
            outgoing.timer.cancel()
        outgoing.timer = self.context.timers.after(
            delay_s, lambda now: self._check(outgoing)
        )

    def _check(self, outgoing):
        """Ask about an attempt that has not been answered."""
        if outgoing.attempt_id not in self._outgoing_by_id:
            return
        address = outgoing.target.address
        # A target that is only slow answers the first question; one that
        # does not may be behind a connection that has gone silent.
        asked = outgoing.silent_checks > 0 or not outgoing.sent
        silent = asked and not self._peers.heard_since(
            address, outgoing.sent_at
        )
        if silent:
            self.context.count('entry.connections_replaced')
            self.context.emit(kernel.ResetPeer(address))
        if not outgoing.sent:
            self._attempt_refused(outgoing, results.Result.NO_TARGET)
            return
        if (
            outgoing.silent_checks >= MAX_SILENT_REVOKES
            and outgoing.call.idempotent
        ):
            self._abandon_attempt(outgoing.call)
            lost = kernel.Answer(results.Result.ANSWER_LOST)
            self._lost(outgoing.call, lost)
            return
        outgoing.silent_checks += 1
        self.context.count('entry.revokes')
        self.context.send(
            address,
            messages.Revoke(outgoing.attempt_id, outgoing.incarnation, silent),
        )
        self._schedule_check(outgoing, REVOKE_TIMEOUT_S)

    def _on_revoke_reply(self, sender, message):
        now = self.context.now
        outgoing = self._outgoing_by_id.get(message.attempt_id)
        if outgoing is None or sender != outgoing.target.address:
            return
        self._peers.heard_message(sender, now)
        outgoing.silent_checks = 0
        if message.incarnation != outgoing.incarnation:
            # The run of the node that took the attempt has ended.
            self._abandon_attempt(outgoing.call)
            self._lost(
                outgoing.call, kernel.Answer(results.Result.ANSWER_LOST)
            )
        elif message.state is messages.RevokeState.RUNNING:
            outgoing.check_s *= CHECK_BACKOFF
            self._schedule_check(outgoing, outgoing.check_s)
        elif message.state is messages.RevokeState.REVOKED:
            self._attempt_refused(outgoing, results.Result.REVOKED)
        elif message.reply is None:
            self._abandon_attempt(outgoing.call)
            self._lost(
                outgoing.call, kernel.Answer(results.Result.ANSWER_LOST)
            )
        else:
            self._take_reply(outgoing, message.reply)

    def _on_send_failed(self, event):
        if not isinstance(event.message, messages.Attempt):
            return
        outgoing = self._outgoing_by_id.get(event.message.attempt_id)
        if outgoing is not None:
            self._attempt_refused(outgoing, results.Result.BACKPRESSURE)

    def _on_peer_lost(self, event):
        self._peers.forget(event.address)
        lost = [
            outgoing
            for outgoing in self._outgoing_by_id.values()
            if outgoing.target.address == event.address
        ]
        for outgoing in lost:
            self._check(outgoing)

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

    def _finish(self, call, answer):
        if call.done:
            return
        call.done = True
        call.timer.cancel()
        self._forget(call)
        if (
            call.may_have_run
            and answer.result.outcome is results.Outcome.NOT_RUN
        ):
            # An earlier attempt may have run, so the last refusal alone
            # says nothing about the request.
            answer = attrs.evolve(answer, result=results.Result.ANSWER_LOST)
        parent = self.target_calls.running(call.parent_token)
        if parent is not None:
            if answer.result is results.Result.SHED:
                call.threshold = min(call.threshold, _score(call.context))
            parent.threshold_below = min(
                parent.threshold_below, call.threshold
            )
        left = call.allowance.left if not call.parent_token else 0
        call.finish(
            attrs.evolve(
                answer,
                upstream_attempts=call.upstream_attempts,
                allowance_left=left,
            )
        )

    def _forget(self, call):
        del self.calls_by_request_id_[call.request_id]
        siblings = self._calls_by_parent_token.get(call.parent_token)
        if siblings is not None:
            siblings.discard(call)
            if not siblings:
                del self._calls_by_parent_token[call.parent_token]

    def _refuse(self, result, retry_after_s=DEFAULT_RETRY_AFTER_S):
        return refuse(self.context, result, retry_after_s)


def refuse(context, result, retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Return a refusal with advice when to come back.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Its random source spreads the advice.
    result : rosemarycrank.results.Result
        Why.
    retry_after_s : float
        Seconds to wait at least.

    Returns
    -------
    rosemarycrank.kernel.Answer
        The refusal.
    """
    jitter = 1.0 + RETRY_JITTER * context.random.random()
    return kernel.Answer(result, retry_after_s=retry_after_s * jitter)


def _score(context):
    return context.rank + context.shed_hash
