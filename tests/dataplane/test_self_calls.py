"""Load of a service whose requests call the same service.

The pattern: runs that wait for a call hold all slots, and the calls that they
wait for queue behind them until all of them fail.
"""

import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

SLOTS = 10
SERVICE_S = 0.05
OUTER_COUNT = 100
ANSWER = _upstream.Answer(_frames.Outcome.COMPLETE, 0, 200, b'', b'')
FAILED_ANSWER = _upstream.Answer(_frames.Outcome.COMPLETE, 0, 500, b'', b'')


class _Load:
    """Requests of the route ``outer``, each of which makes one call.

    The call, of the route ``inner``, goes to the same target. The request ends
    with it.
    """

    def __init__(self, side, pool, reactor):
        self.side = side
        self.pool = pool
        self.reactor = reactor
        self.results = []
        self.caller = side.callers.get(77)
        self.caller.send = self._receive
        self._number = 0
        self._outer_call_by_number = {}

    def send(self, route, **changes):
        self._number += 1
        self.side.accept(
            self.caller,
            fakes.attempt(self._number, route=route, **changes),
        )

    def run(self, seconds):
        """Let the target serve; its calls take their time."""
        end_at = self.reactor.now() + seconds
        while self.reactor.now() < end_at:
            calls, self.pool.calls[:] = list(self.pool.calls), []
            for call in calls:
                self._serve(call)
            self.reactor.run(0.01)

    def _serve(self, call):
        if b'inner' in call.data:
            self.reactor.timers.after(
                SERVICE_S, lambda _now: call.aborted or call.on_answer(ANSWER)
            )
        else:
            self._outer_call_by_number[self._number + 1] = call
            self.send('inner', head=b'GET /inner HTTP/1.1\r\n')

    def _receive(self, result):
        outer_call = self._outer_call_by_number.pop(result.number, None)
        if outer_call is None:
            self.results.append(result)
        elif not outer_call.aborted:
            was_served = result.outcome == _frames.Outcome.COMPLETE
            outer_call.on_answer(ANSWER if was_served else FAILED_ANSWER)


@pytest.fixture
def load(make_side, pool, reactor):
    side = make_side(slots=SLOTS, drain_s=2.0)
    service = side.costs.service
    side.costs.update_from_report(
        service, {'outer': {service: 2.0}, 'inner': {service: 1.0}}
    )
    return _Load(side, pool, reactor)


# Guards against a service that stands still under a burst, as runs that wait
# for calls to the service hold all of its slots.
def test_calls_to_the_own_service_find_a_slot(load):
    for _ in range(OUTER_COUNT):
        load.send('outer', remaining_ms=1500)
    load.run(3.0)
    statuses = [result.status for result in load.results]
    assert len(statuses) == OUTER_COUNT
    # One slot of nine serves the calls: 20 a second for 1.5 s.
    assert statuses.count(200) >= 0.8 * 20 * 1.5


def test_other_requests_may_use_all_slots(load):
    for _ in range(SLOTS):
        load.send('inner', head=b'GET /inner HTTP/1.1\r\n')
    assert len(load.pool.calls) == load.side.limit.value
