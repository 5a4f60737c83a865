"""The first call to a service whose targets are in other domains."""

from rosemarycrank import results
from tests.calls import network as network_module


def test_the_first_call_waits_for_targets():
    network = network_module.Network()
    network.add('e:1', 'front')
    network.run(0.5)
    network.request('e:1', 'r1')
    network.at(0.2, lambda: network.add('n:1', 's'))
    network.run(2.0)
    assert network.answers_by_request_id['r1'].result is results.Result.OK


def test_later_calls_are_refused_at_once():
    network = network_module.Network()
    network.add('e:1', 'front')
    network.run(0.5)
    network.request('e:1', 'r1')
    network.run(2.0)
    network.request('e:1', 'r2')
    network.run(2.001)
    answers = network.answers_by_request_id
    assert {a.result for a in answers.values()} == {results.Result.NO_TARGET}
    assert set(answers) == {'r1', 'r2'}
