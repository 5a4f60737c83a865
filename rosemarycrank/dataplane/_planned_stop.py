"""Planned stop of a node: notice, drain and exit."""

import logging

from rosemarycrank.dataplane import _frames

#: Seconds from SIGTERM during which requests of clients are still accepted, so
#: that clients have time to learn that the node is leaving. After it, idle
#: client connections are closed.
LEAVING_NOTICE_S = 2.3

#: Share of the grace period after which the drain ends even if requests are in
#: flight, so that the process is not killed.
MAX_DRAIN_SHARE = 0.84

#: Seconds to send the last results before the process exits.
FINAL_FLUSH_S = 0.1

#: Seconds before the end of the drain in which calls of the local target are
#: refused, because they might not finish in time.
TARGET_CALL_CUTOFF_S = 1.0

#: Seconds between the latest deadline of attempts and the end of the drain: a
#: target answers at its deadline, and the answer still has to arrive.
RESULT_MARGIN_S = 0.3

#: Seconds between checks whether the drain is complete.
DRAIN_CHECK_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)


class PlannedStop:
    """Stops a node without breaking off requests that can finish in time.

    1. Notice: other nodes are told, and attempts of theirs are refused.
       Requests of clients are accepted; each response closes its connection.
    2. Drain: requests of clients are refused. Calls of the local target are
       accepted while it runs requests that need them. The drain lasts until
       nothing is in flight, at most `MAX_DRAIN_SHARE` of the grace period.
    3. End: whatever is left is answered, and the process exits.

    Attempts that are sent during the stop have a deadline before the end of
    the longest drain.

    Parameters
    ----------
    node : Node
        The node.
    entry : EntrySide
        Requests of clients and of the local target.
    target_side : TargetSide
        Attempts at the local target.
    clients : ClientServer
        Connections of clients and of the local target.
    pool : UpstreamPool
        Connections to the local target.
    grace_s : float
        Seconds from SIGTERM until the process is killed.
    on_complete : callable
        Called without arguments when the process should exit.

    Attributes
    ----------
    has_begun : bool
        Whether the stop has begun.
    """

    def __init__(
        self, node, entry, target_side, clients, pool, grace_s, on_complete
    ):
        self.node = node
        self.entry = entry
        self.target_side = target_side
        self.clients = clients
        self.pool = pool
        self.grace_s = grace_s
        self.on_complete = on_complete
        self.has_begun = False
        self._notice_ends_at = None
        self._drain_ends_at = None
        self._closed_at = None
        self._timer = None

    def begin(self):
        """Announce the stop; has no effect if it has begun."""
        if self.has_begun:
            return
        self.has_begun = True
        _LOG.warning(
            'node stopping',
            extra={'event': 'stop', 'under_way': self.entry.in_flight},
        )
        now = self.node.reactor.now()
        self._notice_ends_at = now + LEAVING_NOTICE_S
        self._drain_ends_at = now + self.grace_s * MAX_DRAIN_SHARE
        self.target_side.stopping = True
        self.clients.draining = True
        self.entry.latest_run_end_at = self._drain_ends_at - RESULT_MARGIN_S
        self.node.broadcast(_frames.Leaving())
        self._timer = self.node.reactor.timers.every(
            DRAIN_CHECK_INTERVAL_S, self._continue
        )

    def _continue(self, now):
        """Take the next step that is due."""
        if now < self._notice_ends_at:
            return
        if self._closed_at is not None:
            if now >= self._closed_at + FINAL_FLUSH_S:
                self._complete()
            return
        self._refuse_new_requests(now)
        if now >= self._drain_ends_at or self._is_drained():
            self._close(now)

    def _refuse_new_requests(self, now):
        self.entry.refuses_clients = True
        self.entry.refuses_target_calls = (
            now >= self._drain_ends_at - TARGET_CALL_CUTOFF_S
        )
        if not self.target_side.busy():
            # Requests that run at the target may still make calls through
            # this node, over new connections too.
            self.clients.stop_accepting()
            self.clients.close_idle()

    def _is_drained(self):
        return not (
            self.target_side.busy()
            or self.entry.in_flight
            or self.clients.has_unsent_output()
        )

    def _close(self, now):
        """Answer what is left and close the connections."""
        self._closed_at = now
        self.clients.stop_accepting()
        self.entry.refuses_target_calls = True
        self.target_side.end_all()
        self.entry.end_all()
        self.clients.close_idle()
        self.node.close()
        self.pool.close()

    def _complete(self):
        _LOG.warning(
            'node stopped',
            extra={'event': 'stopped', 'under_way': self.entry.in_flight},
        )
        self._timer.cancel()
        self.on_complete()
