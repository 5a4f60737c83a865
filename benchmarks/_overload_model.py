"""Call graph in virtual time, to choose between ways to limit admission.

A plain event queue drives the real admission controllers, balancers and
retry budgets. Upstreams have slots and a queue of their own; a call holds
its slot while it waits for the service below. Not a cluster: no membership,
no messages, no losses.

Run with ``python -m benchmarks._overload_model``.
"""

import collections
import heapq
import itertools
import json
import random

import attrs
import typer

from benchmarks import _overload_limits
from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank import messages
from rosemarycrank import results
from rosemarycrank import retry

#: One-way latency between VMs in seconds.
LINK_S = 0.0005
#: Period at which queued tickets are checked against their deadlines.
EXPIRE_S = 0.01
TARGETS = 3
CHAIN = ('front', 'middle', 'inner', 'leaf')
NEXT_BY_SERVICE = dict(zip(CHAIN, CHAIN[1:]))
#: Own work in seconds and slots of one target.
WORK_S_BY_SERVICE = {
    'front': 0.005,
    'middle': 0.005,
    'inner': 0.005,
    'leaf': 0.1,
}
SLOTS_BY_SERVICE = {'front': 40, 'middle': 30, 'inner': 24, 'leaf': 10}
#: Client requests per second that the leaf can serve.
CAPACITY = TARGETS * SLOTS_BY_SERVICE['leaf'] / WORK_S_BY_SERVICE['leaf']
SHARE_BY_RANK = (0.1, 0.15, 0.3, 0.45)
CLIENT_DEADLINE_S = 1.0
CLIENT_ATTEMPTS = 4
CLIENT_PAUSE_S = 0.02
ALLOWANCE = 2
BASE_LOAD = 0.7
SURGE_LOAD = 3.0
SURGE_START_S = 8.0
SURGE_END_S = 18.0
END_S = 30.0
SLOWDOWN = 2.0
BUCKET_S = 0.25


@attrs.frozen
class Variant:
    """One way to control admission.

    ``honours`` is the share of clients that wait as long as they are told;
    ``cancels`` whether work is cancelled when its caller gives up.
    """

    name: str
    make_admission: object
    balancer: str = 'local-first'
    make_budget: object = retry.TokenBucket
    cancels: bool = True
    honours: float = 0.5


class Clock:
    """Event queue in virtual time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = itertools.count()

    def after(self, delay_s, function, *arguments):
        """Call a function later."""
        entry = self.now + delay_s, next(self._sequence), function, arguments
        heapq.heappush(self._heap, entry)

    def run(self, end):
        """Fire events until a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)


@attrs.define(eq=False)
class Attempt:
    """One attempt at one target."""

    identifier: str
    request: object
    vm: object
    deadline: float
    reply: object
    ticket: object = None
    admitted_at: float = 0.0
    state: str = 'sent'
    child: object = None
    work_s: float = 0.0


@attrs.define(eq=False)
class Request:
    """One client request, with its sends."""

    number: int
    rank: int
    shed_hash: float
    born: float
    sends: int = 0
    done: bool = False
    allowance: int = ALLOWANCE


@attrs.define(eq=False)
class Call:
    """A call at its entry node."""

    request: object
    service: str
    entry: object
    deadline: float
    done: object
    attempt: object = None
    excluded: set = attrs.field(factory=set)
    ended: bool = False


class Upstream:
    """Slots and an unbounded queue, as an upstream without our layer."""

    def __init__(self, slots):
        self.slots = slots
        self.running = 0
        self.waiting = collections.deque()

    def start(self, attempt, begin):
        """Begin now, or once a slot is free."""
        if self.running < self.slots:
            self.running += 1
            begin(attempt)
        else:
            self.waiting.append((attempt, begin))

    def finish(self):
        """Free a slot."""
        self.running -= 1
        while self.waiting and self.running < self.slots:
            attempt, begin = self.waiting.popleft()
            if attempt.state == 'running':
                self.running += 1
                begin(attempt)


