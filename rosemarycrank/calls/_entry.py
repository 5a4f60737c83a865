"""Entry side of a call: early refusals, attempts at targets and retries."""

import itertools

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _path_levels
from rosemarycrank.calls import _peers
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

#: Refusals by nodes that accept no work at all. The call goes on to another
#: target without spending a retry.
_REDIRECT_REFUSALS = frozenset(
    {
        results.Result.LEAVING,
        results.Result.NO_TARGET,
        results.Result.PARTNER_LEFT,
        results.Result.STALE_ATTEMPT,
    }
)

#: Refusals after which another attempt could not succeed either.
_FINAL_REFUSALS = frozenset({results.Result.DEADLINE_TOO_SHORT})

#: Maximum number of redirects of one call that spend no retry.
MAX_FREE_REDIRECTS = 4

#: Number of consecutive unanswered `Revoke` messages after which an
#: idempotent attempt is given up; its outcome is then unknown.
MAX_UNANSWERED_REVOKES = 3

#: Timeout of the reply to a `Revoke` message, in seconds.
REVOKE_TIMEOUT_S = 0.2

#: Timeout of the reply to a `Hello` message, in seconds. The attempt has not
#: been sent at that point, so another target is tried.
HELLO_TIMEOUT_S = 0.2

#: Time for which calls to a service without known targets wait for targets,
#: in seconds from the first such call at this node: the first lookup may have
#: to fetch them from another failure domain.
DISCOVERY_TIMEOUT_S = 0.5

#: Interval between lookups of the targets in that time, in seconds.
DISCOVERY_POLL_PERIOD_S = 0.05

#: Factor by which the interval between `Revoke` messages grows each time the
#: target reports that the attempt is running.
REVOKE_BACKOFF_FACTOR = 2.0

#: Retry-after time if no better value is known, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0

#: Maximum jitter of the retry-after time, as a fraction of it. The jitter
#: keeps refused clients from all retrying at the same time.
RETRY_AFTER_JITTER = 0.5


