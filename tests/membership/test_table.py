"""Precedence of records, digests, and bounded retransmission."""

import hypothesis
from hypothesis import strategies

from rosemarycrank.membership import _broadcast
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _table

RECORDS = strategies.builds(
    _messages.Record,
    address=strategies.sampled_from(['x:1', 'y:1', 'z:1']),
    incarnation=strategies.integers(1, 3),
    sequence=strategies.integers(1, 4),
    status=strategies.sampled_from(_messages.Status),
    failure_domain=strategies.just('a'),
)


def fill(records):
    table = _table.RecordTable()
    for record in records:
        table.apply(record)
    return table


@hypothesis.given(strategies.lists(RECORDS, max_size=12), strategies.randoms())
def test_order_of_arrival_does_not_matter(records, random):
    table = fill(records)
    random.shuffle(records)
    other = fill(records)
    latest = {
        address: max(map(_table.precedence, group))
        for address in table.by_address
        if (group := [r for r in records if r.address == address])
    }
    for filled in (table, other):
        found = {
            address: _table.precedence(record)
            for address, record in filled.by_address.items()
        }
        assert found == latest
    assert table.digest() == other.digest()


@hypothesis.given(
    strategies.lists(RECORDS, max_size=12),
    strategies.lists(RECORDS, max_size=12),
)
def test_one_exchange_of_what_differs_makes_tables_agree(first, second):
    here, there = fill(first), fill(second)
    buckets = there.differing_buckets(here.digest())
    _, page = there.page(buckets, limit=100)
    newer = here.newer_than(buckets, page)
    for record in page:
        here.apply(record)
    for record in newer:
        there.apply(record)
    assert here.digest() == there.digest()
    assert here.up_addresses() == there.up_addresses()


def test_record_is_sent_a_bounded_number_of_times():
    queue = _broadcast.BroadcastQueue()
    record = _messages.Record('x:1', 1, 1, _messages.Status.ALIVE, 'a')
    queue.add(record, node_count=511)
    sends = 0
    while queue.take(5):
        sends += 1
    assert sends == _broadcast.max_transmissions(511) == 15


def test_newer_record_replaces_the_queued_one():
    queue = _broadcast.BroadcastQueue()
    first = _messages.Record('x:1', 1, 1, _messages.Status.ALIVE, 'a')
    later = _messages.Record('x:1', 1, 2, _messages.Status.ALIVE, 'a')
    queue.add(first, 8)
    queue.add(later, 8)
    assert queue.take(5) == [later]
