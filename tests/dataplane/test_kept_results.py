"""Memory for attempts of other nodes and for results until confirmed."""

import pytest

from rosemarycrank.dataplane import _callers
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _front
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _names
from rosemarycrank.dataplane import _target
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

#: Memory limit of the process.
LIMIT_BYTES = 40_000_000

#: Small body, and number of attempts whose bodies do not fit.
BODY = b'x' * 60_000
MANY = 400

#: Time after which a lost caller's results may be given up, in seconds.
LOST_S = _callers.CALLER_RECONNECT_TIMEOUT_S + 0.2


@pytest.fixture
def memory():
    return _memory.MemoryAccount(LIMIT_BYTES)


@pytest.fixture
def budget(memory, side):
    return memory.budgets_by_name['target_attempts']


@pytest.fixture
def response_budget(memory):
    return memory.budget('target_responses')


@pytest.fixture
def side(reactor, pool, memory, response_budget):
    side = _target.TargetSide(
        reactor,
        pool,
        _names.HeaderNames(),
        _counters.Counters(),
        _costs.CallCosts('archive'),
        _front.AdmitAll(),
        0.0,
        memory,
        response_budget,
    )
    side.update_record(fakes.record(slots=4))
    return side


@pytest.fixture
def results():
    return []


@pytest.fixture
def caller(side, results):
    return _connect(side, 77, results)


def _connect(side, incarnation, results, has_unsent=lambda: False):
    caller = side.callers.get(incarnation)
    side.restore_caller(
        caller, 'n2', results.append, lambda _number: None, has_unsent
    )
    return caller


def _run(side, pool, caller, number, body=BODY):
    """Let an attempt run, if it is accepted; return whether it has run."""
    started = len(pool.calls)
    _accept(side, caller, fakes.attempt(number))
    if len(pool.calls) == started:
        return False
    pool.calls[-1].on_answer(
        _upstream.Answer(_frames.Outcome.COMPLETE, 0, 200, b'h: 1\r\n', body)
    )
    side.reactor.run(0.0)
    return True


def _accept(side, caller, attempt):
    """Accept an attempt; if it is refused, its caller is told."""
    side.accept(caller, attempt)
    side.reactor.run(0.0)


def _is_refused(result):
    return (
        result.outcome == _frames.Outcome.NOT_RUN
        and result.reason == _frames.Reason.QUEUE_FULL
    )


# Guards against a node above its memory by results that its callers have not
# confirmed: those that arrive in one read were in no account.
def test_attempts_are_refused_while_results_take_all_memory(
    side, pool, caller, results, budget
):
    for number in range(1, MANY):
        _run(side, pool, caller, number)
        assert budget.used_bytes <= budget.limit_bytes
    ran = len(pool.calls)
    assert 10 < ran < MANY - 1
    assert budget.used_bytes >= ran * len(BODY)
    assert [r.body for r in results[:ran]] == [BODY] * ran
    assert all(map(_is_refused, results[ran:]))
    assert len(results) == MANY - 1
    caller.discard_results_before(MANY)
    assert budget.used_bytes == 0
    assert _run(side, pool, caller, MANY)


# Guards against refusals that fill the memory in turn, and against an attempt
# that runs at its second sending although it has run at the first.
def test_refusals_for_want_of_memory_are_not_kept(
    side, pool, caller, results, budget
):
    for number in range(1, MANY):
        _run(side, pool, caller, number)
    kept = len(caller.jobs_by_number)
    assert kept == len(pool.calls)
    _accept(side, caller, fakes.attempt(1))
    assert len(pool.calls) == kept
    assert results[-1].body == BODY


def test_results_that_wait_to_be_sent_count_twice(side, pool, budget):
    caller = _connect(side, 5, [], lambda: True)
    assert _run(side, pool, caller, 1)
    assert budget.used_bytes > 2 * len(BODY)


