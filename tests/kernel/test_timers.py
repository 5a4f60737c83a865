"""Timers whose callbacks fail."""

import pytest

from rosemarycrank import kernel


class _Failure(Exception):
    pass


def _fail(_now):
    raise _Failure


# Guards against an unexpected error in one callback that ends all timers due
# with it for good: a node would neither ping nor expire anything any more.
def test_failed_callback_leaves_the_other_timers_running():
    timers = kernel.Timers()
    fired = []
    timers.every(1.0, lambda now: fired.append(('first', now)))
    timers.after(2.0, _fail)
    timers.every(1.0, lambda now: fired.append(('last', now)))
    timers.advance(1.0)
    with pytest.raises(_Failure):
        timers.advance(2.0)
    timers.advance(3.0)
    assert fired == [
        (name, now) for now in (1.0, 2.0, 3.0) for name in ('first', 'last')
    ]


def test_failed_callbacks_are_all_reported_and_fire_again():
    timers = kernel.Timers()
    for _ in range(2):
        timers.every(1.0, _fail)
    for now in (1.0, 2.0):
        with pytest.raises(ExceptionGroup) as raised:
            timers.advance(now)
        assert len(raised.value.exceptions) == 2
