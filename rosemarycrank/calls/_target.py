"""Target side of a call: refusals, admission and the local upstream."""

import math

import attrs

from rosemarycrank import admission
from rosemarycrank import bundles
from rosemarycrank.calls import _accepted
from rosemarycrank.calls import _crash_suspects
from rosemarycrank.calls import _local_upstream
from rosemarycrank.calls import _replies
from rosemarycrank.calls import _reply_cache
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

#: Interval between checks for queued attempts that can no longer be served
#: before their deadline, in seconds.
EXPIRY_PERIOD_S = 0.02

#: Interval between checks for kept replies past their validity and for an
#: upstream that has stopped, in seconds.
MAINTENANCE_PERIOD_S = 1.0

#: Maximum number of entry nodes that are remembered, to be told of crashes.
MAX_SENDERS = 1000

#: Minimum time limit of a call to the upstream, in seconds.
MIN_UPSTREAM_TIMEOUT_S = 0.001


class TargetCalls(kernel.Component):
    """Admits attempts, sends them to the local upstream and replies.

    Replies and revocations are cached by attempt ID. A duplicate of an
    attempt therefore never runs again: it gets the cached reply, unless that
    was evicted. A revoked attempt that arrives late does not run either.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    directory : rosemarycrank.membership.Directory
        Membership, to which the local upstream is published as a target.
    controller : rosemarycrank.admission.AdmissionController
        Decides which attempts run and which are queued or shed.
    bundle_holder : object
        Holder whose ``current`` is the bundle in force, or None.
    attempt_validity_s : float, default=30.0
        Age of the target tick, in seconds, up to which an attempt is
        accepted. Replies and revocations are cached for the same time.
    max_cached_bytes : int, default=33554432
        Maximum total size of the bodies of cached replies. Beyond it, the
        oldest replies are evicted.

    Attributes
    ----------
    upstream_ : rosemarycrank.kernel.UpstreamAnnounced or None
        Last announcement of the local upstream; None if there is none.
    accepted_by_attempt_id_ : dict of str to AcceptedAttempt
        Attempts that are queued or running.
    """

    name = 'target'
    handles = {
        messages.Attempt: '_on_attempt',
        messages.Cancel: '_on_cancel',
        messages.CrashMark: '_on_crash_mark',
        messages.Hello: '_on_hello',
        messages.Revoke: '_on_revoke',
        kernel.PartnerLeaveRequested: '_on_partner_leave',
        kernel.UpstreamAnnounced: '_on_announced',
        kernel.UpstreamAnswer: '_on_upstream_answer',
        kernel.UpstreamReport: '_on_report',
        kernel.UpstreamWithdrawn: '_on_withdrawn',
    }

    def __init__(
        self,
        failure_domain,
        directory,
        controller,
        bundle_holder,
        attempt_validity_s=30.0,
        max_cached_bytes=32 * 1024 * 1024,
    ):
        self.failure_domain = failure_domain
        self.directory = directory
        self.controller = controller
        self.bundle_holder = bundle_holder
        self.attempt_validity_s = attempt_validity_s
        self.max_cached_bytes = max_cached_bytes
        self.accepted_by_attempt_id_ = {}
        self.cancel_nested = None
        self._running_by_token = {}
        self._senders = {}
        self._reply_cache = _reply_cache.ReplyCache(
            attempt_validity_s, max_cached_bytes
        )
        self._expiry_timer = None
        self._latest_run_end_at = math.inf

    def attach(self, context):
        """Create the parts of the target side and start its timer."""
        super().attach(context)
        self._upstream = _local_upstream.LocalUpstream(
            context, self.directory, self.failure_domain
        )
        self._replies = _replies.Replies(
            context, self.controller, self._reply_cache
        )
        self.crash_suspects = _crash_suspects.CrashSuspects(
            context, self._nodes_to_tell
        )
        context.timers.every(MAINTENANCE_PERIOD_S, self._run_maintenance)
        context.subscribe(bundles.BundleAccepted, self._on_bundle)

    @property
    def upstream_(self):
        return self._upstream.announced

    @property
    def draining_(self):
        return self._upstream.draining

    @property
    def ended_partners_(self):
        return self._upstream.ended_partners

    def find_running(self, token):
        """Return the running attempt with a given in-flight token.

        Parameters
        ----------
        token : str
            In-flight token.

        Returns
        -------
        AcceptedAttempt or None
            None if no such attempt is running at the local upstream.
        """
        return self._running_by_token.get(token)

    def start_drain(self, times=None):
        self._upstream.start_drain()
        if times is not None:
            self._latest_run_end_at = times.runs_end_at
            self.context.timers.after(
                times.calls_end_at - self.context.now, self._refuse_all_queued
            )

    def end_drain(self):
        """Refuse queued attempts, and report running ones as unknown."""
        self._refuse_all_queued(self.context.now)
        for token in list(self._running_by_token):
            self.context.count('target.cut_off')
            self.context.emit(kernel.UpstreamCancel(token))
            self._end_run(
                self._running_by_token.pop(token),
                kernel.UpstreamAnswer(token, results.Result.ANSWER_LOST),
            )

    def is_idle(self):
        return not self.accepted_by_attempt_id_

    def dump(self):
        load = self.controller.load(self.context.now)
        level = self.controller.shed_level(self.context.now)
        return {
            'upstream': attrs.asdict(self.upstream_)
            if self.upstream_
            else None,
            'accepting': self._upstream.refusal_result() is None,
            'draining': self.draining_,
            'ended_partners': sorted(self.ended_partners_),
            'running': len(self._running_by_token),
            'attempts': len(self.accepted_by_attempt_id_),
            'kept_answers': len(self._reply_cache),
            'kept_bytes': self._reply_cache.body_bytes,
            'load': attrs.asdict(load),
            'shed_level': attrs.asdict(level),
        }

    # The local upstream

    def _on_announced(self, event):
        if self._upstream.announce(event):
            self.controller.start_cold(event.slots, self.context.now)

    def _on_withdrawn(self, event):
        self._upstream.withdraw()

    def _on_report(self, event):
        self.controller.record_upstream_report(
            event.in_flight, event.slots, event.healthy, self.context.now
        )

    def _on_bundle(self, notice):
        self.controller.set_goodput_weight(notice.bundle.policy.goodput_weight)
        for partner in notice.bundle.partners_by_name.values():
            if partner.ended:
                self._upstream.end_partner(partner.name)

    def _on_partner_leave(self, event):
        self._upstream.end_partner(event.partner)

    def _run_maintenance(self, now):
        self._reply_cache.remove_expired(now)
        self._upstream.withdraw_if_silent()

    # Arrival of attempts

    def _on_hello(self, sender, message):
        upstream = self.upstream_
        self.context.send(
            sender,
            messages.HelloReply(
                incarnation=self.context.incarnation,
                tick=self.context.now,
                service=upstream.service if upstream else '',
                failure_domain=self.failure_domain,
                partner=upstream.partner if upstream else '',
                accepting=self._upstream.refusal_result() is None,
            ),
        )

    def _on_attempt(self, sender, message):
        if message.attempt_id in self.accepted_by_attempt_id_:
            self.context.count('target.duplicate_attempts')
            return
        cached = self._reply_cache.find(message.attempt_id)
        if cached is not None:
            self.context.count('target.duplicate_attempts')
            self._replies.resend(sender, cached)
            return
        refusal = self._attempt_refusal_result(message)
        if refusal is not None:
            self._replies.send_refusal(sender, message, refusal)
            return
        self._offer(_accepted.make_accepted(self.context, sender, message))

    def _attempt_refusal_result(self, message):
        age_s = self.context.now - message.target_tick
        if (
            message.target_incarnation != self.context.incarnation
            or not 0.0 <= age_s <= self.attempt_validity_s
        ):
            return results.Result.STALE_ATTEMPT
        refusal = self._upstream.refusal_result()
        if refusal is not None:
            return refusal
        if message.service != self.upstream_.service:
            return results.Result.STALE_ATTEMPT
        digest = _crash_suspects.digest_of(message)
        if self.crash_suspects.refused_for_s(digest):
            return results.Result.CRASH_SUSPECT
        return None

    def _offer(self, attempt):
        self._remember_sender(attempt.sender)
        decision = self.controller.offer(attempt.ticket, self.context.now)
        for displaced in decision.displaced:
            self._refuse_queued(displaced, results.Result.SHED)
        if decision.verdict is admission.Verdict.REFUSE:
            self._replies.send_refusal(
                attempt.sender, attempt.message, decision.result
            )
            return
        self.accepted_by_attempt_id_[attempt.message.attempt_id] = attempt
        if decision.verdict is admission.Verdict.ADMIT:
            self._call_upstream(attempt)
        else:
            self._start_expiry_timer()

    # Requests under which upstreams crash

    def _on_crash_mark(self, sender, message):
        self.crash_suspects.receive(message)

    def _nodes_to_tell(self):
        """Return the nodes that may run or send such requests."""
        nodes = {*self.directory.members(), *self._senders}
        if self.upstream_ is not None:
            targets = self.directory.targets(self.upstream_.service)
            nodes.update(target.address for target in targets)
        nodes.discard(self.context.address)
        return nodes

    def _remember_sender(self, address):
        self._senders.pop(address, None)
        self._senders[address] = None
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]

    def _judge_run(self, attempt, event):
        if event.process_ended:
            self.crash_suspects.record_lost_run(attempt.digest)
        elif event.result is results.Result.OK and event.status < 500:
            self.crash_suspects.record_good_run(attempt.digest)

    # Running attempts

    def _call_upstream(self, attempt):
        now = self.context.now
        attempt.started_at = now
        self._running_by_token[attempt.token] = attempt
        deadline = min(attempt.ticket.deadline, self._latest_run_end_at)
        remaining_s = max(MIN_UPSTREAM_TIMEOUT_S, deadline - now)
        message = attempt.message
        self.context.count('target.upstream_calls')
        self.context.emit(
            kernel.UpstreamCall(
                token=attempt.token,
                address=self.upstream_.address,
                method=message.method,
                path=message.path,
                headers=_upstream_headers(attempt, remaining_s),
                body=message.body,
                timeout_s=remaining_s,
            )
        )

    def _on_upstream_answer(self, event):
        attempt = self._running_by_token.pop(event.token, None)
        if attempt is None:
            self.context.count('target.late_upstream_answers')
            return
        if self.cancel_nested is not None:
            self.cancel_nested(event.token)
        self._judge_run(attempt, event)
        self._end_run(attempt, event)

    def _end_run(self, attempt, event):
        del self.accepted_by_attempt_id_[attempt.message.attempt_id]
        self._replies.send_answer(attempt, event)
        sample = admission.Sample(
            latency_s=self.context.now - attempt.started_at,
            complete=event.result is results.Result.OK,
            refused=event.result is results.Result.UPSTREAM_REFUSED,
        )
        self._release(attempt.ticket, sample)

    def _release(self, ticket, sample):
        started = self.controller.release(ticket, sample, self.context.now)
        for next_ticket in started:
            self._start_queued(next_ticket)

    def _start_queued(self, ticket):
        if self.upstream_ is not None:
            self._call_upstream(
                self.accepted_by_attempt_id_[ticket.attempt_id]
            )
            return
        # The upstream was withdrawn while the attempt was queued.
        self._refuse_queued(ticket, results.Result.LEAVING)
        self._release(ticket, admission.Sample(latency_s=0.0, complete=False))

    # Queued attempts

    def _start_expiry_timer(self):
        if self._expiry_timer is None:
            self._expiry_timer = self.context.timers.every(
                EXPIRY_PERIOD_S, self._expire_queued
            )

    def _expire_queued(self, now):
        for ticket in self.controller.expire(now):
            self._refuse_queued(ticket, results.Result.DEADLINE_TOO_SHORT)
        if self.controller.load(now).queued == 0:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _refuse_all_queued(self, now):
        accepted = list(self.accepted_by_attempt_id_.values())
        for attempt in accepted:
            if attempt.started_at is None:
                self.controller.withdraw(attempt.ticket, now)
                self._refuse_queued(attempt.ticket, results.Result.LEAVING)

    def _refuse_queued(self, ticket, result):
        attempt = self.accepted_by_attempt_id_.pop(ticket.attempt_id)
        self._replies.send_refusal(attempt.sender, attempt.message, result)

    # Cancelled and revoked attempts

    def _on_cancel(self, sender, message):
        attempt = self.accepted_by_attempt_id_.get(message.attempt_id)
        if attempt is None:
            return
        if attempt.started_at is None:
            self.controller.withdraw(attempt.ticket, self.context.now)
            self._refuse_queued(attempt.ticket, results.Result.REVOKED)
        elif not attempt.cancelled:
            attempt.cancelled = True
            self.context.emit(kernel.UpstreamCancel(attempt.token))

    def _on_revoke(self, sender, message):
        attempt_id = message.attempt_id
        if message.silent:
            # Messages sent on the old connection may have been lost.
            self.context.emit(kernel.ResetPeer(sender))
        if attempt_id in self.accepted_by_attempt_id_:
            reply = self._replies.revoke_reply(
                attempt_id, messages.RevokeState.RUNNING
            )
        else:
            reply = self._replies.revoke(attempt_id)
        self.context.send(sender, reply)


def _upstream_headers(attempt, remaining_s):
    return {
        **attempt.message.headers,
        'Rosemarycrank-Token': attempt.token,
        'Rosemarycrank-Request-Id': attempt.message.request_id,
        'Rosemarycrank-Deadline-Ms': str(int(remaining_s * 1000)),
    }
