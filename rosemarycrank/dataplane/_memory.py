"""Memory that a node holds for clients, targets and other nodes."""

import enum
import logging

import attrs

from rosemarycrank.dataplane import _repeated_lines

#: Default memory limit of the process, in bytes.
DEFAULT_LIMIT_BYTES = 300_000_000

#: Share of the memory limit that all budgets together may take. The rest is
#: for the process itself, its own state, room in buffers and fragmentation.
HELD_SHARE = 0.6

#: Share of the memory limit that one budget may take, so that neither clients
#: nor targets take what the others need.
BUDGET_SHARE = 0.25

#: Share of either that messages may take which are not small: a small one
#: fits while large ones are refused.
LARGE_SHARE = 0.9

#: Memory that a message takes beside its bytes, and each of its header fields,
#: in bytes.
MESSAGE_OVERHEAD_BYTES = 2048
FIELD_OVERHEAD_BYTES = 200

#: Size up to which a message is small, in bytes.
MAX_SMALL_BYTES = 65536

#: Shortest time between two lines about messages of one kind that do not fit,
#: in seconds.
REFUSAL_LINE_INTERVAL_S = 1.0

_LOG = logging.getLogger(__name__)


class Shortage(enum.IntEnum):
    """What there is no room for, as the process is close to its limit.

    Reserved budgets have room always. Answers to what has run count as large
    in the last case only: the others have not run, and are refused first.
    """

    NONE = 0
    LARGE = 1
    UNFINISHED = 2


class MemoryAccount:
    """Limit on the memory that several budgets take together.

    Parameters
    ----------
    limit_bytes : float, default=300_000_000
        Memory limit of the process.

    Attributes
    ----------
    limit_bytes : int
        Memory that the budgets may take together, without what is reserved.
    used_bytes : int
        Memory that they take of it.
    budgets_by_name : dict of str to Budget
        The budgets.
    shortage : Shortage
        What there is no room for, whatever the budgets take.
    """

    def __init__(self, limit_bytes=DEFAULT_LIMIT_BYTES):
        self.limit_bytes = int(HELD_SHARE * limit_bytes)
        self.used_bytes = 0
        self.budgets_by_name = {}
        self.shortage = Shortage.NONE
        self._process_limit_bytes = limit_bytes
        self._shares_by_name = {}

    def set_limit(self, limit_bytes):
        """Set the memory limit of the process.

        What is held beyond new limits stays held, and nothing is added to it.

        Parameters
        ----------
        limit_bytes : float
            The limit, in bytes.
        """
        self._process_limit_bytes = limit_bytes
        self.limit_bytes = int(HELD_SHARE * limit_bytes)
        for name, budget in self.budgets_by_name.items():
            budget.limit_bytes = self._budget_bytes(name)
            if budget.account is not self:
                budget.account.limit_bytes = budget.limit_bytes
                self.limit_bytes -= budget.limit_bytes

    def _budget_bytes(self, name):
        return int(self._shares_by_name[name] * self._process_limit_bytes)

    def budget(
        self,
        name,
        share=BUDGET_SHARE,
        is_reserved=False,
        large_until=Shortage.LARGE,
    ):
        """Return a new budget.

        Parameters
        ----------
        name : str
            What it is for; a label value of metrics.
        share : float, default=0.25
            Share of the limit of the process that it may take.
        is_reserved : bool, default=False
            Whether that share is kept for it, so that the other budgets
            cannot take it, however much they hold.
        large_until : Shortage, default=Shortage.LARGE
            Shortage from which it has no room for large messages.
        """
        self._shares_by_name[name] = share
        budget_bytes = self._budget_bytes(name)
        pool = self
        if is_reserved:
            self.limit_bytes -= budget_bytes
            pool = _Reserve(budget_bytes)
        budget = Budget(pool, name, budget_bytes, large_until)
        self.budgets_by_name[name] = budget
        return budget


@attrs.define
class _Reserve:
    """Memory that is kept for one budget.

    Attributes
    ----------
    limit_bytes, used_bytes : int
        Its size, and how much of it is taken.
    shortage : Shortage
        None, as others cannot take it.
    """

    limit_bytes: int
    used_bytes: int = 0
    shortage: Shortage = Shortage.NONE