class Vm:
    """A target and, for the calls of its upstream, an entry node."""

    def __init__(self, model, service, number):
        self.model = model
        self.service = service
        self.target = balancing.Target(
            address=f'{service}:{number}',
            incarnation=1,
            service=service,
            failure_domain='fd-a',
            slots=int(SLOTS_BY_SERVICE.get(service, 0) * model.announced),
        )
        variant = model.variant
        slots = self.target.slots
        self.admission = variant.make_admission(slots or 1)
        self.admission.start_cold(slots, 0.0)
        self.upstream = Upstream(SLOTS_BY_SERVICE.get(service, 0))
        self.balancer = kernel.create(
            'balancing',
            variant.balancer,
            failure_domain='fd-a',
            random=random.Random(model.source.random()),
        )
        self.budget = variant.make_budget()
        self.queued_by_id = {}
        model.clock.after(EXPIRE_S, self.expire)

    # Entry node

    def call(self, call):
        """Refuse a call early, or send its first attempt."""
        now = self.model.clock.now
        request = call.request
        wait_s = self.balancer.shed_retry_after_s(
            call.service, request.rank, request.shed_hash, now
        )
        if wait_s:
            self.model.early += 1
            self._end(call, 'refused', wait_s)
            return
        self.budget.deposit(call.service, now)
        self._send(call)

    def _send(self, call):
        now = self.model.clock.now
        target = self.balancer.choose(
            self.model.targets_by_service[call.service],
            call.request.rank,
            call.excluded,
            now,
        )
        if target is None:
            self._end(call, 'refused', 0.5)
            return
        self.balancer.record_sent(target, now)
        attempt = Attempt(
            f'a{next(self.model.identifiers)}',
            call.request,
            self.model.vms_by_address[target.address],
            call.deadline,
            lambda *reply: self.model.clock.after(
                LINK_S, self._replied, call, target, now, *reply
            ),
        )
        call.attempt = attempt
        self.model.clock.after(LINK_S, attempt.vm.receive, attempt)

    def _replied(self, call, target, sent, outcome, reply):
        now = self.model.clock.now
        self.balancer.record_finished(target, now - sent, reply, now)
        if call.ended:
            return
        if outcome == 'refused' and reply.upstream_reached is False:
            call.excluded.add(target.address)
            if call.request.allowance > 0 and self.budget.spend(
                call.service, now
            ):
                call.request.allowance -= 1
                self.model.retries += 1
                self._send(call)
                return
        self._end(call, outcome, reply.retry_after_s)

    def _end(self, call, outcome, retry_after_s=0.0):
        if not call.ended:
            call.ended = True
            call.done(outcome, retry_after_s)

    # Target

    def receive(self, attempt):
        """Offer an attempt to the admission controller."""
        if attempt.state != 'sent':
            return
        now = self.model.clock.now
        attempt.ticket = admission.Ticket(
            attempt.identifier,
            attempt.request.rank,
            attempt.request.shed_hash,
            attempt.deadline,
        )
        decision = self.admission.offer(attempt.ticket, now)
        for ticket in decision.displaced:
            self._refuse(self.queued_by_id.pop(ticket.attempt_id))
        if decision.verdict is admission.Verdict.ADMIT:
            self._run(attempt)
        elif decision.verdict is admission.Verdict.QUEUE:
            attempt.state = 'queued'
            self.queued_by_id[attempt.identifier] = attempt
        else:
            self._refuse(attempt)

    def expire(self):
        """Refuse the queued attempts that are too late."""
        for ticket in self.admission.expire(self.model.clock.now):
            self._refuse(self.queued_by_id.pop(ticket.attempt_id))
        self.model.clock.after(EXPIRE_S, self.expire)

    def cancel(self, attempt):
        """Stop an attempt whose caller gave up."""
        if attempt.state == 'queued':
            del self.queued_by_id[attempt.identifier]
            self.admission.withdraw(attempt.ticket, self.model.clock.now)
            attempt.state = 'ended'
            self._reply(attempt, 'cancelled', False)
        elif attempt.state == 'running':
            started = attempt.work_s > 0
            if attempt.child:
                self.model.cancel(attempt.child)
            self._finish(attempt, 'cancelled', frees_slot=started)
        elif attempt.state == 'sent':
            attempt.state = 'ended'
            self._reply(attempt, 'cancelled', False)

    def _run(self, attempt):
        attempt.state = 'running'
        attempt.admitted_at = self.model.clock.now
        self.upstream.start(attempt, self._work)

    def _work(self, attempt):
        attempt.work_s = self.model.work_s(self.service)
        self.model.work_by_send[attempt.request.number] += attempt.work_s
        self.model.clock.after(attempt.work_s, self._worked, attempt)

    def _worked(self, attempt):
        if attempt.state != 'running':
            return
        below = NEXT_BY_SERVICE.get(self.service)
        if below is None:
            self._finish(attempt, 'complete')
            return
        attempt.child = Call(
            attempt.request,
            below,
            self,
            attempt.deadline,
            lambda outcome, _: self._child_done(attempt, outcome),
        )
        self.call(attempt.child)

    def _child_done(self, attempt, outcome):
        if attempt.state == 'running':
            self._finish(attempt, outcome)

    def _finish(self, attempt, outcome, frees_slot=True):
        now = self.model.clock.now
        attempt.state = 'ended'
        if frees_slot:
            self.upstream.finish()
        sample = admission.Sample(
            now - attempt.admitted_at,
            outcome == 'complete',
            outcome == 'refused',
        )
        for ticket in self.admission.release(attempt.ticket, sample, now):
            self._run(self.queued_by_id.pop(ticket.attempt_id))
        self._reply(attempt, outcome, True)

    def _refuse(self, attempt):
        attempt.state = 'ended'
        self._reply(attempt, 'refused', False)

    def _reply(self, attempt, outcome, reached):
        now = self.model.clock.now
        level = self.admission.shed_level(now)
        load = self.admission.load(now)
        code = results.Result.OK if outcome == 'complete' else _SHED
        reply = messages.AttemptReply(
            attempt.identifier,
            code.number,
            1,
            now,
            retry_after_s=self.admission.retry_after_s(now),
            shed_rank=level.rank,
            shed_fraction=level.fraction,
            in_flight=load.in_flight + load.queued,
            limit=load.limit,
            upstream_reached=reached,
        )
        attempt.reply(outcome, reply)


