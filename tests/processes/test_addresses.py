"""Addresses that are handed to processes before they listen on them."""

import pytest

from benchmarks import _processes


@pytest.fixture
def ports(monkeypatch):
    """Range of twenty ports that is used up by two calls for ten each."""
    ports = range(31000, 31020)
    monkeypatch.setattr(_processes, 'LISTEN_PORTS', ports)
    monkeypatch.setattr(_processes, '_issued_ports', set())
    return ports


# Guards against two processes of a deployment listening on the same port,
# because the first has not begun to listen when the second address is chosen.
def test_later_calls_return_other_addresses(ports, monkeypatch):
    monkeypatch.setattr(_processes, '_is_free', lambda port: True)
    addresses = _processes.free_addresses(10) + _processes.free_addresses(10)
    assert sorted(addresses) == [f'127.0.0.1:{port}' for port in ports]


def test_too_few_ports_left(ports, monkeypatch):
    monkeypatch.setattr(_processes, '_is_free', lambda port: True)
    _processes.free_addresses(15)
    with pytest.raises(_processes.StartError, match='6 .* needed, 5 .* left'):
        _processes.free_addresses(6)


def test_ports_in_use_are_left_out(ports, monkeypatch):
    monkeypatch.setattr(_processes, '_is_free', lambda port: port % 2 == 0)
    addresses = _processes.free_addresses(10)
    assert sorted(addresses) == [f'127.0.0.1:{port}' for port in ports[::2]]
