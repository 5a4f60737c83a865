"""Order of shedding, against an oracle; and the oracle against faults."""

import hypothesis
from hypothesis import stateful
import pytest

from rosemarycrank import admission
from rosemarycrank.admission import _queue
from rosemarycrank import results
from tests.admission import _order_machine

TestOrder = _order_machine.OrderMachine.TestCase
TestOrder.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)

# The first failure is enough: shrinking it takes minutes.
FAULT_SETTINGS = hypothesis.settings(
    TestOrder.settings,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


class _FifoQueue(_queue.TicketQueue):
    def push(self, ticket):
        entry = _queue._Entry(0, 0.0, next(self._sequence), ticket)
        self._entries.append(entry)
        self._entries_by_id[ticket.attempt_id] = entry


class _FifoLimit(admission.AdaptiveLimit):
    """Queues in order of arrival."""

    def __init__(self, **parameters):
        super().__init__(**parameters)
        self._queue = _FifoQueue()


class _RefuseNewest(admission.AdaptiveLimit):
    """Refuses the newcomer whenever the queue is full."""

    def _enqueue(self, ticket, now):
        if len(self._queue) >= self._max_queue_length(now):
            return admission.Decision(
                admission.Verdict.REFUSE, results.Result.SHED
            )
        return super()._enqueue(ticket, now)


class _ForgetExpired(admission.AdaptiveLimit):
    """Loses the tickets that expire."""

    def expire(self, now):
        super().expire(now)
        return []


@pytest.mark.parametrize('fault', [_FifoLimit, _RefuseNewest, _ForgetExpired])
def test_oracle_catches_a_planted_fault(fault):
    machine = type(
        'Faulty', (_order_machine.OrderMachine,), {'controller_class': fault}
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=FAULT_SETTINGS)
