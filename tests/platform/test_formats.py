"""Decoding of the platform's settings, documents and replies."""

import base64
import json
import resource

import hypothesis
from hypothesis import strategies
import pytest

from rosemarycrank import dataplane
from rosemarycrank.platform import _adapter
from rosemarycrank.platform import _configuration
from rosemarycrank.platform import _heartbeats
from rosemarycrank.platform import _settings
from rosemarycrank.platform import _store

SETTINGS = """
node_name=sidecar-a-1
ip=10.1.0.8
zone=a
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
port_range=7620,7635
bounds.grace_s=6
bounds.drain_s=2.5
bounds.retry_budget_ratio=0.2
bounds.budget_slack=48
limits.memory_mb=250
limits.max_fds=200
app_addr=10.1.0.8:8301
service=archive
provider.address=10.200.1.7:8309
field.of.tomorrow=1
"""


def test_settings():
    settings = _settings.parse(SETTINGS)
    assert settings.client_address == ('10.1.0.8', 8304)
    assert settings.peer_address == '10.1.0.8:7620'
    assert settings.store_address == ('10.200.1.7', 8309)
    assert settings.retry_budget_slack == 48.0
    assert (settings.grace_s, settings.drain_s) == (6.0, 2.5)
    assert settings.max_descriptors == 200
    assert settings.memory_mb == 250.0


@pytest.mark.parametrize('stated', ['', 'limits.max_fds=1e9'])
def test_descriptors_are_those_that_the_operating_system_allows(stated):
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    text = SETTINGS.replace('limits.max_fds=200', stated)
    assert _settings.parse(text).max_descriptors == allowed


# Guards against starts at a leaving target whose drain period is not known.
def test_drain_period_that_is_not_stated_is_taken_as_none():
    text = SETTINGS.replace('bounds.drain_s=2.5', '')
    assert _settings.parse(text).drain_s == 0.0


@pytest.mark.parametrize(
    'old, new, name',
    [
        ('ip=10.1.0.8', '', 'ip'),
        ('service=archive', 'service=', 'service'),
        ('app_addr=10.1.0.8:8301', 'app_addr=10.1.0.8', 'app_addr'),
        ('bounds.grace_s=6', 'bounds.grace_s=six', 'bounds.grace_s'),
        ('bounds.drain_s=2.5', 'bounds.drain_s=two', 'bounds.drain_s'),
        ('port_range=7620,7635', 'port_range=x', 'port_range'),
        ('max_fds=200', 'max_fds=many', 'limits.max_fds'),
        ('max_fds=200', 'max_fds=nan', 'limits.max_fds'),
        ('max_fds=200', 'max_fds=0', 'limits.max_fds'),
        ('memory_mb=250', 'memory_mb=much', 'limits.memory_mb'),
        ('memory_mb=250', 'memory_mb=0', 'limits.memory_mb'),
        ('memory_mb=250', 'memory_mb=inf', 'limits.memory_mb'),
        ('memory_mb=250', 'memory_mb=1e300', 'limits.memory_mb'),
        ('bounds.grace_s=6', 'bounds.grace_s=nan', 'bounds.grace_s'),
        ('bounds.grace_s=6', 'bounds.grace_s=inf', 'bounds.grace_s'),
        ('bounds.grace_s=6', 'bounds.grace_s=-1', 'bounds.grace_s'),
        ('bounds.drain_s=2.5', 'bounds.drain_s=nan', 'bounds.drain_s'),
        ('bounds.drain_s=2.5', 'bounds.drain_s=-1', 'bounds.drain_s'),
        ('port_range=7620,7635', 'port_range=0,7635', 'port_range'),
        ('port_range=7620,7635', 'port_range=7620,99999', 'port_range'),
        ('port_range=7620,7635', 'port_range=\u00b2,7635', 'port_range'),
        ('zone=a', 'zone', 'line 4'),
    ],
)
def test_error_names_the_invalid_setting(old, new, name):
    with pytest.raises(_settings.SettingsError, match=name):
        _settings.parse(SETTINGS.replace(old, new))


def test_missing_settings_file():
    with pytest.raises(_settings.SettingsError):
        _settings.read('/nowhere/settings.conf')


def _configuration_document(**route):
    fields = {
        'name': 'r1',
        'hostname': 'H.example',
        'path_prefix': '/a/',
        'route_type': 'idempotent',
        'timeout_s': 6,
        'aim_s': 1.5,
        'priority': 2,
        'max_attempts': 2,
        'service': 'archive',
    }
    return json.dumps({'version': 7, 'routes': [fields | route]}).encode()


def test_configuration():
    configuration = _configuration.decode(_configuration_document())
    route = configuration.match(b'h.example', b'/a/x')
    assert configuration.version == 7
    assert route.idempotent
    assert route.services == (dataplane.WeightedService('archive', 1.0),)
    assert (route.timeout_s, route.latency_goal_s) == (6.0, 1.5)


