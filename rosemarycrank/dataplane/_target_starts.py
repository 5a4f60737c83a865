"""Starts of the local target: those that have left, and doubtful ones."""

import collections

import attrs

#: Maximum number of starts that are remembered as having left.
MAX_LEFT = 1000


@attrs.frozen
class Start:
    """One start of a target.

    Attributes
    ----------
    instance : str
        Identifier of the target.
    born_ms : int
        Start as the target states it, in Unix milliseconds.
    """

    instance: str
    born_ms: int


class LeftStarts:
    """The starts that have said that they leave.

    The oldest ones are forgotten beyond `MAX_LEFT`.
    """

    def __init__(self):
        self._starts = collections.OrderedDict()

    def __contains__(self, start):
        return start in self._starts

    def add(self, start):
        """Remember a start."""
        self._starts[start] = True
        self._starts.move_to_end(start)
        if len(self._starts) > MAX_LEFT:
            self._starts.popitem(last=False)


class HeldHeartbeat:
    """The newest heartbeat of a start that is not followed yet.

    Parameters
    ----------
    now : callable
        Returns the time, in seconds of a monotonic clock.

    Attributes
    ----------
    heartbeat : Heartbeat or None
        The heartbeat; None if there is none.
    """

    def __init__(self, now):
        self.heartbeat = None
        self._now = now
        self._since = 0.0

    def hold(self, heartbeat):
        """Hold a heartbeat in place of another one."""
        held = self.heartbeat
        if held is None or held.start != heartbeat.start:
            self._since = self._now()
        self.heartbeat = heartbeat

    def drop(self):
        """Hold none any more."""
        self.heartbeat = None

    def age_s(self):
        """Return the time since the first heartbeat of the start came."""
        return self._now() - self._since

    def is_before(self, heartbeat):
        """Return whether the start of the held one has sent a later one."""
        held = self.heartbeat
        return (
            held is not None
            and held.start == heartbeat.start
            and held.sequence < heartbeat.sequence
        )

    def is_born_before(self, heartbeat):
        """Return whether there is none of the same or a later time."""
        held = self.heartbeat
        return held is None or held.born_ms < heartbeat.born_ms
