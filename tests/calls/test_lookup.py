"""First calls to a service whose targets are not yet known.

The targets of a service may be in other failure domains, so the entry node
learns of them only some time after the first call to the service. Such a call
must wait for them; later calls without any target must not.
"""

from rosemarycrank import results
from tests.calls import network as network_module


def test_first_call_waits_for_targets():
    network = network_module.Network()
    network.add_node('e:1', 'front')
    network.run(0.5)
    network.send_request('e:1', 'r1')
    network.schedule(0.2, lambda: network.add_node('n:1', 's'))
    network.run(2.0)
    assert network.answers_by_request_id['r1'].result is results.Result.OK


def test_later_calls_are_refused_immediately():
    network = network_module.Network()
    network.add_node('e:1', 'front')
    network.run(0.5)
    network.send_request('e:1', 'r1')
    network.run(2.0)
    network.send_request('e:1', 'r2')
    network.run(2.001)
    answers = network.answers_by_request_id
    assert {a.result for a in answers.values()} == {results.Result.NO_TARGET}
    assert set(answers) == {'r1', 'r2'}