def test_weighted_services():
    weighted_services = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 0},
    ]
    configuration = _configuration.decode(
        _configuration_document(
            weighted_services=weighted_services, route_type='non_idempotent'
        )
    )
    (route,) = configuration.routes
    assert not route.idempotent
    assert [part.service for part in route.services] == ['a']


@pytest.mark.parametrize('body', [b'', b'[]', b'{"version": "x"}', b'\xff'])
def test_invalid_configuration_is_rejected(body):
    with pytest.raises(ValueError):
        _configuration.decode(body)


def _heartbeat(**changes):
    fields = {
        'service': 'archive',
        'address': '10.1.0.8:8301',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_s': 0,
        'seq': 4,
        'born': 1768497271598,
    }
    return json.dumps(fields | changes).encode()


def test_heartbeat():
    heartbeat = _heartbeats.decode('i-1', _heartbeat())
    assert (heartbeat.instance, heartbeat.sequence) == ('i-1', 4)
    assert heartbeat.born_ms == 1768497271598


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'sleeping'},
        {'version': 7},
        {'cold_left_s': '0'},
        {'cold_left_s': -1},
        {'cold_left_s': 1e999},
        {'zone': None},
        {'address': 8080},
        {'slots': 'many'},
        {'slots': -1},
        {'seq': None},
        {'service': 3},
        {'born': 1.5},
        {'born': -1},
        {'born': 10**30},
        {'seq': 10**30},
        {'slots': 10**30},
    ],
)
def test_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(ValueError):
        _heartbeats.decode('i-1', _heartbeat(**changes))


def test_heartbeat_that_is_nested_too_deeply_is_rejected():
    deep = b'[' * 100_000 + b']' * 100_000
    with pytest.raises(ValueError):
        _heartbeats.decode('i-1', _heartbeat()[:-1] + b',"x":' + deep + b'}')


class _RecordingRegistration:
    def __init__(self):
        self.reports = []

    is_in_force = True

    def report(self, heartbeat):
        self.reports.append(heartbeat.state)
        return self.is_in_force

    def withdraw(self, instance, born_ms):
        self.reports.append((instance, born_ms))
        return self.is_in_force


@pytest.fixture
def adapter():
    return _adapter.PlatformAdapter(('127.0.0.1', 1))


@pytest.mark.parametrize(
    'method, target, body, status, reports',
    [
        (
            b'PUT',
            b'/rosemarycrank/instances/i-1',
            _heartbeat(),
            200,
            ['ready'],
        ),
        (b'PUT', b'/rosemarycrank/instances/i-1', b'\xff', 400, []),
        (b'DELETE', b'/rosemarycrank/instances/i-1', b'', 200, [('i-1', 0)]),
        (
            b'DELETE',
            b'/rosemarycrank/instances/i-1',
            b'{"born":5}',
            200,
            [('i-1', 5)],
        ),
        (b'GET', b'/rosemarycrank/instances/i-1', b'', 405, []),
        (b'PUT', b'/elsewhere', _heartbeat(), 404, []),
    ],
)
def test_requests_to_the_control_address(
    adapter, method, target, body, status, reports
):
    registration = _RecordingRegistration()
    message = dataplane.Message(method, target, body=body)
    reply = adapter.handle_control(message, registration)
    assert (reply.status, registration.reports) == (status, reports)


# Guards against an acknowledgement of what is not followed.
@pytest.mark.parametrize('method', [b'PUT', b'DELETE'])
def test_what_is_not_in_force_is_not_acknowledged(adapter, method):
    registration = _RecordingRegistration()
    registration.is_in_force = False
    target = b'/rosemarycrank/instances/i-1'
    body = _heartbeat() if method == b'PUT' else b''
    message = dataplane.Message(method, target, body=body)
    assert adapter.handle_control(message, registration).status == 409


# Guards against a heartbeat of another writer that is followed.
@pytest.mark.parametrize('field', json.loads(_heartbeat()))
def test_heartbeat_without_one_of_its_fields_is_rejected(field):
    fields = json.loads(_heartbeat())
    del fields[field]
    with pytest.raises(ValueError):
        _heartbeats.decode('i-1', json.dumps(fields).encode())


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_as_heartbeat_are_rejected(body):
    adapter = _adapter.PlatformAdapter(('127.0.0.1', 1))
    message = dataplane.Message(
        b'PUT', b'/rosemarycrank/instances/i', body=body
    )
    assert (
        adapter.handle_control(message, _RecordingRegistration()).status == 400
    )


class _FakeClient:
    """HTTP client that returns the replies given by the test."""

    def __init__(self, *http_replies):
        self.http_replies = list(http_replies)
        self.calls = []

    def call(self, method, target, body, timeout_s, on_reply):
        self.calls.append((method, target, body))
        on_reply(self.http_replies.pop(0))


def _http_reply(status, era=None, **body):
    headers = {} if era is None else {b'store-era': era}
    data = json.dumps(body).encode()
    return dataplane.HttpReply(status, data, values_by_name=headers)