_SHED = results.Result.SHED


class Model:
    """One run of the scenario."""

    def __init__(self, variant, seed, slowdown=SLOWDOWN, announced=1.0):
        self.variant = variant
        self.slowdown = slowdown
        self.announced = announced
        self.source = random.Random(seed)
        self.clock = Clock()
        self.identifiers = itertools.count()
        self.early = 0
        self.retries = 0
        self.requests = []
        self.work_by_send = collections.Counter()
        self.completions = []
        self.wasted_s = 0.0
        self.total_s = 0.0
        self.vms_by_address = {}
        self.targets_by_service = {}
        for service in CHAIN:
            vms = [Vm(self, service, n) for n in range(TARGETS)]
            self.vms_by_address.update((vm.target.address, vm) for vm in vms)
            self.targets_by_service[service] = tuple(v.target for v in vms)
        self.entries = [Vm(self, 'entry', n) for n in range(TARGETS)]

    def run(self):
        """Run and return the figures."""
        self.clock.after(0.0, self._arrive)
        self.clock.run(END_S + 4.0)
        return self._summary()

    def work_s(self, service):
        """Draw the service time of one call."""
        mean_s = WORK_S_BY_SERVICE[service]
        if service == 'leaf' and self._in_surge():
            mean_s *= self.slowdown
        return mean_s * self.source.gammavariate(4.0, 0.25)

    def cancel(self, call):
        """Cancel a call down the chain."""
        call.ended = True
        if call.attempt:
            call.attempt.vm.cancel(call.attempt)

    def _in_surge(self):
        return SURGE_START_S <= self.clock.now < SURGE_END_S

    def _arrive(self):
        load = SURGE_LOAD if self._in_surge() else BASE_LOAD
        self.clock.after(
            self.source.expovariate(load * CAPACITY), self._arrive
        )
        if self.clock.now >= END_S:
            return
        rank = self.source.choices(range(4), SHARE_BY_RANK)[0]
        request = Request(
            len(self.requests), rank, self.source.random(), self.clock.now
        )
        self.requests.append(request)
        self._send(request)

    def _send(self, request):
        request.sends += 1
        request.allowance = ALLOWANCE
        self.work_by_send[request.number] = 0.0
        entry = self.source.choice(self.entries)
        deadline = self.clock.now + CLIENT_DEADLINE_S
        call = Call(request, 'front', entry, deadline, None)
        call.done = lambda *reply: self._answered(request, call, *reply)
        self.clock.after(CLIENT_DEADLINE_S, self._give_up, request, call)
        entry.call(call)

    def _give_up(self, request, call):
        if call.ended:
            return
        call.ended = True
        if self.variant.cancels:
            self.cancel(call)
        self._answered(request, call, 'late', 0.0)

    def _answered(self, request, call, outcome, retry_after_s):
        work_s = self.work_by_send.pop(request.number, 0.0)
        self.total_s += work_s
        if outcome == 'complete':
            request.done = True
            self.completions.append(self.clock.now)
            return
        self.wasted_s += work_s
        if request.sends >= CLIENT_ATTEMPTS:
            return
        pause_s = CLIENT_PAUSE_S
        if self.source.random() < self.variant.honours:
            pause_s += retry_after_s * self.source.uniform(0.5, 1.5)
        self.clock.after(pause_s, self._send, request)

    def _summary(self):
        surge_capacity = CAPACITY / self.slowdown
        surge = self._between(SURGE_START_S, SURGE_END_S)
        span_s = SURGE_END_S - SURGE_START_S
        whole = sum(
            SURGE_START_S <= at < SURGE_END_S for at in self.completions
        )
        return {
            'variant': self.variant.name,
            'before': self._share(self._between(2.0, SURGE_START_S)),
            'surge': whole / span_s / surge_capacity,
            'surge_by_rank': [
                round(self._share([r for r in surge if r.rank == rank]), 3)
                for rank in range(4)
            ],
            'after': self._share(self._between(SURGE_END_S + 2.0, END_S)),
            'recovery_s': self._recovery_s(),
            'wasted': self.wasted_s / max(self.total_s, 1e-9),
            'early': self.early,
            'retries': self.retries,
        }

    def _between(self, start, end):
        return [r for r in self.requests if start <= r.born < end]

    def _share(self, requests):
        return sum(r.done for r in requests) / max(1, len(requests))

    def _recovery_s(self):
        """Return when goodput is back for good at 95%.

        Compared are completions in windows of 2 s with the lesser of the
        goodput before the surge and what arrived a quarter second earlier.
        """
        before = self._between(2.0, SURGE_START_S)
        rate = sum(r.done for r in before) / (SURGE_START_S - 2.0)
        recovered = start = SURGE_END_S
        while start + 2.0 < END_S:
            end = start + 2.0
            whole = sum(start <= at < end for at in self.completions)
            goal = min(2 * rate, len(self._between(start - 0.25, end - 0.25)))
            if whole < 0.95 * goal:
                recovered = start + BUCKET_S
            start += BUCKET_S
        return recovered - SURGE_END_S


