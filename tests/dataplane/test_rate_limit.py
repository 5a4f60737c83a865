"""Rate limit that the local target names, as its node knows and keeps it."""

import logging
import math

import pytest

from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _rate_limit
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes


@pytest.fixture
def pool():
    return fakes.FakePool()


@pytest.fixture
def side(reactor, pool):
    side = _target.TargetSide(
        reactor,
        pool,
        _names.HeaderNames(),
        _counters.Counters(),
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
    )
    side.update_record(fakes.record(slots=100))
    return side


@pytest.fixture
def caller(side):
    caller = side.caller(77)
    caller.send = lambda _result: None
    return caller


@pytest.fixture
def serve(side, caller, pool):
    """Run one request whose answer names a limit."""

    def serve(rate_limit_per_s, outcome=_frames.Outcome.COMPLETE):
        number = len(caller.jobs_by_number) + 1
        side.accept(caller, fakes.attempt(number))
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
    # An answer that is lost or invalid does not tell.
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