def _stored_row(key, ver, value=None):
    row = {'table_name': 't', 'part': '', 'key': key, 'ver': ver}
    if value is None:
        return row | {'tombstone': True}
    return row | {'value': base64.b64encode(value).decode()}


def test_read_covers_all_pages_and_keeps_the_first_version():
    client = _FakeClient(
        _http_reply(
            200, rows=[_stored_row('a', 1, b'x')], has_more=True, ver=5
        ),
        _http_reply(
            200, rows=[_stored_row('b', 6, b'y')], has_more=False, ver=6
        ),
    )
    replies = []
    _store.RowStore(client).read('t', replies.append)
    (reply,) = replies
    assert [row.value for row in reply.rows] == [b'x', b'y']
    # Changes made between the pages are received by following from the
    # version of the first page.
    assert reply.version == 5
    assert 'from=a%00' in client.calls[1][1]


def test_removed_rows_have_no_value():
    client = _FakeClient(_http_reply(200, rows=[_stored_row('a', 9)], ver=9))
    replies = []
    _store.RowStore(client).follow('t', 5, 10.0, replies.append)
    assert replies[0].rows == (dataplane.StoredRow('a', 9, None),)
    assert 'after=5' in client.calls[0][1]
    assert 'wait_ms=10000' in client.calls[0][1]


@pytest.mark.parametrize(
    'value, era',
    [
        (None, None),
        (b'0', 0),
        (b'17', 17),
        (b'-1', None),
        (b'1e3', None),
        (b'', None),
        ('²'.encode(), None),
        (b'9' * 40, None),
    ],
)
@pytest.mark.parametrize('status', [200, 410, 503])
def test_era_of_a_reply(status, value, era):
    client = _FakeClient(_http_reply(status, value, rows=[], ver=3))
    replies = []
    _store.RowStore(client).read('t', replies.append)
    assert replies[0].era == era


# Guards against a table of which one half is older than the other.
def test_pages_of_different_eras_are_not_put_together():
    rows = [_stored_row('a', 1, b'x')]
    client = _FakeClient(
        _http_reply(200, b'1', rows=rows, has_more=True, ver=5),
        _http_reply(200, b'2', rows=rows, has_more=False, ver=3),
    )
    replies = []
    _store.RowStore(client).read('t', replies.append)
    (reply,) = replies
    assert reply.kind is dataplane.ReplyKind.FAILED
    assert reply.era == 2


@pytest.mark.parametrize(
    'status, kind',
    [
        (0, 'FAILED'),
        (200, 'OK'),
        (403, 'FAILED'),
        (410, 'COMPACTED'),
        (412, 'CONFLICT'),
        (429, 'REFUSED'),
        (503, 'REFUSED'),
    ],
)
def test_kind_of_reply_to_a_write(status, kind):
    client = _FakeClient(_http_reply(status, rows=[], ver=3))
    replies = []
    row = dataplane.StoredRow('k', 2, b'v')
    _store.RowStore(client).write('t', row, replies.append)
    assert replies[0].kind is dataplane.ReplyKind[kind]
    body = json.loads(client.calls[0][2])
    assert body['expected'][0]['ver'] == 2
    assert base64.b64decode(body['puts'][0]['value']) == b'v'


# Guards against a table that cannot be read as one row of it is odd.
@pytest.mark.parametrize(
    'odd',
    [
        3,
        None,
        {'key': 'k', 'ver': 'x'},
        {'key': 'k', 'ver': 4, 'value': '%%'},
        {'key': 'k', 'ver': 10**30, 'value': ''},
        {'key': 'k', 'ver': 4, 'value': ['x']},
        # Rows of other parts are not those of the nodes or the operator.
        {'key': 'k', 'part': 'p', 'ver': 4, 'value': 'eA=='},
    ],
)
def test_odd_row_of_a_table_is_left_out(odd, caplog):
    rows = [_stored_row('a', 1, b'x'), odd, _stored_row('z', 2, b'y')]
    client = _FakeClient(_http_reply(200, rows=rows, ver=4))
    replies = []
    _store.RowStore(client).read('t', replies.append)
    assert [row.key for row in replies[0].rows] == ['a', 'z']
    assert [r.event for r in caplog.records] == ['row_invalid']


def test_reply_that_is_nested_too_deeply_counts_as_failed():
    body = b'{"rows": [], "x": ' + b'[' * 100_000
    client = _FakeClient(dataplane.HttpReply(200, body))
    replies = []
    _store.RowStore(client).read('t', replies.append)
    assert replies[0].kind is dataplane.ReplyKind.FAILED


def test_truncated_reply_counts_as_failed():
    client = _FakeClient(dataplane.HttpReply(200, b'{"rows": 3'))
    replies = []
    _store.RowStore(client).follow('t', 5, 1.0, replies.append)
    assert replies[0].kind is dataplane.ReplyKind.FAILED
