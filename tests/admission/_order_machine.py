"""State machine that checks the order in which a controller sheds.

Guards against refusing an important attempt while a less important one is
queued or a slot is free. The importance of a ticket is ``(rank, shed_hash)``,
lower values first. The oracle checks the following after `expire` has removed
the tickets that cannot meet their deadlines at that time:

- When a ticket is refused as shed, no queued ticket is less important, and
  all slots within the limit are taken.
- A displaced ticket is less important than the offered one, and no queued
  ticket is less important than the displaced one.
- When a ticket is admitted, no queued ticket is more important.

Each example ends with overloads, whatever the rules did before: one with the
limit that the rules led to, and two with enough slots for a queue of several
tickets. In each, every ticket is more important than the one before it, and
there are more tickets than slots and places in the queue. Then the running
tickets finish; after the last one the queued tickets expire first.
"""

from hypothesis import stateful
from hypothesis import strategies

from rosemarycrank import admission
from rosemarycrank import results

RANKS = strategies.integers(0, 3)
HASHES = strategies.integers(0, 63).map(lambda n: n / 64)
PICKS = strategies.integers(0, 1 << 16)

#: Tickets of an overload above the slots and the places in the queue.
EXCESS_TICKETS = 3
OVERLOAD_DEADLINE_S = 60.0

#: Slots for which the queue has several places at any goodput weight, and the
#: time after which all of them are in use.
LAST_SLOTS = 8
WARM_UP_S = 6.0


@strategies.composite
def _samples(draw):
    kind = draw(strategies.sampled_from(['complete', 'refused', 'failed']))
    return admission.Sample(
        latency_s=draw(strategies.sampled_from([0.001, 0.02, 0.2])),
        complete=kind == 'complete',
        refused=kind == 'refused',
    )


def _importance(ticket):
    return ticket.rank, ticket.shed_hash


class OrderMachine(stateful.RuleBasedStateMachine):
    """Random sequence of operations on one admission controller."""

    controller_class = admission.AdaptiveLimit
    controller = None

    @stateful.initialize(
        weight=strategies.sampled_from([0.0, 0.5, 1.0]),
        min_queue=strategies.sampled_from([1, 5]),
    )
    def start(self, weight, min_queue):
        self.min_queue = min_queue
        self.controller = self.controller_class(
            initial_limit=3,
            goodput_weight=weight,
            window_samples=4,
            min_queue=min_queue,
        )
        self.now = 0.0
        self.offered = 0
        self.running = {}
        self.queued = {}
        self.finished = set()

    @stateful.rule(
        demand=strategies.lists(
            strategies.tuples(RANKS, HASHES), min_size=1, max_size=6
        ),
        remaining_s=strategies.sampled_from([0.0, 0.05, 5.0, 60.0]),
    )
    def offer(self, demand, remaining_s):
        for rank, shed_hash in demand:
            self._offer(self._make_ticket(rank, shed_hash, remaining_s))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=PICKS, sample=_samples())
    def release(self, pick, sample):
        ticket = self._pick(self.running, pick)
        self._finish(self.running, ticket)
        admitted = self.controller.release(ticket, sample, self.now)
        limit = self.controller.load(self.now).limit
        for waiting in admitted:
            del self.queued[waiting.attempt_id]
            self.running[waiting.attempt_id] = waiting
            assert len(self.running) <= limit
        self._refuse_expired()
        most_important = min(
            map(_importance, self.queued.values()), default=None
        )
        if most_important is not None:
            assert all(_importance(t) <= most_important for t in admitted)
            assert len(self.running) >= limit

    @stateful.precondition(lambda self: self.queued)
    @stateful.rule(pick=PICKS)
    def withdraw(self, pick):
        ticket = self._pick(self.queued, pick)
        self._finish(self.queued, ticket)
        self.controller.withdraw(ticket, self.now)

    @stateful.rule(step_s=strategies.sampled_from([0.001, 0.05, 6.0]))
    def advance(self, step_s):
        self.now += step_s

    @stateful.rule(slots=strategies.sampled_from([0, 2, 8]))
    def start_cold(self, slots):
        self.controller.start_cold(slots, self.now)

    @stateful.rule(
        in_flight=strategies.integers(0, 9), healthy=strategies.booleans()
    )
    def report(self, in_flight, healthy):
        self.controller.record_upstream_report(in_flight, 4, healthy, self.now)

    @stateful.rule()
    def expire(self):
        self._refuse_expired()

    @stateful.invariant()
    def load_matches_the_tickets(self):
        load = self.controller.load(self.now)
        assert load.in_flight == len(self.running)
        assert load.queued <= len(self.queued)
        assert load.limit >= 1

    def teardown(self):
        if self.controller is None:
            return
        self._overload()
        self._finish_all()
        self.controller.start_cold(LAST_SLOTS, self.now)
        self.now += WARM_UP_S
        self._overload()
        self._finish_all()
        self._overload()
        self.now += OVERLOAD_DEADLINE_S
        self._refuse_expired()
        assert not self.queued, 'queued tickets did not expire'
        self._finish_all()

    def _overload(self):
        """Offer more tickets than fit, the least important ones first."""
        load = self.controller.load(self.now)
        places = load.limit + max(load.limit, self.min_queue)
        count = places + EXCESS_TICKETS
        for number in reversed(range(count)):
            ticket = self._make_ticket(0, number / count, OVERLOAD_DEADLINE_S)
            self._offer(ticket)

    def _finish_all(self):
        while self.running:
            self.release(0, admission.Sample(0.02, True))
        self._refuse_expired()
        assert not self.queued
        assert len(self.finished) == self.offered

    def _make_ticket(self, rank, shed_hash, remaining_s):
        self.offered += 1
        return admission.Ticket(
            f'a{self.offered}', rank, shed_hash, self.now + remaining_s
        )

    def _offer(self, ticket):
        running = len(self.running)
        decision = self.controller.offer(ticket, self.now)
        limit = self.controller.load(self.now).limit
        for displaced in decision.displaced:
            self._finish(self.queued, displaced)
            assert _importance(displaced) > _importance(ticket)
        if decision.verdict is admission.Verdict.ADMIT:
            assert running < limit
            assert ticket.deadline > self.now
            self.running[ticket.attempt_id] = ticket
        elif decision.verdict is admission.Verdict.QUEUE:
            self.queued[ticket.attempt_id] = ticket
            bound = max(limit, self.min_queue)
            assert self.controller.load(self.now).queued <= bound
        else:
            self.finished.add(ticket.attempt_id)
        self._refuse_expired()
        self._check_order(ticket, decision, running, limit)

    def _check_order(self, ticket, decision, running, limit):
        others = [
            _importance(queued)
            for queued in self.queued.values()
            if queued is not ticket
        ]
        if decision.displaced:
            least_important = max(others, default=(-1,))
            assert all(
                least_important <= _importance(t) for t in decision.displaced
            )
        if decision.result is results.Result.SHED:
            assert running >= limit
            assert all(other <= _importance(ticket) for other in others)
        if decision.verdict is admission.Verdict.ADMIT:
            assert all(other >= _importance(ticket) for other in others)

    def _refuse_expired(self):
        for expired in self.controller.expire(self.now):
            self._finish(self.queued, expired)

    def _finish(self, group, ticket):
        assert group.pop(ticket.attempt_id) == ticket
        assert ticket.attempt_id not in self.finished
        self.finished.add(ticket.attempt_id)

    def _pick(self, group, pick):
        return list(group.values())[pick % len(group)]
