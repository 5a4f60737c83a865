"""Retries of one client request are bounded over the whole call graph.

The tests guard against retries that multiply from hop to hop. They compare
the number of arrivals at all upstreams with the number of calls that the
client and the upstreams made, plus the retry allowance of the request class.
"""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import calls
from tests.calls import network as network_module

ALLOWANCE = 3
BEHAVIOURS = (
    network_module.serve,
    network_module.refuse,
    network_module.lose_answer,
)


class Chain:
    """Upstreams of services ``s0`` to ``s<depth>``, each calling the next."""

    def __init__(self, depth, fan_out, choose_behaviour):
        self.depth = depth
        self.fan_out = fan_out
        self.choose_behaviour = choose_behaviour
        self.call_count = 0

    def upstream(self, network, address, call):
        """Call the next service ``fan_out`` times, then answer as chosen."""
        level = int(call.path.rpartition('/')[2])
        remaining_calls = self.fan_out if level < self.depth else 0

        def call_next(answer=None):
            nonlocal remaining_calls
            if remaining_calls == 0:
                self.choose_behaviour(BEHAVIOURS)(network, address, call)
                return
            remaining_calls -= 1
            self.call_count += 1
            network.nested_call(
                address,
                call.token,
                f's{level + 1}',
                f'/r1/{level + 1}',
                call_next,
            )

        call_next()


def run_chain(depth, fan_out, choose_behaviour, dropped_indexes=()):
    """Return the numbers of arrivals at upstreams and of calls made."""
    network = network_module.Network()
    network.add_node('entry:1', 'front')
    chain = Chain(depth, fan_out, choose_behaviour)
    for level in range(depth + 1):
        for replica in range(2):
            network.add_node(
                f's{level}-{replica}:1', f's{level}', chain.upstream
            )
    network.run(0.5)
    network.message_count = 0
    network.faults = dict.fromkeys(dropped_indexes, lambda *arguments: [])
    chain.call_count += 1
    network.send_request('entry:1', 'r1', service='s0', path='/r1/0')
    network.run(60.0)
    assert 'r1' in network.answers_by_request_id
    return len(network.arrivals), chain.call_count


@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=60)
def test_attempts_are_bounded_at_any_depth(data):
    depth = data.draw(strategies.integers(0, 7))
    fan_out = data.draw(strategies.integers(1, 2 if depth < 5 else 1))
    dropped_indexes = data.draw(strategies.sets(strategies.integers(0, 60)))
    arrivals, calls_made = run_chain(
        depth,
        fan_out,
        lambda behaviours: data.draw(strategies.sampled_from(behaviours)),
        dropped_indexes,
    )
    assert arrivals <= calls_made + ALLOWANCE


@pytest.mark.parametrize('depth', range(8))
def test_attempts_are_bounded_if_every_hop_loses_its_answer(depth):
    arrivals, calls_made = run_chain(
        depth, 1, lambda behaviours: behaviours[2]
    )
    assert arrivals <= calls_made + ALLOWANCE


def test_bound_detects_separate_allowance_per_hop(monkeypatch):
    # A full allowance for each hop multiplies the retries at every hop.
    monkeypatch.setattr(
        calls.Allowance, 'delegate_half', lambda self: ALLOWANCE
    )
    arrivals, calls_made = run_chain(3, 1, lambda behaviours: behaviours[2])
    assert arrivals > calls_made + ALLOWANCE
