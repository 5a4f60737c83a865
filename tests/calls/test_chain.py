"""Retries of one client request are bounded over the whole call graph.

Compared: arrivals at all upstreams, against the calls that were made (one
by the client and each by an upstream) plus the allowance of the bundle.
"""

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import calls
from tests.calls import network as network_module

ALLOWANCE = 3
ENDINGS = (
    network_module.serve,
    network_module.refuse,
    network_module.lose,
)


class Chain:
    """Upstreams of services ``s0`` to ``s<depth>`` that call downwards."""

    def __init__(self, depth, fan_out, choose):
        self.depth = depth
        self.fan_out = fan_out
        self.choose = choose
        self.calls = 0

    def upstream(self, network, address, call):
        """Call the next level ``fan_out`` times, then end as chosen."""
        level = int(call.path.rpartition('/')[2])
        left = self.fan_out if level < self.depth else 0

        def go_on(answer=None):
            nonlocal left
            if left == 0:
                self.choose(ENDINGS)(network, address, call)
                return
            left -= 1
            self.calls += 1
            network.nested_call(
                address,
                call.token,
                f's{level + 1}',
                f'/r1/{level + 1}',
                go_on,
            )

        go_on()


def run_chain(depth, fan_out, choose, dropped=()):
    """Return arrivals at upstreams and calls made."""
    network = network_module.Network()
    network.add('entry:1', 'front')
    chain = Chain(depth, fan_out, choose)
    for level in range(depth + 1):
        for replica in range(2):
            network.add(f's{level}-{replica}:1', f's{level}', chain.upstream)
    network.run(0.5)
    network.message_count = 0
    network.faults = dict.fromkeys(dropped, lambda *arguments: [])
    chain.calls += 1
    network.request('entry:1', 'r1', service='s0', path='/r1/0')
    network.run(60.0)
    assert 'r1' in network.answers_by_request_id
    return len(network.runs), chain.calls


@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=60)
def test_attempts_are_bounded_at_any_depth(data):
    depth = data.draw(strategies.integers(0, 7))
    fan_out = data.draw(strategies.integers(1, 2 if depth < 5 else 1))
    dropped = data.draw(strategies.sets(strategies.integers(0, 60)))
    arrivals, made = run_chain(
        depth,
        fan_out,
        lambda endings: data.draw(strategies.sampled_from(endings)),
        dropped,
    )
    assert arrivals <= made + ALLOWANCE


@pytest.mark.parametrize('depth', range(8))
def test_every_hop_loses_its_answer(depth):
    arrivals, made = run_chain(depth, 1, lambda endings: endings[2])
    assert arrivals <= made + ALLOWANCE


def test_an_allowance_for_each_hop_is_caught(monkeypatch):
    # What the bound is for: a fresh allowance at every hop multiplies.
    monkeypatch.setattr(
        calls.Allowance, 'delegate_half', lambda self: ALLOWANCE
    )
    arrivals, made = run_chain(3, 1, lambda endings: endings[2])
    assert arrivals > made + ALLOWANCE
