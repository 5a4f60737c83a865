"""Targets that nodes of a large service send to, over all nodes together."""

import collections
import random

import pytest

from rosemarycrank.dataplane import _candidates
from rosemarycrank.dataplane import _subsets
from tests.dataplane import fakes

DOMAIN_COUNT = 6

#: Load of a target at the 99th percentile, relative to the mean, when each
#: node sends to the least loaded target of its subset.
MAX_IMBALANCE = 1.1


def _address(number):
    return f'10.0.{number // 250}.{number % 250}:7000'


def _domain(number):
    return f'fd-{number % DOMAIN_COUNT}'


def _records(count):
    return tuple(
        fakes.record(_address(n), failure_domain=_domain(n))
        for n in range(count)
    )


def _subsets_of(callers, records):
    """Return the addresses of the subset of each caller."""
    return [
        [
            record.node
            for record in _subsets.Subsets(_address(n), _domain(n)).select(
                'archive', records
            )
        ]
        for n in range(callers)
    ]


@pytest.mark.parametrize('count', [1, 4, 12])
def test_few_targets_are_all_used(count):
    records = _records(count)
    assert _subsets.Subsets('n', 'fd-0').select('archive', records) is records


@pytest.mark.parametrize(('callers', 'targets'), [(195, 66), (600, 200)])
def test_subset_is_bounded_and_half_local(callers, targets):
    records = _records(targets)
    domains = {record.node: record.failure_domain for record in records}
    for number, subset in enumerate(_subsets_of(callers, records)):
        assert len(set(subset)) == _subsets.MAX_SUBSET_TARGETS
        local = [a for a in subset if domains[a] == _domain(number)]
        assert len(local) == _subsets.MAX_LOCAL_TARGETS


# Guards against targets that get much more than others, as by chance more
# nodes have chosen them.
@pytest.mark.parametrize(('callers', 'targets'), [(195, 66), (600, 200)])
def test_load_of_the_targets_is_even(callers, targets):
    subsets = _subsets_of(callers, _records(targets))
    loads = collections.Counter()
    order = [n for n in range(callers) for _ in range(100)]
    random.Random(1).shuffle(order)
    for number in order:
        loads[min(subsets[number], key=loads.__getitem__)] += 1
    assert len(loads) == targets
    mean = len(order) / targets
    assert sorted(loads.values())[int(0.99 * targets)] <= MAX_IMBALANCE * mean


def test_change_of_one_target_changes_few_subsets():
    before = _subsets_of(195, _records(66))
    after = _subsets_of(195, _records(67))
    changed = [set(b) ^ set(a) for b, a in zip(before, after, strict=True)]
    assert all(len(difference) <= 2 for difference in changed)
    taken = sum(bool(difference) for difference in changed)
    # The new target is used, and by about its share of the nodes.
    assert 15 <= taken <= 70


def test_loss_of_the_own_domain_leaves_targets():
    records = [r for r in _records(66) if r.failure_domain != 'fd-0']
    subset = _subsets.Subsets(_address(0), 'fd-0').select(
        'archive', tuple(records)
    )
    assert len(subset) == _subsets.MAX_SUBSET_TARGETS


def test_subset_is_left_when_fewer_than_half_of_it_are_usable():
    records = _records(66)
    subset = _subsets.Subsets(_address(0), 'fd-0').select('archive', records)
    peers = {}
    for record in subset[:6]:
        peers[record.node] = fakes.RecordingPeer()
        peers[record.node].reachable = False
    chosen = _candidates.select_in_subset(subset, records, [], peers)
    assert chosen == list(subset[6:])
    chosen = _candidates.select_in_subset(
        subset, records, [subset[6].node], peers
    )
    assert len(chosen) == 66 - 7
