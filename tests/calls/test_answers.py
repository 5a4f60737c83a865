"""Every caller gets the whole answer to its own request."""

import random

import pytest

from rosemarycrank import results
from tests.calls import network as network_module

REQUESTS = 400
ENTRIES = ('e0:1', 'e1:1')


def serve_out_of_order(generator):
    """Return an upstream whose answers overtake each other."""

    def upstream(network, address, call):
        network.at(
            generator.uniform(0.0, 0.3),
            lambda: network_module.serve(network, address, call),
        )

    return upstream


def disturb(generator):
    """Return a fault that loses, delays or doubles some messages."""

    def fault(network, sender, destination, message):
        chance = generator.random()
        if chance < 0.02:
            return []
        if chance < 0.04:
            return [generator.uniform(0.0, 3.0)]
        if chance < 0.08:
            return [generator.uniform(0.0, 0.5) for _ in range(3)]
        return [generator.uniform(0.0005, 0.01)]

    return fault


@pytest.mark.parametrize('seed', range(5))
def test_interleaved_answers_reach_their_callers(seed):
    generator = random.Random(seed)
    network = network_module.Network(seed)
    for address in ENTRIES:
        network.add(address, 'front')
    for number in range(3):
        upstream = serve_out_of_order(generator)
        network.add(f'n{number}:1', 's', upstream)
    network.run(0.5)
    fault = disturb(generator)
    first = network.message_count
    network.faults = {first + i: fault for i in range(REQUESTS * 20)}
    for number in range(REQUESTS):
        method = generator.choice(['GET', 'POST'])
        entry = generator.choice(ENTRIES)
        network.at(
            generator.uniform(0.0, 2.0),
            lambda entry=entry, number=number, method=method: network.request(
                entry, f'r{number}', method
            ),
        )
    network.run(90.0)
    assert len(network.answers_by_request_id) == REQUESTS
    complete = 0
    for request_id, answer in network.answers_by_request_id.items():
        path = f'/{request_id}'
        runs = network.runs_of(path)
        if answer.result.outcome is results.Outcome.COMPLETE:
            complete += 1
            assert answer.body == network_module.answer_body(path)
        if answer.result.outcome is results.Outcome.NOT_RUN:
            assert runs == 0
    assert complete > 0.9 * REQUESTS
