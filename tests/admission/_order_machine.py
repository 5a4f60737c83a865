"""State machine with an oracle for the order of shedding.

Compared, after tickets that can't be served in time were taken out by
`expire` at the same moment, with importance ``(rank, shed_hash)``, lowest
first:

- a ticket refused as shed: no queued ticket is less important, and every
  slot within the limit is taken;
- a displaced ticket: it is less important than the offered one, and no
  queued ticket is less important than it;
- an admitted ticket: no queued ticket is more important.
"""

from hypothesis import stateful
from hypothesis import strategies

from rosemarycrank import admission
from rosemarycrank import results

RANKS = strategies.integers(0, 3)
HASHES = strategies.integers(0, 63).map(lambda n: n / 64)
PICKS = strategies.integers(0, 1 << 16)


@strategies.composite
def _samples(draw):
    kind = draw(strategies.sampled_from(['whole', 'refused', 'lost']))
    return admission.Sample(
        latency_s=draw(strategies.sampled_from([0.001, 0.02, 0.2])),
        complete=kind == 'whole',
        refused=kind == 'refused',
    )


def _importance(ticket):
    return ticket.rank, ticket.shed_hash


class OrderMachine(stateful.RuleBasedStateMachine):
    """Any mix of demand against one controller."""

    controller_class = admission.AdaptiveLimit

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
        self.count = 0
        self.running = {}
        self.queued = {}
        self.ended = set()

    @stateful.rule(
        demand=strategies.lists(
            strategies.tuples(RANKS, HASHES), min_size=1, max_size=6
        ),
        remaining_s=strategies.sampled_from([0.0, 0.05, 5.0, 60.0]),
    )
    def offer(self, demand, remaining_s):
        for rank, shed_hash in demand:
            self.count += 1
            ticket = admission.Ticket(
                f'a{self.count}', rank, shed_hash, self.now + remaining_s
            )
            self._offer(ticket)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=PICKS, sample=_samples())
    def release(self, pick, sample):
        ticket = self._pick(self.running, pick)
        self._end(self.running, ticket)
        admitted = self.controller.release(ticket, sample, self.now)
        limit = self.controller.load(self.now).limit
        for waiting in admitted:
            del self.queued[waiting.attempt_id]
            self.running[waiting.attempt_id] = waiting
            assert len(self.running) <= limit
        self._expire()
        best = min(map(_importance, self.queued.values()), default=None)
        if best is not None:
            assert all(_importance(t) <= best for t in admitted)
            assert len(self.running) >= limit

    @stateful.precondition(lambda self: self.queued)
    @stateful.rule(pick=PICKS)
    def withdraw(self, pick):
        ticket = self._pick(self.queued, pick)
        self._end(self.queued, ticket)
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
        self._expire()

    @stateful.invariant()
    def accounts_agree(self):
        load = self.controller.load(self.now)
        assert load.in_flight == len(self.running)
        assert load.queued <= len(self.queued)
        assert load.limit >= 1

    def teardown(self):
        while self.running:
            self.release(0, admission.Sample(0.02, True))
        self._expire()
        assert not self.queued
        assert len(self.ended) == self.count

    def _offer(self, ticket):
        running = len(self.running)
        decision = self.controller.offer(ticket, self.now)
        limit = self.controller.load(self.now).limit
        for loser in decision.displaced:
            self._end(self.queued, loser)
            assert _importance(loser) > _importance(ticket)
        if decision.verdict is admission.Verdict.ADMIT:
            assert running < limit
            assert ticket.deadline > self.now
            self.running[ticket.attempt_id] = ticket
        elif decision.verdict is admission.Verdict.QUEUE:
            self.queued[ticket.attempt_id] = ticket
            bound = max(limit, self.min_queue)
            assert self.controller.load(self.now).queued <= bound
        else:
            self.ended.add(ticket.attempt_id)
        self._expire()
        self._check_order(ticket, decision, running, limit)

    def _check_order(self, ticket, decision, running, limit):
        others = [
            _importance(queued)
            for queued in self.queued.values()
            if queued is not ticket
        ]
        if decision.displaced:
            least = max(others, default=(-1,))
            assert all(least <= _importance(t) for t in decision.displaced)
        if decision.result is results.Result.SHED:
            assert running >= limit
            assert all(other <= _importance(ticket) for other in others)
        if decision.verdict is admission.Verdict.ADMIT:
            assert all(other >= _importance(ticket) for other in others)

    def _expire(self):
        for late in self.controller.expire(self.now):
            self._end(self.queued, late)

    def _end(self, group, ticket):
        assert group.pop(ticket.attempt_id) == ticket
        assert ticket.attempt_id not in self.ended
        self.ended.add(ticket.attempt_id)

    def _pick(self, group, pick):
        return list(group.values())[pick % len(group)]
