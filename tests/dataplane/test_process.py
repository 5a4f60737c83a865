"""Readiness and metrics of a node process without open sockets."""

import json
import signal

import attrs
import gevent
import msgspec
import pytest

from rosemarycrank import dataplane
from rosemarycrank.dataplane import _directory
from rosemarycrank.dataplane import _discovery
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _metrics
from rosemarycrank.dataplane import _node
from rosemarycrank.dataplane import _process
from rosemarycrank.dataplane import _registration
from rosemarycrank import process_signals
from tests.dataplane import fakes

OWN_ADDRESS = '10.0.0.1:7620'
OTHER_ADDRESS = '10.0.0.2:7620'


class SilentStore(_discovery.Store):
    """Store that answers no call."""

    def read(self, table, on_reply):
        """Ignore the call."""

    def follow(self, table, after, wait_s, on_reply):
        """Ignore the call."""

    def write(self, table, row, on_reply):
        """Ignore the call."""


class Adapter(dataplane.Adapter):
    """Adapter with a silent store; every document is a configuration."""

    names = dataplane.HeaderNames()

    def open_store(self, reactor):
        """Return the silent store."""
        return SilentStore()

    def decode_configuration(self, body):
        """Return a configuration without routes."""
        return dataplane.Configuration(1, (), dataplane.Limits(), body)

    def handle_control(self, message, registration):
        """Acknowledge every message."""
        return dataplane.Reply(200)

    def is_readiness_probe(self, message):
        """Take every request for a probe."""
        return True


class RecordedSignals(process_signals.ProcessSignals):
    """Signals of which a test says which ones are received."""

    def receive(self, number):
        """Record a signal, as its handler does."""
        self._record(number, None)


@pytest.fixture
def signals():
    return RecordedSignals()


@pytest.fixture
def process(signals):
    settings = dataplane.ProcessSettings(
        node_name='vm-1',
        failure_domain='a',
        client_address=('10.0.0.1', 8304),
        ready_address=('10.0.0.1', 8302),
        control_address=('10.0.0.1', 8306),
        metrics_address=None,
        peer_address=OWN_ADDRESS,
        peer_listen_address=('10.0.0.1', 7620),
        target_address=('10.0.0.1', 8301),
        service='archive',
        grace_s=6.0,
        drain_s=2.0,
        budget=dataplane.RetryBudgetSettings(),
        max_descriptors=1000,
        # The process of the tests has more memory than a node.
        max_memory_bytes=300e6,
        targets_table='targets',
        costs_table='costs',
        configuration_table='configuration',
        configuration_key='current',
    )
    return dataplane.NodeProcess(settings, Adapter(), signals=signals)


def record_of(address):
    return _frames.TargetRecord(
        node=address,
        service='archive',
        instance=f'i-{address}',
        failure_domain='a',
        slots=8,
        state=_directory.READY,
        sequence=1,
        born_ms=1,
    )


# Guards against a restarted node that takes requests for all services while
# it knows no target but its own, because the store has not answered.
def test_own_target_alone_does_not_make_a_node_ready(process):
    process.node.install(b'{}', 'test')
    process.node.announce(record_of(OWN_ADDRESS))
    assert not process.ready()
    process.node.merge(record_of(OTHER_ADDRESS))
    process.node.receive_hello(fakes.hello(), fakes.RecordingPeer())
    assert process.ready()


# Guards against a node that serves before others have told it which requests
# crash targets.
def test_node_is_ready_once_it_has_met_another_one(process):
    process.node.install(b'{}', 'test')
    process.node.merge(record_of(OTHER_ADDRESS))
    process.target_table.follower.has_read = True
    assert not process.ready()
    process.node.receive_hello(fakes.hello(), fakes.RecordingPeer())
    assert process.ready()


# Guards against a node that is cut off from all others and never serves.
def test_node_that_meets_no_other_one_is_ready_after_a_time(process):
    process.node.install(b'{}', 'test')
    process.node.merge(record_of(OTHER_ADDRESS))
    process.target_table.follower.has_read = True
    process.node._started_at -= _node.INFORMATION_TIMEOUT_S
    assert process.ready()


def test_only_node_is_ready_once_the_table_is_read(process):
    process.node.install(b'{}', 'test')
    process.node.announce(record_of(OWN_ADDRESS))
    process.target_table.follower.has_read = True
    assert process.ready()


# Guards against a node that clients are sent to after its SIGTERM, whatever
# has become of the stop.
def test_node_that_has_received_sigterm_is_not_ready(process, signals):
    process.node.install(b'{}', 'test')
    process.node.announce(record_of(OWN_ADDRESS))
    process.target_table.follower.has_read = True
    assert process.ready()
    signals.receive(signal.SIGTERM)
    assert not process.planned_stop.has_begun
    assert not process.ready()


