"""Simulates a call graph in virtual time to compare admission controls.

An event queue drives the production admission controllers, balancers and
retry budgets. Each upstream has slots and a queue; a call holds its slot
while it waits for the service that it calls. Membership, message transport
and message loss are not simulated.

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
LINK_LATENCY_S = 0.0005
#: Period at which queued tickets are checked against their deadlines.
EXPIRY_CHECK_INTERVAL_S = 0.01
TARGETS_PER_SERVICE = 3
CHAIN = ('front', 'middle', 'inner', 'leaf')
CALLEE_BY_SERVICE = dict(zip(CHAIN, CHAIN[1:]))
#: Mean service time without nested calls, in seconds, and slots of one target.
WORK_S_BY_SERVICE = {
    'front': 0.005,
    'middle': 0.005,
    'inner': 0.005,
    'leaf': 0.1,
}
SLOTS_BY_SERVICE = {'front': 40, 'middle': 30, 'inner': 24, 'leaf': 10}
#: Client requests per second that the leaf can serve.
CAPACITY_PER_S = (
    TARGETS_PER_SERVICE * SLOTS_BY_SERVICE['leaf'] / WORK_S_BY_SERVICE['leaf']
)
SHARE_BY_RANK = (0.1, 0.15, 0.3, 0.45)
CLIENT_DEADLINE_S = 1.0
CLIENT_ATTEMPTS = 4
CLIENT_BACKOFF_S = 0.02
#: Retries by nodes that are allowed for each send of a client request.
ALLOWANCE = 2
#: Offered load over `CAPACITY_PER_S`, outside and during the surge.
BASE_LOAD = 0.7
SURGE_LOAD = 3.0
SURGE_START_S = 8.0
SURGE_END_S = 18.0
END_S = 30.0
#: Factor of the leaf's service time during the surge.
LEAF_SLOWDOWN_FACTOR = 2.0
RECOVERY_STEP_S = 0.25


@attrs.frozen
class Variant:
    """Configuration of the overload control in one simulation.

    ``retry_after_share`` is the share of retries for which a client waits
    for the retry-after time of the answer. ``cancels_abandoned`` says
    whether work is cancelled when the client's deadline has passed.
    """

    name: str
    make_admission: object
    balancer: str = 'local-first'
    make_budget: object = retry.TokenBucket
    cancels_abandoned: bool = True
    retry_after_share: float = 0.5


class Clock:
    """Event queue with virtual time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._sequence = itertools.count()

    def schedule(self, delay_s, function, *arguments):
        """Schedule a function call after a delay."""
        entry = self.now + delay_s, next(self._sequence), function, arguments
        heapq.heappush(self._heap, entry)

    def run_until(self, end):
        """Process all events up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call at one target."""

    identifier: str
    request: object
    vm: object
    deadline: float
    on_reply: object
    ticket: object = None
    admitted_at: float = 0.0
    state: str = 'sent'
    child: object = None
    work_s: float = 0.0


@attrs.define(eq=False)
class Request:
    """One client request, which may be sent several times."""

    number: int
    rank: int
    shed_hash: float
    created_at: float
    sends: int = 0
    completed: bool = False
    allowance: int = ALLOWANCE


@attrs.define(eq=False)
class Call:
    """A call at its entry node."""

    request: object
    service: str
    entry: object
    deadline: float
    on_finished: object
    attempt: object = None
    excluded: set = attrs.field(factory=set)
    finished: bool = False


class Upstream:
    """Upstream without admission control: slots and an unbounded queue."""

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
            if attempt.state == 'running':
                self.running += 1
                on_slot(attempt)


