"""Detection of pauses of this process, and of the end of staleness."""


class PauseDetector:
    """Tells whether the view may date from before a pause.

    Parameters
    ----------
    threshold_s : float
        Gap between two ticks, in seconds, that counts as a pause.
    reply_timeout_s : float
        Seconds after waking at which a node that no peer has answered
        counts as cut off.
    """

    def __init__(self, threshold_s, reply_timeout_s):
        self.threshold_s = threshold_s
        self.reply_timeout_s = reply_timeout_s
        self._last_tick_at = None
        self._waiting_since = None
        self._pending_nonces = set()

    def tick(self, now):
        """Record that the process runs.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Length of the pause that ended now, in seconds; 0 for none.
        """
        pause_s = self._pause_s(now)
        self._last_tick_at = now
        return pause_s

    def await_reply(self, now, nonces):
        """Wait for the answer to one of some questions.

        Parameters
        ----------
        now : float
            Current time in seconds.
        nonces : iterable of int
            Identifiers of questions that were sent after the pause. An
            answer that lay in a buffer during the pause proves nothing.
        """
        self._pending_nonces = set(nonces)
        self._waiting_since = now if self._pending_nonces else None

    def awaiting_reply(self):
        """Return whether no peer has answered since a pause."""
        return self._waiting_since is not None

    def on_reply(self, nonce):
        """Handle the answer to a question.

        Parameters
        ----------
        nonce : int
            Identifier of the question.

        Returns
        -------
        bool
            Whether this ended the wait.
        """
        if nonce not in self._pending_nonces:
            return False
        self._stop_waiting()
        return True

    def expire_wait(self, now):
        """Return whether nobody has answered for too long, and stop waiting.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True once after a wait that reached its limit.
        """
        if (
            self._waiting_since is None
            or now - self._waiting_since < self.reply_timeout_s
        ):
            return False
        self._stop_waiting()
        return True

    def stale(self, now):
        """Return whether the view may date from before a pause.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True during the first event after a pause, and until a peer has
            answered.
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
