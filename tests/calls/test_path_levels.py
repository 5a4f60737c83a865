"""Requests that would be shed further down are refused at the front."""

import random

import pytest

from rosemarycrank import admission
from rosemarycrank.calls import _path_levels
from rosemarycrank import results
from tests.calls import network as network_module

KEY = ('front', 'read')
HIGHEST = 4.0


class ShedsReads(admission.PassThrough):
    """Refuses everything of rank 1, and says so."""

    def offer(self, ticket, now):
        if ticket.rank >= 1:
            return admission.Decision(
                admission.Verdict.REFUSE, results.Result.SHED
            )
        return super().offer(ticket, now)

    def shed_level(self, now):
        return admission.ShedLevel(rank=0)


@pytest.fixture
def levels():
    return _path_levels.DownstreamThresholds(probe_share=0.0)


def test_nothing_is_shed_before_an_answer(levels):
    levels.update(KEY, _path_levels.NO_THRESHOLD, HIGHEST, 0.0)
    assert not levels.should_shed(KEY, 3.9, 0.1, random)
    assert levels.threshold(KEY) == _path_levels.NO_THRESHOLD


def test_the_threshold_divides_requests(levels):
    levels.update(KEY, 1.5, HIGHEST, 0.0)
    assert levels.should_shed(KEY, 1.5, 0.1, random)
    assert not levels.should_shed(KEY, 1.49, 0.1, random)
    assert not levels.should_shed(('front', 'paid'), 3.9, 0.1, random)


def test_the_mean_follows_what_is_heard(levels):
    for tick in range(60):
        levels.update(KEY, 1.5, HIGHEST, tick * 0.05)
    for tick in range(60, 100):
        levels.update(KEY, _path_levels.NO_THRESHOLD, HIGHEST, tick * 0.05)
    assert levels.threshold(KEY) > 3.9


def test_a_threshold_is_dropped_without_answers(levels):
    levels.update(KEY, 1.5, HIGHEST, 0.0)
    assert not levels.should_shed(KEY, 3.9, 1.1, random)


def test_the_front_refuses_what_the_leaf_sheds():
    network = network_module.Network()

    def call_leaf(network, address, call):
        network.nested_call(
            address,
            call.token,
            's',
            '/leaf',
            lambda answer: network_module.serve(network, address, call),
        )

    network.add('e:1', 'edge')
    network.add('f:1', 's0', call_leaf)
    network.add('l:1', 's', controller=ShedsReads())
    network.run(0.5)
    for number in range(200):
        network.at(
            number * 0.01,
            lambda number=number: network.request(
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
    early = front.context.counters['entry.early_refusals_below']
    assert early == len(shed) > 150
