"""Calls at the target's node: admission, the upstream, kept answers."""

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

#: Period of the check for queued attempts whose time has run out.
EXPIRY_PERIOD_S = 0.02

#: Longest time without an announcement before an upstream counts as gone.
ANNOUNCEMENT_VALIDITY_S = 4.0

#: Spread of retry advice, so that refused clients do not come back at once.
RETRY_JITTER = 0.5


@attrs.define(eq=False)
class RunningAttempt:
    """An attempt that is queued or running at the local upstream.

    ``threshold_below`` is the lowest threshold among the services that the
    upstream called for it.
    """

    sender: str
    message: messages.Attempt
    ticket: admission.Ticket
    token: str
    allowance: _allowance.Allowance
    started: float | None = None
    cancelled: bool = False
    threshold_below: float = _path_levels.NO_THRESHOLD


@attrs.frozen
class _Kept:
    reply: messages.AttemptReply | None
    until: float


class TargetCalls(kernel.Component):
    """Enforcement point in front of the local upstream.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    directory : rosemarycrank.membership.Directory
        Where the local upstream is announced.
    controller : rosemarycrank.admission.AdmissionController
        Decides which attempts run.
    bundle_holder : object
        Its ``current`` is the bundle in force, or None.
    attempt_validity_s : float, default=30.0
        Age of the target tick up to which an attempt may start. Revoked
        and finished attempts are remembered for as long.
    keep_answer_bytes : int, default=33554432
        Most bytes of kept answers.

    Attributes
    ----------
    announced_ : rosemarycrank.kernel.UpstreamAnnounced or None
        The local upstream.
    running_by_attempt_id_ : dict of str to RunningAttempt
        Attempts queued or running.
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
        keep_answer_bytes=32 * 1024 * 1024,
    ):
        self.failure_domain = failure_domain
        self.directory = directory
        self.controller = controller
        self.bundle_holder = bundle_holder
        self.attempt_validity_s = attempt_validity_s
        self.keep_answer_bytes = keep_answer_bytes
        self.announced_ = None
        self.draining_ = False
        self.ended_partners_ = set()
        self.running_by_attempt_id_ = {}
        self._running_by_token = {}
        self._kept_by_attempt_id = collections.OrderedDict()
        self._kept_bytes = 0
        self._announced_at = 0.0
        self._expiry = None
        self.cancel_nested = None

    def attach(self, context):
        super().attach(context)
        context.timers.every(1.0, self._tidy)
        context.subscribe(bundles.BundleAccepted, self._on_bundle)

    def running(self, token):
        """Return the attempt that the local upstream serves under a token.

        Parameters
        ----------
        token : str
            In-flight token.

        Returns
        -------
        RunningAttempt or None
            None if no such attempt is running.
        """
        return self._running_by_token.get(token)

    def start_drain(self):
        self.draining_ = True
        self.directory.set_local_target(None)

    def is_idle(self):
        return not self.running_by_attempt_id_

    def dump(self):
        load = self.controller.load(self.context.now)
        level = self.controller.shed_level(self.context.now)
        return {
            'upstream': attrs.asdict(self.announced_)
            if self.announced_
            else None,
            'accepting': self._refusal() is None,
            'draining': self.draining_,
            'ended_partners': sorted(self.ended_partners_),
            'running': len(self._running_by_token),
            'attempts': len(self.running_by_attempt_id_),
            'kept_answers': len(self._kept_by_attempt_id),
            'kept_bytes': self._kept_bytes,
            'load': attrs.asdict(load),
            'shed_level': attrs.asdict(level),
        }

    # The local upstream

    def _on_announced(self, event):
        self._announced_at = self.context.now
        if event == self.announced_:
            return
        self.announced_ = event
        self.context.count('target.upstream_announced')
        self.controller.start_cold(event.slots, self.context.now)
        self._announce()

    def _on_withdrawn(self, event):
        self.announced_ = None
        self.context.count('target.upstream_withdrawn')
        self._announce()

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
            self._announce()

    def _announce(self):
        upstream = self.announced_
        if self._refusal() is not None:
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

    def _refusal(self):
        if self.draining_:
            return results.Result.LEAVING
        if self.announced_ is None:
            return results.Result.NO_TARGET
        if self.announced_.partner in self.ended_partners_:
            return results.Result.PARTNER_LEFT
        return None

    # Attempts

    def _on_hello(self, sender, message):
        upstream = self.announced_
        self.context.send(
            sender,
            messages.HelloReply(
                incarnation=self.context.incarnation,
                tick=self.context.now,
                service=upstream.service if upstream else '',
                failure_domain=self.failure_domain,
                partner=upstream.partner if upstream else '',
                accepting=self._refusal() is None,
            ),
        )

    def _on_attempt(self, sender, message):
        attempt_id = message.attempt_id
        if attempt_id in self.running_by_attempt_id_:
            self.context.count('target.duplicate_attempts')
            return
        kept = self._kept_by_attempt_id.get(attempt_id)
        if kept is not None:
            self.context.count('target.duplicate_attempts')
            if kept.reply is not None:
                self.context.send(sender, kept.reply)
            return
        refusal = self._attempt_refusal(message)
        if refusal is not None:
            self._refuse(sender, message, refusal)
            return
        self._offer(sender, message)

    def _attempt_refusal(self, message):
        age = self.context.now - message.target_tick
        if (
            message.target_incarnation != self.context.incarnation
            or not 0.0 <= age <= self.attempt_validity_s
        ):
            return results.Result.STALE_ATTEMPT
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if message.service != self.announced_.service:
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
        attempt = RunningAttempt(
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
            self._refuse(sender, message, decision.result)
            return
        self.running_by_attempt_id_[message.attempt_id] = attempt
        if decision.verdict is admission.Verdict.ADMIT:
            self._run(attempt)
        elif self._expiry is None:
            self._expiry = self.context.timers.every(
                EXPIRY_PERIOD_S, self._expire
            )

    def _run(self, attempt):
        now = self.context.now
        message = attempt.message
        attempt.started = now
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
                address=self.announced_.address,
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
        del self.running_by_attempt_id_[attempt.message.attempt_id]
        if self.cancel_nested is not None:
            self.cancel_nested(event.token)
        reached = event.result is not results.Result.CONNECT_FAILED
        self._finish(attempt, event, reached)
        sample = admission.Sample(
            latency_s=self.context.now - attempt.started,
            complete=event.result is results.Result.OK,
            refused=event.result is results.Result.UPSTREAM_REFUSED,
        )
        self._run_tickets(
            self.controller.release(attempt.ticket, sample, self.context.now)
        )

    def _run_tickets(self, tickets):
        for ticket in tickets:
            attempt = self.running_by_attempt_id_[ticket.attempt_id]
            if self.announced_ is None:
                # The upstream went while this attempt was queued.
                self._refuse_queued(ticket, results.Result.LEAVING)
                sample = admission.Sample(latency_s=0.0, complete=False)
                self._run_tickets(
                    self.controller.release(ticket, sample, self.context.now)
                )
            else:
                self._run(attempt)

    def _expire(self, now):
        for ticket in self.controller.expire(now):
            self._refuse_queued(ticket, results.Result.DEADLINE_TOO_SHORT)
        if self.controller.load(now).queued == 0:
            self._expiry.cancel()
            self._expiry = None

    def _refuse_queued(self, ticket, result):
        attempt = self.running_by_attempt_id_.pop(ticket.attempt_id)
        self._refuse(attempt.sender, attempt.message, result)

    def _on_cancel(self, sender, message):
        attempt = self.running_by_attempt_id_.get(message.attempt_id)
        if attempt is None:
            return
        if attempt.started is None:
            self.controller.withdraw(attempt.ticket, self.context.now)
            self._refuse_queued(attempt.ticket, results.Result.REVOKED)
        elif not attempt.cancelled:
            attempt.cancelled = True
            self.context.emit(kernel.UpstreamCancel(attempt.token))

    def _on_revoke(self, sender, message):
        attempt_id = message.attempt_id
        if message.silent:
            # What was sent on the old connection may have been lost.
            self.context.emit(kernel.ResetPeer(sender))
        reply = None
        kept = self._kept_by_attempt_id.get(attempt_id)
        if attempt_id in self.running_by_attempt_id_:
            state = messages.RevokeState.RUNNING
        elif kept is None:
            state = messages.RevokeState.REVOKED
            self._keep(attempt_id, self._refusal_reply(attempt_id))
            self.context.count('target.revoked')
        elif _is_revocation(kept.reply):
            state = messages.RevokeState.REVOKED
        else:
            state = messages.RevokeState.COMPLETE
            reply = kept.reply
        self.context.send(
            sender,
            messages.RevokeReply(
                attempt_id, state, self.context.incarnation, reply
            ),
        )

    # Answers

    def _finish(self, attempt, event, reached):
        self.context.count(f'target.answers.{event.result.name}')
        reply = self._reply(
            attempt.message.attempt_id,
            event.result,
            status=event.status,
            headers=event.headers,
            body=event.body,
            allowance_left=attempt.allowance.left,
            retry_after_s=event.retry_after_s,
            upstream_reached=reached,
            threshold_below=attempt.threshold_below,
        )
        self._keep(attempt.message.attempt_id, reply)
        self.context.send(attempt.sender, reply)

    def _refuse(self, sender, message, result):
        self.context.count(f'target.refused.{result.name}')
        retry_after_s = self.controller.retry_after_s(self.context.now)
        jitter = 1.0 + RETRY_JITTER * self.context.random.random()
        reply = self._reply(
            message.attempt_id,
            result,
            allowance_left=message.context.allowance,
            retry_after_s=retry_after_s * jitter,
        )
        self._keep(message.attempt_id, reply)
        self.context.send(sender, reply)

    def _refusal_reply(self, attempt_id):
        return self._reply(attempt_id, results.Result.REVOKED)

    def _reply(self, attempt_id, result, **fields):
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

    def _keep(self, attempt_id, reply):
        self._kept_by_attempt_id[attempt_id] = _Kept(
            reply, self.context.now + self.attempt_validity_s
        )
        self._kept_bytes += len(reply.body)
        if self._kept_bytes > self.keep_answer_bytes:
            self._drop_kept_bodies()

    def _drop_kept_bodies(self):
        # The identifiers stay, so a late copy still cannot run.
        for attempt_id, kept in self._kept_by_attempt_id.items():
            if self._kept_bytes <= self.keep_answer_bytes:
                break
            if kept.reply is not None and kept.reply.body:
                self._kept_bytes -= len(kept.reply.body)
                self._kept_by_attempt_id[attempt_id] = _Kept(None, kept.until)

    def _tidy(self, now):
        while self._kept_by_attempt_id:
            kept = next(iter(self._kept_by_attempt_id.values()))
            if kept.until > now:
                break
            self._kept_by_attempt_id.popitem(last=False)
            if kept.reply is not None:
                self._kept_bytes -= len(kept.reply.body)
        if (
            self.announced_ is not None
            and now - self._announced_at > ANNOUNCEMENT_VALIDITY_S
        ):
            self.context.count('target.upstream_silent')
            self._on_withdrawn(None)


def _is_revocation(reply):
    return reply is not None and reply.result == results.Result.REVOKED.number
