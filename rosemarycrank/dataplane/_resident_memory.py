"""Memory that the process has in fact, beside what its account says."""

import logging
import mmap
import os

#: Seconds between samples.
SAMPLE_INTERVAL_S = 0.1

#: Shares of the limit whose crossing is logged, and the share by which memory
#: has to fall below one of them before it is logged again.
LOGGED_SHARES = (0.5, 0.7, 0.8, 0.9)
HYSTERESIS_SHARE = 0.05

_PATH = '/proc/self/statm'
_MAX_BYTES = 256
_LOG = logging.getLogger(__name__)


class ResidentMemory:
    """Samples the resident memory of the process.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    account : MemoryAccount
        Account of the process, for the log.
    limit_bytes : float
        Memory limit of the process.

    Attributes
    ----------
    used_bytes, peak_bytes : int
        Resident memory in the newest sample, and the most in any of them; 0
        if the operating system does not tell it.
    limit_bytes : float
        Memory limit of the process.
    on_sample : list of callable
        Called with the time, in seconds of the node's clock, and the resident
        memory of each sample, in bytes.
    """

    def __init__(self, reactor, account, limit_bytes):
        self.account = account
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.on_sample = []
        self._reactor = reactor
        self._descriptor = None
        self._level = 0

    def start(self):
        """Sample the memory from now on."""
        try:
            self._descriptor = os.open(_PATH, os.O_RDONLY | os.O_CLOEXEC)
        except OSError as error:
            _LOG.warning(
                'resident memory is unknown: %s',
                error,
                extra={'event': 'memory_unknown'},
            )
            return
        self._reactor.timers.every(SAMPLE_INTERVAL_S, self.sample)

    def sample(self, now):
        """Read the resident memory; log it when it crosses a share."""
        fields = os.pread(self._descriptor, _MAX_BYTES, 0).split()
        self.used_bytes = int(fields[1]) * mmap.PAGESIZE
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        share = self.used_bytes / self.limit_bytes
        level = _level(share)
        if level > self._level:
            self._log()
        elif level < self._level:
            level = min(self._level, _level(share + HYSTERESIS_SHARE))
        self._level = level
        for callback in self.on_sample:
            callback(now, self.used_bytes)

    def _log(self):
        _LOG.warning(
            'the process has %.0f MB of memory of %.0f MB',
            self.used_bytes / 1e6,
            self.limit_bytes / 1e6,
            extra={
                'event': 'memory_high',
                'resident': self.used_bytes,
                'limit': int(self.limit_bytes),
                'held_by_kind': {
                    name: budget.used_bytes
                    for name, budget in self.account.budgets_by_name.items()
                },
            },
        )


def _level(share):
    """Return the number of logged shares that a share has reached."""
    return sum(share >= logged for logged in LOGGED_SHARES)
