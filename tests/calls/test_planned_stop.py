"""A planned stop interrupts nothing and blurs no outcome."""

import attrs
import pytest

from rosemarycrank import bundles
from rosemarycrank import kernel
from rosemarycrank import results
from tests.calls import network as network_module

NODES = tuple(f'n{number}:1' for number in range(4))
LONG_S = 0.4


def serve_long(network, address, call):
    """Answer whole after a long time."""
    network.at(LONG_S, lambda: network_module.serve(network, address, call))


@pytest.fixture
def network():
    network = network_module.Network()
    for address in NODES:
        network.add(address, 's', serve_long)
    network.run(0.5)
    return network


def stop(network, address):
    network.post(address, kernel.DrainRequested(stop=True))


@pytest.mark.parametrize('stopped', NODES)
def test_what_is_in_flight_finishes(network, stopped):
    for number in range(40):
        network.request(NODES[number % 4], f'r{number}', 'POST')
    network.run(0.6)
    stop(network, stopped)
    network.run(20.0)
    assert network.stopped == [stopped]
    answers = network.answers_by_request_id.values()
    assert [a.result for a in answers] == [results.Result.OK] * 40


def test_rolling_over_all_nodes_under_load(network):
    for number in range(600):
        entry = NODES[number % 4]
        network.at(
            number * 0.02,
            lambda entry=entry, number=number: network.request(
                entry, f'r{number}', 'POST'
            ),
        )
    for index, address in enumerate(NODES):
        network.at(
            1.0 + 2.5 * index, lambda address=address: stop(network, address)
        )
    network.run(60.0)
    assert sorted(network.stopped) == sorted(NODES)
    for request_id, answer in network.answers_by_request_id.items():
        runs = network.runs_of(f'/{request_id}')
        if answer.result.outcome is results.Outcome.COMPLETE:
            assert runs == 1
        else:
            assert answer.result.outcome is results.Outcome.NOT_RUN
            assert runs == 0


def test_a_drained_upstream_gets_no_new_work(network):
    network.post(NODES[1], kernel.DrainRequested(stop=False))
    network.run(0.6)
    before = len(network.runs)
    for number in range(40):
        network.request(NODES[1], f'r{number}')
    network.run(5.0)
    assert len(network.runs) - before == 40
    assert all(
        answer.headers == {} and answer.result is results.Result.OK
        for answer in network.answers_by_request_id.values()
    )
    drained = network.hosts_by_address[NODES[1]].kernel
    assert drained.context.counters.get('target.upstream_calls', 0) == 0


def test_an_ended_partner_gets_no_new_work(network):
    network.post(NODES[2], kernel.PartnerLeaveRequested(''))
    # Entry nodes that have not heard of it still choose the target.
    target = network.targets_by_address.get(NODES[2])
    assert target is None
    for number in range(20):
        network.request(NODES[0], f'r{number}')
    network.run(5.0)
    left = network.hosts_by_address[NODES[2]].kernel
    assert left.context.counters.get('target.upstream_calls', 0) == 0
    assert len(network.runs) == 20


def test_a_slow_target_keeps_its_connection(network):
    # Questions after 0.5 s are answered over the connection that is there.
    for host in network.hosts_by_address.values():
        host.upstream = lambda network, address, call: network.at(
            2.0, lambda: network_module.serve(network, address, call)
        )
    network.request(NODES[0], 'slow')
    network.run(10.0)
    answer = network.answers_by_request_id['slow']
    counters = network.hosts_by_address[NODES[0]].kernel.context.counters
    assert answer.result is results.Result.OK
    assert counters['entry.revokes'] >= 1
    assert 'entry.connections_replaced' not in counters


def test_the_weight_of_a_bundle_reaches_admission(network):
    policy = bundles.Policy(goodput_weight=0.25)
    bundle = attrs.evolve(network_module.BUNDLE, policy=policy)
    taken = []
    kernel_of = network.hosts_by_address[NODES[0]].kernel
    target = next(p for p in kernel_of.components if p.name == 'target')
    target.controller.set_goodput_weight = taken.append
    kernel_of.context.publish(bundles.BundleAccepted(bundle))
    assert taken == [0.25]
