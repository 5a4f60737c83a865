"""Knowledge of deadly requests through restarts, cuts and overlaps.

The load is a kind of request that ends each target that runs it, some 90 ms
after its start, and that comes again at all VMs of one service.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.dataplane import crash_fleet
from tests.dataplane import fakes
from tests.dataplane import simulation as simulations

#: Targets that may end under one request at nodes that reach each other.
END_BOUND = 2

#: Time within which a node that was cut off has to know what the others know,
#: in seconds.
CONTACT_S = 3.0


@pytest.fixture
def make_fleet(patch_connections, reactor):
    def make(size=12):
        fleet = patch_connections(crash_fleet.CrashFleet(reactor, size))
        reactor.run(2.5, 0.05)
        return fleet

    return make


def _refuse(fleet):
    """Let the targets that it takes end under the request."""
    fleet.send_deadly(6, 0.3)
    fleet.reactor.run(4.0, 0.05)
    assert 0 < len(fleet.ends) <= END_BOUND


# Guards against nodes that forget in a restart which requests crash targets.
@pytest.mark.parametrize('size', [12, 195])
def test_nodes_that_restart_one_by_one_know_the_request(make_fleet, size):
    fleet = make_fleet(size)
    _refuse(fleet)
    for address in fleet.random_addresses(12):
        fleet.restart_and_read(address)
        fleet.reactor.run(0.5, 0.05)
        fleet.send_deadly(3, 0.15)
    assert len(fleet.ends) <= END_BOUND


# Guards against knowledge that is lost as all nodes but one restart together.
@pytest.mark.parametrize('size', [12, 195])
def test_one_node_that_goes_on_tells_all_others(make_fleet, size):
    fleet = make_fleet(size)
    _refuse(fleet)
    for address in fleet.addresses[:-1]:
        fleet.restart(address)
    for address in fleet.addresses[:-1]:
        fleet.read_directory(address)
    fleet.reactor.run(1.0, 0.05)
    fleet.send_deadly(10, 0.15)
    assert len(fleet.ends) <= END_BOUND


# Guards against a failure domain that was cut off when targets crashed.
@pytest.mark.parametrize('size', [12, 195])
def test_nodes_that_were_cut_off_know_the_request_soon(make_fleet, size):
    fleet = make_fleet(size)
    domain = fleet.domain(0)
    fleet.cut_off_nodes(domain)
    fleet.reactor.run(1.0, 0.05)
    callers = [
        address
        for address in fleet.nodes_of(crash_fleet.DEADLY_CALLER)
        if address not in domain
    ]
    for _ in range(6):
        fleet.send_request(callers[0], crash_fleet.DEADLY)
        fleet.reactor.run(0.3)
    assert 0 < len(fleet.ends) <= END_BOUND
    fleet.cut_off_nodes([])
    fleet.reactor.run(CONTACT_S, 0.05)
    fleet.send_deadly(12, 0.15)
    assert len(fleet.ends) <= END_BOUND


# Guards against both at once: the node that was told restarts, and the ones
# that could tell it were cut off.
def test_restart_beside_a_cut_keeps_what_is_known(make_fleet):
    fleet = make_fleet()
    fleet.cut_off_nodes(fleet.domain(0))
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    for caller in callers:
        fleet.send_request(caller, crash_fleet.DEADLY)
        fleet.reactor.run(0.5)
    known_ends = len(fleet.ends)
    for address in fleet.domain(1):
        fleet.restart_and_read(address)
    fleet.cut_off_nodes([])
    fleet.reactor.run(CONTACT_S, 0.05)
    for address in fleet.domain(2):
        fleet.restart_and_read(address)
    fleet.reactor.run(CONTACT_S, 0.05)
    fleet.send_deadly(12, 0.15)
    assert len(fleet.ends) <= known_ends + END_BOUND - 1


# Guards against copies of a request that run at several targets at once,
# although it is known to have crashed one.
def test_request_that_has_crashed_a_target_runs_at_one_at_a_time(make_fleet):
    fleet = make_fleet()
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    fleet.send_request(callers[0], crash_fleet.DEADLY)
    fleet.reactor.run(crash_fleet.DEADLY_RUN_S + 0.04)
    assert len(fleet.ends) == 1
    fleet.send_deadly(60, 0.02)
    assert len(fleet.ends) <= END_BOUND


# Guards against queued copies that run although the request is known by then.
def test_queued_copies_do_not_run_after_a_crash(make_fleet):
    fleet = make_fleet()
    fleet.service_s = 1.5
    callers = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    targets = fleet.nodes_of(crash_fleet.TARGET_SERVICE)
    fleet.preferred_by_address.update(zip(callers, targets, strict=True))
    for caller, target in list(zip(callers, targets, strict=True))[1:]:
        fleet.targets_by_address[target].target_side.limit.reset(1)
        fleet.send_request(caller, b'/a/1')
        fleet.reactor.run(0.05)
        fleet.send_request(caller, crash_fleet.DEADLY)
    fleet.send_request(callers[0], crash_fleet.DEADLY)
    fleet.reactor.run(4.0)
    assert 0 < len(fleet.ends) <= END_BOUND
    assert len(fleet.deadly_statuses) == len(callers)


# Guards against a request that is taken for another one with the same path:
# the other one is refused, or its good runs end the refusal of the first.
def test_same_path_of_another_caller_is_another_request(make_fleet):
    fleet = make_fleet()
    innocent = fleet.nodes_of('s2') + fleet.nodes_of('s3')
    deadly = fleet.nodes_of(crash_fleet.DEADLY_CALLER)
    for number in range(60):
        fleet.send_request(deadly[number % 3], crash_fleet.DEADLY)
        for address in innocent:
            fleet.send_request(address, crash_fleet.DEADLY)
        fleet.reactor.run(0.1)
    fleet.reactor.run(3.0)
    assert len(fleet.ends) <= END_BOUND
    statuses = fleet.statuses_by_path[crash_fleet.DEADLY]
    assert statuses.count(200) >= 0.99 * len(statuses)


# Guards against a request that is known under the name of its route only,
# which the operator changes.
def test_request_is_known_after_its_route_was_renamed(make_fleet):
    fleet = make_fleet()
    _refuse(fleet)
    fleet.install(crash_fleet.configuration('read-2'))
    fleet.send_deadly(12, 0.15)
    assert len(fleet.ends) <= END_BOUND


# Guards against an error that a target gives at once, and that counts as a
# run without a crash.
def test_errors_do_not_clear_a_request(make_fleet):
    fleet = make_fleet()
    is_deadly = fleet.is_deadly
    fleet.send_deadly(1, 0.15)
    fleet.is_deadly = lambda _data: False
    fleet.status_of = lambda _data: 500
    fleet.send_deadly(4, 0.6)
    fleet.is_deadly = is_deadly
    fleet.send_deadly(12, 0.3)
    assert len(fleet.ends) <= END_BOUND


# Guards against a report of a good run that lifts the refusal although the
# request has crashed targets since.
def test_good_run_does_not_excuse_later_crashes(make_fleet):
    fleet = make_fleet()
    is_deadly = fleet.is_deadly
    fleet.is_deadly = lambda _data: False
    fleet.send_deadly(3, 0.1)
    fleet.is_deadly = is_deadly
    _refuse(fleet)
    fleet.is_deadly = lambda _data: False
    fleet.status_of = lambda _data: 200
    fleet.send_deadly(3, 0.1)
    fleet.is_deadly = is_deadly
    fleet.send_deadly(12, 0.3)
    assert len(fleet.ends) <= END_BOUND


# Guards against a crash that counts as a planned end, as the target had
# announced that it is leaving.
def test_crash_of_a_leaving_target_counts(make_fleet):
    fleet = make_fleet()
    targets = fleet.nodes_of(crash_fleet.TARGET_SERVICE)
    caller = fleet.nodes_of(crash_fleet.DEADLY_CALLER)[0]
    fleet.send_request(caller, crash_fleet.DEADLY)
    fleet.reactor.run(0.05)
    first = next(run.target_address for run in fleet.runs)
    assert first in targets
    crash_fleet.drain(fleet, first)
    fleet.reactor.run(0.2)
    fleet.send_deadly(12, 0.15)
    assert len(fleet.ends) <= END_BOUND


# Guards against requests that are blamed for the planned end of a target.
def test_end_of_a_drained_target_is_no_crash(make_fleet):
    fleet = make_fleet()
    target = fleet.nodes_of(crash_fleet.TARGET_SERVICE)[0]
    caller = fleet.nodes_of('s2')[0]
    node = fleet.targets_by_address[target]
    fleet.preferred_by_address[caller] = target
    fleet.service_s = 3.0
    fleet.send_request(caller, b'/a/1')
    fleet.reactor.run(0.05)
    crash_fleet.drain(fleet, target)
    fleet.reactor.run(simulations.DRAIN_S)
    fleet.crash(target)
    fleet.reactor.run(0.5)
    assert [run.target_address for run in fleet.runs][0] == target
    assert len(node.crash_history) == 0


# Guards against a crash that nobody counts, as the target listens again before
# its node can tell.
def test_target_that_listens_again_at_once_has_crashed(make_fleet):
    fleet = make_fleet()
    fleet.install(crash_fleet.configuration(max_attempts=1))
    fleet.is_back_at_once = True
    fleet.send_deadly(1, simulations.CRASHED_S + 1.0)
    assert len(fleet.ends) == 1
    for node in fleet.nodes:
        assert len(node.crash_history.suspects) == 1


class _Machine(stateful.RuleBasedStateMachine):
    """Deadly requests beside restarts, cuts and other crashes, in any order.

    A failure domain that is cut off has targets and knowledge of its own, so
    that as many targets may end there again.
    """

    make_fleet = None

    def __init__(self):
        super().__init__()
        self.fleet = type(self).make_fleet()
        self.fleet.reactor.run(2.5, 0.05)
        self.cut_count = 0

    @stateful.rule(number=st.integers(0, 2), pause_s=st.floats(0.3, 1.0))
    def send_deadly(self, number, pause_s):
        callers = self.fleet.nodes_of(crash_fleet.DEADLY_CALLER)
        self.fleet.send_request(callers[number], crash_fleet.DEADLY)
        self.fleet.reactor.run(pause_s)

    @stateful.rule(index=st.integers(0, 11))
    def restart_node(self, index):
        self.fleet.restart_and_read(self.fleet.addresses[index])
        self.fleet.reactor.run(0.5)

    @stateful.rule(index=st.integers(0, 11))
    def crash_target(self, index):
        self.fleet.crash(self.fleet.addresses[index])
        self.fleet.reactor.run(0.1)

    @stateful.rule(domain=st.integers(0, 2), seconds=st.floats(0.1, 5.0))
    def cut_off_domain(self, domain, seconds):
        self.cut_count += 1
        self.fleet.cut_off_nodes(self.fleet.domain(domain))
        self.fleet.reactor.run(seconds, 0.05)

    @stateful.rule()
    def heal(self):
        self.fleet.cut_off_nodes([])
        self.fleet.reactor.run(CONTACT_S, 0.05)

    @stateful.invariant()
    def few_targets_end(self):
        assert len(self.fleet.ends) <= END_BOUND * (1 + self.cut_count)


# Guards against an order of events in which what is known gets lost.
def test_bound_holds_in_any_order_of_restarts_and_cuts(
    patch_connections, monkeypatch
):
    def make():
        return patch_connections(
            crash_fleet.CrashFleet(fakes.VirtualReactor())
        )

    monkeypatch.setattr(_Machine, 'make_fleet', make)
    stateful.run_state_machine_as_test(
        _Machine,
        settings=hypothesis.settings(
            max_examples=25, stateful_step_count=20, deadline=None
        ),
    )
