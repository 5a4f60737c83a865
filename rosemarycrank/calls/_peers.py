"""Last received clocks of the targets' nodes, kept by an entry node."""

import attrs


@attrs.frozen
class PeerClock:
    """Incarnation and clock of a node, as last received from it.

    ``tick`` is in seconds of that node's clock, ``received_at`` in seconds
    of the local clock.
    """

    incarnation: int
    tick: float
    received_at: float


class PeerClocks:
    """Clocks of nodes by address.

    Parameters
    ----------
    attempt_validity_s : float
        Age of a tick, in seconds, beyond which targets refuse attempts.
    """

    def __init__(self, attempt_validity_s):
        self.attempt_validity_s = attempt_validity_s
        self._clock_by_address = {}
        self._last_received_at_by_address = {}

    def __len__(self):
        return len(self._clock_by_address)

    def record_clock(self, address, incarnation, tick, now):
        """Record the clock that a message from a node carries.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        incarnation : int
            Incarnation of the node.
        tick : float
            Clock of the node in seconds.
        now : float
            Current time in seconds of the local clock.

        Returns
        -------
        PeerClock
            The recorded clock.
        """
        clock = PeerClock(incarnation, tick, now)
        self._clock_by_address[address] = clock
        self._last_received_at_by_address[address] = now
        return clock

    def record_message(self, address, now):
        """Record that a message without a clock arrived from a node."""
        self._last_received_at_by_address[address] = now

    def received_since(self, address, since):
        """Return whether a message arrived from a node after a time."""
        return self._last_received_at_by_address.get(address, -1.0) > since

    def find_usable(self, target, now, context):
        """Return the clock of a target's node if an attempt may use it.

        A clock is usable only for the incarnation of the node that the
        target was published with, and up to half of the attempt validity. The
        other half is left for the attempt to reach the target.

        Parameters
        ----------
        target : rosemarycrank.balancing.Target
            The target.
        now : float
            Current time in seconds of the local clock.
        context : rosemarycrank.kernel.Context
            Context of this node, whose own clock is always known.

        Returns
        -------
        PeerClock or None
            None if the node has to be asked for its clock first.
        """
        if target.address == context.address:
            return PeerClock(context.incarnation, now, now)
        clock = self._clock_by_address.get(target.address)
        if clock is None or clock.incarnation != target.incarnation:
            return None
        if now - clock.received_at > self.attempt_validity_s / 2:
            return None
        return clock

    def remove(self, address):
        """Remove the clock of a node; the time of its last message stays."""
        self._clock_by_address.pop(address, None)
