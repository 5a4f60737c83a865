"""Rate limit that the local target names, as its node knows and keeps it."""

import logging
import math

import pytest

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _rate_limit
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes


@pytest.fixture
def side(make_side):
    return make_side(slots=100)


@pytest.fixture
def caller(side):
    caller = side.callers.get(77)
    caller.send = lambda _result: None
    return caller


@pytest.fixture
def serve(side, caller, pool):
    """Run one request whose answer names a limit."""

    def serve(rate_limit_per_s, outcome=_frames.Outcome.COMPLETE):
        number = len(caller.jobs_by_number) + 1
        started = len(pool.calls)
        side.accept(caller, fakes.attempt(number))
        # Earlier limits may delay its start.
        side.reactor.run(0.1)
        assert len(pool.calls) == started + 1
        pool.calls[-1].on_answer(
            _upstream.Answer(
                outcome, 0, 200, b'', b'', rate_limit_per_s=rate_limit_per_s
            )
        )

    return serve


@pytest.mark.parametrize(
    'value, per_s',
    [
        (b'51.8', 51.8),
        (b'0', 0.0),
        (b'0.5', 0.5),
        (b'0012', 12.0),
        (b'999999999999', 999999999999.0),
    ],
)
def test_decimal_numbers_are_parsed(value, per_s):
    assert _rate_limit.parse(value) == per_s


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'-1',
        b'+1',
        b'1e3',
        b'inf',
        b'nan',
        b'1,2',
        b'1.',
        b'.5',
        b'9999999999999',
        b'many',
        b'1 ',
        '\u0661'.encode(),
    ],
)
def test_other_values_are_rejected(value):
    with pytest.raises(ValueError, match='rate limit: got'):
        _rate_limit.parse(value)


def test_limit_lasts_until_an_answer_without_it(side, serve):
    serve(50.0)
    assert side.rate_limit.per_s == 50.0
    # An answer that is lost or invalid changes nothing.
    serve(None, _frames.Outcome.UNKNOWN)
    assert side.rate_limit.per_s == 50.0
    serve(math.inf)
    assert side.rate_limit.per_s == math.inf


def test_limit_ends_with_the_next_start_of_the_target(side, serve):
    serve(50.0)
    side.update_record(fakes.record(slots=100, sequence=2))
    assert side.rate_limit.per_s == 50.0
    side.update_record(fakes.record(slots=100, born_ms=2000))
    assert side.rate_limit.per_s == math.inf


def test_notable_changes_of_the_limit_are_logged(serve, caplog):
    with caplog.at_level(logging.INFO):
        for per_s in (50.0, 52.0, 70.0, 70.0, math.inf):
            serve(per_s)
    lines = [
        (r.per_s, r.previous_per_s)
        for r in caplog.records
        if r.event == 'rate_limit'
    ]
    assert lines == [(50.0, None), (70.0, 52.0), (None, 70.0)]


class _LimitedTarget:
    """Target that names a limit for some time, and its callers.

    Attributes
    ----------
    per_s : float
        Limit that the answers name; infinite for none.
    started_at : list of float
        Times at which requests reached the target, in seconds.
    results : list of Result
        Results of the attempts.
    sent_count : int
        Number of attempts.
    """

    SERVICE_S = 0.03

    def __init__(self, reactor, side, pool):
        self.reactor = reactor
        self.side = side
        self.pool = pool
        self.per_s = math.inf
        self.started_at = []
        self.results = []
        self._callers = [side.callers.get(number) for number in (1, 2, 3)]
        for caller in self._callers:
            caller.send = self.results.append
        self.sent_count = 0

    def offer(self, rate_per_s, seconds, remaining_ms=1000):
        """Send attempts at a constant rate, and answer those that run."""
        interval_s = 1.0 / rate_per_s
        end = self.reactor.now() + seconds
        due_at = self.reactor.now()
        while self.reactor.now() < end:
            while due_at <= self.reactor.now():
                self._send(remaining_ms)
                due_at += interval_s
            self.reactor.run(0.005, 0.005)

    def _send(self, remaining_ms):
        self.sent_count += 1
        caller = self._callers[self.sent_count % len(self._callers)]
        self.side.accept(
            caller, fakes.attempt(self.sent_count, remaining_ms=remaining_ms)
        )
        self._schedule_answers()

    def _schedule_answers(self):
        calls, self.pool.calls[:] = list(self.pool.calls), []
        for call in calls:
            self.started_at.append(self.reactor.now())
            self.reactor.timers.after(
                self.SERVICE_S, lambda _now, call=call: self._answer(call)
            )

    def _answer(self, call):
        call.on_answer(
            _upstream.Answer(
                _frames.Outcome.COMPLETE,
                0,
                200,
                b'',
                b'',
                rate_limit_per_s=self.per_s,
            )
        )
        self._schedule_answers()

    def most_in_window(self, start_at):
        """Return the most starts in any window, from a time on."""
        times = [at for at in self.started_at if at >= start_at]
        return max(
            sum(1 for at in times if start <= at < start + WINDOW_S)
            for start in times
        )


