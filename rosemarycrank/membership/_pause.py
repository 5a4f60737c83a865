"""Detection of pauses of this process, after which its view is stale."""


class PauseDetector:
    """Detects pauses, and whether the view is stale since the last one.

    The view is stale from the end of a pause until a peer replies to a
    request that was sent after the pause.

    Parameters
    ----------
    threshold_s : float
        Seconds between two ticks; a longer interval counts as a pause.
    reply_timeout_s : float
        Seconds after a pause after which a node that has received no reply
        is considered cut off.
    """

    def __init__(self, threshold_s, reply_timeout_s):
        self.threshold_s = threshold_s
        self.reply_timeout_s = reply_timeout_s
        self._last_tick_at = None
        self._waiting_since = None
        self._pending_nonces = set()

    def tick(self, now):
        """Record the time of a tick, and detect a pause before it.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds of the pause that ended with this tick; 0 if there was
            none.
        """
        pause_s = self._pause_s(now)
        self._last_tick_at = now
        return pause_s

    def await_reply(self, now, nonces):
        """Start to wait for a reply to any one of several requests.

        Parameters
        ----------
        now : float
            Current time in seconds.
        nonces : iterable of int
            Nonces of requests that were sent after the pause. Replies to
            earlier requests are ignored: they may have been buffered during
            the pause.
        """
        self._pending_nonces = set(nonces)
        self._waiting_since = now if self._pending_nonces else None

    def awaiting_reply(self):
        """Return whether a reply is still awaited after a pause."""
        return self._waiting_since is not None

    def on_reply(self, nonce):
        """Handle the reply to a request.

        Parameters
        ----------
        nonce : int
            Nonce of the request.

        Returns
        -------
        bool
            Whether the reply ended the wait.
        """
        if nonce not in self._pending_nonces:
            return False
        self._stop_waiting()
        return True

    def expire_wait(self, now):
        """End the wait for a reply once it has lasted ``reply_timeout_s``.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the wait timed out now.
        """
        if (
            self._waiting_since is None
            or now - self._waiting_since < self.reply_timeout_s
        ):
            return False
        self._stop_waiting()
        return True

    def stale(self, now):
        """Return whether the view may be stale because of a pause.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True from the first event after a pause until a peer has
            replied.
        """
        return self._waiting_since is not None or self._pause_s(now) > 0

    def _stop_waiting(self):
        self._waiting_since = None
        self._pending_nonces = set()

    def _pause_s(self, now):
        if self._last_tick_at is None:
            return 0.0
        pause_s = now - self._last_tick_at
        return pause_s if pause_s > self.threshold_s else 0.0