def test_node_without_a_configuration_is_not_ready(process):
    process.node.merge(record_of(OTHER_ADDRESS))
    assert not process.ready()


# Guards against a node that cannot connect to its contacts any more, as a row
# names an address that is none.
def test_record_with_a_malformed_address_is_ignored(process, caplog):
    value = _node.encode_record(record_of('nowhere'))
    process.target_table.receive_row(_discovery.StoredRow('nowhere', 1, value))
    assert not process.node.directory.records()
    assert [r.event for r in caplog.records] == ['row_invalid']


# Guards against requests that are cut off as a planned stop lasts longer than
# the platform waits, and against the same for the other limits.
def test_limits_that_change_take_effect_at_once(process):
    limits = process.entry._attempts.retry_limits
    budget = limits.budget('archive')
    process.update_settings(
        attrs.evolve(
            process.settings,
            grace_s=3.0,
            drain_s=1.0,
            budget=dataplane.RetryBudgetSettings(0.1, 10.0),
            max_memory_bytes=400e6,
            service='dues',
        )
    )
    assert process.planned_stop.grace_s == 3.0
    assert process.target_side._run_limits.drain_s == 1.0
    assert limits.budget('archive') is budget
    assert budget.capacity == pytest.approx(7.0)
    assert sum(budget.try_spend() for _ in range(50)) == 7
    assert process.memory_guard.limit_bytes == 400e6
    assert process.resident_memory.limit_bytes == 400e6
    assert process.settings.service == 'archive'


def test_grace_time_does_not_change_during_a_stop(process):
    process.planned_stop.begin()
    process.update_settings(attrs.evolve(process.settings, grace_s=60.0))
    assert process.planned_stop.grace_s == 6.0


ODD_KEY = '10.0.0.9:7620'


def _odd_rows():
    """Return the keys and values of rows that another writer may leave."""
    record = msgspec.json.encode(record_of(ODD_KEY))
    deep = b'[' * 100_000 + b']' * 100_000
    extra = record[:-1] + b',' + deep + b']'
    for value in (deep, extra, record + b']', b'\xff', b'null'):
        yield ODD_KEY, value
    for index, number in [
        (4, -1),
        (4, 10**30),
        (4, 2**63),
        (5, 'sleeping'),
        (6, -1),
        (6, 10**30),
        (6, 2**64),
        (7, 10**30),
        (7, 1.5),
        (7, None),
    ]:
        fields = json.loads(record)
        fields[index] = number
        yield ODD_KEY, json.dumps(fields).encode()
    for key in ('10.0.0.9:99999', '10.0.0.9:0', '10.0.0.9:\u0663', '::1:80'):
        yield key, msgspec.json.encode(record_of(key))
    # The record of another node than that of the row.
    yield ODD_KEY, msgspec.json.encode(record_of('10.0.0.8:7620'))


# Guards against nodes that end, or stop following the table, as one of its
# rows holds something else than a record.
@pytest.mark.parametrize('number', range(len(list(_odd_rows()))))
def test_odd_row_names_no_target_and_others_hold(process, caplog, number):
    key, value = list(_odd_rows())[number]
    other = record_of(OTHER_ADDRESS)
    rows = (
        _discovery.StoredRow(key, 1, value),
        _discovery.StoredRow(OTHER_ADDRESS, 2, _node.encode_record(other)),
    )
    calls = []
    process.store.read = lambda table, on_reply: calls.append(on_reply)
    process.store.follow = lambda table, after, *_: calls.append(after)
    process.target_table.follower.start()
    calls[0](_discovery.StoreReply(_discovery.ReplyKind.OK, rows, 7))
    gevent.sleep(0.05)
    assert process.node.directory.records() == [other]
    events = [getattr(r, 'event', r.msg) for r in caplog.records]
    # Reactors of earlier tests share the loop, and the other node is none.
    assert set(events) - {'held_up', 'peer_lost'} == {'row_invalid'}
    assert calls[1:] == [7]


# Guards against a store that has to answer many polls of each node during a
# series of changes, however many nodes there are.
@pytest.mark.parametrize(('count', 'delay_s'), [(12, 2.0), (200, 8.0)])
def test_polls_become_rare_in_a_large_fleet(
    process, monkeypatch, count, delay_s
):
    monkeypatch.setattr(process.node, 'is_in_contact', lambda: True)
    for number in range(count):
        record = record_of(f'10.1.0.{number}:7620')
        process.target_table.receive_row(
            _discovery.StoredRow(record.node, 1, _node.encode_record(record))
        )
    delay_of_last_s = process.target_table.follower.max_poll_delay_s
    assert delay_of_last_s == pytest.approx(delay_s, abs=0.1)


