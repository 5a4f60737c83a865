"""Tests of the in-memory tables and objects of the platform stand-in."""

import attrs
from hypothesis import stateful
from hypothesis import strategies
import pytest

from rosemarycrank import standins
from rosemarycrank import table_service

KEYS = strategies.sampled_from(['a', 'ab', 'b'])
VERSIONS = strategies.integers(0, 3)


class TablesMachine(stateful.RuleBasedStateMachine):
    """Compares conditional writes with a dictionary of rows by key."""

    def __init__(self):
        super().__init__()
        self.tables = standins.Tables()
        self.rows_by_key = {}
        self.writes = 0

    @stateful.rule(key=KEYS, expected_version=VERSIONS)
    def write(self, key, expected_version):
        self.writes += 1
        write_id = str(self.writes)
        result = self.tables.execute(
            table_service.TableWrite(
                't', key, {'n': self.writes}, expected_version, write_id
            )
        )
        row = self.rows_by_key.get(key)
        version = row.version if row else 0
        assert result.applied == (version == expected_version)
        if result.applied:
            row = table_service.Row(
                key, {'n': self.writes}, version + 1, write_id
            )
            self.rows_by_key[key] = row
        assert result.row == row

    @stateful.rule(key=KEYS)
    def read(self, key):
        read = self.tables.execute(table_service.TableRead('t', key))
        assert read == self.rows_by_key.get(key)

    @stateful.rule(prefix=strategies.sampled_from(['', 'a', 'c']))
    def list_rows(self, prefix):
        rows = self.tables.execute(table_service.TableList('t', prefix))
        expected = [k for k in self.rows_by_key if k.startswith(prefix)]
        assert [row.key for row in rows] == sorted(expected)

    @stateful.invariant()
    def writes_are_counted(self):
        assert self.tables.writes == self.writes


TestTables = TablesMachine.TestCase


def test_objects_are_stored():
    tables = standins.Tables()
    assert tables.execute(table_service.ObjectGet('o')) is None
    tables.execute(table_service.ObjectPut('o', b'body'))
    assert tables.execute(table_service.ObjectGet('o')) == b'body'


def test_other_operations_are_refused():
    with pytest.raises(TypeError):
        standins.Tables().execute(attrs.make_class('Other', [])())
