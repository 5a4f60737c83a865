"""Hostile messages, rows, objects and files: rejected without a crash."""

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import bundles
from rosemarycrank import kernel
from tests.bundles import conftest
from tests.bundles import simulation

OPERATORS = conftest.make_operators('ana', 'berta')
CONTENT = conftest.make_content(1)
NEXT = conftest.make_content(2)
NEXT_HEAD = OPERATORS.head(NEXT)

VERSIONS = strategies.integers(-(2**63), 2**64 - 1)
HASHES = strategies.sampled_from(['', CONTENT.hash, NEXT.hash, 'x'])
SECTIONS = strategies.dictionaries(
    strategies.sampled_from(
        ['policy', 'policy/x', 'classes/read', 'rules/shop', 'x', '']
    )
    | strategies.text(max_size=5),
    strategies.binary(max_size=20) | strategies.just(b'[]'),
    max_size=4,
)
SIGNATURES = strategies.none() | strategies.sampled_from(
    [NEXT_HEAD.author, NEXT_HEAD.approver]
)
HEADS = strategies.just(NEXT_HEAD) | strategies.builds(
    bundles.Head,
    strategies.sampled_from(['demo', '']),
    VERSIONS,
    HASHES,
    SIGNATURES,
    SIGNATURES,
)
DELTAS = strategies.builds(
    bundles.Delta,
    HASHES,
    SECTIONS,
    strategies.lists(strategies.sampled_from(['policy', 'x'])).map(tuple),
)
MESSAGES = (
    strategies.builds(bundles.BundleAnnounce, VERSIONS, HASHES)
    | strategies.builds(bundles.BundlePull, HASHES)
    | strategies.builds(bundles.BundleDelta, HEADS, DELTAS)
    | strategies.builds(bundles.BundleWhole, HEADS, SECTIONS)
)
JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(['head', 'name', 'version', 'hash']),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@pytest.fixture(scope='module')
def cluster():
    """Cluster of one domain, with version 1 in force."""
    cluster = simulation.Cluster({'escazu': 2}, OPERATORS.trusted, 1)
    head = OPERATORS.head(CONTENT)
    cluster.platform.publish(head, CONTENT, None, 0.0)
    cluster.run(4.0)
    return cluster


def accepted(cluster):
    """Return the versions that each node has accepted, oldest first."""
    return [[b.version for b in n.accepted] for n in cluster.nodes.values()]


@hypothesis.given(received=strategies.lists(MESSAGES, max_size=5))
def test_hostile_messages_change_nothing(cluster, received):
    node = cluster.nodes['escazu:0']
    for message in received:
        event = kernel.Received('escazu:1', message)
        node.kernel.handle(event, cluster.now)
    assert accepted(cluster) == [[1], [1]]


@hypothesis.given(
    value=strategies.dictionaries(
        strategies.sampled_from(['head', 'base_hash', 'x']), JSON
    )
)
def test_hostile_rows_change_nothing(cluster, value):
    row = cluster.platform.make_row(NEXT_HEAD)
    cluster.platform.forged_row = attrs.evolve(row, value=value)
    cluster.run(1.2)
    assert accepted(cluster) == [[1], [1]]


@hypothesis.given(body=strategies.binary(max_size=60))
def test_hostile_bodies_change_nothing(cluster, body):
    cluster.platform.forged_row = cluster.platform.make_row(
        NEXT_HEAD, CONTENT.hash
    )
    names = (
        bundles.body_name(NEXT.hash),
        bundles.delta_name(CONTENT.hash, NEXT.hash),
    )
    for name in names:
        cluster.platform.bodies[name] = body
    cluster.run(1.2)
    assert accepted(cluster) == [[1], [1]]


def test_whole_body_replaces_a_malformed_delta():
    name = bundles.delta_name(CONTENT.hash, NEXT.hash)
    fresh = simulation.Cluster({'escazu': 2}, OPERATORS.trusted, 1)
    fresh.platform.publish(OPERATORS.head(CONTENT), CONTENT, None, 0.0)
    fresh.run(4.0)
    fresh.platform.publish(NEXT_HEAD, NEXT, CONTENT, fresh.now)
    fresh.platform.bodies[name] = b'\xc1'
    fresh.run(4.0)
    assert accepted(fresh) == [[1, 2], [1, 2]]


@hypothesis.given(text=strategies.binary(max_size=100))
def test_hostile_signed_files_are_refused(text):
    with pytest.raises(bundles.ContentError):
        bundles.signed_from_bytes(text)