class Vm:
    """Node of one target; also the entry node for its upstream's calls."""

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
            random=random.Random(model.rng.random()),
        )
        self.budget = variant.make_budget()
        self.queued_by_id = {}
        model.clock.schedule(EXPIRY_CHECK_INTERVAL_S, self.expire)

    # Entry node

    def call(self, call):
        """Send the first attempt of a call, unless it is shed early.

        It is shed if all targets would probably refuse it.
        """
        now = self.model.clock.now
        request = call.request
        wait_s = self.balancer.shed_retry_after_s(
            call.service, request.rank, request.shed_hash, now
        )
        if wait_s:
            self.model.early_refusals += 1
            self._finish_call(call, 'refused', wait_s)
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
            self._finish_call(call, 'refused', 0.5)
            return
        self.balancer.record_sent(target, now)
        attempt = Attempt(
            f'a{next(self.model.attempt_numbers)}',
            call.request,
            self.model.vms_by_address[target.address],
            call.deadline,
            lambda *reply: self.model.clock.schedule(
                LINK_LATENCY_S, self._on_reply, call, target, now, *reply
            ),
        )
        call.attempt = attempt
        self.model.clock.schedule(LINK_LATENCY_S, attempt.vm.receive, attempt)

    def _on_reply(self, call, target, sent_at, outcome, reply):
        now = self.model.clock.now
        self.balancer.record_finished(target, now - sent_at, reply, now)
        if call.finished:
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
        self._finish_call(call, outcome, reply.retry_after_s)

    def _finish_call(self, call, outcome, retry_after_s=0.0):
        if not call.finished:
            call.finished = True
            call.on_finished(outcome, retry_after_s)

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
            self._admit(attempt)
        elif decision.verdict is admission.Verdict.QUEUE:
            attempt.state = 'queued'
            self.queued_by_id[attempt.identifier] = attempt
        else:
            self._refuse(attempt)

    def expire(self):
        """Refuse queued attempts that can no longer meet their deadline."""
        for ticket in self.admission.expire(self.model.clock.now):
            self._refuse(self.queued_by_id.pop(ticket.attempt_id))
        self.model.clock.schedule(EXPIRY_CHECK_INTERVAL_S, self.expire)

    def cancel(self, attempt):
        """Cancel an attempt whose caller no longer waits for the answer."""
        if attempt.state == 'queued':
            del self.queued_by_id[attempt.identifier]
            self.admission.withdraw(attempt.ticket, self.model.clock.now)
            attempt.state = 'ended'
            self._reply(attempt, 'cancelled', False)
        elif attempt.state == 'running':
            holds_slot = attempt.work_s > 0
            if attempt.child:
                self.model.cancel(attempt.child)
            self._finish(attempt, 'cancelled', frees_slot=holds_slot)
        elif attempt.state == 'sent':
            attempt.state = 'ended'
            self._reply(attempt, 'cancelled', False)

    def _admit(self, attempt):
        attempt.state = 'running'
        attempt.admitted_at = self.model.clock.now
        self.upstream.start(attempt, self._start_work)

    def _start_work(self, attempt):
        attempt.work_s = self.model.work_s(self.service)
        self.model.work_s_by_request[attempt.request.number] += attempt.work_s
        self.model.clock.schedule(attempt.work_s, self._on_work_done, attempt)

    def _on_work_done(self, attempt):
        if attempt.state != 'running':
            return
        callee = CALLEE_BY_SERVICE.get(self.service)
        if callee is None:
            self._finish(attempt, 'complete')
            return
        attempt.child = Call(
            attempt.request,
            callee,
            self,
            attempt.deadline,
            lambda outcome, _: self._on_child_finished(attempt, outcome),
        )
        self.call(attempt.child)

    def _on_child_finished(self, attempt, outcome):
        if attempt.state == 'running':
            self._finish(attempt, outcome)

    def _finish(self, attempt, outcome, frees_slot=True):
        now = self.model.clock.now
        attempt.state = 'ended'
        if frees_slot:
            self.upstream.release_slot()
        sample = admission.Sample(
            now - attempt.admitted_at,
            outcome == 'complete',
            outcome == 'refused',
        )
        for ticket in self.admission.release(attempt.ticket, sample, now):
            self._admit(self.queued_by_id.pop(ticket.attempt_id))
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
        attempt.on_reply(outcome, reply)


_SHED = results.Result.SHED


