"""What the decoders of documents accept can be sent to other nodes."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from rosemarycrank.dataplane import _cost_rows
from rosemarycrank.dataplane import _costs
from rosemarycrank.dataplane import _crash_rows
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _frame_reader
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _ranges
from rosemarycrank.platform import _configuration
from rosemarycrank.platform import _heartbeats
from tests.dataplane import fakes

ODD_NUMBERS = (
    -(2**64),
    -(2**63) - 1,
    -1,
    2**53 + 1,
    2**63,
    2**64 - 1,
    2**64,
    10**30,
    10**400,
    1e18,
    1e300,
    -1e300,
)

NUMBERS = st.one_of(
    st.sampled_from(ODD_NUMBERS),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.integers(0, 100),
)
NAMES = st.one_of(st.just('archive'), st.text(max_size=4))


def _route(**changes):
    route = {
        'name': 'read',
        'hostname': 'h',
        'path_prefix': '/',
        'route_type': 'idempotent',
        'timeout_s': 1.0,
        'service': 'archive',
    }
    return route | changes


def _document(**changes):
    return json.dumps({'version': 1, 'routes': []} | changes).encode()


def _check(*frames):
    """Encode and decode frames."""
    reader = _frame_reader.FrameReader()
    for frame in frames:
        reader.feed(_frames.encode(frame))


def _check_configuration(configuration):
    _check(
        _frames.Ping(configuration.version, 1),
        _frames.Pong(configuration.version, None),
        fakes.hello(configuration_version=configuration.version),
        _frames.ConfigurationBody(configuration.body),
    )
    for route in configuration.routes:
        sum(service.weight for service in route.services)
        _check(
            fakes.attempt(
                previous_offers=route.max_attempts,
                remaining_ms=int(route.timeout_s * 1000),
                soft_deadline_ms=int(route.latency_goal_s * 1000),
                rank=float(route.priority),
                route=route.name,
            )
        )


OPTIONAL_NUMBER = st.one_of(st.just(1), NUMBERS)


@hypothesis.given(
    version=OPTIONAL_NUMBER,
    numbers=st.fixed_dictionaries(
        {},
        optional={
            name: NUMBERS
            for name in ('timeout_s', 'aim_s', 'priority', 'max_attempts')
        },
    ),
    weight=OPTIONAL_NUMBER,
    limits=st.fixed_dictionaries(
        {},
        optional={
            name: NUMBERS
            for name in (
                'max_header_bytes',
                'max_body_bytes',
                'header_timeout_s',
                'idle_timeout_s',
            )
        },
    ),
    name=NAMES,
)
def test_accepted_configuration_fits_into_frames(
    version, numbers, weight, limits, name
):
    weighted = [{'service': name, 'weight': weight}]
    route = _route(name=name, weighted_services=weighted, **numbers)
    body = _document(version=version, routes=[route], limits=limits)
    try:
        configuration = _configuration.decode(body)
    except ValueError:
        return
    _check_configuration(configuration)


@hypothesis.given(
    numbers=st.tuples(OPTIONAL_NUMBER, OPTIONAL_NUMBER, OPTIONAL_NUMBER),
    name=NAMES,
)
def test_accepted_record_fits_into_frames(numbers, name):
    slots, born_ms, sequence = numbers
    row = ['10.0.0.1:1', name, name, name, slots, 'ready', born_ms, sequence]
    try:
        record = _node.decode_record(json.dumps(row).encode())
    except ValueError:
        return
    _check(_frames.Announcement([record]), fakes.hello(records=[record]))
    assert _node.decode_record(_node.encode_record(record)) == record


@hypothesis.given(
    numbers=st.tuples(OPTIONAL_NUMBER, OPTIONAL_NUMBER, OPTIONAL_NUMBER),
    name=NAMES,
)
def test_accepted_heartbeat_gives_a_record_that_is_valid(numbers, name):
    slots, born_ms, sequence = numbers
    body = {
        'service': name,
        'address': '10.0.0.1:80',
        'zone': name,
        'slots': slots,
        'state': 'ready',
        'seq': sequence,
        'born': born_ms,
    }
    try:
        heartbeat = _heartbeats.decode('i-1', json.dumps(body).encode())
    except ValueError:
        return
    record = _frames.TargetRecord(
        '10.0.0.1:1',
        heartbeat.instance,
        heartbeat.service,
        heartbeat.failure_domain,
        heartbeat.slots,
        heartbeat.state,
        heartbeat.born_ms,
        heartbeat.sequence,
    )
    _directory.check_record(record)
    _check(_frames.Announcement([record]))


@hypothesis.given(born_ms=NUMBERS)
def test_accepted_withdrawal_names_a_start(born_ms):
    try:
        accepted = _heartbeats.decode_withdrawal(
            json.dumps({'born': born_ms}).encode()
        )
    except ValueError:
        return
    _ranges.check('start', accepted)


class _History:
    def __init__(self):
        self.facts = []

    def merge(self, facts):
        self.facts += facts

    def lasting_facts(self):
        return []


@hypothesis.given(
    numbers=st.tuples(OPTIONAL_NUMBER, OPTIONAL_NUMBER),
    digests=st.lists(NUMBERS, max_size=3),
    name=NAMES,
)
def test_accepted_facts_about_crashes_fit_into_frames(numbers, digests, name):
    history = _History()
    rows = _crash_rows.CrashRows(
        fakes.VirtualReactor(), fakes.FakeStore(), 't', 'n1', history, None
    )
    fact = [name, *numbers, digests, [], digests, digests]
    value = json.dumps([fact]).encode()
    rows.receive_row(_discovery.StoredRow('crashes/n2', 1, value))
    _check(_frames.Crashes(history.facts), fakes.hello(crashes=history.facts))


@hypothesis.given(number=NUMBERS, other=NUMBERS, name=NAMES)
def test_accepted_costs_fit_into_frames(number, other, name):
    costs = _costs.CallCosts('archive')
    rows = _cost_rows.CostRows(
        fakes.VirtualReactor(), fakes.FakeStore(), 't', costs, bool, None
    )
    stored = {
        'service': 'archive',
        'costs_by_route': {name: {'archive': number}},
        'calls': [
            {'service': 's', 'route': 'r', 'caller': name, 'count': other}
        ],
    }
    value = json.dumps(stored).encode()
    rows._load_row(_discovery.StoredRow('archive', 1, value))
    snapshot = costs.snapshot()
    _check(_frames.RouteCosts('archive', snapshot.costs_by_route))
    text = msgspec.json.encode(snapshot)
    # Numbers that are not finite would be written as null.
    assert msgspec.json.decode(text, type=type(snapshot)) == snapshot


@pytest.fixture
def node():
    return fakes.make_node(
        fakes.VirtualReactor(), decode=_configuration.decode
    )


# Guards against pings to all nodes that fail for as long as a figure stands in
# the configuration that does not fit into a frame.
@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'version': 2**64}, 'version'),
        ({'version': -1}, 'version'),
        ({'version': 7, 'routes': [_route(priority=2**64)]}, 'priority'),
        ({'version': 7, 'routes': [_route(timeout_s=1e300)]}, 'timeout_s'),
        ({'version': 7, 'routes': [_route(timeout_s=-1)]}, 'timeout_s'),
        ({'version': 7, 'routes': [_route(max_attempts=2**64)]}, 'attempts'),
        ({'version': 7, 'limits': {'idle_timeout_s': -1}}, 'idle_timeout_s'),
        ({'version': 7, 'limits': {'max_body_bytes': 2**70}}, 'body_bytes'),
    ],
)
def test_configuration_with_an_odd_figure_leaves_the_last_in_force(
    node, caplog, changes, field
):
    node.install(_document(version=3), 'store at 1')
    for _ in range(5):
        node.install(_document(**changes), 'store at 2')
    assert node.configuration_version() == 3
    _check(node.hello(1, 'n2'), _frames.Ping(node.configuration_version(), 1))
    lines = [r for r in caplog.records if r.event == 'configuration_invalid']
    assert len(lines) == 1
    assert 'store at 2' in lines[0].getMessage()
    assert field in lines[0].getMessage()


@pytest.mark.parametrize('field', _ranges.RANGES_BY_FIELD)
@pytest.mark.parametrize(
    'value',
    [float('nan'), float('inf'), 2**64, 2**20000],
    ids=['nan', 'inf', 'long', 'huge'],
)
def test_no_range_has_what_cannot_be_encoded(field, value):
    with pytest.raises(ValueError, match=field):
        _ranges.check(field, value)
