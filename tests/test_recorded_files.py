"""Files, stored names, codes and shared hashes of an earlier build.

An upgraded node, command or checker reads what an earlier build wrote, and
nodes of different builds have to agree on names, numbers and hashes.
`recorded_files.json` was written by commit 264bb7f; `test_recorded_formats`
has the messages and rows. A test that fails shows a change of the interface
between processes.
"""

import json
import pathlib

import attrs
import msgspec
import pytest

from rosemarycrank import bundles
from rosemarycrank.bundles import _document
from rosemarycrank.bundles import _pollers
from rosemarycrank.bundles import _table as bundle_table
from rosemarycrank.dataplane import _crash_rows
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _target_table
from rosemarycrank import kernel
from rosemarycrank import keys
from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _keys
from rosemarycrank.ledger import _rows
from rosemarycrank import load
from rosemarycrank.load import _scenario
from rosemarycrank.membership import _bridge_nodes
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _table
from rosemarycrank import messages
from rosemarycrank.platform import _names
from rosemarycrank.platform import _settings as platform_settings
from rosemarycrank import results
from rosemarycrank import settings

RECORDED = json.loads(
    pathlib.Path(__file__).with_name('recorded_files.json').read_text()
)


@pytest.fixture
def addresses():
    return [f'10.0.0.{number}:7100' for number in range(1, 9)]


@pytest.fixture
def record_table(addresses):
    table = _table.RecordTable()
    for number, address in enumerate(addresses, 1):
        record = _messages.Record(
            address=address,
            incarnation=100 + number,
            sequence=200 + number,
            status=_messages.Status(number % 4),
            failure_domain='north',
            service=f's{number % 2}',
            partner='p',
            slots=3,
        )
        table.apply(record)
    return table


@pytest.fixture
def entries():
    """Keys that ran, one with its answer, and a key that did not run."""
    state = _entries.State
    complete = kernel.Answer(results.Result.OK, 201, {'a': 'b'}, b'b1')
    late = kernel.Answer(results.Result.DEADLINE_PASSED, 504)
    entries = _entries.Entries(max_keys=100, max_kept_bytes=1_000_000)
    for key, entry_state, answer in (
        ('k1', state.KEPT, complete),
        ('k2', state.KEPT, late),
        ('k3', state.NOT_RUN, late),
    ):
        entry = entries.add(_keys.key_hash(key), f'd-{key}', 1.0)
        entry.state = entry_state
        entry.answer = answer
    return entries


def _as_json(value):
    return json.loads(msgspec.json.encode(value))


def _recorded_fields(value, recorded):
    """Return the fields that the earlier build knew, as decoded JSON."""
    fields = _as_json(value)
    return {name: fields[name] for name in recorded}


def test_private_key_file(tmp_path):
    path = tmp_path / 'operator.key'
    path.write_text(RECORDED['private_key'])
    expected = keys.PrivateKey.from_seed(bytes([1]) * 32)
    assert keys.PrivateKey.read(path).public_key == expected.public_key
    copy_path = tmp_path / 'copy.key'
    expected.write(copy_path)
    assert copy_path.read_text() == RECORDED['private_key']


def test_trusted_keys_file():
    text = RECORDED['trusted_keys']
    trusted = keys.parse(text.encode(), 'trusted keys')
    public_keys = [
        keys.PrivateKey.from_seed(bytes([number]) * 32).public_key
        for number in (1, 2, 3)
    ]
    assert trusted.trusts('ana', public_keys[0])
    assert trusted.trusts('berta', public_keys[1])
    assert trusted.operators['ana'][1] == keys.TrustedKey(
        public_keys[2], revoked=True
    )
    assert trusted.to_yaml() == text


def test_node_settings_file():
    recorded = RECORDED['node_settings']
    node_settings = settings.parse(
        recorded['text'].encode(),
        settings.NodeSettings,
        'node settings',
        settings.NodeSettings.cross_check,
    )
    values = recorded['values']
    fields = attrs.asdict(node_settings)
    assert _recorded_fields(fields, values) == values