# Guards against large responses of runs that find no memory, as results that
# are not confirmed take all of it.
def test_attempts_are_refused_while_large_results_take_half(
    side, pool, caller, results, response_budget
):
    hold = _memory.Hold(response_budget)
    assert hold.grow(response_budget.limit_bytes // 2 + 1)
    assert not _run(side, pool, caller, 1)
    assert _is_refused(results[-1])
    hold.release()
    assert _run(side, pool, caller, 1)


def test_body_in_another_budget_is_not_charged_again(
    side, pool, caller, budget, response_budget
):
    body = _memory.HeldBuffer(BODY)
    body.hold = _memory.Hold(response_budget)
    assert body.hold.grow(len(body))
    assert _run(side, pool, caller, 1, body)
    assert budget.used_bytes < 5000
    body = _memory.HeldBuffer(BODY)
    assert _run(side, pool, caller, 2, body)
    assert budget.used_bytes > len(BODY)


# Guards against a node above its memory by requests that wait in its queue.
def test_waiting_attempts_stay_within_their_budget(
    side, pool, caller, results, budget
):
    for number in range(1, MANY):
        _accept(
            side,
            caller,
            fakes.attempt(number, body=BODY, remaining_ms=60_000),
        )
    waiting = side.waiting_count
    assert 10 < waiting < MANY - 10
    assert waiting * len(BODY) < budget.used_bytes <= budget.limit_bytes
    assert all(map(_is_refused, results))
    assert len(results) + waiting + len(pool.calls) == MANY - 1


# Guards against results that are given up while their caller may ask.
def test_results_of_a_lost_caller_are_given_up_if_memory_is_short(
    side, pool, reactor, budget
):
    results = []
    callers = [_connect(side, number, results) for number in (1, 2, 3)]
    limit = budget.limit_bytes
    number = 0
    while budget.used_bytes < 0.6 * limit:
        number += 1
        for caller in callers[:2]:
            assert _run(side, pool, caller, number)
    side.callers.lose(callers[0], 'n1')
    reactor.run(0.2)
    side.callers.lose(callers[1], 'n2')
    reactor.run(LOST_S)
    assert budget.used_bytes >= 0.6 * limit
    while budget.used_bytes <= _callers.SHORT_SHARE * limit:
        number += 1
        assert _run(side, pool, callers[2], number)
    reactor.run(0.1)
    assert 0.3 * limit < budget.used_bytes < 0.5 * limit
    ran = len(pool.calls)
    results.clear()
    for caller in callers[:2]:
        _connect(side, caller.incarnation, results)
        _accept(side, caller, fakes.attempt(1))
    assert len(pool.calls) == ran
    assert results[0].outcome == _frames.Outcome.UNKNOWN
    assert results[0].reason == _frames.Reason.FORGOTTEN
    assert results[1].body == BODY


def test_caller_that_reconnects_in_time_gets_its_results(
    side, pool, caller, results, reactor
):
    for number in range(1, MANY):
        _run(side, pool, caller, number)
    side.callers.lose(caller, 'n2')
    reactor.run(_callers.CALLER_RECONNECT_TIMEOUT_S - 0.1)
    results.clear()
    _connect(side, 77, results)
    _accept(side, caller, fakes.attempt(1))
    assert results[0].body == BODY


def test_memory_of_a_forgotten_caller_is_given_back(
    side, pool, caller, reactor, budget
):
    _run(side, pool, caller, 1)
    _accept(side, caller, fakes.attempt(2, remaining_ms=9000))
    side.callers.lose(caller, 'n2')
    reactor.run(_callers.CALLER_RETENTION_S + 2.0)
    assert side.callers.by_incarnation == {}
    assert budget.used_bytes == 0


def test_cancelled_attempts_give_their_memory_back(side, caller, budget):
    for number in range(1, 20):
        _accept(side, caller, fakes.attempt(number, body=BODY))
        side.cancel(caller, number)
    assert budget.used_bytes < 100_000
    caller.discard_results_before(99)
    assert budget.used_bytes == 0


def test_attempts_of_this_node_are_charged_to_its_clients(
    side, pool, results, budget
):
    caller = side.callers.get(1)
    caller.is_local = True
    caller.send = results.append
    assert _run(side, pool, caller, 1)
    assert budget.used_bytes == 0


# Guards against the random numbers of strangers, which filled the memory, and
# against an attempt that runs again as its sender was forgotten for them.
def test_callers_without_attempts_are_bounded(side, pool, caller, reactor):
    assert _run(side, pool, caller, 1)
    side.callers.lose(caller, 'n2')
    bound = _callers.MAX_IDLE_LOST_CALLERS
    for number in range(100, 100 + 3 * bound):
        stranger = _connect(side, number, [])
        side.callers.lose(stranger, f'n{number}')
    reactor.run(0.1)
    assert len(side.callers.by_incarnation) <= bound + 1
    results = []
    _connect(side, 77, results)
    _accept(side, side.callers.get(77), fakes.attempt(1))
    assert len(pool.calls) == 1
    assert results[0].body == BODY


# Guards against the same by strangers whose attempts find no room.
def test_callers_whose_attempts_find_no_room_are_bounded(side, reactor):
    budget = side.callers.budget
    budget.take(budget.limit_bytes)
    bound = _callers.MAX_IDLE_LOST_CALLERS
    for number in range(100, 100 + 3 * bound):
        results = []
        stranger = _connect(side, number, results)
        _accept(side, stranger, fakes.attempt(1))
        assert results[0].outcome == _frames.Outcome.NOT_RUN
        side.callers.lose(stranger, f'n{number}')
    reactor.run(0.1)
    assert len(side.callers.by_incarnation) <= bound + 1
