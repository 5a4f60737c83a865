"""Detection of pauses of this process, and of the end of staleness."""


class PauseDetector:
    """Tells whether the view may date from before a pause.

    Parameters
    ----------
    threshold_s : float
        Gap between two ticks, in seconds, that counts as a pause.
    limit_s : float
        Seconds after waking at which a node that no peer has answered
        counts as cut off.
    """

    def __init__(self, threshold_s, limit_s):
        self.threshold_s = threshold_s
        self.limit_s = limit_s
        self._last_tick = None
        self._woke_at = None
        self._nonces = set()

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
        gap_s = self._gap(now)
        self._last_tick = now
        return gap_s

    def woke(self, now, nonces):
        """Wait for the answer to one of some questions.

        Parameters
        ----------
        now : float
            Current time in seconds.
        nonces : iterable of int
            Identifiers of questions that were sent after the pause. An
            answer that lay in a buffer during the pause proves nothing.
        """
        self._nonces = set(nonces)
        self._woke_at = now if self._nonces else None

    def waiting(self):
        """Return whether no peer has answered since a pause."""
        return self._woke_at is not None

    def answered(self, nonce):
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
        if nonce not in self._nonces:
            return False
        self._end()
        return True

    def cut_off(self, now):
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
        if self._woke_at is None or now - self._woke_at < self.limit_s:
            return False
        self._end()
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
        return self._woke_at is not None or self._gap(now) > 0

    def _end(self):
        self._woke_at = None
        self._nonces = set()

    def _gap(self, now):
        if self._last_tick is None:
            return 0.0
        gap_s = now - self._last_tick
        return gap_s if gap_s > self.threshold_s else 0.0
