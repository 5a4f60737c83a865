"""Signals that are recorded by their handlers and delivered later."""

import os
import signal

import pytest

from rosemarycrank import process_signals

HANDLED = (signal.SIGHUP, signal.SIGTERM)


@pytest.fixture
def signals():
    previous_by_number = {
        number: signal.getsignal(number) for number in HANDLED
    }
    yield process_signals.ProcessSignals(HANDLED)
    for number, handler in previous_by_number.items():
        signal.signal(number, handler)


def _send(number):
    os.kill(os.getpid(), number)


def test_handler_records_a_signal_and_does_nothing_else(signals):
    calls = []
    signals.subscribe(signal.SIGTERM, lambda: calls.append('stop'))
    _send(signal.SIGTERM)
    assert signals.has_stop
    assert calls == []
    signals.deliver()
    signals.deliver()
    assert calls == ['stop']
    assert signals.has_stop


def test_signal_before_the_subscription_is_delivered(signals):
    calls = []
    _send(signal.SIGHUP)
    signals.deliver()
    signals.subscribe(signal.SIGHUP, lambda: calls.append('reload'))
    signals.deliver()
    assert calls == ['reload']


# Guards against a change of the settings that is announced while they are
# read, and is not read.
def test_signal_during_a_delivery_is_delivered_later(signals):
    calls = []

    def reload():
        if not calls:
            _send(signal.SIGHUP)
        calls.append('reload')

    signals.subscribe(signal.SIGHUP, reload)
    _send(signal.SIGHUP)
    signals.deliver()
    assert calls == ['reload']
    signals.deliver()
    signals.deliver()
    assert calls == ['reload', 'reload']


def test_failure_for_one_signal_loses_no_other(signals):
    calls = []

    def fail():
        raise ValueError('failed')

    signals.subscribe(signal.SIGHUP, fail)
    signals.subscribe(signal.SIGTERM, lambda: calls.append('stop'))
    _send(signal.SIGHUP)
    _send(signal.SIGTERM)
    with pytest.raises(ValueError):
        signals.deliver()
    signals.deliver()
    assert calls == ['stop']


def test_start_goes_on_until_sigterm(signals):
    _send(signal.SIGHUP)
    signals.check_start()
    _send(signal.SIGTERM)
    with pytest.raises(process_signals.StopRequestedError):
        signals.check_start()


def test_ignored_signals_are_not_recorded(signals):
    signals.ignore()
    _send(signal.SIGTERM)
    assert not signals.has_stop
