"""In-process peer for attempts at the target on the node's own VM."""

from rosemarycrank.dataplane import _frames


class LocalPeer:
    """Peer with the interface of `Peer`, without a connection.

    Parameters
    ----------
    target_side : TargetSide
        Target side of this node.
    caller : Caller
        State of this node as a calling node.
    """

    def __init__(self, target_side, caller):
        self.target_side = target_side
        self.caller = caller
        self.reachable = self.responsive = self.connected = True
        self.features = 0
        self.sent_since_load = 0
        self._on_result_by_number = {}
        self._clients_by_number = {}
        caller.is_local = True
        caller.features = int(_frames.FEATURES)
        caller.send = self._deliver_result
        caller.catch_up = self._catch_up

    @property
    def load(self):
        """Current load of the target."""
        return self.target_side.load()

    @property
    def leaving(self):
        """Whether this node is about to stop."""
        return self.target_side.stopping

    @property
    def outstanding(self):
        """Number of attempts without a result."""
        return len(self._on_result_by_number)

    def send(self, attempt, on_result, client):
        """Pass an attempt to the target side; see `Peer.send`."""
        self._on_result_by_number[attempt.number] = on_result
        self._clients_by_number[attempt.number] = client
        self.target_side.accept(self.caller, attempt)

    def cancel(self, number):
        """Cancel an attempt; its result is dropped."""
        self._on_result_by_number.pop(number, None)
        self._clients_by_number.pop(number, None)
        self.target_side.cancel(self.caller, number)
        self.caller.jobs_by_number.pop(number, None)

    def notify(self, frame):
        """Do nothing: this node has the state that notices carry."""

    def maintain(self, now):
        """Do nothing: there is no connection."""

    def close(self):
        """Do nothing: there is no connection."""

    def _catch_up(self, number):
        client = self._clients_by_number.get(number)
        if client is not None:
            client.catch_up()

    def _deliver_result(self, result):
        self.caller.jobs_by_number.pop(result.number, None)
        self._clients_by_number.pop(result.number, None)
        on_result = self._on_result_by_number.pop(result.number, None)
        if on_result is not None:
            on_result(result)
