"""Detection of pauses of this process, after which its input is old.

Sockets hold what arrived during a pause. A request in one of them may have
been cancelled since, in bytes that are read a little later.
"""

from rosemarycrank.dataplane import _reactor

#: Time after a pause in which the sockets are read, in seconds. It covers a
#: few passes of the event loop and a handshake on a replaced connection.
SETTLE_S = 0.05


class PauseDetector:
    """Tells whether input of before a pause may not have been read yet.

    Parameters
    ----------
    now : float
        Seconds of the node's clock.
    """

    def __init__(self, now):
        self._ticked_at = now
        self._settled_at = now

    def tick(self, now):
        """Record that a timer ran, far more often than `HELD_UP_S`."""
        self._detect(now)
        self._ticked_at = now

    def is_settled(self, now):
        """Return whether the input of before the last pause has been read.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        # Input may be handled before the timers after a pause.
        self._detect(now)
        return now >= self._settled_at

    def _detect(self, now):
        if now - self._ticked_at > _reactor.HELD_UP_S:
            self._settled_at = now + SETTLE_S
