"""Guard against an end above the memory limit, by the resident memory.

The account of memory is only as good as the costs that it assumes. So the
memory that the process has in fact decides, too: close to the limit there is
no room for large messages, and closer to it none for unfinished ones, and what
can be given up is given up. What runs goes on.
"""

import gc
import logging

import attrs

from rosemarycrank.dataplane import _allocator
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _repeated_lines

#: Shares of the limit from which there is no room for large requests, and
#: none for unfinished messages, and the share by which memory has to fall
#: below one of them before there is room again.
LARGE_SHARE = 0.75
UNFINISHED_SHARE = 0.85
HYSTERESIS_SHARE = 0.05

#: Share of the limit below which the account holds little: it does not explain
#: a shortage, and refusing more would not end it.
LITTLE_HELD_SHARE = 0.05

#: Shortest time between two collections of garbage in a shortage, in seconds.
RECLAIM_INTERVAL_S = 2.0

#: Shortest time between two lines of one kind, in seconds.
LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Part:
    """Part of the node that can give something up.

    Attributes
    ----------
    shed : callable
        Gives up one thing, the newest unfinished first; returns whether there
        was one.
    max_count : int
        Number of calls after one sample.
    """

    shed: object
    max_count: int


class MemoryGuard:
    """Tells the account of shortages, and has parts of the node shed.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    limit_bytes : float
        Memory limit of the process.
    reclaim : callable, optional
        Frees what nothing refers to; by default it collects garbage and gives
        free memory back to the system.

    Attributes
    ----------
    parts_by_name : dict of str to Part
        Parts that shed, in this order, while there is no room for unfinished
        messages. None of them may give up what runs.
    shed_by_name : dict of str to int
        Number of things that each has given up.
    """

    def __init__(self, account, limit_bytes, reclaim=None):
        self.account = account
        self.limit_bytes = limit_bytes
        self.parts_by_name = {}
        self.shed_by_name = {}
        self._reclaim = reclaim or _collect_and_trim
        self._next_reclaim_at = 0.0
        self._has_reclaimed = False
        # Memory that neither the account explains nor a collection frees.
        self._unexplained_bytes = 0
        self._begin_lines = _repeated_lines.RepeatedLines(LINE_INTERVAL_S)
        self._end_lines = _repeated_lines.RepeatedLines(LINE_INTERVAL_S)

    def subscribe(self, name, shed, max_count=1):
        """Add a part that sheds after those that are there; see `Part`."""
        self.parts_by_name[name] = Part(shed, max_count)
        self.shed_by_name[name] = 0

    def update(self, now, used_bytes):
        """Act on a sample of the resident memory.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        used_bytes : int
            Resident memory; 0 if it is not known.
        """
        known = self.account.shortage
        shortage = self._shortage(used_bytes)
        if shortage and self._is_unexplained(used_bytes):
            shortage = _memory.Shortage.NONE
        self.account.shortage = shortage
        if shortage and not known:
            self._has_reclaimed = False
            self._log_change(self._begin_lines, 'begins', now, used_bytes)
        elif known and not shortage:
            self._log_change(self._end_lines, 'ends', now, used_bytes)
        if shortage == _memory.Shortage.UNFINISHED:
            self._shed()
        if shortage and now >= self._next_reclaim_at:
            self._next_reclaim_at = now + RECLAIM_INTERVAL_S
            self._has_reclaimed = True
            self._reclaim()

    def _shortage(self, used_bytes):
        """Return the shortage by the resident memory alone."""
        known = self.account.shortage
        share = used_bytes / self.limit_bytes
        shortage = _memory.Shortage.NONE
        for kind, begin in (
            (_memory.Shortage.LARGE, LARGE_SHARE),
            (_memory.Shortage.UNFINISHED, UNFINISHED_SHARE),
        ):
            if share >= begin - (HYSTERESIS_SHARE if known >= kind else 0.0):
                shortage = kind
        return shortage

    def _is_unexplained(self, used_bytes):
        """Return whether refusing more would not end a shortage.

        Little is held then, and what nothing refers to has been freed. It is
        so until more is held, or more memory is used.
        """
        if self._held_bytes() >= LITTLE_HELD_SHARE * self.limit_bytes:
            self._unexplained_bytes = 0
            return False
        if self.account.shortage and self._has_reclaimed:
            self._unexplained_bytes = used_bytes
        margin_bytes = HYSTERESIS_SHARE * self.limit_bytes
        return used_bytes <= self._unexplained_bytes + margin_bytes

    def _held_bytes(self):
        budgets = self.account.budgets_by_name.values()
        return sum(budget.used_bytes for budget in budgets)

    def _shed(self):
        for name, part in self.parts_by_name.items():
            for _ in range(part.max_count):
                if not part.shed():
                    break
                self.shed_by_name[name] += 1

    def _log_change(self, lines, verb, now, used_bytes):
        if lines.suppress(now):
            return
        _LOG.warning(
            'shortage of memory %s: the process has %.0f MB of %.0f MB',
            verb,
            used_bytes / 1e6,
            self.limit_bytes / 1e6,
            extra={
                'event': f'memory_shortage_{verb}',
                'resident': used_bytes,
                'limit': int(self.limit_bytes),
                'held': self._held_bytes(),
                'shed': dict(self.shed_by_name),
                'suppressed': lines.take_suppressed(),
            },
        )


def _collect_and_trim():
    gc.collect()
    _allocator.trim()
