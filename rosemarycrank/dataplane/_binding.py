"""Listening at addresses that other processes may have for a moment."""

import errno
import logging
import socket
import time

#: Time for which an address that is taken is tried, and the pause between two
#: tries, in seconds.
MAX_WAIT_S = 5.0
TRY_INTERVAL_S = 0.2

_UNAVAILABLE = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_LOG = logging.getLogger(__name__)


class AddressTakenError(OSError):
    """Raised if an address stays taken."""


def listen(address, open_listener, check_start):
    """Listen at an address, once it is free.

    The event loop does not run meanwhile: a node that may still have to give
    up its start accepts no connections.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    open_listener : callable
        Called with the address; raises OSError if it cannot be bound.
    check_start : callable
        Called before each try; raises an exception if the start is to end.

    Returns
    -------
    object
        What `open_listener` returns.

    Raises
    ------
    AddressTakenError
        If it does not become free for `MAX_WAIT_S`.
    """
    give_up_at = time.monotonic() + MAX_WAIT_S
    is_logged = False
    while True:
        check_start()
        try:
            return open_listener(address)
        except OSError as error:
            if error.errno not in _UNAVAILABLE:
                raise
            if time.monotonic() >= give_up_at:
                raise AddressTakenError(
                    error.errno, f'cannot listen at {_text(address)}: {error}'
                ) from error
            if not is_logged:
                is_logged = True
                _log_taken(address, error)
        time.sleep(TRY_INTERVAL_S)


def is_free(address):
    """Return whether an address can be listened at now.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
            sock.listen()
        except OSError as error:
            if error.errno in _UNAVAILABLE:
                return False
            raise
    return True


def _log_taken(address, error):
    _LOG.warning(
        'cannot listen at %s yet: %s',
        _text(address),
        error,
        extra={'event': 'address_taken', 'address': _text(address)},
    )


def _text(address):
    return '%s:%d' % address
