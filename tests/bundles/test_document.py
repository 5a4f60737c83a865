"""Bundle documents in YAML, their canonical content, and deltas."""

import pathlib

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import bundles
from rosemarycrank import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'

VALID = b"""\
name: demo
version: 3
classes:
  order: {rank: 0, idempotent: false, allowance: 3}
  read: {rank: 2}
services: [shop, wiki]
rules:
  - {service: shop, method: GET, class_name: read}
  - {service: shop, class_name: order}
  - {service: wiki, class_name: read}
partners:
  acme: {upstreams: [{service: shop, targets: 3}]}
"""


@pytest.fixture
def bundle():
    return bundles.parse(VALID, 'demo.yaml')


def collect_problem_lines(text):
    with pytest.raises(settings.SettingsError) as caught:
        bundles.parse(text, 'demo.yaml')
    return {p.key: p.line for p in caught.value.exceptions}


@pytest.mark.parametrize(
    ('file', 'paid', 'first_shed'),
    [
        (
            'oficina.bundle.yaml',
            ('cuotas', 'POST', '/renewals'),
            ('hemeroteca', 'GET', '/issues/7'),
        ),
        (
            'kilimanjaro.bundle.yaml',
            ('orders', 'POST', '/orders'),
            ('previews', 'POST', '/previews'),
        ),
    ],
)
def test_examples_put_paid_requests_first(file, paid, first_shed):
    bundle = bundles.load(EXAMPLES / file)
    ranks = [c.rank for c in bundle.classes_by_name.values()]
    assert bundle.classify(*paid).rank == min(ranks) == 0
    assert not bundle.classify(*paid).idempotent
    assert bundle.classify(*first_shed).rank == max(ranks)
    groups = [
        group
        for partner in bundle.partners_by_name.values()
        for group in partner.upstreams
    ]
    assert len(groups) == 3 * len(bundle.services)


def test_first_rule_that_matches_decides(bundle):
    assert bundle.classify('shop', 'GET', '/a').name == 'read'
    assert bundle.classify('shop', 'POST', '/a').name == 'order'
    assert bundle.classify('blog', 'GET', '/a') is None


@pytest.mark.parametrize(
    ('old', 'new', 'key', 'line'),
    [
        (b'allowance: 3', b'allowance: 17', 'classes.order.allowance', 4),
        (b'rank: 2', b'rank: -1', 'classes.read.rank', 5),
        (b'rank: 2', b'rank: 2, deadline_s: 0', 'classes.read.deadline_s', 5),
        (b'[shop, wiki]', b'[shop, wiki, blog]', 'services[2]', 6),
        (b'[shop, wiki]', b'[shop, wiki, shop]', 'services[2]', 6),
        (b'wiki, class', b'blog, class', 'rules[2].service', 10),
        (b'class_name: order', b'class_name: x', 'rules[1].class_name', 9),
        (b'method: GET, ', b'', 'rules[1]', 9),
        (b'method: GET', b'method: get', 'rules[0].method', 8),
        (
            b'{service: shop, targets',
            b'{service: blog, targets',
            'partners.acme.upstreams[0].service',
            12,
        ),
    ],
)
def test_broken_documents_name_key_and_line(old, new, key, line):
    assert old in VALID
    assert collect_problem_lines(VALID.replace(old, new, 1))[key] == line


def test_problems_of_values_and_references_are_reported_together():
    text = VALID.replace(b'rank: 2', b'rank: x')
    text = text.replace(b'class_name: order', b'class_name: none')
    assert set(collect_problem_lines(text)) == {
        'classes.read.rank',
        'rules[1].class_name',
    }


def test_canonical_bytes_round_trip(bundle):
    content = bundles.content_from_bundle(bundle)
    decoded = bundles.content_from_bytes(content.to_bytes())
    assert decoded.to_bundle() == bundle
    assert decoded.hash == content.hash
    assert decoded.to_bytes() == content.to_bytes()


@pytest.mark.parametrize(
    'change',
    [
        {'version': 4},
        {'name': 'other'},
        {'policy': bundles.Policy(max_depth=3)},
        {'partners_by_name': {}},
    ],
)
def test_every_change_changes_the_hash(bundle, change):
    changed = attrs.evolve(bundle, **change)
    assert (
        bundles.content_from_bundle(changed).hash
        != bundles.content_from_bundle(bundle).hash
    )


def test_delta_carries_the_changed_sections_only(bundle):
    base = bundles.content_from_bundle(bundle)
    newer = bundles.content_from_bundle(
        attrs.evolve(
            bundle,
            version=4,
            partners_by_name={},
            policy=bundles.Policy(max_depth=3),
        )
    )
    delta = newer.delta_from(base)
    assert set(delta.changed) == {'policy'}
    assert delta.removed == ('partners/acme',)
    assert base.apply(delta, 4).hash == newer.hash


def test_bundle_after_a_delta_equals_the_fully_decoded_bundle(bundle):
    # Guards against decoded sections that a delta changes or removes being
    # reused from the base, and against changes to the base itself.
    base = bundles.content_from_bundle(bundle)
    before = base.to_bundle()
    without_wiki = attrs.evolve(
        bundle,
        version=4,
        services=('shop',),
        rules=bundle.rules[:2],
        classes_by_name={
            **bundle.classes_by_name,
            'read': bundles.RequestClass('read', rank=5),
            'new': bundles.RequestClass('new', rank=6),
        },
    )
    newer = bundles.content_from_bundle(without_wiki)
    after = base.apply(newer.delta_from(base), 4).to_bundle()
    assert after == newer.to_bundle() == without_wiki
    assert after.classify('wiki', 'GET', '/') is None
    assert after.classify('shop', 'GET', '/').rank == 5
    assert base.to_bundle() == before == bundle


def test_delta_for_another_base_is_refused(bundle):
    base = bundles.content_from_bundle(bundle)
    other = bundles.content_from_bundle(attrs.evolve(bundle, version=9))
    with pytest.raises(bundles.ContentError, match='base'):
        other.apply(base.delta_from(base), 4)


@hypothesis.given(strategies.binary(max_size=200))
def test_malformed_bodies_are_refused(body):
    with pytest.raises(bundles.ContentError):
        bundles.content_from_bytes(body)