#: Windows in which requests are counted, time after which the limit has to be
#: kept, and what is allowed beyond it, in seconds, a factor and requests.
WINDOW_S = 4.0
CONTACT_S = 3.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@pytest.fixture
def target(reactor, side, pool):
    target = _LimitedTarget(reactor, side, pool)
    # Starts that the queue allows are seen at the next step.
    reactor.timers.every(0.005, lambda _now: target._schedule_answers())
    return target


# Guards against a target in need that gets more requests than it has named.
@pytest.mark.parametrize('per_s', [0.0, 0.5, 2.0, 51.8, 300.0])
@pytest.mark.parametrize('remaining_ms', [200, 1000, 5000])
def test_target_gets_no_more_requests_than_it_named(
    target, reactor, per_s, remaining_ms
):
    target.offer(500.0, 2.0, remaining_ms)
    target.per_s = per_s
    named_at = reactor.now()
    target.offer(500.0, 12.0, remaining_ms)
    allowed = LIMIT_FACTOR * per_s * WINDOW_S + LIMIT_SLACK
    assert target.most_in_window(named_at + CONTACT_S) <= allowed


def test_limit_is_used_and_what_exceeds_it_has_not_run(target, reactor):
    target.offer(500.0, 2.0)
    target.per_s = 50.0
    target.offer(500.0, 10.0)
    started = len(target.started_at)
    target.offer(500.0, 4.0)
    assert len(target.started_at) - started >= 0.9 * 4.0 * 50.0
    reactor.run(3.0, 0.005)
    assert len(target.results) == target.sent_count
    outcomes = [result.outcome for result in target.results]
    completed = outcomes.count(_frames.Outcome.COMPLETE)
    assert completed == len(target.started_at)
    assert outcomes.count(_frames.Outcome.NOT_RUN) == (
        len(outcomes) - completed
    )


@pytest.mark.parametrize('per_s', [0.0, 50.0])
def test_all_requests_start_again_after_the_limit_has_ended(
    target, reactor, per_s
):
    target.offer(100.0, 2.0)
    target.per_s = per_s
    target.offer(100.0, 4.0)
    target.per_s = math.inf
    # The end of the limit is learned from an answer, at the lowest rate
    # after 2 s.
    target.offer(100.0, 2.0 + 1.0 / _rate_limit.MIN_PER_S)
    started = len(target.started_at)
    target.offer(100.0, 2.0)
    assert len(target.started_at) - started >= 190


# Other nodes choose targets and shed load by the ratio of these.
@pytest.mark.parametrize('per_s', [0.5, 51.8, 300.0])
def test_reported_capacity_is_that_of_the_limit(target, side, per_s):
    target.offer(500.0, 1.0)
    before = side.load()
    target.per_s = per_s
    target.offer(500.0, 1.0)
    load = side.load()
    assert load.limit / load.service_s == pytest.approx(per_s)
    target.per_s = math.inf
    target.offer(500.0, 4.0)
    assert side.load().limit == before.limit


def test_urgent_attempts_start_first_at_a_limited_target(
    side, serve, caller, pool, reactor
):
    serve(2.0)
    for number in range(10, 14):
        side.accept(caller, fakes.attempt(number, rank=3.0))
    urgent = fakes.attempt(20, rank=0.0, request_id=b'urgent')
    side.accept(caller, urgent)
    pool.calls.clear()
    reactor.run(0.6, 0.01)
    assert pool.calls[0].request_id == b'urgent'
