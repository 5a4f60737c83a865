"""Planned stop of a node: notice, drain and exit."""

import logging

from rosemarycrank.dataplane import _frames
from rosemarycrank import stop_times

#: Seconds from SIGTERM during which requests of clients are still accepted, so
#: that clients have time to learn that the node is leaving, and the maximum
#: share of the drain. After it, idle client connections are closed.
LEAVING_NOTICE_S = 2.3
MAX_NOTICE_SHARE = 0.5

#: Shortest time to send the last responses and results before the process
#: exits, in seconds, and the longest one while their receivers do not have
#: them, as a share of the time between the drain and the end of the grace
#: period.
FINAL_FLUSH_S = 0.1
MAX_FINAL_FLUSH_SHARE = 0.6

#: Seconds between checks whether the drain is complete.
DRAIN_CHECK_INTERVAL_S = 0.05

_LOG = logging.getLogger(__name__)


class PlannedStop:
    """Stops a node without breaking off requests that can finish in time.

    1. Notice: requests of clients and attempts of other nodes are accepted,
       so that the target serves while the node has to run anyway. Each
       response to a client closes its connection.
    2. Drain: other nodes are told. Requests of clients and attempts are
       refused. Calls of the local target are accepted while it runs requests
       that need them. The drain lasts until nothing is in flight, at most
       until `StopTimes.drain_ends_at`.
    3. End: whatever is left is answered. The connections stay open until the
       answers are sent, and the process exits.

    Attempts that are sent during the stop have a deadline before the end of
    the longest drain. Attempts of other nodes are accepted only if their runs
    are expected to end before it.

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
        self._times = None
        self._ended_at = None
        self._timer = None
        # An error in one step must not keep the next from being taken.
        self._call = node.reactor.guard.call

    def set_grace(self, grace_s):
        """Set the grace time of a stop that has not begun.

        Parameters
        ----------
        grace_s : float
            Seconds from SIGTERM until the process is killed.
        """
        if not self.has_begun:
            self.grace_s = grace_s

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
        self._times = stop_times.plan(now, self.grace_s)
        self._notice_ends_at = now + stop_times.limit_to_share(
            LEAVING_NOTICE_S,
            stop_times.max_drain_s(self.grace_s),
            MAX_NOTICE_SHARE,
        )
        self._timer = self.node.reactor.timers.every(
            DRAIN_CHECK_INTERVAL_S, self._continue
        )
        self.clients.draining = True
        self._call(self.entry.limit_run_end, self._times.runs_end_at)
        # A run may make calls until it ends.
        self._call(self.target_side.limit_run_end, self._times.calls_end_at)

    def _continue(self, now):
        """Take the next step that is due."""
        if now < self._notice_ends_at:
            return
        if not self.target_side.stopping:
            self.target_side.stopping = True
            self._call(self.node.broadcast, _frames.Leaving())
        if self._ended_at is not None:
            if self._is_flushed(now):
                self._complete()
            return
        self._refuse_new_requests(now)
        if now >= self._times.drain_ends_at or self._is_drained():
            self._end_drain(now)

    def _refuse_new_requests(self, now):
        self.entry.refuses_clients = True
        self.entry.refuses_target_calls = now >= self._times.calls_end_at
        if not self.target_side.busy():
            # Requests that run at the target may still make calls through
            # this node, over new connections too.
            self._call(self.clients.stop_accepting)
            self._call(self.clients.close_idle)

    def _is_drained(self):
        return not (
            self.target_side.busy()
            or self.entry.in_flight
            or self._has_unsent_output()
        )

    def _has_unsent_output(self):
        return self._call(self.clients.has_unsent_output) or self._call(
            self.node.has_unsent_results
        )

    def _is_flushed(self, now):
        if now < self._ended_at + FINAL_FLUSH_S:
            return False
        margin_s = stop_times.exit_margin_s(self.grace_s)
        ends_at = self._ended_at + MAX_FINAL_FLUSH_SHARE * margin_s
        return now >= ends_at or not self._has_unsent_output()

    def _end_drain(self, now):
        """Answer what is left; nothing new is accepted any more."""
        self._ended_at = now
        self.entry.refuses_target_calls = True
        self._call(self.clients.stop_accepting)
        self._call(self.target_side.end_all)
        # What has arrived is not given up.
        self._call(self.node.result_delivery.deliver_all)
        self._call(self.entry.end_all)
        self._call(self.clients.close_idle)

    def _complete(self):
        """Close the connections and have the process exit."""
        self._timer.cancel()
        self._call(self.clients.close)
        self._call(self.node.close)
        self._call(self.pool.close)
        _LOG.warning(
            'node stopped',
            extra={'event': 'stopped', 'under_way': self.entry.in_flight},
        )
        self.on_complete()
