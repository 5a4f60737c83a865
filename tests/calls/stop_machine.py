"""State machine of nodes that stop as planned while they serve requests."""

import functools

import attrs
from hypothesis import stateful
from hypothesis import strategies

from rosemarycrank import admission
from rosemarycrank import bundles
from rosemarycrank import kernel
from rosemarycrank import results
from tests.calls import network as network_module

GRACE_S = 6.0
ADDRESSES = ('n0:1', 'n1:1', 'n2:1')

#: Service of the upstream of each node, in the order of their addresses.
SERVICES = ('s', 's', 's1')

#: Requests that an upstream runs at a time; others wait in the queue.
SLOTS = 2

#: Longest run and deadline of all requests, in seconds. Both outlast the grace
#: period.
MAX_RUN_S = 3 * GRACE_S
DEADLINE_S = 4 * GRACE_S

CALLED_SERVICES = tuple(sorted(set(SERVICES)))
BUNDLE = bundles.Bundle(
    name='stop',
    version=1,
    classes_by_name={
        'read': bundles.RequestClass(
            'read', rank=1, allowance=3, deadline_s=DEADLINE_S
        ),
        'paid': bundles.RequestClass(
            'paid',
            rank=0,
            idempotent=False,
            allowance=3,
            deadline_s=DEADLINE_S,
        ),
    },
    rules=(
        *(
            bundles.Rule(service, 'paid', method='POST')
            for service in CALLED_SERVICES
        ),
        *(bundles.Rule(service, 'read') for service in CALLED_SERVICES),
    ),
    services=CALLED_SERVICES,
)

NUMBERS = strategies.integers(0, 1000)
METHODS = strategies.sampled_from(['GET', 'POST'])
RUNS_S = strategies.sampled_from([0.01, 0.3, 1.0, 3.0, MAX_RUN_S])
STEPS_S = strategies.sampled_from([0.002, 0.05, 0.2, 0.5, 1.5, 5.0])
ENDINGS = strategies.sampled_from(
    [
        results.Result.OK,
        results.Result.OK,
        results.Result.UPSTREAM_REFUSED,
        results.Result.ANSWER_LOST,
    ]
)


@attrs.define(eq=False)
class Request:
    """A request that was sent to a node.

    Attributes
    ----------
    address : str
        Node that received it.
    incarnation : int
        Incarnation of that node.
    method, path : str
        Method, and path that no other request has.
    run_s : float
        Duration of its runs, in seconds.
    ending : Result
        Result of its runs.
    answers : list of Answer
        Answers to a call of an upstream; unused for requests of clients.
    """

    address: str
    incarnation: int
    method: str
    path: str
    run_s: float
    ending: results.Result
    answers: list = attrs.field(factory=list)


