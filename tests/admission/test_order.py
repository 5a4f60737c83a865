"""Order of shedding under random sequences of operations.

The checks themselves are tested with controllers that have injected faults.
"""

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

# Shrinking a failure takes minutes, and any failure is sufficient here.
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
    """Queues tickets in order of arrival instead of importance."""

    def __init__(self, **parameters):
        super().__init__(**parameters)
        self._queue = _FifoQueue()


class _RefuseNewest(admission.AdaptiveLimit):
    """Refuses the new ticket whenever the queue is full."""

    def _enqueue(self, ticket, now):
        if len(self._queue) >= self._max_queue_length(now):
            return admission.Decision(
                admission.Verdict.REFUSE, results.Result.SHED
            )
        return super()._enqueue(ticket, now)


class _DropExpired(admission.AdaptiveLimit):
    """Removes expired tickets without returning them."""

    def expire(self, now):
        super().expire(now)
        return []


@pytest.mark.parametrize('fault', [_FifoLimit, _RefuseNewest, _DropExpired])
def test_oracle_detects_an_injected_fault(fault):
    machine = type(
        'Faulty', (_order_machine.OrderMachine,), {'controller_class': fault}
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=FAULT_SETTINGS)
