"""Repeated sends of keyed requests to nodes that refuse them.

The tests guard against a second run of a paid request: the first send has
run, so a repeated send with the same key must not be reported as not run,
even if the node that gets it refuses all requests.
"""

import pytest

from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import results
from tests.calls import network as network_module


@pytest.fixture
def network():
    network = network_module.Network()
    network.add_node('e0:1', 'front')
    network.add_node('n0:1', 's')
    network.run(0.5)
    network.send_request('e0:1', 'paid', 'POST', key='paid')
    network.run(1.0)
    assert network.count_runs('/paid') == 1
    return network


def resend(network, address, **fields):
    network.send_request(
        address, 'again', 'POST', key='paid', path='/paid', **fields
    )
    network.run(network.now + 5.0)
    return network.answers_by_request_id['again'].result


def test_resend_to_node_without_bundle(network):
    network.add_node('new:1', 'front', bundle=None)
    assert resend(network, 'new:1') is results.Result.ANSWER_LOST


def test_resend_to_stopping_node(network):
    network.deliver('e0:1', kernel.DrainRequested(stop=True))
    assert resend(network, 'e0:1') is results.Result.ANSWER_LOST


def test_resend_with_ended_token(network):
    result = resend(network, 'e0:1', token='ended')
    assert result is results.Result.ANSWER_LOST


def test_first_send_to_stopping_node_is_not_run(network):
    network.deliver('e0:1', kernel.DrainRequested(stop=True))
    network.send_request('e0:1', 'first', 'POST', key='first')
    network.run(5.0)
    answer = network.answers_by_request_id['first']
    assert answer.result is results.Result.LEAVING
    assert network.count_runs('/first') == 0


@pytest.mark.parametrize(
    'bundle, service, expected',
    [
        (None, 's', results.Result.NO_BUNDLE),
        (network_module.BUNDLE, 'none', results.Result.UNKNOWN_SERVICE),
    ],
)
def test_owner_refuses_unclassifiable_request(bundle, service, expected):
    # The owner may lack the bundle of the node that forwards the request.
    network = network_module.Network()
    network.add_node('new:1', 'front', bundle=bundle)
    owner = network.hosts_by_address['new:1'].kernel
    key_ledger = next(p for p in owner.components if p.name == 'ledger')
    answers = []
    request = ledger.KeyedRequest('k', service, 'POST', '/k', {}, b'', 5.0)
    key_ledger.run(request, answers.append)
    assert [answer.result for answer in answers] == [expected]