class StopMachine(stateful.RuleBasedStateMachine):
    """Requests, calls of upstreams, lost messages, and stops of nodes.

    Each node that stops is killed at the end of its grace period.
    """

    @stateful.initialize(seed=strategies.integers(1, 50))
    def start(self, seed):
        """Start all nodes."""
        self.network = network_module.Network(seed)
        self.requests_by_path = {}
        self.running = []
        self.killed = []
        for address in ADDRESSES:
            self._start_node(address)
        self.network.run(0.1)

    def _start_node(self, address):
        self.network.add_node(
            address,
            SERVICES[ADDRESSES.index(address)],
            self._run_upstream,
            admission.AdaptiveLimit(initial_limit=SLOTS, max_limit=SLOTS),
            BUNDLE,
            GRACE_S,
        )

    def _run_upstream(self, network, address, call):
        request = self.requests_by_path[call.path]
        if request.ending is results.Result.UPSTREAM_REFUSED:
            # It does not count as a run.
            network.arrivals[-1].started = False
        incarnation = self._incarnation(address)
        self.running.append((address, incarnation, call.token))
        answer = kernel.UpstreamAnswer(
            call.token,
            request.ending,
            status=200,
            body=network_module.answer_body(call.path),
        )
        network.schedule(
            min(request.run_s, call.timeout_s),
            functools.partial(self._end_run, address, incarnation, answer),
        )

    def _end_run(self, address, incarnation, answer):
        self.running.remove((address, incarnation, answer.token))
        if self._incarnation(address) == incarnation:
            self.network.deliver(address, answer)

    def _incarnation(self, address):
        host = self.network.hosts_by_address.get(address)
        return host.kernel.context.incarnation if host else 0

    def _accept(self, address, method, run_s, ending):
        path = f'/r{len(self.requests_by_path)}'
        request = Request(
            address, self._incarnation(address), method, path, run_s, ending
        )
        self.requests_by_path[path] = request
        return request

    @stateful.rule(
        number=NUMBERS,
        service=NUMBERS,
        method=METHODS,
        run_s=RUNS_S,
        ending=ENDINGS,
    )
    def send(self, number, service, method, run_s, ending):
        """Send a request of a client to a node that runs."""
        address = ADDRESSES[number % len(ADDRESSES)]
        if address not in self.network.hosts_by_address:
            return
        request = self._accept(address, method, run_s, ending)
        self.network.send_request(
            address,
            request.path[1:],
            method,
            service=SERVICES[service % len(SERVICES)],
            path=request.path,
        )
        self.network.run(self.network.now)

    @stateful.rule(
        number=NUMBERS,
        service=NUMBERS,
        method=METHODS,
        run_s=RUNS_S,
        ending=ENDINGS,
    )
    def call(self, number, service, method, run_s, ending):
        """Have a request that runs at an upstream make a call."""
        running = [
            run for run in self.running if self._incarnation(run[0]) == run[1]
        ]
        if not running:
            return
        address, _, token = running[number % len(running)]
        request = self._accept(address, method, run_s, ending)
        self.network.nested_call(
            address,
            token,
            SERVICES[service % len(SERVICES)],
            request.path,
            request.answers.append,
            method=method,
            key=request.path[1:],
        )
        self.network.run(self.network.now)

    @stateful.rule(number=NUMBERS)
    def stop(self, number):
        """Stop a node, and kill it if it outlasts the grace period."""
        address = ADDRESSES[number % len(ADDRESSES)]
        incarnation = self._incarnation(address)
        self.network.deliver(address, kernel.DrainRequested(stop=True))
        self.network.schedule(
            GRACE_S, functools.partial(self._kill, address, incarnation)
        )

    def _kill(self, address, incarnation):
        if incarnation and self._incarnation(address) == incarnation:
            self.killed.append(address)
            self.network.crash(address)

    @stateful.rule(number=NUMBERS)
    def replace(self, number):
        """Start a node in place of one that has exited."""
        address = ADDRESSES[number % len(ADDRESSES)]
        if address not in self.network.hosts_by_address:
            self._start_node(address)

    @stateful.rule(number=strategies.integers(0, 20))
    def lose_message(self, number):
        """Lose one of the next messages."""
        index = self.network.message_count + number
        self.network.faults[index] = lambda *arguments: []

    @stateful.rule(seconds=STEPS_S)
    def advance(self, seconds):
        """Let time pass."""
        self.network.run(self.network.now + seconds)

    @stateful.invariant()
    def no_node_outlasts_its_grace_period(self):
        """Check that no node had to be killed."""
        assert not self.killed, 'killed'

    @stateful.invariant()
    def exited_nodes_have_answered(self):
        """Check that no request was left without an answer."""
        for request in self.requests_by_path.values():
            if self._incarnation(request.address) != request.incarnation:
                assert self._answers(request), 'no answer'

    def teardown(self):
        """Let all requests end, and check their outcomes."""
        if not hasattr(self, 'network'):
            # `start` has not run.
            return
        self.network.run(self.network.now + 2 * DEADLINE_S)
        self.no_node_outlasts_its_grace_period()
        for request in self.requests_by_path.values():
            self._check(request)

    def _answers(self, request):
        answer = self.network.answers_by_request_id.get(request.path[1:])
        return [answer] if answer is not None else request.answers

    def _check(self, request):
        answers = self._answers(request)
        assert len(answers) == 1, 'no answer, or several'
        (answer,) = answers
        runs = self.network.count_runs(request.path)
        outcome = answer.result.outcome
        if request.method == 'POST':
            assert runs <= 1, 'second run'
        if outcome is results.Outcome.NOT_RUN:
            assert runs == 0, 'run of a request answered as not run'
        if outcome is results.Outcome.COMPLETE:
            assert runs >= 1, 'complete without a run'
            assert answer.body == network_module.answer_body(request.path)
