"""A target that says in its answers that it is leaving.

It gets nothing later than its drain period after such an answer was passed on,
whatever heartbeats, rows and other nodes say.
"""

import pytest

from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _registration
from rosemarycrank.dataplane import _upstream
from tests.dataplane import fakes

DRAIN_S = 2.0
NODE = 'n1'

_COMPLETE = int(_frames.Outcome.COMPLETE)
_NOT_RUN = int(_frames.Outcome.NOT_RUN)
_UNKNOWN = int(_frames.Outcome.UNKNOWN)


def _answer(outcome=_COMPLETE, reason=0, is_leaving=True):
    return _upstream.Answer(outcome, reason, 200, is_leaving=is_leaving)


def _heartbeat(**changes):
    fields = {
        'instance': 'i-n1',
        'service': 'archive',
        'address': '10.0.0.1:8301',
        'failure_domain': 'fd-a',
        'slots': 2,
        'state': _directory.READY,
        'born_ms': 1000,
        'sequence': 1,
    }
    return _registration.Heartbeat(**(fields | changes))


class _NodeOfTarget:
    """The side of a target's node that learns of leavings."""

    def __init__(self, side):
        self.side = side
        self.announced = []
        self.results = []
        self.caller = side.callers.get(77)
        self.caller.send = self.results.append
        self.registration = _registration.Registration(NODE, self._announce)
        side.on_leaving = self.registration.leave
        self.registration.report(_heartbeat())
        self._numbers = iter(range(1, 1000))

    def _announce(self, record):
        self.announced.append((record.state, len(self.results)))
        self.side.update_record(record)

    def accept(self, **changes):
        number = next(self._numbers)
        fields = {'remaining_ms': 60_000} | changes
        self.side.accept(self.caller, fakes.attempt(number, **fields))
        self.side.reactor.run(0.0)
        return number

    def reason(self, number):
        (result,) = [r for r in self.results if r.number == number]
        return _frames.Reason(result.reason).name


@pytest.fixture
def node(make_side):
    return _NodeOfTarget(make_side(slots=2, drain_s=DRAIN_S))


# Guards against requests that reach a target after it has said in an answer
# that it is leaving, before any heartbeat says so.
@pytest.mark.parametrize(
    'answer',
    [
        _answer(),
        _answer(_NOT_RUN, _frames.Reason.REFUSED_BY_TARGET),
        _answer(_UNKNOWN, _frames.Reason.ANSWER_LOST),
        _answer(_UNKNOWN, _frames.Reason.ANSWER_INVALID),
    ],
)
def test_nothing_starts_after_the_drain_period(node, pool, reactor, answer):
    node.accept()
    pool.calls[0].on_answer(answer)
    reactor.run(DRAIN_S)
    started = len(pool.calls)
    number = node.accept()
    reactor.run(1.0)
    assert len(pool.calls) == started
    assert node.reason(number) == 'LEAVING'


def test_other_nodes_are_told_before_the_answer_is_passed_on(
    node, pool, reactor
):
    node.accept()
    pool.calls[0].on_answer(_answer())
    reactor.run(0.0)
    assert node.announced[-1] == (_directory.DRAINING, 0)
    assert len(node.results) == 1


def test_attempts_that_wait_are_given_back(node, pool, reactor):
    numbers = [node.accept() for _ in range(6)]
    reactor.run(DRAIN_S)
    pool.calls[0].on_answer(_answer())
    reactor.run(DRAIN_S + 1.0)
    assert [node.reason(n) for n in numbers[2:]] == ['LEAVING'] * 4


# Guards against a leaving that is taken back by what was said before it.
def test_later_heartbeats_do_not_make_it_ready(node, pool, reactor):
    node.accept()
    pool.calls[0].on_answer(_answer())
    for sequence in (1, 2, 3):
        node.registration.report(_heartbeat(sequence=sequence))
    assert node.announced[-1][0] == _directory.DRAINING
    reactor.run(DRAIN_S)
    assert node.reason(node.accept()) == 'LEAVING'


def test_records_of_other_nodes_do_not_make_it_ready():
    directory = _directory.Directory()
    leaving = fakes.record(NODE, state=_directory.DRAINING)
    directory.merge(leaving)
    for sequence in (1, 2, 9):
        directory.merge(fakes.record(NODE, sequence=sequence))
    assert not directory.is_ready(NODE)


def test_answer_without_the_field_does_not_end_the_leaving(
    node, pool, reactor
):
    numbers = [node.accept(), node.accept()]
    pool.calls[0].on_answer(_answer())
    pool.calls[1].on_answer(_answer(is_leaving=False))
    reactor.run(0.0)
    assert len(numbers) == len(node.results)
    assert node.announced[-1][0] == _directory.DRAINING


def test_target_that_starts_again_under_its_identifier_is_used(
    node, pool, reactor
):
    node.accept()
    pool.calls[0].on_answer(_answer())
    reactor.run(DRAIN_S)
    node.registration.report(_heartbeat(born_ms=2000, sequence=1))
    assert node.announced[-1][0] == _directory.READY
    node.accept()
    assert len(pool.calls) == 2


# Guards against a target that gets no work for good, as an answer of the
# process before it was read after its first heartbeat.
def test_answer_of_the_process_before_says_nothing_of_the_next(
    node, pool, reactor
):
    node.accept()
    reactor.run(0.5)
    node.registration.report(_heartbeat(born_ms=2000, sequence=1))
    pool.calls[0].on_answer(_answer())
    assert node.announced[-1][0] == _directory.READY


def test_another_target_at_the_address_is_used(node, pool, reactor):
    node.accept()
    pool.calls[0].on_answer(_answer())
    reactor.run(DRAIN_S)
    node.registration.report(
        _heartbeat(instance='i-2', service='dues', born_ms=2000)
    )
    node.accept(instance='i-2')
    assert len(pool.calls) == 2


# Guards against a leaving that is known only while the store can be written.
def test_leaving_is_written_once_the_store_is_back(reactor):
    store = fakes.FakeStore()
    publisher = _discovery.RowPublisher(reactor, store, 't', NODE, _Random())
    registration = _registration.Registration(
        NODE, lambda record: publisher.publish(record.state.encode())
    )
    registration.report(_heartbeat())
    store.answer(version=1)
    registration.leave('i-n1')
    for _ in range(5):
        store.answer(_discovery.ReplyKind.FAILED)
        reactor.run(5.0)
    kind, row, _ = store.calls[-1]
    assert (kind, row.value) == ('write', b'draining')


class _Random:
    def random(self):
        return 0.5


def test_stated_sequence_of_heartbeats_goes_on(node, pool):
    node.accept()
    pool.calls[0].on_answer(_answer())
    assert node.registration.report(_heartbeat(sequence=2))
    node.registration.withdraw('i-n1', 1000)
    assert node.announced[-1][0] == _directory.GONE


def test_first_answer_that_says_so_is_logged(node, pool, caplog):
    numbers = [node.accept(), node.accept()]
    for call in pool.calls:
        call.on_answer(_answer())
    lines = [
        line
        for line in caplog.records
        if getattr(line, 'event', '') == 'leaving_in_answer'
    ]
    assert len(numbers) == 2
    assert [line.request_id for line in lines] == [b'r1']
