"""Target side of a call: admission, the local upstream, cached replies."""

import collections

import attrs

from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import bundles
from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _path_levels
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results

#: Interval between checks for queued attempts that can no longer be served
#: before their deadline, in seconds.
EXPIRY_PERIOD_S = 0.02

#: Time without an announcement, in seconds, after which the upstream is taken
#: to have stopped.
ANNOUNCEMENT_VALIDITY_S = 4.0

#: Maximum jitter of the retry-after time, as a fraction of it. The jitter
#: keeps refused clients from all retrying at the same time.
RETRY_AFTER_JITTER = 0.5


@attrs.define(eq=False)
class AcceptedAttempt:
    """An attempt that is queued or running at the local upstream.

    ``token`` identifies the attempt to the local upstream, which sends the
    token back with its nested calls. ``started_at`` is the local time in
    seconds at which the upstream was called; None while the attempt is
    queued. ``threshold_below`` is the lowest shedding threshold among the
    services that the upstream has called for this attempt.
    """

    sender: str
    message: messages.Attempt
    ticket: admission.Ticket
    token: str
    allowance: _allowance.Allowance
    started_at: float | None = None
    cancelled: bool = False
    threshold_below: float = _path_levels.NO_THRESHOLD


@attrs.frozen
class _CachedReply:
    reply: messages.AttemptReply | None
    expires_at: float


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
        self.upstream_ = None
        self.draining_ = False
        self.ended_partners_ = set()
        self.accepted_by_attempt_id_ = {}
        self._running_by_token = {}
        self._cached_by_attempt_id = collections.OrderedDict()
        self._cached_bytes = 0
        self._last_announced_at = 0.0
        self._expiry_timer = None
        self.cancel_nested = None

    def attach(self, context):
        super().attach(context)
        context.timers.every(1.0, self._run_maintenance)
        context.subscribe(bundles.BundleAccepted, self._on_bundle)

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

    def start_drain(self):
        self.draining_ = True
        self.directory.set_local_target(None)

    def is_idle(self):
        return not self.accepted_by_attempt_id_

    def dump(self):
        load = self.controller.load(self.context.now)
        level = self.controller.shed_level(self.context.now)
        return {
            'upstream': attrs.asdict(self.upstream_)
            if self.upstream_
            else None,
            'accepting': self._refusal_result() is None,
            'draining': self.draining_,
            'ended_partners': sorted(self.ended_partners_),
            'running': len(self._running_by_token),
            'attempts': len(self.accepted_by_attempt_id_),
            'kept_answers': len(self._cached_by_attempt_id),
            'kept_bytes': self._cached_bytes,
            'load': attrs.asdict(load),
            'shed_level': attrs.asdict(level),
        }

    # The local upstream

    def _on_announced(self, event):
        self._last_announced_at = self.context.now
        if event == self.upstream_:
            return
        self.upstream_ = event
        self.context.count('target.upstream_announced')
        self.controller.start_cold(event.slots, self.context.now)
        self._publish_target()

    def _on_withdrawn(self, event):
        self.upstream_ = None
        self.context.count('target.upstream_withdrawn')
        self._publish_target()

    def _on_report(self, event):
        self.controller.record_upstream_report(
            event.in_flight, event.slots, event.healthy, self.context.now
        )

    def _on_bundle(self, notice):
        self.controller.set_goodput_weight(notice.bundle.policy.goodput_weight)
        for partner in notice.bundle.partners_by_name.values():
            if partner.ended:
                self._end_partner(partner.name)

    def _on_partner_leave(self, event):
        self._end_partner(event.partner)

    def _end_partner(self, partner):
        if partner not in self.ended_partners_:
            self.ended_partners_.add(partner)
            self._publish_target()

    def _publish_target(self):
        upstream = self.upstream_
        if self._refusal_result() is not None:
            self.directory.set_local_target(None)
            return
        self.directory.set_local_target(
            balancing.Target(
                address=self.context.address,
                incarnation=self.context.incarnation,
                service=upstream.service,
                failure_domain=self.failure_domain,
                partner=upstream.partner,
                slots=upstream.slots,
            )
        )

    def _refusal_result(self):
        if self.draining_:
            return results.Result.LEAVING
        if self.upstream_ is None:
            return results.Result.NO_TARGET
        if self.upstream_.partner in self.ended_partners_:
            return results.Result.PARTNER_LEFT
        return None

    # Attempts

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
                accepting=self._refusal_result() is None,
            ),
        )

    def _on_attempt(self, sender, message):
        attempt_id = message.attempt_id
        if attempt_id in self.accepted_by_attempt_id_:
            self.context.count('target.duplicate_attempts')
            return
        cached = self._cached_by_attempt_id.get(attempt_id)
        if cached is not None:
            self.context.count('target.duplicate_attempts')
            if cached.reply is not None:
                self.context.send(sender, cached.reply)
            return
        refusal = self._attempt_refusal_result(message)
        if refusal is not None:
            self._send_refusal(sender, message, refusal)
            return
        self._offer(sender, message)

    def _attempt_refusal_result(self, message):
        age = self.context.now - message.target_tick
        if (
            message.target_incarnation != self.context.incarnation
            or not 0.0 <= age <= self.attempt_validity_s
        ):
            return results.Result.STALE_ATTEMPT
        refusal = self._refusal_result()
        if refusal is not None:
            return refusal
        if message.service != self.upstream_.service:
            return results.Result.STALE_ATTEMPT
        return None

    def _offer(self, sender, message):
        now = self.context.now
        ticket = admission.Ticket(
            attempt_id=message.attempt_id,
            rank=message.context.rank,
            shed_hash=message.context.shed_hash,
            deadline=now + message.remaining_s,
        )
        attempt = AcceptedAttempt(
            sender=sender,
            message=message,
            ticket=ticket,
            token=f'{self.context.random.getrandbits(128):032x}',
            allowance=_allowance.Allowance(message.context.allowance),
        )
        decision = self.controller.offer(ticket, now)
        for displaced in decision.displaced:
            self._refuse_queued(displaced, results.Result.SHED)
        if decision.verdict is admission.Verdict.REFUSE:
            self._send_refusal(sender, message, decision.result)
            return
        self.accepted_by_attempt_id_[message.attempt_id] = attempt
        if decision.verdict is admission.Verdict.ADMIT:
            self._call_upstream(attempt)
        elif self._expiry_timer is None:
            self._expiry_timer = self.context.timers.every(
                EXPIRY_PERIOD_S, self._expire_queued
            )

    def _call_upstream(self, attempt):
        now = self.context.now
        message = attempt.message
        attempt.started_at = now
        self._running_by_token[attempt.token] = attempt
        remaining_s = max(0.001, attempt.ticket.deadline - now)
        headers = dict(message.headers)
        headers['Rosemarycrank-Token'] = attempt.token
        headers['Rosemarycrank-Request-Id'] = message.request_id
        headers['Rosemarycrank-Deadline-Ms'] = str(int(remaining_s * 1000))
        self.context.count('target.upstream_calls')
        self.context.emit(
            kernel.UpstreamCall(
                token=attempt.token,
                address=self.upstream_.address,
                method=message.method,
                path=message.path,
                headers=headers,
                body=message.body,
                timeout_s=remaining_s,
            )
        )

    def _on_upstream_answer(self, event):
        attempt = self._running_by_token.pop(event.token, None)
        if attempt is None:
            self.context.count('target.late_upstream_answers')
            return
        del self.accepted_by_attempt_id_[attempt.message.attempt_id]
        if self.cancel_nested is not None:
            self.cancel_nested(event.token)
        upstream_reached = event.result is not results.Result.CONNECT_FAILED
        self._send_answer(attempt, event, upstream_reached)
        sample = admission.Sample(
            latency_s=self.context.now - attempt.started_at,
            complete=event.result is results.Result.OK,
            refused=event.result is results.Result.UPSTREAM_REFUSED,
        )
        self._start_tickets(
            self.controller.release(attempt.ticket, sample, self.context.now)
        )

    def _start_tickets(self, tickets):
        for ticket in tickets:
            attempt = self.accepted_by_attempt_id_[ticket.attempt_id]
            if self.upstream_ is None:
                # The upstream was withdrawn while this attempt was queued.
                self._refuse_queued(ticket, results.Result.LEAVING)
                sample = admission.Sample(latency_s=0.0, complete=False)
                self._start_tickets(
                    self.controller.release(ticket, sample, self.context.now)
                )
            else:
                self._call_upstream(attempt)

    def _expire_queued(self, now):
        for ticket in self.controller.expire(now):
            self._refuse_queued(ticket, results.Result.DEADLINE_TOO_SHORT)
        if self.controller.load(now).queued == 0:
            self._expiry_timer.cancel()
            self._expiry_timer = None

    def _refuse_queued(self, ticket, result):
        attempt = self.accepted_by_attempt_id_.pop(ticket.attempt_id)
        self._send_refusal(attempt.sender, attempt.message, result)

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
        reply = None
        cached = self._cached_by_attempt_id.get(attempt_id)
        if attempt_id in self.accepted_by_attempt_id_:
            state = messages.RevokeState.RUNNING
        elif cached is None:
            state = messages.RevokeState.REVOKED
            self._cache_reply(attempt_id, self._revoked_reply(attempt_id))
            self.context.count('target.revoked')
        elif _is_revoked_reply(cached.reply):
            state = messages.RevokeState.REVOKED
        else:
            state = messages.RevokeState.COMPLETE
            reply = cached.reply
        self.context.send(
            sender,
            messages.RevokeReply(
                attempt_id, state, self.context.incarnation, reply
            ),
        )

    # Replies

    def _send_answer(self, attempt, event, upstream_reached):
        self.context.count(f'target.answers.{event.result.name}')
        reply = self._make_reply(
            attempt.message.attempt_id,
            event.result,
            status=event.status,
            headers=event.headers,
            body=event.body,
            allowance_left=attempt.allowance.remaining,
            retry_after_s=event.retry_after_s,
            upstream_reached=upstream_reached,
            threshold_below=attempt.threshold_below,
        )
        self._cache_reply(attempt.message.attempt_id, reply)
        self.context.send(attempt.sender, reply)

    def _send_refusal(self, sender, message, result):
        self.context.count(f'target.refused.{result.name}')
        retry_after_s = self.controller.retry_after_s(self.context.now)
        jitter = 1.0 + RETRY_AFTER_JITTER * self.context.random.random()
        reply = self._make_reply(
            message.attempt_id,
            result,
            allowance_left=message.context.allowance,
            retry_after_s=retry_after_s * jitter,
        )
        self._cache_reply(message.attempt_id, reply)
        self.context.send(sender, reply)

    def _revoked_reply(self, attempt_id):
        return self._make_reply(attempt_id, results.Result.REVOKED)

    def _make_reply(self, attempt_id, result, **fields):
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

    def _cache_reply(self, attempt_id, reply):
        self._cached_by_attempt_id[attempt_id] = _CachedReply(
            reply, self.context.now + self.attempt_validity_s
        )
        self._cached_bytes += len(reply.body)
        if self._cached_bytes > self.max_cached_bytes:
            self._evict_cached_replies()

    def _evict_cached_replies(self):
        # The attempt IDs stay, so a late duplicate still cannot run.
        for attempt_id, cached in self._cached_by_attempt_id.items():
            if self._cached_bytes <= self.max_cached_bytes:
                break
            if cached.reply is not None and cached.reply.body:
                self._cached_bytes -= len(cached.reply.body)
                self._cached_by_attempt_id[attempt_id] = _CachedReply(
                    None, cached.expires_at
                )

    def _run_maintenance(self, now):
        while self._cached_by_attempt_id:
            cached = next(iter(self._cached_by_attempt_id.values()))
            if cached.expires_at > now:
                break
            self._cached_by_attempt_id.popitem(last=False)
            if cached.reply is not None:
                self._cached_bytes -= len(cached.reply.body)
        if (
            self.upstream_ is not None
            and now - self._last_announced_at > ANNOUNCEMENT_VALIDITY_S
        ):
            self.context.count('target.upstream_silent')
            self._on_withdrawn(None)


def _is_revoked_reply(reply):
    return reply is not None and reply.result == results.Result.REVOKED.number
