"""Shortages of memory that the process has in fact, in virtual time."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _memory_guard
from rosemarycrank.dataplane import _resident_memory
from tests.dataplane import fakes

MB = 1_000_000
LIMIT_BYTES = 100 * MB
SAMPLE_INTERVAL_S = _resident_memory.SAMPLE_INTERVAL_S

NONE = _memory.Shortage.NONE
LARGE = _memory.Shortage.LARGE
UNFINISHED = _memory.Shortage.UNFINISHED


class _Process:
    """Guard of a process whose memory the test sets.

    Attributes
    ----------
    base_bytes : int
        Memory that the account does not have.
    garbage_bytes : int
        Part of it that a collection frees.
    """

    def __init__(self):
        self.account = _memory.MemoryAccount(LIMIT_BYTES)
        self.requests = self.account.budget('client_requests')
        self.answers = self.account.budget('answers', large_until=UNFINISHED)
        self.control = self.account.budget('control', 0.05, is_reserved=True)
        self.guard = _memory_guard.MemoryGuard(
            self.account, LIMIT_BYTES, self._reclaim
        )
        self.base_bytes = 10 * MB
        self.garbage_bytes = 0
        self.reclaims = 0
        self.now = 0.0

    def _reclaim(self):
        self.reclaims += 1
        self.garbage_bytes = 0

    def resident_bytes(self):
        budgets = self.account.budgets_by_name.values()
        held = sum(budget.used_bytes for budget in budgets)
        return self.base_bytes + self.garbage_bytes + held

    def sample(self, count=1):
        for _ in range(count):
            self.now += SAMPLE_INTERVAL_S
            self.guard.update(self.now, self.resident_bytes())

    def grow(self, size, budget=None, kind=_memory.Hold):
        """Return whether a message fits, which takes its memory."""
        return kind(budget or self.requests).grow(size)

    def hold_much(self):
        """Hold what explains a shortage."""
        assert self.grow(20 * MB)
        assert self.grow(10 * MB, self.answers)


@pytest.fixture
def process():
    return _Process()


# Guards against a node that is killed above its memory while its account has
# room, as what it holds takes more than the account assumes.
def test_large_requests_do_not_fit_close_to_the_limit(process):
    process.hold_much()
    process.base_bytes = 46 * MB
    process.sample()
    assert process.account.shortage is LARGE
    assert not process.grow(100_000)
    assert process.grow(100_000, process.answers)
    assert process.grow(1000)
    assert process.grow(1000, kind=_memory.UnfinishedHold)


def test_unfinished_messages_do_not_fit_closer_to_the_limit(process):
    process.hold_much()
    process.base_bytes = 56 * MB
    process.sample()
    assert process.account.shortage is UNFINISHED
    assert not process.grow(1000, kind=_memory.UnfinishedHold)
    assert not process.grow(100_000, process.answers)
    assert process.grow(60_000)
    assert process.grow(100_000, process.control)
    assert process.grow(1000, process.control, _memory.UnfinishedHold)


def test_unfinished_message_gives_back_what_it_took_before(process):
    hold = _memory.UnfinishedHold(process.requests)
    assert hold.grow(1000)
    process.hold_much()
    process.base_bytes = 56 * MB
    process.sample()
    assert not hold.grow(1001)
    assert hold.grow(1000)
    used_bytes = process.requests.used_bytes
    hold.release()
    assert process.requests.used_bytes == used_bytes - 1000


def test_shortage_ends_when_memory_falls(process):
    process.hold_much()
    for base_mb, shortage in (
        (56, UNFINISHED),
        (51, UNFINISHED),
        (49, LARGE),
        (41, LARGE),
        (39, NONE),
        (44, NONE),
    ):
        process.base_bytes = base_mb * MB
        process.sample()
        assert process.account.shortage is shortage


def test_parts_shed_in_order_only_without_room_for_unfinished(process):
    things = {'unfinished': 5, 'idle': 3}
    shed = []

    def subscribe(name, max_count):
        def shed_one():
            if not things[name]:
                return False
            things[name] -= 1
            shed.append(name)
            return True

        process.guard.subscribe(name, shed_one, max_count)

    subscribe('unfinished', 4)
    subscribe('idle', 1)
    process.hold_much()
    process.base_bytes = 46 * MB
    process.sample()
    assert shed == []
    process.base_bytes = 56 * MB
    process.sample(2)
    assert shed == ['unfinished'] * 4 + ['idle', 'unfinished', 'idle']
    process.base_bytes = 46 * MB
    process.sample()
    assert len(shed) == 7
    assert process.guard.shed_by_name == {'unfinished': 5, 'idle': 2}


def test_garbage_is_collected_in_a_shortage_only(process):
    process.garbage_bytes = 60 * MB
    process.sample(30)
    assert process.reclaims == 0
    process.garbage_bytes = 70 * MB
    process.sample()
    assert process.reclaims == 1
    process.sample()
    assert process.account.shortage is NONE


def test_garbage_is_collected_rarely_in_a_long_shortage(process):
    process.hold_much()
    process.base_bytes = 56 * MB
    process.sample(100)
    assert 5 <= process.reclaims <= 6


# Guards against a node that refuses for good, as memory that it does not use
# any more stays with the process.
@pytest.mark.parametrize('resident_mb', [78, 88, 95])
def test_node_serves_on_when_little_is_held(process, resident_mb):
    process.base_bytes = resident_mb * MB
    process.sample(3)
    assert process.account.shortage is NONE
    assert process.grow(1 * MB)
    process.sample(20)
    assert process.account.shortage is NONE
    assert process.grow(1000, kind=_memory.UnfinishedHold)


@pytest.mark.parametrize('held_mb, more_mb', [(6, 0), (0, 6)])
def test_shortage_begins_again_with_more_memory(process, held_mb, more_mb):
    process.base_bytes = 80 * MB
    process.sample(3)
    assert process.account.shortage is NONE
    if held_mb:
        assert process.grow(held_mb * MB)
    process.base_bytes += more_mb * MB
    process.sample()
    assert process.account.shortage is not NONE


def test_shortage_is_logged_when_it_begins_and_ends(process, caplog):
    process.hold_much()
    process.base_bytes = 56 * MB
    process.sample(15)
    process.base_bytes = 10 * MB
    process.sample(15)
    begin, end = caplog.records
    assert begin.event == 'memory_shortage_begins'
    assert begin.resident == 86 * MB
    assert begin.held == 30 * MB
    assert end.event == 'memory_shortage_ends'


def test_unknown_memory_is_no_shortage(process):
    process.guard.update(1.0, 0)
    assert process.account.shortage is NONE


def test_guard_gets_the_samples_of_the_process():
    samples = []
    reactor = fakes.VirtualReactor()
    memory = _resident_memory.ResidentMemory(
        reactor, _memory.MemoryAccount(), 1e15
    )
    memory.on_sample.append(lambda now, used: samples.append((now, used)))
    memory.start()
    reactor.run(0.25)
    assert [now for now, _ in samples] == pytest.approx([0.1, 0.2], abs=0.02)
    assert samples[-1][1] == memory.used_bytes > 0


class MessagesOfEveryKind(stateful.RuleBasedStateMachine):
    """Messages that take memory, complete, end or are given up, in any order.

    The process takes more memory than the account has, and garbage.
    """

    @stateful.initialize()
    def start(self):
        self.process = _Process()
        self.budgets = {
            'requests': self.process.requests,
            'answers': self.process.answers,
            'control': self.process.control,
        }
        # Unfinished messages, the newest last.
        self.unfinished = []
        self.complete = []
        self.process.guard.subscribe('unfinished', self._shed, 3)

    def _shed(self):
        if not self.unfinished:
            return False
        self.unfinished.pop().release()
        return True

    @stateful.rule(
        name=st.sampled_from(['requests', 'answers', 'control']),
        size=st.one_of(
            st.integers(1, 65536),
            st.integers(65537, 5 * MB),
            st.integers(5 * MB, 30 * MB),
        ),
        is_unfinished=st.booleans(),
    )
    def begin(self, name, size, is_unfinished):
        kind = _memory.UnfinishedHold if is_unfinished else _memory.Hold
        hold = kind(self.budgets[name])
        fits = hold.grow(size)
        shortage = self.process.account.shortage
        if fits and name == 'requests':
            assert shortage is NONE or size <= _memory.MAX_SMALL_BYTES
        if fits and name != 'control' and is_unfinished:
            assert shortage is not UNFINISHED
        if not fits:
            assert hold.size == 0
            return
        (self.unfinished if is_unfinished else self.complete).append(hold)

    @stateful.rule(data=st.data(), size=st.integers(1, 10 * MB))
    def grow(self, data, size):
        if not self.unfinished:
            return
        hold = data.draw(st.sampled_from(self.unfinished))
        known = hold.size
        assert hold.grow(known + size) or hold.size == known

    @stateful.rule(data=st.data())
    def finish(self, data):
        if not self.unfinished:
            return
        hold = data.draw(st.sampled_from(self.unfinished))
        self.unfinished.remove(hold)
        self.complete.append(hold)

    @stateful.rule(data=st.data())
    def end(self, data):
        holds = self.unfinished + self.complete
        if not holds:
            return
        hold = data.draw(st.sampled_from(holds))
        hold.release()
        if data.draw(st.booleans()):
            # It may be released from several sides.
            hold.release()
        for group in (self.unfinished, self.complete):
            if hold in group:
                group.remove(hold)

    @stateful.rule(
        base_mb=st.integers(0, 60),
        garbage_mb=st.integers(0, 40),
        samples=st.integers(1, 30),
    )
    def change_memory(self, base_mb, garbage_mb, samples):
        self.process.base_bytes = base_mb * MB
        self.process.garbage_bytes = garbage_mb * MB
        self.process.sample(samples)

    @stateful.invariant()
    def no_budget_is_above_its_limit(self):
        if not hasattr(self, 'process'):
            return
        account = self.process.account
        assert account.used_bytes <= account.limit_bytes
        for budget in self.budgets.values():
            assert 0 <= budget.used_bytes <= budget.limit_bytes

    @stateful.invariant()
    def budgets_have_what_messages_hold(self):
        if not hasattr(self, 'process'):
            return
        held = sum(hold.size for hold in self.unfinished + self.complete)
        budgets = self.budgets.values()
        assert sum(budget.used_bytes for budget in budgets) == held

    def teardown(self):
        if not hasattr(self, 'process'):
            return
        for hold in self.unfinished + self.complete:
            hold.release()
        process = self.process
        assert all(one.used_bytes == 0 for one in self.budgets.values())
        assert process.account.used_bytes == 0
        # Nothing is held: whatever memory stays, there is room again.
        process.sample(2)
        assert process.account.shortage is NONE
        assert process.grow(1 * MB)


MessagesOfEveryKind.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
TestMessagesOfEveryKind = MessagesOfEveryKind.TestCase
