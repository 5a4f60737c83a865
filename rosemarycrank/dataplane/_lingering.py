"""End of a connection after its last response.

A socket that is closed with unread input, or that gets some afterwards, sends
a reset. It discards what has not been delivered, and perhaps what the peer has
not read. So the output is closed first, and further input is read and ignored.
"""

#: Time without input, after all output was acknowledged, in which the peer has
#: to close the connection, in seconds. Its operating system has the output
#: then, but it may not have read it.
LINGER_S = 1.0


class LingeringClose:
    """Decides when a connection may be closed whose output is closed.

    Parameters
    ----------
    stream : Stream
        Stream of the connection.
    now : float
        Time at which the output was closed, in seconds of the node's clock.
    """

    __slots__ = (
        '_stream',
        '_unacknowledged',
        '_acknowledged_at',
        '_active_at',
    )

    def __init__(self, stream, now):
        self._stream = stream
        self._unacknowledged = stream.unacknowledged_bytes()
        self._acknowledged_at = None
        self._active_at = now

    def record_input(self, now):
        """Record that input was received."""
        self._active_at = now

    def is_over(self, now, patience_s):
        """Return whether to close the connection; called periodically.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        patience_s : float
            Time for which a peer may not read its output, or may go on to
            send, in seconds.
        """
        unacknowledged = self._stream.unacknowledged_bytes()
        if unacknowledged < self._unacknowledged:
            self._active_at = now
        self._unacknowledged = unacknowledged
        idle_s = now - self._active_at
        if unacknowledged:
            return idle_s > patience_s
        if self._acknowledged_at is None:
            self._acknowledged_at = now
        return idle_s > LINGER_S or now - self._acknowledged_at > patience_s
