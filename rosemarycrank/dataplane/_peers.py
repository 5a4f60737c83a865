"""Other nodes whose targets this node calls.

A node opens one connection to each of them and sends its attempts over it.
Attempts have increasing numbers. When a connection is lost or silent, the
pending attempts are sent again over a new one, and the target's node
recognises those that it already has by their numbers. An outcome is unknown
only if the other process has ended, or if the new connection fails too and
the attempt is idempotent. Other attempts stay pending until the node is
reachable again. Cancellations are sent again too, until the other node has
confirmed them.
"""

import errno
import logging
import math
import random

from rosemarycrank.dataplane import _cancellations
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _peer_connection
from rosemarycrank.dataplane import _pending_attempts

#: Time after the last attempt during which a peer counts as active.
ACTIVE_PERIOD_S = 5.0

#: Time without received data after a ping or the start of a connection, after
#: which the peer is avoided for new attempts.
LATE_ANSWER_S = 0.2

#: Backoff before connecting again to an unreachable peer, before jitter, in
#: seconds; doubles with each failure.
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 2.0

#: Delay before connecting again to an unreachable peer that has attempts of
#: this node, in seconds. With the time after which a connection is given up,
#: the peer is reached within 0.5 s of the end of a cut.
URGENT_RECONNECT_DELAY_S = 0.05

#: Time without contact after which the cancellations alone don't make a
#: reconnection urgent any more, in seconds. By then the peer has cancelled the
#: attempts of a calling node that it takes for lost.
CANCELLATION_URGENCY_S = 5.0

#: Time after which the message of a node that it is leaving expires; about
#: the maximum duration of a planned stop. The node may have restarted by then
#: without a connection from this node that would show it. If it has not, it
#: refuses attempts as not run.
LEAVING_EXPIRY_S = 5.0

#: Time without attempts after which a connection is closed.
IDLE_TIMEOUT_S = 60.0

#: Time for which an unreachable peer is tried that is not kept and whose
#: target has left, in seconds. Its node may return with another target, and
#: know of no other node.
RETURN_TIME_S = 30.0

#: Time after the last call of `keep_connected` during which a peer is kept, in
#: seconds; several times the interval of these calls.
KEPT_TIME_S = 5.0

#: Longest time for which a peer that owes nothing is not checked, in seconds.
MAX_QUIET_S = 0.5

_LOG = logging.getLogger(__name__)


