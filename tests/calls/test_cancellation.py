"""Calls whose callers have left are cancelled, whatever messages are lost."""

import pytest

from rosemarycrank import kernel
from rosemarycrank import messages
from tests.calls import network as network_module

ENTRY, TARGET = 'e0:1', 'n0:1'

#: Time that a run takes unless it is cancelled, in seconds.
RUN_S = 20.0

#: Time in which a run ends after its caller has left, in seconds, from the
#: moment at which messages arrive again.
END_BOUND_S = 3.5


class _EachMessage(dict):
    """Faults that are the same for all messages."""

    def __init__(self, fault):
        super().__init__()
        self._fault = fault

    def get(self, _index):
        return self._fault


class _Network(network_module.Network):
    """Network whose upstream ends a run when it is told to."""

    def __init__(self):
        super().__init__()
        self.cancelled_at = {}
        self.cancel_count = 0
        self.lost_until = 0.0
        self.faults = _EachMessage(self._lose)

    def _lose(self, network, sender, destination, message):
        is_cancel = isinstance(message, messages.Cancel)
        self.cancel_count += is_cancel
        if is_cancel and self.now < self.lost_until:
            return []
        return [network_module.MESSAGE_LATENCY_S]

    def _perform(self, address, host, effect):
        if isinstance(effect, kernel.UpstreamCancel):
            self.cancelled_at.setdefault(effect.token, self.now)
            answer = kernel.UpstreamAnswer(
                effect.token, network_module.results.Result.ANSWER_LOST
            )
            self.schedule(0.001, lambda: self.deliver(address, answer))
        super()._perform(address, host, effect)


def _run_long(network, address, call):
    answer = kernel.UpstreamAnswer(
        call.token, network_module.results.Result.OK, 200, {}, b''
    )
    network.schedule(RUN_S, lambda: network.deliver(address, answer))


@pytest.fixture
def network():
    network = _Network()
    network.add_node(ENTRY, 'front')
    network.add_node(TARGET, 's', _run_long)
    network.run(0.5)
    network.send_request(ENTRY, 'r1', deadline_s=RUN_S)
    network.run(1.0)
    assert network.count_runs('/r1') == 1
    return network


def _leave(network):
    network.deliver(ENTRY, kernel.ClientGone('r1'))


# Guards against runs that go on to their deadline although their caller has
# left, as the only message that says so was lost.
@pytest.mark.parametrize('lost_s', [0.0, 0.1, 0.5, 1.5, 3.0])
def test_run_is_cancelled_although_cancellations_are_lost(network, lost_s):
    network.lost_until = network.now + lost_s
    _leave(network)
    network.run(network.now + lost_s + END_BOUND_S)
    assert len(network.cancelled_at) == 1


def test_cancellation_is_not_repeated_after_the_reply(network):
    _leave(network)
    network.run(network.now + 10.0)
    assert network.cancel_count == 1


def test_repetitions_for_a_node_that_is_gone_are_bounded(network):
    network.crash(TARGET)
    _leave(network)
    network.run(network.now + 60.0)
    assert network.cancel_count <= 6