def test_polls_stay_frequent_without_contact_to_other_nodes(process):
    for number in range(200):
        record = record_of(f'10.1.0.{number}:7620')
        process.target_table.receive_row(
            _discovery.StoredRow(record.node, 1, _node.encode_record(record))
        )
    assert process.target_table.follower.max_poll_delay_s == 2.0


# Guards against a metrics page that fails after its first reading: the
# metrics were kept in the library's default registry.
def test_metrics_page_can_be_read_repeatedly(process):
    request = fakes.request(target=b'/metrics')
    replies = [_metrics.handle_request(process, request) for _ in range(2)]
    assert [reply.status for reply in replies] == [200, 200]
    process.counters.cancelled = 7
    page = _metrics.handle_request(process, request).body
    assert b'rosemarycrank_cancelled_total 7' in page


# Guards against a target that gets no work for ten seconds, as it was taken
# for ended when it lost its connections.
def test_heartbeat_shows_that_a_target_has_not_ended(process):
    node = process.node
    heartbeat = _registration.Heartbeat(
        'i-1', 'archive', '10.0.0.1:8301', 'a', 8, _directory.READY, 1, 1
    )
    process.registration.report(heartbeat)
    node.crash_history.record_crash('i-1', 1, [5])
    assert not node.directory.is_ready(OWN_ADDRESS)
    process.registration.report(attrs.evolve(heartbeat, sequence=2))
    assert node.directory.is_ready(OWN_ADDRESS)
    assert node.directory.records_by_node[OWN_ADDRESS].sequence == 2


def test_metrics_page_counts_connections(process):
    request = fakes.request(target=b'/metrics')
    page = _metrics.handle_request(process, request).body
    assert b'rosemarycrank_accept_failures_total 0' in page
    assert b'rosemarycrank_client_connections{state="idle"} 0' in page
    assert b'rosemarycrank_node_connections 0' in page
    assert b'rosemarycrank_target_connections_open 0' in page


@pytest.fixture
def report(process):
    """Return a function that sends a heartbeat; it returns the replies."""
    writes = []
    process.store.write = lambda table, row, on_reply: writes.append(on_reply)

    def handle(message, registration):
        registration.report(message)
        return dataplane.Reply(200)

    process.adapter.handle_control = handle
    process.target_table.follower.has_read = True

    def report(state, sequence):
        heartbeat = _registration.Heartbeat(
            'i-1', 'archive', '10.0.0.1:80', 'a', 4, state, 1, sequence
        )
        reply = process._handle_control_request(heartbeat)
        if isinstance(reply, dataplane.Reply):
            return [reply.status]
        statuses = []
        reply.on_reply = lambda given: statuses.append(given.status)
        return statuses

    report.writes = writes
    return report


def _store(writes):
    """Let the store answer the newest write."""
    writes[-1](_discovery.StoreReply(_discovery.ReplyKind.OK, (), 9))


# Guards against a target that is used again after a restart of its node, which
# was killed right after it had acknowledged that the target leaves.
def test_leaving_is_acknowledged_once_the_store_has_it(report):
    assert report('ready', 1) == [200]
    _store(report.writes)
    statuses = report('draining', 2)
    assert statuses == []
    _store(report.writes)
    assert statuses == [200]
    assert report('draining', 3) == [200]


# Guards against targets that end without an acknowledgement as the store is
# away.
def test_leaving_is_acknowledged_in_time_without_the_store(report, process):
    report('ready', 1)
    statuses = report('draining', 2)
    gevent.sleep(_process.MAX_STORING_S + 0.1)
    assert statuses == [200]
    _store(report.writes)
    assert statuses == [200]


# Guards against a node that ignores what the store has of its own target, and
# overwrites it.
def test_stored_record_of_the_own_target_binds_a_node(report, process):
    gone = msgspec.structs.replace(
        record_of(OWN_ADDRESS),
        instance='i-1',
        state=_directory.GONE,
        sequence=5,
    )
    row = _discovery.StoredRow(OWN_ADDRESS, 3, _node.encode_record(gone))
    process.target_table.receive_row(row)
    report('ready', 5)
    assert process.target_side.record is None
    report('ready', 6)
    assert process.target_side.record.state == _directory.GONE


def test_record_of_the_own_target_at_another_address_binds_a_node(
    report, process
):
    report('ready', 4)
    gone = msgspec.structs.replace(
        record_of('10.0.0.1:7621'),
        instance='i-1',
        state=_directory.GONE,
        sequence=5,
    )
    process.node.merge(gone)
    assert process.target_side.record.state == _directory.GONE
    assert process.target_side.record.node == OWN_ADDRESS


def test_handshake_has_what_is_known_of_the_receiver(process):
    records = [record_of(OTHER_ADDRESS), record_of('10.0.0.8:7620')]
    for record in records:
        process.node.merge(record)
    assert process.node.hello(1, OTHER_ADDRESS).records == records[:1]
