"""Log of the memory that a node has in fact."""

import logging

import pytest

from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _resident_memory
from tests.dataplane import fakes


@pytest.fixture
def account():
    return _memory.MemoryAccount()


@pytest.fixture
def make_memory(account):
    """Return a function that watches memory against a limit in bytes."""

    def make(limit_bytes):
        memory = _resident_memory.ResidentMemory(
            fakes.VirtualReactor(), account, limit_bytes
        )
        memory.start()
        return memory

    return make


def _events(caplog):
    return [record.event for record in caplog.records]


# Guards against an end above the memory limit that no line explains.
def test_memory_near_its_limit_is_logged_once_with_what_is_held(
    make_memory, account, caplog
):
    memory = make_memory(1.0)
    account.budget('client_requests').take(1000)
    memory.sample(0.0)
    memory.sample(0.1)
    assert _events(caplog) == ['memory_high']
    assert caplog.records[0].held_by_kind == {'client_requests': 1000}
    assert caplog.records[0].resident == memory.used_bytes > 0


def test_memory_far_from_its_limit_is_not_logged(make_memory, caplog):
    memory = make_memory(1e15)
    memory.sample(0.0)
    assert memory.peak_bytes == memory.used_bytes > 0
    assert not _events(caplog)


def test_unknown_memory_is_logged(make_memory, monkeypatch, caplog):
    monkeypatch.setattr(_resident_memory, '_PATH', '/proc/none')
    with caplog.at_level(logging.WARNING):
        memory = make_memory(1.0)
    assert _events(caplog) == ['memory_unknown']
    assert memory.used_bytes == 0
