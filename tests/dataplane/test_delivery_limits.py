"""Limits on deliveries when targets' nodes are cut off.

An attempt that was written to a connection may have been delivered, whatever
is found out about the connection later. It counts for the maximum number of
attempts of its route and for the retry budget of the service.
"""

import random

import pytest

from rosemarycrank.dataplane import _balance
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _entry
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _routes
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations

TARGETS = ('10.0.0.2:7000', '10.0.0.3:7000', '10.0.0.4:7000')
TIMEOUT_S = 6.0

#: Retry budget of all nodes together.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 3.0


class _EntryNode:
    """Entry side of a node that is connected to three targets' nodes."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.connections_by_id = {}
        node = simulation.entry
        node.origins.add_client_route('read')
        for address in TARGETS:
            node.directory.merge(fakes.record(address))
        rng = random.Random(1)
        self.side = _entry.EntrySide(
            node,
            _names.HeaderNames(),
            'front-desk',
            _balance.RandomTarget('fd-a', rng),
            _routes.ServicePicker(rng),
            _node.RetryBudgetSettings(BUDGET_RATIO, BUDGET_SLACK),
            _counters.Counters(),
            rng,
        )
        # The connections are open before the first request.
        for address in TARGETS:
            node.last_attempt_number += 1
            node.peer(address).send(
                fakes.attempt(node.last_attempt_number, instance='none'),
                lambda _result: None,
                fakes.RecordingConnection(),
            )
        simulation.reactor.run(0.1)

    def set_max_attempts(self, count):
        configuration = fakes.configuration(
            fakes.route(max_attempts=count, timeout_s=TIMEOUT_S),
            fakes.route(
                'pay',
                path_prefix=b'/pay/',
                idempotent=False,
                max_attempts=count,
                timeout_s=TIMEOUT_S,
            ),
        )
        targets = self.simulation.targets_by_address.values()
        for node in (self.simulation.entry, *targets):
            node.configuration = configuration

    def send(self, request_id, target=b'/a/1'):
        connection = fakes.RecordingConnection()
        self.connections_by_id[request_id] = connection
        message = fakes.request(target, rosemarycrank_request_id=request_id)
        self.side.begin(self.side.open(message, connection))

    def statuses(self, request_id):
        answers = self.connections_by_id[request_id].answers
        return [int(answer.split(b' ')[1]) for answer in answers]


@pytest.fixture
def make_entry_node(patch_connections, reactor):
    def make(seed):
        return _EntryNode(
            patch_connections(simulations.Simulation(reactor, seed, TARGETS))
        )

    return make


@pytest.fixture
def entry_node(make_entry_node):
    return make_entry_node(1)


@pytest.mark.parametrize('max_attempts', [1, 2])
@pytest.mark.parametrize('fault_kind', ['silent', 'one_way', 'reset'])
def test_request_runs_on_no_more_targets_than_its_route_allows(
    entry_node, reactor, fault_kind, max_attempts
):
    simulation = entry_node.simulation
    entry_node.set_max_attempts(max_attempts)
    entry_node.send(b'r1')
    cut_runs = 0
    while reactor.now() < TIMEOUT_S + 1.0:
        reactor.run(0.005, 0.001)
        for run in simulation.runs[cut_runs:]:
            simulation.cut_off(fault_kind, run.target_address)
        cut_runs = len(simulation.runs)
    assert simulation.count_runs(b'r1') == max_attempts
    # A 503 would promise that the request did not run.
    (status,) = entry_node.statuses(b'r1')
    assert status in (502, 504)


@pytest.mark.parametrize('fault_kind', ['silent', 'one_way', 'reset'])
def test_retries_after_a_cut_stay_within_the_budget(
    entry_node, reactor, fault_kind
):
    simulation = entry_node.simulation
    entry_node.set_max_attempts(3)
    request_ids = [b'r%d' % number for number in range(120)]
    for request_id in request_ids:
        entry_node.send(request_id)
    reactor.run(0.005, 0.001)
    first_runs = [run.target_address for run in simulation.runs]
    assert len(first_runs) == len(request_ids)
    simulation.cut_off(fault_kind, TARGETS[0])
    reactor.run(TIMEOUT_S + 1.0)
    limit = BUDGET_SLACK / len(TARGETS) + BUDGET_RATIO * len(request_ids)
    assert first_runs.count(TARGETS[0]) > limit
    retries = len(simulation.runs) - len(request_ids)
    assert 0 < retries <= limit


def _inject_fault(simulation, source):
    address = source.choice(TARGETS)
    fault = source.choice(['break', 'cut', 'cut', 'heal', 'restart', 'pause'])
    if fault == 'break':
        simulation.break_connections(
            source.choice(['silent', 'one_way', 'reset']), address
        )
    elif fault == 'cut':
        simulation.cut_off(
            source.choice(['silent', 'one_way', 'reset']), address
        )
    elif fault == 'heal':
        simulation.cut_addresses.clear()
    elif fault == 'restart':
        simulation.restart(address)
    else:
        simulation.pause(address, 1.5 * source.random())


@pytest.mark.parametrize('seed', range(12))
def test_deliveries_stay_limited_under_random_faults(
    make_entry_node, reactor, seed
):
    entry_node = make_entry_node(seed)
    entry_node.set_max_attempts(2)
    simulation = entry_node.simulation
    source = random.Random(seed)
    max_runs_by_id = {}
    for step in range(300):
        is_payment = source.random() < 0.3
        request_id = b'r%d' % step
        max_runs_by_id[request_id] = 1 if is_payment else 2
        entry_node.send(request_id, b'/pay/1' if is_payment else b'/a/1')
        if source.random() < 0.1:
            _inject_fault(simulation, source)
        reactor.run(0.03, 0.005)
    reactor.run(TIMEOUT_S + 1.0, 0.01)
    for request_id, max_runs in max_runs_by_id.items():
        runs = simulation.count_runs(request_id)
        assert runs <= max_runs
        (status,) = entry_node.statuses(request_id)
        if status == 503:
            assert runs == 0
        if status == 200:
            assert runs >= 1
    repeats = len(simulation.runs) - len(
        {run.request_id for run in simulation.runs}
    )
    assert repeats <= BUDGET_SLACK / len(TARGETS) + BUDGET_RATIO * len(
        max_runs_by_id
    )
