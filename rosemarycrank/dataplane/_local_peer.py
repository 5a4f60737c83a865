"""Attempts at the target on the node's own VM, without a connection."""


class LocalPeer:
    """The same calls as `Peer`, carried out in this process.

    Parameters
    ----------
    target_side : TargetSide
        The local target.
    caller : Caller
        State of this node as a caller.
    """

    def __init__(self, target_side, caller):
        self.target_side = target_side
        self.caller = caller
        self.reachable = True
        self.sent_since_load = 0
        self._on_result_by_number = {}
        caller.send = self._take_result

    @property
    def load(self):
        """Load of the target, always fresh."""
        return self.target_side.load()

    @property
    def leaving(self):
        """Whether this node is about to stop."""
        return self.target_side.stopping

    @property
    def outstanding(self):
        """Number of attempts without a result."""
        return len(self._on_result_by_number)

    def send(self, attempt, on_result):
        """Make an attempt; see `Peer.send`."""
        self._on_result_by_number[attempt.number] = on_result
        self.target_side.accept(self.caller, attempt)

    def cancel(self, number):
        """Give an attempt up."""
        self._on_result_by_number.pop(number, None)
        self.target_side.cancel(self.caller, number)
        self.caller.served_by_number.pop(number, None)

    def notify(self, frame):
        """Drop a notice: this node knows already."""

    def maintain(self, now):
        """Do nothing: there is no connection."""

    def close(self):
        """Do nothing: there is no connection."""

    def _take_result(self, result):
        self.caller.served_by_number.pop(result.number, None)
        on_result = self._on_result_by_number.pop(result.number, None)
        if on_result is not None:
            on_result(result)
