"""Reports of the costs of requests to other nodes, in virtual time."""

import pytest

from rosemarycrank.dataplane import _call_links
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _stored_costs

#: Seconds in which a wrong cost has to be corrected at all nodes.
CORRECTION_TIMEOUT_S = 15.0

RUN_INTERVAL_S = 0.1

WRONG_COSTS_BY_ROUTE = {'page': {'front': 1.0, 'dues': 4.0}}


class _Receiver:
    """Connection to another node, which averages the reported costs."""

    connected = True
    address = '10.0.0.9:7000'

    def check_silence(self):
        pass

    def __init__(self):
        self.costs = _costs.CallCosts('elsewhere')
        self.reports = 0

    def notify(self, frame):
        if isinstance(frame, _frames.RouteCosts):
            self.reports += 1
            self.costs.update_from_report(frame.service, frame.costs_by_route)


class _IdleTargetSide:
    """Target side without a target."""

    record = None


@pytest.fixture
def node(reactor):
    """Node of a target of service ``front``."""
    node = _node.Node(
        reactor,
        'n1',
        1,
        None,
        _costs.CallCosts('front'),
        _front.AdmitAll(),
    )
    node.target_side = _IdleTargetSide()
    reactor.timers.every(
        _costs.SAMPLE_INTERVAL_S, lambda _now: node.costs.sample()
    )
    return node


@pytest.fixture
def receiver(node):
    """Another node that is connected to `node`."""
    receiver = _Receiver()
    node.inbound_connections.add(receiver)
    return receiver


def _run_pages(node, seconds, calls):
    """Run requests of the route ``page`` that make calls to ``dues``."""
    reactor = node.reactor
    for _ in range(round(seconds / RUN_INTERVAL_S)):
        run = _call_links.Run('page', 0.0, reactor.now() + 2.0)
        node.costs.record_run_start(run)
        for _ in range(calls):
            node.costs.record_call('dues', 'pay', None)
        reactor.run(RUN_INTERVAL_S)
        node.costs.record_run_end(run, reactor.now(), failed=False)


def _reported_calls(receiver):
    return receiver.costs.cost('front', 'page').get('dues', 0.0)


@pytest.mark.parametrize('runs_go_on', [True, False])
def test_cost_that_was_wrong_is_corrected_at_other_nodes(
    node, receiver, runs_go_on
):
    # Requests of clients were taken for calls of the target until the node
    # has found out that clients use their route.
    _run_pages(node, 5.0, calls=4)
    assert _reported_calls(receiver) == pytest.approx(4.0, rel=0.2)
    node.add_client_route('pay')
    if runs_go_on:
        _run_pages(node, CORRECTION_TIMEOUT_S, calls=0)
    else:
        node.reactor.run(CORRECTION_TIMEOUT_S)
    assert _reported_calls(receiver) < _front.MIN_CALLS_PER_REQUEST


def test_report_of_a_node_that_is_gone_is_corrected(node, receiver):
    for _ in range(10):
        report = _frames.RouteCosts('front', WRONG_COSTS_BY_ROUTE)
        receiver.notify(report)
        node.receive_notification(report, connection=None)
    _run_pages(node, _costs.MIN_TRUSTED_OBSERVED_S, calls=0)
    _run_pages(node, CORRECTION_TIMEOUT_S, calls=0)
    assert _reported_calls(receiver) < _front.MIN_CALLS_PER_REQUEST


def test_stored_cost_that_is_wrong_is_corrected(node, receiver):
    stored = _stored_costs.StoredCosts(
        'front',
        WRONG_COSTS_BY_ROUTE,
        [_stored_costs.StoredCall('dues', 'pay', 'page', 4.0)],
    )
    for costs in (node.costs, receiver.costs):
        costs.restore(stored)
    node.reactor.run(1.0)
    node.add_client_route('pay')
    _run_pages(node, CORRECTION_TIMEOUT_S, calls=0)
    assert _reported_calls(receiver) < _front.MIN_CALLS_PER_REQUEST


def test_costs_without_calls_are_not_reported(node, receiver):
    _run_pages(node, 20.0, calls=0)
    assert receiver.reports == 0


def test_reports_end_after_a_correction(node, receiver):
    _run_pages(node, 5.0, calls=4)
    node.add_client_route('pay')
    _run_pages(node, 60.0, calls=0)
    assert _reported_calls(receiver) < 0.1
    reports = receiver.reports
    _run_pages(node, 20.0, calls=0)
    assert receiver.reports == reports
