"""Every caller gets the complete answer to its own request.

The tests guard against mixed-up answers: upstreams answer out of order, and
the network drops, delays and duplicates messages.
"""

import random

import attrs
import pytest

from rosemarycrank import messages
from rosemarycrank import results
from tests.calls import network as network_module

REQUEST_COUNT = 400
ENTRY_ADDRESSES = ('e0:1', 'e1:1')


def serve_out_of_order(generator):
    """Return an upstream that answers out of order."""

    def upstream(network, address, call):
        network.schedule(
            generator.uniform(0.0, 0.3),
            lambda: network_module.serve(network, address, call),
        )

    return upstream


def make_fault(generator):
    """Return a fault that drops, delays or duplicates some messages."""

    def fault(network, sender, destination, message):
        draw = generator.random()
        if draw < 0.02:
            return []
        if draw < 0.04:
            return [generator.uniform(0.0, 3.0)]
        if draw < 0.08:
            return [generator.uniform(0.0, 0.5) for _ in range(3)]
        return [generator.uniform(0.0005, 0.01)]

    return fault


@pytest.mark.parametrize('seed', range(5))
def test_callers_get_their_own_answers(seed):
    generator = random.Random(seed)
    network = network_module.Network(seed)
    for address in ENTRY_ADDRESSES:
        network.add_node(address, 'front')
    for number in range(3):
        upstream = serve_out_of_order(generator)
        network.add_node(f'n{number}:1', 's', upstream)
    network.run(0.5)
    fault = make_fault(generator)
    first_index = network.message_count
    network.faults = {
        first_index + i: fault for i in range(REQUEST_COUNT * 20)
    }
    for number in range(REQUEST_COUNT):
        method = generator.choice(['GET', 'POST'])
        entry = generator.choice(ENTRY_ADDRESSES)
        network.schedule(
            generator.uniform(0.0, 2.0),
            lambda entry=entry, number=number, method=method: (
                network.send_request(entry, f'r{number}', method)
            ),
        )
    network.run(90.0)
    assert len(network.answers_by_request_id) == REQUEST_COUNT
    complete_count = 0
    for request_id, answer in network.answers_by_request_id.items():
        path = f'/{request_id}'
        runs = network.count_runs(path)
        if answer.result.outcome is results.Outcome.COMPLETE:
            complete_count += 1
            assert answer.body == network_module.answer_body(path)
        if answer.result.outcome is results.Outcome.NOT_RUN:
            assert runs == 0
    assert complete_count > 0.9 * REQUEST_COUNT


class _LaterReleaseNetwork(network_module.Network):
    """Network whose targets' nodes report a result that is not known yet."""

    def _send(self, sender, destination, message):
        if isinstance(message, messages.AttemptReply):
            message = attrs.evolve(message, result=999)
        super()._send(sender, destination, message)


# Guards against a request that ran and is called not run.
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_result_of_a_later_release_leaves_the_outcome_unknown(method):
    network = _LaterReleaseNetwork()
    network.add_node('e0:1', 'front')
    network.add_node('n0:1', 's')
    network.run(0.5)
    network.send_request('e0:1', 'r1', method)
    network.run(30.0)
    assert network.count_runs('/r1') >= 1
    answer = network.answers_by_request_id['r1']
    assert answer.result.outcome is results.Outcome.UNKNOWN
