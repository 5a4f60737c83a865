"""A re-send that a node cannot take is not told that its key never ran."""

import pytest

from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import results
from tests.calls import network as network_module


@pytest.fixture
def network():
    network = network_module.Network()
    network.add('e0:1', 'front')
    network.add('n0:1', 's')
    network.run(0.5)
    network.request('e0:1', 'paid', 'POST', key='paid')
    network.run(1.0)
    assert network.runs_of('/paid') == 1
    return network


def resend(network, address, **fields):
    network.request(
        address, 'again', 'POST', key='paid', path='/paid', **fields
    )
    network.run(network.now + 5.0)
    return network.answers_by_request_id['again'].result


def test_at_a_node_without_a_bundle(network):
    network.add('new:1', 'front', bundle=None)
    assert resend(network, 'new:1') is results.Result.ANSWER_LOST


def test_at_a_node_that_stops(network):
    network.post('e0:1', kernel.DrainRequested(stop=True))
    assert resend(network, 'e0:1') is results.Result.ANSWER_LOST


def test_under_a_token_that_has_ended(network):
    result = resend(network, 'e0:1', token='ended')
    assert result is results.Result.ANSWER_LOST


def test_a_first_send_is_refused_as_not_run(network):
    network.post('e0:1', kernel.DrainRequested(stop=True))
    network.request('e0:1', 'first', 'POST', key='first')
    network.run(5.0)
    answer = network.answers_by_request_id['first']
    assert answer.result is results.Result.LEAVING
    assert network.runs_of('/first') == 0


@pytest.mark.parametrize(
    'bundle, service, expected',
    [
        (None, 's', results.Result.NO_BUNDLE),
        (network_module.BUNDLE, 'none', results.Result.UNKNOWN_SERVICE),
    ],
)
def test_an_owner_that_cannot_classify_refuses(bundle, service, expected):
    # Another node passes the call on to the key's owner.
    network = network_module.Network()
    network.add('new:1', 'front', bundle=bundle)
    owner = network.hosts_by_address['new:1'].kernel
    key_ledger = next(p for p in owner.components if p.name == 'ledger')
    answers = []
    request = ledger.KeyedRequest('k', service, 'POST', '/k', {}, b'', 5.0)
    key_ledger.run(request, answers.append)
    assert [answer.result for answer in answers] == [expected]
