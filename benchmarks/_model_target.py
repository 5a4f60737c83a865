"""Target's node and upstream in the simulation of overload control."""

import collections

from benchmarks import _model_calls
from benchmarks import _model_settings
from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import messages
from rosemarycrank import results

Outcome = _model_calls.Outcome
State = _model_calls.State


class Upstream:
    """Upstream without admission control: slots and an unbounded queue.

    Parameters
    ----------
    slots : int
        Number of attempts that run at the same time.
    """

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.queue = collections.deque()

    def start(self, attempt, on_slot):
        """Call ``on_slot`` with the attempt as soon as a slot is free."""
        if self.running < self.slots:
            self.running += 1
            on_slot(attempt)
        else:
            self.queue.append((attempt, on_slot))

    def release_slot(self):
        """Release a slot and start queued attempts that still wait."""
        self.running -= 1
        while self.queue and self.running < self.slots:
            attempt, on_slot = self.queue.popleft()
            if attempt.state is State.RUNNING:
                self.running += 1
                on_slot(attempt)


class TargetNode:
    """Node of one target, with its upstream.

    Parameters
    ----------
    model : Model
        The simulation.
    service : str
        Service of the target.
    number : int
        Number of the target in its service.
    entry_node : EntryNode
        Entry side of the same node, through which the upstream calls on.
    """

    def __init__(self, model, service, number, entry_node):
        self.model = model
        self.service = service
        self.entry_node = entry_node
        slots = _model_settings.SLOTS_BY_SERVICE[service]
        self.target = balancing.Target(
            address=f'{service}:{number}',
            incarnation=1,
            service=service,
            failure_domain='fd-a',
            slots=int(slots * model.announced),
        )
        self.admission = model.variant.make_admission(self.target.slots or 1)
        self.admission.start_cold(self.target.slots, 0.0)
        self.upstream = Upstream(slots)
        self.queued_by_id = {}
        model.clock.schedule(
            _model_settings.EXPIRY_CHECK_INTERVAL_S, self.expire
        )

    def receive(self, attempt):
        """Offer an attempt to the admission controller."""
        if attempt.state is not State.SENT:
            return
        attempt.ticket = admission.Ticket(
            attempt.identifier,
            attempt.request.rank,
            attempt.request.shed_hash,
            attempt.deadline,
        )
        decision = self.admission.offer(attempt.ticket, self.model.clock.now)
        for ticket in decision.displaced:
            self._refuse(self.queued_by_id.pop(ticket.attempt_id))
        if decision.verdict is admission.Verdict.ADMIT:
            self._admit(attempt)
        elif decision.verdict is admission.Verdict.QUEUE:
            attempt.state = State.QUEUED
            self.queued_by_id[attempt.identifier] = attempt
        else:
            self._refuse(attempt)

    def expire(self):
        """Refuse queued attempts that can no longer meet their deadline."""
        for ticket in self.admission.expire(self.model.clock.now):
            self._refuse(self.queued_by_id.pop(ticket.attempt_id))
        self.model.clock.schedule(
            _model_settings.EXPIRY_CHECK_INTERVAL_S, self.expire
        )

    def cancel(self, attempt):
        """Cancel an attempt whose caller no longer waits for the answer."""
        if attempt.state is State.RUNNING:
            holds_slot = attempt.work_s > 0
            if attempt.child:
                attempt.child.cancel()
            self._finish(attempt, Outcome.CANCELLED, frees_slot=holds_slot)
            return
        if attempt.state is State.ENDED:
            return
        if attempt.state is State.QUEUED:
            del self.queued_by_id[attempt.identifier]
            self.admission.withdraw(attempt.ticket, self.model.clock.now)
        attempt.state = State.ENDED
        self._reply(attempt, Outcome.CANCELLED, upstream_reached=False)

    # Work of the upstream

    def _admit(self, attempt):
        attempt.state = State.RUNNING
        attempt.admitted_at = self.model.clock.now
        self.upstream.start(attempt, self._start_work)

    def _start_work(self, attempt):
        attempt.work_s = self.model.work_s(self.service)
        self.model.tally.add_work(attempt.request, attempt.work_s)
        self.model.clock.schedule(attempt.work_s, self._on_work_done, attempt)

    def _on_work_done(self, attempt):
        if attempt.state is not State.RUNNING:
            return
        callee = _model_settings.CALLEE_BY_SERVICE.get(self.service)
        if callee is None:
            self._finish(attempt, Outcome.COMPLETE)
            return
        attempt.child = _model_calls.Call(
            attempt.request,
            callee,
            attempt.deadline,
            lambda outcome, _: self._on_child_finished(attempt, outcome),
        )
        self.entry_node.call(attempt.child)

    def _on_child_finished(self, attempt, outcome):
        if attempt.state is State.RUNNING:
            self._finish(attempt, outcome)

    # Ends of attempts

    def _finish(self, attempt, outcome, frees_slot=True):
        now = self.model.clock.now
        attempt.state = State.ENDED
        if frees_slot:
            self.upstream.release_slot()
        sample = admission.Sample(
            now - attempt.admitted_at,
            outcome is Outcome.COMPLETE,
            outcome is Outcome.REFUSED,
        )
        for ticket in self.admission.release(attempt.ticket, sample, now):
            self._admit(self.queued_by_id.pop(ticket.attempt_id))
        self._reply(attempt, outcome, upstream_reached=True)

    def _refuse(self, attempt):
        attempt.state = State.ENDED
        self._reply(attempt, Outcome.REFUSED, upstream_reached=False)

    def _reply(self, attempt, outcome, upstream_reached):
        now = self.model.clock.now
        level = self.admission.shed_level(now)
        load = self.admission.load(now)
        is_complete = outcome is Outcome.COMPLETE
        result = results.Result.OK if is_complete else results.Result.SHED
        reply = messages.AttemptReply(
            attempt.identifier,
            result.number,
            1,
            now,
            retry_after_s=self.admission.retry_after_s(now),
            shed_rank=level.rank,
            shed_fraction=level.fraction,
            in_flight=load.in_flight + load.queued,
            limit=load.limit,
            upstream_reached=upstream_reached,
        )
        attempt.on_reply(outcome, reply)