class Model:
    """One simulation of the scenario with one variant and one seed."""

    def __init__(
        self, variant, seed, slowdown=LEAF_SLOWDOWN_FACTOR, announced=1.0
    ):
        self.variant = variant
        self.slowdown = slowdown
        self.announced = announced
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.attempt_numbers = itertools.count()
        self.early_refusals = 0
        self.retries = 0
        self.requests = []
        self.work_s_by_request = collections.Counter()
        self.completions = []
        self.wasted_work_s = 0.0
        self.total_work_s = 0.0
        self.vms_by_address = {}
        self.targets_by_service = {}
        for service in CHAIN:
            vms = [Vm(self, service, n) for n in range(TARGETS_PER_SERVICE)]
            self.vms_by_address.update((vm.target.address, vm) for vm in vms)
            self.targets_by_service[service] = tuple(vm.target for vm in vms)
        self.entries = [
            Vm(self, 'entry', n) for n in range(TARGETS_PER_SERVICE)
        ]

    def run(self):
        """Run the simulation and return its figures."""
        self.clock.schedule(0.0, self._add_request)
        self.clock.run_until(END_S + 4.0)
        return self._summarize()

    def work_s(self, service):
        """Return a random service time for one call, in seconds."""
        mean_s = WORK_S_BY_SERVICE[service]
        if service == 'leaf' and self._in_surge():
            mean_s *= self.slowdown
        return mean_s * self.rng.gammavariate(4.0, 0.25)

    def cancel(self, call):
        """Cancel a call and, through its attempt, all nested calls."""
        call.finished = True
        if call.attempt:
            call.attempt.vm.cancel(call.attempt)

    def _in_surge(self):
        return SURGE_START_S <= self.clock.now < SURGE_END_S

    def _add_request(self):
        load = SURGE_LOAD if self._in_surge() else BASE_LOAD
        self.clock.schedule(
            self.rng.expovariate(load * CAPACITY_PER_S), self._add_request
        )
        if self.clock.now >= END_S:
            return
        rank = self.rng.choices(range(4), SHARE_BY_RANK)[0]
        request = Request(
            len(self.requests), rank, self.rng.random(), self.clock.now
        )
        self.requests.append(request)
        self._send(request)

    def _send(self, request):
        request.sends += 1
        request.allowance = ALLOWANCE
        self.work_s_by_request[request.number] = 0.0
        entry = self.rng.choice(self.entries)
        deadline = self.clock.now + CLIENT_DEADLINE_S
        call = Call(request, 'front', entry, deadline, None)
        call.on_finished = lambda *reply: self._on_answer(
            request, call, *reply
        )
        self.clock.schedule(
            CLIENT_DEADLINE_S, self._on_client_timeout, request, call
        )
        entry.call(call)

    def _on_client_timeout(self, request, call):
        if call.finished:
            return
        call.finished = True
        if self.variant.cancels_abandoned:
            self.cancel(call)
        self._on_answer(request, call, 'late', 0.0)

    def _on_answer(self, request, call, outcome, retry_after_s):
        work_s = self.work_s_by_request.pop(request.number, 0.0)
        self.total_work_s += work_s
        if outcome == 'complete':
            request.completed = True
            self.completions.append(self.clock.now)
            return
        self.wasted_work_s += work_s
        if request.sends >= CLIENT_ATTEMPTS:
            return
        delay_s = CLIENT_BACKOFF_S
        if self.rng.random() < self.variant.retry_after_share:
            delay_s += retry_after_s * self.rng.uniform(0.5, 1.5)
        self.clock.schedule(delay_s, self._send, request)

    def _summarize(self):
        surge_capacity = CAPACITY_PER_S / self.slowdown
        surge_requests = self._requests_between(SURGE_START_S, SURGE_END_S)
        surge_duration_s = SURGE_END_S - SURGE_START_S
        completed_count = sum(
            SURGE_START_S <= completed_at < SURGE_END_S
            for completed_at in self.completions
        )
        return {
            'variant': self.variant.name,
            'before': self._completed_share(
                self._requests_between(2.0, SURGE_START_S)
            ),
            'surge': completed_count / surge_duration_s / surge_capacity,
            'surge_by_rank': [
                round(
                    self._completed_share(
                        [
                            request
                            for request in surge_requests
                            if request.rank == rank
                        ]
                    ),
                    3,
                )
                for rank in range(4)
            ],
            'after': self._completed_share(
                self._requests_between(SURGE_END_S + 2.0, END_S)
            ),
            'recovery_s': self._recovery_s(),
            'wasted': self.wasted_work_s / max(self.total_work_s, 1e-9),
            'early': self.early_refusals,
            'retries': self.retries,
        }

    def _requests_between(self, start, end):
        return [
            request
            for request in self.requests
            if start <= request.created_at < end
        ]

    def _completed_share(self, requests):
        return sum(request.completed for request in requests) / max(
            1, len(requests)
        )

    def _recovery_s(self):
        """Return the time from the end of the surge to lasting recovery.

        Goodput has recovered when every later window of 2 s has at least
        95% of the expected completions. These are the lesser of the
        completions at the goodput before the surge and the arrivals in the
        same window a quarter of a second earlier.
        """
        requests_before = self._requests_between(2.0, SURGE_START_S)
        goodput_before_per_s = sum(
            request.completed for request in requests_before
        ) / (SURGE_START_S - 2.0)
        recovered = start = SURGE_END_S
        while start + 2.0 < END_S:
            end = start + 2.0
            completed_count = sum(
                start <= completed_at < end
                for completed_at in self.completions
            )
            expected_count = min(
                2 * goodput_before_per_s,
                len(self._requests_between(start - 0.25, end - 0.25)),
            )
            if completed_count < 0.95 * expected_count:
                recovered = start + RECOVERY_STEP_S
            start += RECOVERY_STEP_S
        return recovered - SURGE_END_S


def _make_variants():
    adaptive = admission.AdaptiveLimit
    return [
        Variant(
            'pass-through',
            lambda slots: admission.PassThrough(),
            'random',
            retry.Unlimited,
            cancels_abandoned=False,
        ),
        Variant(
            'static',
            lambda slots: admission.StaticLimit(slots),
            'random',
            retry.Unlimited,
        ),
        Variant('trials', lambda slots: adaptive()),
        *_overload_limits.make_variants(Variant),
    ]


def _make_weighted_variant(weight):
    return Variant(
        f'weight {weight:g}',
        lambda slots: admission.AdaptiveLimit(goodput_weight=weight),
    )


def main(seeds: list[int], announced: float = 1.0, weight: list[float] = ()):
    """Run all variants and print one JSON line for each run.

    Parameters
    ----------
    seeds : list of int
        Seeds of the runs.
    announced : float, default=1.0
        Ratio of the announced slots to the actual slots of each target.
    weight : list of float, optional
        Goodput weights. If given, only the adaptive limit is run, once with
        each weight.
    """
    variants = [
        _make_weighted_variant(value) for value in weight
    ] or _make_variants()
    for seed in seeds:
        for variant in variants:
            model = Model(variant, seed, announced=announced)
            figures = {'seed': seed, 'announced': announced}
            print(json.dumps(figures | _round_values(model.run())), flush=True)


def _round_values(figures):
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in figures.items()
    }


if __name__ == '__main__':
    typer.run(main)
