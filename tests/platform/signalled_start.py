"""Start of a node that sends itself SIGTERM at a chosen place.

    python -m tests.platform.signalled_start PLACE

A place is the name of a function of this module that begins with ``at_``,
without that; ``import:N`` is the N-th import after the handlers are installed.
"""

import gc
import os
import signal
import sys
import weakref

from rosemarycrank.platform import __main__ as program

#: Module whose import the places that need one use. It is imported late in
#: the start.
MODULE = 'rosemarycrank.dataplane._frame_reader'


class _Referent:
    """Object that a weak reference can refer to."""


class _Destroyed:
    def __del__(self):
        _terminate()


class _ImportHook:
    """Finder of modules that finds none and calls a function once.

    Parameters
    ----------
    is_place : callable
        Called with the name of each module that is to be imported; returns
        whether this is the place.
    act : callable
        Called without arguments at the place.
    """

    def __init__(self, is_place, act):
        self._is_place = is_place
        self._act = act

    def find_spec(self, name, _path, _target=None):
        if self._act is not None and self._is_place(name):
            act, self._act = self._act, None
            act()
        return None


class _Countdown:
    """Returns true at the N-th call.

    Parameters
    ----------
    count : int
        N.
    """

    def __init__(self, count):
        self._count = count

    def __call__(self, _name):
        self._count -= 1
        return self._count == 0


def _terminate():
    os.kill(os.getpid(), signal.SIGTERM)


def _call_in_weak_reference():
    referent = _Referent()
    references = [weakref.ref(referent, lambda _reference: _terminate())]
    del referent
    assert references[0]() is None


def _call_in_destructor():
    _Destroyed()


def _call_in_collection():
    def handle(_phase, _information):
        gc.callbacks.remove(handle)
        _terminate()

    gc.callbacks.append(handle)
    gc.collect()


def _hook_import(act):
    sys.meta_path.insert(0, _ImportHook(MODULE.__eq__, act))


def at_weak_reference():
    """Signal in the callback of a weak reference."""
    _hook_import(_call_in_weak_reference)


def at_destructor():
    """Signal in the destructor of an object."""
    _hook_import(_call_in_destructor)


def at_collection():
    """Signal in a callback of the garbage collection."""
    _hook_import(_call_in_collection)


def _handle_call(frame, event, _argument):
    """Signal in the first Python function that a decoder's maker calls."""
    caller = frame.f_back
    if (
        event == 'call'
        and caller is not None
        and caller.f_globals.get('__name__') == MODULE
        and 'msgspec' in frame.f_code.co_filename
    ):
        sys.setprofile(None)
        _terminate()


def at_decoder():
    """Signal while the decoder of frames is made."""
    sys.setprofile(_handle_call)


def at_teardown():
    """Signal while the interpreter frees the modules at the exit."""
    sys.modules[__name__].destroyed_last = _Destroyed()


def _hook_place(place):
    kind, _, number = place.partition(':')
    if kind == 'import':
        hook = _ImportHook(_Countdown(int(number)), _terminate)
        sys.meta_path.insert(0, hook)
        return
    globals()[f'at_{place}']()


if __name__ == '__main__':
    _hook_place(sys.argv[1])
    program.main()
