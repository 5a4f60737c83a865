"""Planned stops and drains of nodes that serve requests.

The tests guard against requests that a stop interrupts or leaves with an
unknown outcome, and against new requests at a drained target.
"""

import attrs
import pytest

from rosemarycrank import bundles
from rosemarycrank import kernel
from rosemarycrank import results
from tests.calls import network as network_module

ADDRESSES = tuple(f'n{number}:1' for number in range(4))
EXTRA_DELAY_S = 0.4


def serve_slowly(network, address, call):
    """Answer completely after an extra delay."""
    network.schedule(
        EXTRA_DELAY_S, lambda: network_module.serve(network, address, call)
    )


@pytest.fixture
def network():
    network = network_module.Network()
    for address in ADDRESSES:
        network.add_node(address, 's', serve_slowly)
    network.run(0.5)
    return network


def stop(network, address):
    network.deliver(address, kernel.DrainRequested(stop=True))


@pytest.mark.parametrize('stopped', ADDRESSES)
def test_requests_in_flight_finish(network, stopped):
    for number in range(40):
        network.send_request(ADDRESSES[number % 4], f'r{number}', 'POST')
    network.run(0.6)
    stop(network, stopped)
    network.run(20.0)
    assert network.stopped_addresses == [stopped]
    answers = network.answers_by_request_id.values()
    assert [a.result for a in answers] == [results.Result.OK] * 40


def test_rolling_stop_under_load(network):
    for number in range(600):
        entry = ADDRESSES[number % 4]
        network.schedule(
            number * 0.02,
            lambda entry=entry, number=number: network.send_request(
                entry, f'r{number}', 'POST'
            ),
        )
    for index, address in enumerate(ADDRESSES):
        network.schedule(
            1.0 + 2.5 * index, lambda address=address: stop(network, address)
        )
    network.run(60.0)
    assert sorted(network.stopped_addresses) == sorted(ADDRESSES)
    for request_id, answer in network.answers_by_request_id.items():
        runs = network.count_runs(f'/{request_id}')
        if answer.result.outcome is results.Outcome.COMPLETE:
            assert runs == 1
        else:
            assert answer.result.outcome is results.Outcome.NOT_RUN
            assert runs == 0


def test_drained_upstream_gets_no_new_requests(network):
    network.deliver(ADDRESSES[1], kernel.DrainRequested(stop=False))
    network.run(0.6)
    before = len(network.arrivals)
    for number in range(40):
        network.send_request(ADDRESSES[1], f'r{number}')
    network.run(5.0)
    assert len(network.arrivals) - before == 40
    assert all(
        answer.headers == {} and answer.result is results.Result.OK
        for answer in network.answers_by_request_id.values()
    )
    drained = network.hosts_by_address[ADDRESSES[1]].kernel
    assert drained.context.counters.get('target.upstream_calls', 0) == 0


def test_ended_partner_gets_no_new_requests(network):
    network.deliver(ADDRESSES[2], kernel.PartnerLeaveRequested(''))
    # The node no longer publishes its target, so entry nodes choose others.
    target = network.targets_by_address.get(ADDRESSES[2])
    assert target is None
    for number in range(20):
        network.send_request(ADDRESSES[0], f'r{number}')
    network.run(5.0)
    node = network.hosts_by_address[ADDRESSES[2]].kernel
    assert node.context.counters.get('target.upstream_calls', 0) == 0
    assert len(network.arrivals) == 20


def test_slow_target_keeps_its_connection(network):
    # The entry node sends Revoke after 0.5 s without a reply. The target's
    # node answers on the existing connection, so that must not be replaced.
    for host in network.hosts_by_address.values():
        host.upstream = lambda network, address, call: network.schedule(
            2.0, lambda: network_module.serve(network, address, call)
        )
    network.send_request(ADDRESSES[0], 'slow')
    network.run(10.0)
    answer = network.answers_by_request_id['slow']
    counters = network.hosts_by_address[ADDRESSES[0]].kernel.context.counters
    assert answer.result is results.Result.OK
    assert counters['entry.revokes'] >= 1
    assert 'entry.connections_replaced' not in counters


def test_goodput_weight_of_bundle_reaches_admission(network):
    policy = bundles.Policy(goodput_weight=0.25)
    bundle = attrs.evolve(network_module.BUNDLE, policy=policy)
    weights = []
    node = network.hosts_by_address[ADDRESSES[0]].kernel
    target = next(p for p in node.components if p.name == 'target')
    target.controller.set_goodput_weight = weights.append
    node.context.publish(bundles.BundleAccepted(bundle))
    assert weights == [0.25]