def _variants():
    adaptive = admission.AdaptiveLimit
    return [
        Variant(
            'pass-through',
            lambda slots: admission.PassThrough(),
            'random',
            retry.Unlimited,
            cancels=False,
        ),
        Variant(
            'static',
            lambda slots: admission.StaticLimit(slots),
            'random',
            retry.Unlimited,
        ),
        Variant('trials', lambda slots: adaptive()),
        *_overload_limits.variants(Variant),
    ]


def _weighted(weight):
    return Variant(
        f'weight {weight:g}',
        lambda slots: admission.AdaptiveLimit(goodput_weight=weight),
    )


def main(seeds: list[int], announced: float = 1.0, weight: list[float] = ()):
    """Run all variants and print one line of JSON for each run.

    Parameters
    ----------
    seeds : list of int
        Seeds of the runs.
    announced : float, default=1.0
        Announced slots over real ones.
    weight : list of float, optional
        Weights of goodput; runs the adaptive limit with each, and no more.
    """
    variants = [_weighted(value) for value in weight] or _variants()
    for seed in seeds:
        for variant in variants:
            model = Model(variant, seed, announced=announced)
            figures = {'seed': seed, 'announced': announced}
            print(json.dumps(figures | _rounded(model.run())), flush=True)


def _rounded(figures):
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in figures.items()
    }


if __name__ == '__main__':
    typer.run(main)