class Budget:
    """Limit on the memory that messages of one kind take.

    Parameters
    ----------
    account : MemoryAccount or _Reserve
        What it shares with other budgets.
    name : str
        What it is for.
    limit_bytes : int
        Memory that it may take.
    large_until : Shortage, default=Shortage.LARGE
        Shortage from which it has no room for large messages.

    Attributes
    ----------
    used_bytes : int
        Memory that it takes.
    refusals : int
        Number of messages that were refused for want of memory.
    """

    def __init__(self, account, name, limit_bytes, large_until=Shortage.LARGE):
        self.account = account
        self.name = name
        self.limit_bytes = limit_bytes
        self.large_until = large_until
        self.used_bytes = 0
        self.refusals = 0
        self._lines = _repeated_lines.RepeatedLines(REFUSAL_LINE_INTERVAL_S)

    def log_refusal(self, now, size, **fields):
        """Log that a message does not fit, unless that was said a moment ago.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        size : int
            Memory that it needs, in bytes.
        **fields
            Further fields of the line.
        """
        if self._lines.suppress(now):
            return
        _LOG.warning(
            'no memory for a message',
            extra={
                'event': 'memory_short',
                'kind': self.name,
                'size': size,
                'held': self.used_bytes,
                'limit': self.limit_bytes,
                'held_in_all': self.account.used_bytes,
                'limit_in_all': self.account.limit_bytes,
                'suppressed': self._lines.take_suppressed(),
                **fields,
            },
        )

    def can_ever_fit(self, size):
        """Return whether a message of a size fits when there are no others."""
        return size <= max(MAX_SMALL_BYTES, LARGE_SHARE * self.limit_bytes)

    def take_if_fits(self, size, additional):
        """Take more memory for a message, if it fits.

        Parameters
        ----------
        size : int
            Memory that the message will take in all, in bytes.
        additional : int
            Part of it that it does not take yet.

        Returns
        -------
        bool
            Whether it fits; nothing is taken otherwise.
        """
        share = 1.0
        account = self.account
        if size > MAX_SMALL_BYTES:
            if account.shortage >= self.large_until:
                return False
            share = LARGE_SHARE
        used_bytes = self.used_bytes + additional
        used_in_all = account.used_bytes + additional
        if (
            used_bytes > share * self.limit_bytes
            or used_in_all > share * account.limit_bytes
        ):
            return False
        self.used_bytes = used_bytes
        account.used_bytes = used_in_all
        return True

    def take(self, count):
        """Take memory, also beyond the limit; a negative count gives back."""
        self.used_bytes += count
        self.account.used_bytes += count


class Hold:
    """Memory that one message takes.

    Parameters
    ----------
    budget : Budget
        Budget that the memory is taken from.

    Attributes
    ----------
    size : int
        Memory that the message takes, in bytes.
    """

    __slots__ = ('budget', 'size')

    def __init__(self, budget):
        self.budget = budget
        self.size = 0

    def grow(self, size):
        """Take memory up to a size, if it fits.

        Parameters
        ----------
        size : int
            Memory that the message will take in all, in bytes.

        Returns
        -------
        bool
            Whether it fits; nothing is taken otherwise.
        """
        additional = size - self.size
        if additional <= 0:
            return True
        if not self.budget.take_if_fits(size, additional):
            self.budget.refusals += 1
            return False
        self.size = size
        return True

    def release(self):
        """Give back all memory."""
        if self.size:
            self.budget.take(-self.size)
            self.size = 0


class UnfinishedHold(Hold):
    """Memory that a message takes which may never be complete."""

    __slots__ = ()

    def grow(self, size):
        """Take memory up to a size; see `Hold.grow`."""
        shortage = self.budget.account.shortage
        if size > self.size and shortage >= Shortage.UNFINISHED:
            self.budget.refusals += 1
            return False
        return super().grow(size)


class HeldBuffer(bytearray):
    """Buffer that gives its memory back once nobody refers to it.

    Attributes
    ----------
    hold : Hold or None
        Memory that it takes.
    """

    hold = None

    def __del__(self):
        if self.hold is not None:
            self.hold.release()