@attrs.define(eq=False)
class Call:
    """A call that this node makes for a client or for its own upstream.

    ``deadline`` is in seconds of the local clock. ``finish`` is called
    exactly once, with the final `kernel.Answer`. ``parent_token`` is the
    in-flight token of the attempt at the local upstream for which this call
    is made, or empty. ``threshold`` is the lowest shedding threshold in the
    last reply: that of the target or of the services downstream of it.
    ``may_have_run`` is set once an attempt has an unknown outcome.
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
    tried_addresses: set = attrs.field(factory=set)
    redirect_count: int = 0
    upstream_attempts: int = 0
    may_have_run: bool = False
    last_refusal: kernel.Answer | None = None
    attempt: object = None
    deadline_timer: object = None
    done: bool = False


@attrs.define(eq=False)
class OutgoingAttempt:
    """An attempt from this node at a target, in flight or about to be sent.

    ``started_at`` is the local time in seconds at which the target was
    chosen. Until the clock of the target's node is known, ``sent`` is False.
    ``check_delay_s`` is the time without a reply after which the target is
    asked to revoke the attempt.
    """

    attempt_id: str
    call: Call
    target: object
    started_at: float
    delegated_retries: int = 0
    check_delay_s: float = 0.0
    unanswered_revokes: int = 0
    check_timer: object = None
    sent: bool = False
    incarnation: int = 0


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
        self.calls_by_request_id_ = {}
        self._calls_by_parent_token = {}
        self._outgoing_by_id = {}
        self._peer_clocks = _peers.PeerClocks(target_calls.attempt_validity_s)
        self._awaiting_clock_by_address = {}
        self._first_lookup_at_by_service = {}
        self._downstream_thresholds = _path_levels.DownstreamThresholds()
        self._sequence = itertools.count(1)
        target_calls.cancel_nested = self._cancel_nested

    def is_idle(self):
        return not self.calls_by_request_id_

    def dump(self):
        return {
            'calls': len(self.calls_by_request_id_),
            'attempts': len(self._outgoing_by_id),
            'waiting_for_clock': sum(
                map(len, self._awaiting_clock_by_address.values())
            ),
            'peers': len(self._peer_clocks),
            'balancer': self.balancer.dump(),
            'thresholds_below': self._downstream_thresholds.dump(),
        }

    def _early_refusal_retry_after_s(self, service, class_name, context):
        """Return a retry-after time if the call would be shed, else 0."""
        now = self.context.now
        retry_after_s = self.balancer.shed_retry_after_s(
            service, context.rank, context.shed_hash, now
        )
        if retry_after_s > 0.0:
            return retry_after_s
        if self._downstream_thresholds.should_shed(
            (service, class_name),
            _shed_score(context),
            now,
            self.context.random,
        ):
            self.context.count('entry.early_refusals_below')
            return DEFAULT_RETRY_AFTER_S
        return 0.0

    def _record_shed_at_parent(self, call):
        """Lower the parent attempt's threshold because its call was shed."""
        parent = self.target_calls.find_running(call.parent_token)
        if parent is not None:
            key = (call.request.service, call.class_name)
            parent.threshold_below = min(
                parent.threshold_below,
                _shed_score(call.context),
                self._downstream_thresholds.threshold(key),
            )

    def _cancel_nested(self, token):
        for call in list(self._calls_by_parent_token.get(token, ())):
            self.cancel(call)

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

    # Attempts

    def start(self, call):
        """Start a call, or refuse it if it would be shed downstream.

        Parameters
        ----------
        call : Call
            The call. Its ``finish`` is called exactly once.
        """
        retry_after_s = self._early_refusal_retry_after_s(
            call.request.service, call.class_name, call.context
        )
        if retry_after_s > 0.0:
            self.context.count('entry.early_refusals')
            self._record_shed_at_parent(call)
            answer = self._make_refusal(results.Result.SHED, retry_after_s)
            call.finish(
                attrs.evolve(answer, allowance_left=call.allowance.remaining)
            )
            return
        self.calls_by_request_id_[call.request_id] = call
        if call.parent_token:
            siblings = self._calls_by_parent_token.setdefault(
                call.parent_token, set()
            )
            siblings.add(call)
        call.deadline_timer = self.context.timers.after(
            max(0.0, call.deadline - self.context.now),
            lambda now: self._on_deadline(call),
        )
        self.budget.deposit(call.request.service, self.context.now)
        self._start_attempt(call)

    def _start_attempt(self, call):
        now = self.context.now
        bundle = self.bundle_holder.current
        targets = self.directory.targets(call.request.service)
        if not targets and self._is_discovering(call.request.service):
            self.context.timers.after(
                DISCOVERY_POLL_PERIOD_S,
                lambda now: self._continue_discovery(call),
            )
            return
        candidates = [
            t for t in targets if not bundle.has_partner_left(t.partner)
        ]
        target = self.balancer.choose(
            candidates, call.context.rank, call.tried_addresses, now
        )
        if target is None:
            answer = call.last_refusal or self._make_refusal(
                results.Result.NO_TARGET
            )
            self._finish(call, answer)
            return
        call.tried_addresses.add(target.address)
        outgoing = OutgoingAttempt(
            attempt_id=(
                f'{self.context.incarnation:016x}-{next(self._sequence)}'
            ),
            call=call,
            target=target,
            started_at=now,
            check_delay_s=self.attempt_timeout_s,
        )
        call.attempt = outgoing
        self._outgoing_by_id[outgoing.attempt_id] = outgoing
        self.balancer.record_sent(target, now)
        clock = self._peer_clocks.find_usable(target, now, self.context)
        if clock is None:
            # An attempt must carry a recent clock tick of the target's node.
            self._schedule_check(outgoing, HELLO_TIMEOUT_S)
            awaiting_clock = self._awaiting_clock_by_address.setdefault(
                target.address, []
            )
            awaiting_clock.append(outgoing)
            self.context.send(target.address, messages.Hello())
        else:
            self._send(outgoing, clock)

    def _is_discovering(self, service):
        now = self.context.now
        first_lookup_at = self._first_lookup_at_by_service.setdefault(
            service, now
        )
        return now - first_lookup_at < DISCOVERY_TIMEOUT_S

    def _continue_discovery(self, call):
        if not call.done:
            self._start_attempt(call)

    def _send(self, outgoing, clock):
        call = outgoing.call
        self._schedule_check(outgoing, outgoing.check_delay_s)
        outgoing.sent = True
        outgoing.incarnation = clock.incarnation
        outgoing.delegated_retries = call.allowance.delegate_half()
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
                context=attrs.evolve(
                    call.context, allowance=outgoing.delegated_retries
                ),
                remaining_s=call.deadline - self.context.now,
                target_incarnation=clock.incarnation,
                target_tick=clock.tick,
                idempotent=call.idempotent,
            ),
        )

    def _on_hello_reply(self, sender, message):
        clock = self._peer_clocks.record_clock(
            sender, message.incarnation, message.tick, self.context.now
        )
        for outgoing in self._awaiting_clock_by_address.pop(sender, ()):
            if outgoing.attempt_id not in self._outgoing_by_id:
                continue
            if message.accepting:
                self._send(outgoing, clock)
            else:
                self._handle_refused_attempt(outgoing, results.Result.LEAVING)

    def _on_attempt_reply(self, sender, message):
        self._peer_clocks.record_clock(
            sender, message.incarnation, message.tick, self.context.now
        )
        outgoing = self._outgoing_by_id.get(message.attempt_id)
        if outgoing is None or sender != outgoing.target.address:
            self.context.count('entry.late_replies')
            return
        self._handle_reply(outgoing, message)

    def _handle_reply(self, outgoing, message):
        call = outgoing.call
        self._end_attempt(outgoing, message)
        call.allowance.return_unspent(
            min(message.allowance_left, max(0, outgoing.delegated_retries))
        )
        call.upstream_attempts += message.upstream_reached
        self._record_thresholds(call, message)
        answer = kernel.Answer(
            result=results.from_number(message.result),
            status=message.status,
            headers=message.headers,
            body=message.body,
            retry_after_s=message.retry_after_s,
        )
        outcome = answer.result.outcome
        if outcome is results.Outcome.COMPLETE:
            self._finish(call, answer)
        elif outcome is results.Outcome.NOT_RUN:
            self._continue_after_refusal(call, answer)
        else:
            self._continue_after_unknown(call, answer)

    def _record_thresholds(self, call, message):
        key = (call.request.service, call.class_name)
        classes = self.bundle_holder.current.classes_by_name.values()
        max_threshold = 1.0 + max(each.rank for each in classes)
        self._downstream_thresholds.update(
            key, message.threshold_below, max_threshold, self.context.now
        )
        target_threshold = message.shed_rank + 1.0 - message.shed_fraction
        call.threshold = min(target_threshold, message.threshold_below)

    def _handle_refused_attempt(self, outgoing, result):
        self._end_attempt(outgoing, None)
        outgoing.call.allowance.return_unspent(outgoing.delegated_retries)
        self._continue_after_refusal(outgoing.call, self._make_refusal(result))

    def _continue_after_refusal(self, call, answer):
        """Redirect, retry or finish after an attempt that has not run."""
        call.last_refusal = answer
        if answer.result in _REDIRECT_REFUSALS:
            call.redirect_count += 1
            if call.redirect_count <= MAX_FREE_REDIRECTS:
                self._start_attempt(call)
                return
        elif answer.result not in _FINAL_REFUSALS and self._spend_retry(call):
            self._start_attempt(call)
            return
        self._finish(call, answer)

    def _continue_after_unknown(self, call, answer):
        """Retry or finish after an attempt that may have run."""
        call.may_have_run = True
        if call.idempotent and self._spend_retry(call):
            self._start_attempt(call)
        else:
            self._finish(call, answer)

    def _spend_retry(self, call):
        if self.context.now >= call.deadline:
            return False
        if call.allowance.remaining <= 0:
            self.context.count('entry.allowance_spent')
            return False
        if not self.budget.spend(call.request.service, self.context.now):
            self.context.count('entry.budget_spent')
            return False
        self.context.count('entry.retries')
        return call.allowance.spend()

    def _end_attempt(self, outgoing, reply):
        outgoing.call.attempt = None
        del self._outgoing_by_id[outgoing.attempt_id]
        outgoing.check_timer.cancel()
        if not outgoing.sent:
            self._stop_awaiting_clock(outgoing)
        self.balancer.record_finished(
            outgoing.target,
            self.context.now - outgoing.started_at,
            reply,
            self.context.now,
        )

    def _stop_awaiting_clock(self, outgoing):
        address = outgoing.target.address
        awaiting_clock = self._awaiting_clock_by_address.get(address)
        if awaiting_clock is not None and outgoing in awaiting_clock:
            awaiting_clock.remove(outgoing)
            if not awaiting_clock:
                del self._awaiting_clock_by_address[address]

    def _abandon_attempt(self, call):
        """Give up the current attempt, and tell its target to cancel it.

        The retries delegated to a sent attempt count as spent.
        """
        outgoing = call.attempt
        if outgoing is None:
            return
        self._end_attempt(outgoing, None)
        if outgoing.sent:
            call.may_have_run = True
            self.context.send(
                outgoing.target.address, messages.Cancel(outgoing.attempt_id)
            )

    # Attempts without a reply

    def _schedule_check(self, outgoing, delay_s):
        if outgoing.check_timer is not None:
            outgoing.check_timer.cancel()
        outgoing.check_timer = self.context.timers.after(
            delay_s, lambda now: self._check_attempt(outgoing)
        )

    def _check_attempt(self, outgoing):
        """Ask the target to revoke an attempt that got no reply.

        The reply tells whether the attempt has run, is running or will
        never run. An attempt that was not sent is refused instead.
        """
        if outgoing.attempt_id not in self._outgoing_by_id:
            return
        address = outgoing.target.address
        # A node that is only slow replies to the first Hello or Revoke. If it
        # doesn't, the connection may be dead although it is still open.
        awaiting_reply = outgoing.unanswered_revokes > 0 or not outgoing.sent
        silent = awaiting_reply and not self._peer_clocks.received_since(
            address, outgoing.started_at
        )
        if silent:
            self.context.count('entry.connections_replaced')
            self.context.emit(kernel.ResetPeer(address))
        if not outgoing.sent:
            self._handle_refused_attempt(outgoing, results.Result.NO_TARGET)
            return
        if (
            outgoing.unanswered_revokes >= MAX_UNANSWERED_REVOKES
            and outgoing.call.idempotent
        ):
            self._abandon_attempt(outgoing.call)
            answer = kernel.Answer(results.Result.ANSWER_LOST)
            self._continue_after_unknown(outgoing.call, answer)
            return
        outgoing.unanswered_revokes += 1
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
        self._peer_clocks.record_message(sender, now)
        outgoing.unanswered_revokes = 0
        if message.incarnation != outgoing.incarnation:
            # The node has restarted since the attempt was sent to it.
            self._abandon_attempt(outgoing.call)
            self._continue_after_unknown(
                outgoing.call, kernel.Answer(results.Result.ANSWER_LOST)
            )
        elif message.state is messages.RevokeState.RUNNING:
            outgoing.check_delay_s *= REVOKE_BACKOFF_FACTOR
            self._schedule_check(outgoing, outgoing.check_delay_s)
        elif message.state is messages.RevokeState.REVOKED:
            self._handle_refused_attempt(outgoing, results.Result.REVOKED)
        elif message.reply is None:
            self._abandon_attempt(outgoing.call)
            self._continue_after_unknown(
                outgoing.call, kernel.Answer(results.Result.ANSWER_LOST)
            )
        else:
            self._handle_reply(outgoing, message.reply)

    def _on_send_failed(self, event):
        if not isinstance(event.message, messages.Attempt):
            return
        outgoing = self._outgoing_by_id.get(event.message.attempt_id)
        if outgoing is not None:
            self._handle_refused_attempt(outgoing, results.Result.BACKPRESSURE)

    def _on_peer_lost(self, event):
        self._peer_clocks.remove(event.address)
        affected = [
            outgoing
            for outgoing in self._outgoing_by_id.values()
            if outgoing.target.address == event.address
        ]
        for outgoing in affected:
            self._check_attempt(outgoing)

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
        call.deadline_timer.cancel()
        self._remove_call(call)
        if (
            call.may_have_run
            and answer.result.outcome is results.Outcome.NOT_RUN
        ):
            # An earlier attempt may have run, so the request must not be
            # reported as not run, even if the last attempt was refused.
            answer = attrs.evolve(answer, result=results.Result.ANSWER_LOST)
        parent = self.target_calls.find_running(call.parent_token)
        if parent is not None:
            if answer.result is results.Result.SHED:
                call.threshold = min(call.threshold, _shed_score(call.context))
            parent.threshold_below = min(
                parent.threshold_below, call.threshold
            )
        allowance_left = (
            call.allowance.remaining if not call.parent_token else 0
        )
        call.finish(
            attrs.evolve(
                answer,
                upstream_attempts=call.upstream_attempts,
                allowance_left=allowance_left,
            )
        )

    def _remove_call(self, call):
        del self.calls_by_request_id_[call.request_id]
        siblings = self._calls_by_parent_token.get(call.parent_token)
        if siblings is not None:
            siblings.discard(call)
            if not siblings:
                del self._calls_by_parent_token[call.parent_token]

    def _make_refusal(self, result, retry_after_s=DEFAULT_RETRY_AFTER_S):
        return make_refusal(self.context, result, retry_after_s)


def make_refusal(context, result, retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Return a refusal with a jittered retry-after time.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context whose random source adds the jitter.
    result : rosemarycrank.results.Result
        Reason of the refusal.
    retry_after_s : float
        Minimum retry-after time in seconds; the jitter is added to it.

    Returns
    -------
    rosemarycrank.kernel.Answer
        The refusal.
    """
    jitter = 1.0 + RETRY_AFTER_JITTER * context.random.random()
    return kernel.Answer(result, retry_after_s=retry_after_s * jitter)


def _shed_score(context):
    return context.rank + context.shed_hash