def test_settings_file_of_the_platform():
    recorded = RECORDED['platform_settings']
    values = recorded['values']
    fields = attrs.asdict(platform_settings.parse(recorded['text']))
    assert _recorded_fields(fields, values) == values


def test_load_settings_file():
    recorded = RECORDED['load_settings']
    scenario = settings.parse(
        recorded['text'].encode(), load.Scenario, 'load settings'
    )
    values = recorded['values']
    assert _recorded_fields(scenario, values) == values
    nonces = [
        arrival.nonce
        for _, arrival in zip(range(3), _scenario.arrivals(scenario))
    ]
    assert nonces == recorded['first_nonces']


def test_load_history_file(tmp_path):
    recorded = RECORDED['load_history']
    history_path = tmp_path / 'history'
    runs_path = tmp_path / 'runs'
    history_path.write_text(recorded['history'])
    runs_path.write_text(recorded['runs'])
    report = attrs.asdict(load.check_files([history_path], [runs_path]))
    expected = recorded['report']
    assert _recorded_fields(report, expected) == expected


def test_bundle_file_and_body():
    recorded = RECORDED['bundle']
    bundle = _document.parse(recorded['text'].encode(), 'bundle')
    content = bundles.content_from_bundle(bundle)
    assert content.hash == recorded['hash']
    assert content.to_bytes() == recorded['body'].encode()
    stored = bundles.content_from_bytes(recorded['body'].encode())
    assert stored.hash == recorded['hash']
    assert stored.to_bundle() == bundle


def test_names_of_rows_and_objects():
    closing_record = _closing.record_name('10.0.0.1:7100', 7)
    assert RECORDED['stored_names'] == {
        'bundles table': bundle_table.TABLE,
        'current bundle key': bundle_table.CURRENT_KEY,
        'bundle body': bundle_table.body_name('h1'),
        'bundle delta': bundle_table.delta_name('h1', 'h2'),
        'claims table': _rows.TABLE,
        'closings table': _closing.TABLE,
        'closing record': closing_record,
        'closing shard': _closing._shard_name(closing_record, 2),
        'targets table': _names.TARGETS_TABLE,
        'costs table': _names.COSTS_TABLE,
        'configuration table': _names.OPERATOR_TABLE,
        'configuration key': _names.CONFIGURATION_KEY,
        'client route prefix': _target_table.CLIENT_ROUTE_PREFIX,
        'crash rows prefix': _crash_rows.KEY_PREFIX,
    }


def test_shards_of_a_closing_record(entries):
    (shard,) = _closing._to_shards(entries)
    recorded = bytes.fromhex(RECORDED['closing_shards'])
    assert _closing._DECODER.decode(recorded) == shard
    assert _closing._ENCODER.encode(shard) == recorded
    numbers = [
        _closing._shard_number(_keys.key_hash(f'k{number}'), 64)
        for number in range(8)
    ]
    assert numbers == RECORDED['shard_numbers']


def test_codes():
    codes = RECORDED['codes']
    for number, (outcome, http_status) in codes['results'].items():
        result = results.from_number(int(number))
        assert result.outcome.value == outcome
        assert result.http_status == http_status
    for name, members in (
        ('outcomes', _frames.Outcome),
        ('reasons', _frames.Reason),
        ('features', _frames.Feature.__members__.values()),
        ('statuses', _messages.Status),
    ):
        assert {member.name: member.value for member in members} == codes[name]
    revoke_states = [state.value for state in messages.RevokeState]
    assert revoke_states == codes['revoke_states']


def test_hashes_by_which_tables_of_records_are_compared(record_table):
    agreed = RECORDED['agreed']
    assert record_table.digest().hex() == agreed['table_digest']
    assert record_table.root_digest() == agreed['root']
    assert {
        service: record_table.service_digest(service)
        for service in ('s0', 's1')
    } == agreed['service_digests']


def test_selected_nodes(addresses):
    agreed = RECORDED['agreed']
    bridges = _bridge_nodes.rank_by_hash(addresses, 3)
    assert list(bridges) == agreed['bridges']
    pollers = _pollers.PollerSelector(2).select(addresses)
    assert sorted(pollers) == agreed['pollers']
