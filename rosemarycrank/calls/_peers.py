"""What an entry node knows of the clocks of targets' nodes."""

import attrs


@attrs.frozen
class PeerClock:
    """Incarnation and clock tick of a node as last heard.

    ``tick`` is in seconds of that node's clock, ``heard_at`` of this one's.
    """

    incarnation: int
    tick: float
    heard_at: float


class Peers:
    """Clocks of nodes by address.

    Parameters
    ----------
    attempt_validity_s : float
        Age of a tick at which targets refuse attempts.
    """

    def __init__(self, attempt_validity_s):
        self.attempt_validity_s = attempt_validity_s
        self._clock_by_address = {}
        self._last_heard_by_address = {}

    def __len__(self):
        return len(self._clock_by_address)

    def heard(self, address, incarnation, tick, now):
        """Record the clock that came with a message.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.
        incarnation : int
            Its incarnation.
        tick : float
            Its clock in seconds.
        now : float
            Current time in seconds.

        Returns
        -------
        PeerClock
            The clock as recorded.
        """
        clock = PeerClock(incarnation, tick, now)
        self._clock_by_address[address] = clock
        self._last_heard_by_address[address] = now
        return clock

    def heard_message(self, address, now):
        """Record that a node was heard, without a clock."""
        self._last_heard_by_address[address] = now

    def heard_since(self, address, since):
        """Return whether a node was heard after a time in seconds."""
        return self._last_heard_by_address.get(address, -1.0) > since

    def fresh(self, target, now, context):
        """Return the clock of a target's node if attempts may use it.

        Parameters
        ----------
        target : rosemarycrank.balancing.Target
            The target.
        now : float
            Current time in seconds.
        context : rosemarycrank.kernel.Context
            Context of this node, whose own clock is always known.

        Returns
        -------
        PeerClock or None
            None if the node has to be asked first.
        """
        if target.address == context.address:
            return PeerClock(context.incarnation, now, now)
        clock = self._clock_by_address.get(target.address)
        if clock is None or clock.incarnation != target.incarnation:
            return None
        if now - clock.heard_at > self.attempt_validity_s / 2:
            return None
        return clock

    def forget(self, address):
        """Forget the clock of a node."""
        self._clock_by_address.pop(address, None)
