"""Requests that would be shed downstream are refused at the entry node.

Without this, every hop in front of an overloaded service works on requests
that fail in the end.
"""

import random

import pytest

from rosemarycrank import admission
from rosemarycrank.calls import _path_levels
from rosemarycrank import results
from tests.calls import network as network_module

KEY = ('front', 'read')
MAX_THRESHOLD = 4.0


class ShedReads(admission.PassThrough):
    """Sheds all requests of rank 1 or above and reports that level."""

    def offer(self, ticket, now):
        if ticket.rank >= 1:
            return admission.Decision(
                admission.Verdict.REFUSE, results.Result.SHED
            )
        return super().offer(ticket, now)

    def shed_level(self, now):
        return admission.ShedLevel(rank=0)


@pytest.fixture
def thresholds():
    return _path_levels.DownstreamThresholds(probe_share=0.0)


def test_nothing_is_shed_without_a_threshold(thresholds):
    thresholds.update(KEY, _path_levels.NO_THRESHOLD, MAX_THRESHOLD, 0.0)
    assert not thresholds.should_shed(KEY, 3.9, 0.1, random)
    assert thresholds.threshold(KEY) == _path_levels.NO_THRESHOLD


def test_requests_at_or_above_threshold_are_shed(thresholds):
    thresholds.update(KEY, 1.5, MAX_THRESHOLD, 0.0)
    assert thresholds.should_shed(KEY, 1.5, 0.1, random)
    assert not thresholds.should_shed(KEY, 1.49, 0.1, random)
    assert not thresholds.should_shed(('front', 'paid'), 3.9, 0.1, random)


def test_average_follows_reported_thresholds(thresholds):
    for tick in range(60):
        thresholds.update(KEY, 1.5, MAX_THRESHOLD, tick * 0.05)
    for tick in range(60, 100):
        thresholds.update(
            KEY, _path_levels.NO_THRESHOLD, MAX_THRESHOLD, tick * 0.05
        )
    assert thresholds.threshold(KEY) > 3.9


def test_stale_threshold_is_dropped(thresholds):
    thresholds.update(KEY, 1.5, MAX_THRESHOLD, 0.0)
    assert not thresholds.should_shed(KEY, 3.9, 1.1, random)


def test_entry_node_refuses_what_the_leaf_sheds():
    network = network_module.Network()

    def call_leaf(network, address, call):
        network.nested_call(
            address,
            call.token,
            's',
            '/leaf',
            lambda answer: network_module.serve(network, address, call),
        )

    network.add_node('e:1', 'edge')
    network.add_node('f:1', 's0', call_leaf)
    network.add_node('l:1', 's', controller=ShedReads())
    network.run(0.5)
    for number in range(200):
        network.schedule(
            number * 0.01,
            lambda number=number: network.send_request(
                'e:1', f'r{number}', service='s0'
            ),
        )
    network.run(10.0)
    shed = [
        answer
        for answer in network.answers_by_request_id.values()
        if answer.result is results.Result.SHED
    ]
    front = network.hosts_by_address['e:1'].kernel
    early_refusals = front.context.counters['entry.early_refusals_below']
    assert early_refusals == len(shed) > 150