class Peer:
    """Another node, whose target this node calls.

    Parameters
    ----------
    address : str
        ``host:port`` at which the peer accepts attempts.
    node : Node
        This node.

    Attributes
    ----------
    outstanding : int
        Number of attempts without a result.
    load : rosemarycrank.dataplane.Load or None
        Latest load that the peer reported; None while it is unreachable.
    load_received_at : float
        Time of that report, in seconds of the node's clock.
    sent_since_load : int
        Number of attempts sent since that report.
    reachable : bool
        False after a connection has failed, until the next handshake.
    leaving : bool
        Whether the peer has announced that it is shutting down.
    incarnation : int
        Random number that identifies the peer's process; 0 if unknown.
    features : int
        `Feature` flags of the peer; 0 if unknown.
    """

    def __init__(self, address, node):
        self.address = address
        self.node = node
        self.load = None
        self.load_received_at = 0.0
        self.sent_since_load = 0
        self.reachable = True
        self.leaving = False
        self._leaving_since = 0.0
        self.incarnation = 0
        self.features = 0
        self._connection = None
        self._generation = 0
        self._pending_by_number = {}
        self._cancellations = _cancellations.UnconfirmedCancellations()
        self._last_attempt_at = 0.0
        self._kept_at = -math.inf
        self._failed_at = 0.0
        self._unreachable_since = 0.0
        self._reconnect_at = 0.0
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        self._quiet_until = 0.0
        self._random = random.Random(f'{node.incarnation} {address}')

    @property
    def outstanding(self):
        """Number of attempts without a result."""
        return len(self._pending_by_number)

    @property
    def connected(self):
        """Whether there is a connection with a complete handshake."""
        return self._connection is not None and self._connection.is_ready

    @property
    def responsive(self):
        """Whether the peer is reachable and owes no answer for long."""
        # Evaluated for each target that an attempt may go to, so the
        # connection's `awaits_answer` is not called.
        if not self.reachable:
            return False
        connection = self._connection
        if connection is None:
            return True
        if connection.is_ready:
            waits_since = connection.last_ping_at
            if waits_since <= connection.last_received_at:
                return True
        else:
            waits_since = connection.opened_at
        return self.node.reactor.now() - waits_since <= LATE_ANSWER_S

    def send(self, attempt, on_result, client):
        """Send an attempt.

        Parameters
        ----------
        attempt : rosemarycrank.dataplane.Attempt
            Attempt to send.
        on_result : callable
            Called once with the `Result`, unless the attempt is cancelled;
            not before this function has returned.
        client : ClientConnection
            Connection on which the request arrived. It catches up before the
            attempt is sent later or again.
        """
        pending = _pending_attempts.PendingAttempt(
            attempt.number,
            attempt.idempotent,
            _frames.encode_parts(attempt),
            0,
            on_result,
            client,
        )
        if not self._hold(pending):
            self._deliver(pending, pending.result_without_memory())
            return
        self._pending_by_number[attempt.number] = pending
        self.sent_since_load += 1
        self._quiet_until = 0.0
        self._last_attempt_at = self.node.reactor.now()
        connection = self._connection
        if connection is None:
            self._connect()
        elif connection.is_ready:
            self._write(pending)

    def _hold(self, pending):
        """Take memory for an attempt; return whether it fits."""
        budget = self.node.output_budget
        size = pending.memory_bytes()
        if budget.take_if_fits(size, size):
            pending.held_bytes = size
            return True
        budget.refusals += 1
        budget.log_refusal(
            self.node.reactor.now(),
            size,
            target_node=self.address,
            attempt=pending.number,
        )
        return False

    def _pop(self, number):
        """Remove and return a pending attempt; None if there is none."""
        pending = self._pending_by_number.pop(number, None)
        if pending is not None:
            self.node.output_budget.take(-pending.held_bytes)
        return pending

    def keep_connected(self):
        """Open a connection if there is none; keep it while this is called."""
        self._kept_at = self.node.reactor.now()
        if self._connection is None and self.reachable:
            self._connect()

    def cancel(self, number):
        """Cancel an attempt; its result is ignored."""
        self.node.result_delivery.discard(self, number)
        pending = self._pop(number)
        if pending is not None and pending.sent_to_incarnation:
            self._cancellations.add(number)
            self._quiet_until = 0.0
            if self._connection is not None:
                self._connection.stream.write(
                    _frames.encode(_frames.Cancel(number))
                )
                self._connection.hold_unsent()

    def notify(self, frame):
        """Send a notification if the peer is connected."""
        if self.connected:
            self._connection.stream.write(_frames.encode(frame))

    def close(self):
        """Close the connection."""
        self._quiet_until = 0.0
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def reset_backoff(self):
        """Allow a connection at the next `maintain`, without backoff.

        Called when the unreachable peer has opened a connection to this node.
        """
        self._reconnect_at = 0.0
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S

    def maintain(self, now):
        """Ping the peer, and replace or close its connection where needed.

        Called periodically.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if now < self._quiet_until:
            return
        if self.leaving and now > self._leaving_since + LEAVING_EXPIRY_S:
            self.leaving = False
        connection = self._connection
        if connection is not None:
            connection.hold_unsent()
        needs_peer = self._needs_peer
        idle_s = now - self._last_attempt_at
        if connection is None:
            if self._is_reconnection_due(now):
                self._connect()
        elif connection.awaits_answer:
            connection.check_answer(now)
        elif not needs_peer and self._is_idle(now):
            self.close()
        else:
            due_at = connection.ping_if_due(
                now, self._active_interval_s(idle_s)
            )
            if not needs_peer and not self.leaving:
                self._quiet_until = min(due_at, now + MAX_QUIET_S)

    def mark_leaving(self):
        """Record that the peer is shutting down."""
        self._quiet_until = 0.0
        self.leaving = True
        self._leaving_since = self.node.reactor.now()

    def mark_unreachable(self, reason, process_ended):
        """Mark the peer as unreachable and finish attempts accordingly.

        Parameters
        ----------
        reason : str
            What has failed, for the log.
        process_ended : bool
            Whether the process of the peer has ended.
        """
        self.close()
        if self.reachable:
            _LOG.warning(
                'peer %s is unreachable: %s',
                self.address,
                reason,
                extra={'event': 'peer_lost', 'outstanding': self.outstanding},
            )
            self._unreachable_since = self.node.reactor.now()
        self.reachable = False
        self.load = None
        self.node.mark_unusable(self.address)
        self._back_off()
        for pending in list(self._pending_by_number.values()):
            result = pending.result_without_peer(process_ended)
            if result is not None:
                if pending.sent_to_incarnation:
                    # It may still be queued or run there.
                    self._cancellations.add(pending.number)
                self._finish(pending, result)

    def replace_connection(self):
        """Open a new connection in place of one that may be broken."""
        self.close()
        self._connect()

    def connection_lost(self, error):
        """Handle the loss of the connection.

        Parameters
        ----------
        error : OSError or None
            Error of the connection; None if the peer has closed it.
        """
        is_refused = error is not None and error.errno == errno.ECONNREFUSED
        connection = self._connection
        if connection is not None and connection.is_ready and not self.leaving:
            # The process may still run; a new connection will show it. One
            # that has started again may know of no other node.
            self.close()
            self._connect()
            return
        self.leaving = False
        self.mark_unreachable(
            f'connection failed: {error}', process_ended=is_refused
        )

    def oldest_pending(self):
        """Return a number below which no attempt at the peer is pending."""
        oldest = min(self._pending_by_number, default=None)
        return self.node.last_attempt_number if oldest is None else oldest

    def handle_hello(self, hello):
        """Handle the peer's answer to the handshake.

        Pending attempts are sent, or sent again, unless their clients have
        left; those at an earlier process of the peer are finished.

        Parameters
        ----------
        hello : rosemarycrank.dataplane.Hello
            The answer.
        """
        if not self.reachable:
            _LOG.warning(
                'peer %s is reachable again',
                self.address,
                extra={'event': 'peer_regained'},
            )
        self.reachable = True
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        if self.incarnation != hello.incarnation:
            self.leaving = False
            self.incarnation = hello.incarnation
            self._cancellations.clear()
        self.features = hello.features
        self.node.receive_hello(hello, self)
        for pending in list(self._pending_by_number.values()):
            if pending.sent_to_incarnation not in (0, hello.incarnation):
                self._finish(pending, pending.result_after_restart())
            else:
                self._send_pending(pending)

    def ping_sent(self):
        """Record that a ping was sent over the connection."""
        self._cancellations.ping_sent()

    def handle_result(self, result, now):
        """Handle the result of an attempt.

        Parameters
        ----------
        result : rosemarycrank.dataplane.Result
            The result.
        now : float
            Time of receipt, in seconds of the node's clock.
        """
        pending = self._pop(result.number)
        if result.load is not None:
            self._update_load(result.load, now)
        if pending is not None:
            self._deliver(pending, result)

    def handle_notification(self, frame, now):
        """Handle a frame that is neither a result nor a handshake.

        Parameters
        ----------
        frame : msgspec.Struct
            The frame.
        now : float
            Time of receipt, in seconds of the node's clock.
        """
        if isinstance(frame, _frames.Pong):
            self._cancellations.pong_received()
            if frame.load is not None:
                self._update_load(frame.load, now)
            self.node.request_newer_configuration(
                frame.configuration_version, self
            )
            self.node.directory_sync.receive_digest(
                frame.directory_digest, self, now
            )
            self.node.crash_exchange.receive_digest(frame.crash_digest, self)
        elif isinstance(frame, _frames.LoadReport):
            if frame.load is not None:
                self._update_load(frame.load, now)
        else:
            self.node.receive_notification(frame, self)

    @property
    def _needs_peer(self):
        """Whether results or confirmations of the peer are awaited."""
        return bool(self._pending_by_number or self._cancellations)

    def _active_interval_s(self, idle_s):
        if self._needs_peer:
            return _peer_connection.ACTIVE_PING_INTERVAL_S
        if idle_s < ACTIVE_PERIOD_S:
            return self.node.active_ping_interval_s
        return None

    def _is_idle(self, now):
        last_used_at = max(self._last_attempt_at, self._kept_at)
        return now - last_used_at > IDLE_TIMEOUT_S

    def _is_reconnection_due(self, now):
        if self._is_reconnection_urgent(now):
            return now >= self._failed_at + URGENT_RECONNECT_DELAY_S
        is_wanted = self._needs_peer or self._may_return(now)
        return is_wanted and now >= self._reconnect_at

    def _may_return(self, now):
        """Return whether an unreachable peer is tried although not needed."""
        if self.reachable:
            return False
        without_contact_s = now - self._unreachable_since
        return (
            without_contact_s < RETURN_TIME_S
            or now - self._kept_at < KEPT_TIME_S
            or self.node.directory.is_ready(self.address)
        )

    def _is_reconnection_urgent(self, now):
        if self._pending_by_number:
            return True
        without_contact_s = now - self._unreachable_since
        return (
            bool(self._cancellations)
            and without_contact_s < CANCELLATION_URGENCY_S
        )

    def _back_off(self):
        """Delay the next connection, with jitter.

        The connections of many nodes to one that they all have lost would
        otherwise be opened together.
        """
        self._failed_at = self.node.reactor.now()
        jitter = 0.5 + self._random.random()
        self._reconnect_at = self._failed_at + jitter * self._reconnect_delay_s
        self._reconnect_delay_s = min(
            MAX_RECONNECT_DELAY_S, self._reconnect_delay_s * 2.0
        )

    def _send_pending(self, pending):
        pending.client.catch_up()
        if pending.number not in self._pending_by_number:
            return
        if self._connection is not None:
            self._write(pending)

    def _write(self, pending):
        pending.sent_to_incarnation = self.incarnation
        for part in pending.parts:
            self._connection.stream.write(part)

    def _connect(self):
        self._quiet_until = 0.0
        self._cancellations.connection_opened()
        self._generation += 1
        self._connection = _peer_connection.PeerConnection(
            self, self._generation
        )
        self._repeat_cancellations(self._connection)

    def _repeat_cancellations(self, connection):
        """Send cancellations right behind the handshake.

        The peer starts attempts of this node from its queue once the
        connection is restored.
        """
        if not self._cancellations:
            return
        numbers = list(self._cancellations)
        _LOG.info(
            'repeating %d cancellations at peer %s',
            len(numbers),
            self.address,
            extra={'event': 'cancellations_repeated', 'count': len(numbers)},
        )
        for number in numbers:
            connection.stream.write(_frames.encode(_frames.Cancel(number)))

    def _finish(self, pending, result):
        if self._pop(pending.number) is not None:
            self._deliver(pending, result)

    def _deliver(self, pending, result):
        self.node.result_delivery.add(self, pending.on_result, result)

    def _update_load(self, load, now):
        self.load = load
        self.load_received_at = now
        self.node.receive_load(load, self.address, now)
        self.sent_since_load = 0
