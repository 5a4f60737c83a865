"""Connections between nodes.

A node opens one connection to each node whose target it calls, and sends its
attempts over it. Attempts have increasing numbers. When a connection is lost
or silent, the pending attempts are sent again over a new one, and the
target's node recognises those that it already has by their numbers. An
outcome is unknown only if the other process has ended, or if the new
connection fails too and the attempt is idempotent. Other attempts stay pending
until the node is reachable again.

A slow process and a cut network are both silent, but only the slow process
should be given time: its attempts go on, and would run twice if they were sent
elsewhere. So a silent peer is probed with a further connection, which the
operating system of a slow process accepts.
"""

import errno
import logging

import attrs

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _reactor

#: Time without received data after which a peer is pinged: an active peer,
#: whose load has to be current, and an idle one.
ACTIVE_PING_INTERVAL_S = 0.4
IDLE_PING_INTERVAL_S = 2.0

#: Time after the last attempt during which a peer counts as active.
ACTIVE_PERIOD_S = 5.0

#: Time without received data after a ping, after which the connection is
#: replaced.
PING_TIMEOUT_S = 1.0

#: Time without received data after a ping or the start of a connection, after
#: which the peer is avoided for new attempts.
LATE_ANSWER_S = 0.2

#: Time without received data after a ping, after which a probe connection is
#: opened.
PROBE_DELAY_S = 0.3

#: Number of calls of `Peer.maintain` during which a connection is not
#: established, after which the peer is unreachable. Calls are counted instead
#: of seconds, so that a pause of this process is not taken for silence.
MAX_CONNECTING_CHECKS = 3

#: Maximum time to open a connection and receive the first frame.
CONNECT_TIMEOUT_S = 1.0

#: Backoff before connecting again to an unreachable peer; doubles with each
#: failure.
MIN_RECONNECT_DELAY_S = 0.1
MAX_RECONNECT_DELAY_S = 2.0

#: Time after which the message of a node that it is leaving expires; about
#: the maximum duration of a planned stop. The node may have restarted by then
#: without a connection from this node that would show it. If it has not, it
#: refuses attempts as not run.
LEAVING_EXPIRY_S = 5.0

#: Time without attempts after which a connection is closed.
IDLE_TIMEOUT_S = 60.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class PendingAttempt:
    """Attempt without a result.

    Attributes
    ----------
    number : int
        Number of the attempt.
    idempotent : bool
        Whether the attempt may be abandoned and sent to another target.
    data : bytes
        Encoded frame, to be sent again over a new connection.
    sent_to_incarnation : int
        Incarnation of the node that the attempt was sent to; 0 before that.
    on_result : callable
        Called once with the `Result`.
    """

    number: int
    idempotent: bool
    data: bytes
    sent_to_incarnation: int
    on_result: object


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
        self._stream = None
        self._reader = None
        self._handshake_done = False
        self._generation = 0
        self._pending_by_number = {}
        self._last_received_at = 0.0
        self._last_ping_at = 0.0
        self._connect_started_at = 0.0
        self._last_attempt_at = 0.0
        self._reconnect_at = 0.0
        self._reconnect_delay_s = MIN_RECONNECT_DELAY_S
        self._probe = None
        self._connecting_checks = 0

    @property
    def outstanding(self):
        """Number of attempts without a result."""
        return len(self._pending_by_number)

    @property
    def responsive(self):
        """Whether the peer is reachable and owes no answer for long."""
        if not self.reachable:
            return False
        if self._stream is None:
            return True
        waits_since = self._connect_started_at
        if self._handshake_done:
            if self._last_ping_at <= self._last_received_at:
                return True
            waits_since = self._last_ping_at
        return self.node.reactor.now() - waits_since <= LATE_ANSWER_S

    def send(self, attempt, on_result):
        """Send an attempt.

        Parameters
        ----------
        attempt : rosemarycrank.dataplane.Attempt
            Attempt to send.
        on_result : callable
            Called once with the `Result`, unless the attempt is cancelled.
        """
        data = _frames.encode(attempt)
        pending = PendingAttempt(
            attempt.number, attempt.idempotent, data, 0, on_result
        )
        self._pending_by_number[attempt.number] = pending
        self.sent_since_load += 1
        self._last_attempt_at = self.node.reactor.now()
        if self._handshake_done:
            pending.sent_to_incarnation = self.incarnation
            self._stream.write(data)
        elif self._stream is None:
            self._connect()

    def cancel(self, number):
        """Cancel an attempt; its result is ignored."""
        pending = self._pending_by_number.pop(number, None)
        if (
            pending is not None
            and pending.sent_to_incarnation
            and self._handshake_done
        ):
            self._stream.write(_frames.encode(_frames.Cancel(number)))

    def notify(self, frame):
        """Send a notification if the peer is connected."""
        if self._handshake_done:
            self._stream.write(_frames.encode(frame))

    def close(self):
        """Close the connection."""
        self._disconnect()

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
        if self.leaving and now > self._leaving_since + LEAVING_EXPIRY_S:
            self.leaving = False
        if self._stream is None:
            if now >= self._reconnect_at and (
                self._pending_by_number or not self.reachable
            ):
                self._connect()
        elif not self._handshake_done:
            if self._connects_too_long(self._stream):
                self._mark_unreachable(
                    'connection not established', process_ended=False
                )
            elif now - self._connect_started_at > CONNECT_TIMEOUT_S:
                self._mark_unreachable(
                    'handshake timed out', process_ended=False
                )
        elif self._last_ping_at > self._last_received_at:
            self._check_unanswered_ping(now)
        elif not self._pending_by_number and (
            now - self._last_attempt_at > IDLE_TIMEOUT_S
        ):
            self._disconnect()
        else:
            is_active = self._pending_by_number or (
                now - self._last_attempt_at < ACTIVE_PERIOD_S
            )
            if now - self._last_received_at > (
                ACTIVE_PING_INTERVAL_S if is_active else IDLE_PING_INTERVAL_S
            ):
                self._send_ping(now)
            elif is_active and now - self._last_ping_at > IDLE_PING_INTERVAL_S:
                # The ping allows the peer to discard results that have
                # arrived here.
                self._send_ping(now)

    def mark_leaving(self):
        """Record that the peer is shutting down."""
        self.leaving = True
        self._leaving_since = self.node.reactor.now()

    def received(self, data):
        """Decode received bytes and handle the frames."""
        self._last_received_at = self.node.reactor.now()
        self._close_probe()
        try:
            frames = self._reader.feed(data)
        except _frames.FrameError as error:
            self._mark_unreachable(
                f'invalid frame: {error}', process_ended=False
            )
            return
        for frame in frames:
            if type(frame) is _frames.Result:
                self._handle_result(frame)
            else:
                self._handle_notification(frame)

    def closed(self, error):
        """Handle the loss of the connection."""
        is_refused = error is not None and error.errno == errno.ECONNREFUSED
        if self._handshake_done and not self.leaving:
            # The process may still run; a new connection will show it.
            self._disconnect()
            if self._pending_by_number:
                self._connect()
            return
        self.leaving = False
        self._mark_unreachable(
            f'connection failed: {error}', process_ended=is_refused
        )

    def _send_ping(self, now):
        self._last_ping_at = now
        oldest_pending = min(self._pending_by_number, default=None)
        if oldest_pending is None:
            oldest_pending = self.node.last_attempt_number
        version = self.node.configuration_version()
        self._stream.write(
            _frames.encode(_frames.Ping(version, oldest_pending))
        )

    def _check_unanswered_ping(self, now):
        waited_s = now - self._last_ping_at
        if waited_s > PING_TIMEOUT_S:
            _LOG.warning(
                'ping to peer %s unanswered; replacing the connection',
                self.address,
                extra={
                    'event': 'peer_silent',
                    'silent_s': round(now - self._last_received_at, 3),
                    'outstanding': self.outstanding,
                },
            )
            self._disconnect()
            self._connect()
        elif self._probe is not None:
            if self._connects_too_long(self._probe):
                self._mark_unreachable(
                    'neither ping nor probe answered', process_ended=False
                )
        elif waited_s > PROBE_DELAY_S:
            self._connecting_checks = 0
            self._probe = _Probe(self.node.reactor, self.address)

    def _connects_too_long(self, connection):
        """Count a check of a connection that may not be established yet."""
        if not connection.is_connecting:
            return False
        self._connecting_checks += 1
        return self._connecting_checks >= MAX_CONNECTING_CHECKS

    def _close_probe(self):
        if self._probe is not None:
            self._probe.close()
            self._probe = None

    def _connect(self):
        now = self.node.reactor.now()
        self._generation += 1
        self._connect_started_at = now
        self._connecting_checks = 0
        self._reader = _frames.FrameReader()
        self._handshake_done = False
        self._stream = _reactor.connect(
            self.node.reactor,
            _reactor.parse_address(self.address),
            self,
            keep_alive=True,
        )
        hello = self.node.hello(self._generation)
        self._stream.write(_frames.encode(hello))

    def _disconnect(self):
        self._close_probe()
        if self._stream is not None:
            # A reset discards data in transit, so that it cannot arrive after
            # the data that is sent over a new connection.
            self._stream.close(reset=True)
        self._stream = None
        self._handshake_done = False

    def _mark_unreachable(self, reason, process_ended):
        """Mark the peer as unreachable and finish attempts accordingly.

        Attempts that were never sent have not run. If the process of the peer
        has ended, the outcome of the others is unknown. Otherwise only the
        idempotent ones are finished; the others stay pending, because the
        peer may still report their results.
        """
        self._disconnect()
        now = self.node.reactor.now()
        if self.reachable:
            _LOG.warning(
                'peer %s is unreachable: %s',
                self.address,
                reason,
                extra={'event': 'peer_lost', 'outstanding': self.outstanding},
            )
        self.reachable = False
        self.load = None
        self._reconnect_at = now + self._reconnect_delay_s
        self._reconnect_delay_s = min(
            MAX_RECONNECT_DELAY_S, self._reconnect_delay_s * 2.0
        )
        for pending in list(self._pending_by_number.values()):
            if not pending.sent_to_incarnation:
                self._finish(
                    pending,
                    _frames.Outcome.NOT_RUN,
                    _frames.Reason.NODE_UNREACHABLE,
                )
            elif process_ended:
                self._finish(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_RESTARTED,
                )
            elif pending.idempotent:
                self._finish(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_UNREACHABLE,
                )

    def _finish(self, pending, outcome, reason):
        if self._pending_by_number.pop(pending.number, None) is None:
            return
        pending.on_result(
            _frames.Result(
                pending.number, int(outcome), int(reason), 0, b'', b'', None
            )
        )

    def _handle_result(self, result):
        pending = self._pending_by_number.pop(result.number, None)
        if result.load is not None:
            self._update_load(result.load)
        if pending is not None:
            pending.on_result(result)

    def _update_load(self, load):
        self.load = load
        self.load_received_at = self._last_received_at
        self.node.receive_load(load, self.address, self._last_received_at)
        self.sent_since_load = 0

    def _handle_notification(self, frame):
        if isinstance(frame, _frames.Hello):
            self._handle_hello(frame)
        elif isinstance(frame, _frames.Pong):
            if frame.load is not None:
                self._update_load(frame.load)
            self.node.request_newer_configuration(
                frame.configuration_version, self
            )
        elif isinstance(frame, _frames.Leaving):
            self.mark_leaving()
        else:
            self.node.receive_notification(frame, self)

    def _handle_hello(self, hello):
        if hello.protocol != _frames.PROTOCOL_VERSION:
            self._mark_unreachable(
                f'unsupported protocol version {hello.protocol}',
                process_ended=False,
            )
            return
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
        self._handshake_done = True
        self._last_ping_at = 0.0
        self.node.receive_hello(hello, self)
        for pending in list(self._pending_by_number.values()):
            if pending.sent_to_incarnation not in (0, hello.incarnation):
                self._finish(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_RESTARTED,
                )
            elif self._stream is not None:
                pending.sent_to_incarnation = hello.incarnation
                self._stream.write(pending.data)


class _Probe:
    """TCP connection that shows whether the VM of a silent peer is reachable.

    The operating system of the peer accepts connections even while its
    process is too busy to answer. A connection that is not established
    therefore tells a cut network or a dead VM from a slow process.
    """

    def __init__(self, reactor, address):
        self._stream = _reactor.connect(
            reactor, _reactor.parse_address(address), self
        )

    @property
    def is_connecting(self):
        """Whether the connection has been neither accepted nor refused."""
        return self._stream.is_open and self._stream.is_connecting

    def close(self):
        """Close the connection."""
        self._stream.close()

    def received(self, _data):
        """Ignore received data; the peer is not asked for any."""

    def closed(self, _error):
        """Ignore the end of the connection."""


class InboundConnection:
    """Connection that another node opened to this node.

    Parameters
    ----------
    node : Node
        This node.
    sock : socket.socket
        Socket of the connection.

    Attributes
    ----------
    address : str
        ``host:port`` at which the other node accepts attempts; empty before
        the handshake.
    caller : Caller or None
        State of the other node as a caller; None before the handshake.
    """

    def __init__(self, node, sock):
        self.node = node
        self.address = ''
        self.caller = None
        self._generation = -1
        self._reader = _frames.FrameReader()
        self._stream = _reactor.Stream(node.reactor, sock, self)

    @property
    def unsent_bytes(self):
        """Number of written bytes that have not been sent."""
        return self._stream.unsent_bytes

    def received(self, data):
        """Decode received bytes and handle the frames."""
        try:
            frames = self._reader.feed(data)
        except _frames.FrameError as error:
            _LOG.warning(
                'invalid frame from node %s; closing the connection: %s',
                self.address,
                error,
                extra={'event': 'bad_frame'},
            )
            self.close()
            return
        for frame in frames:
            if not self._stream.is_open:
                return
            self._handle_frame(frame)

    def closed(self, _error):
        """Record the loss of the connection."""
        self.node.inbound_connections.discard(self)
        caller = self.caller
        if caller is not None and caller.generation == self._generation:
            caller.send = None
            caller.lost_at = self.node.reactor.now()

    def close(self, reset=True):
        """Close the connection.

        Parameters
        ----------
        reset : bool, default=True
            Whether data that has not been delivered is discarded.
        """
        self._stream.close(reset)
        self.closed(None)

    def notify(self, frame):
        """Send a notification."""
        self._stream.write(_frames.encode(frame))

    def _handle_frame(self, frame):
        kind = type(frame)
        if kind is _frames.Hello:
            self._handle_hello(frame)
        elif self.caller is None:
            self.close()
        elif kind is _frames.Attempt:
            self.node.target_side.accept(self.caller, frame)
        elif kind is _frames.Cancel:
            self.node.target_side.cancel(self.caller, frame.number)
        elif kind is _frames.Ping:
            self.caller.discard_results_before(frame.oldest_pending)
            self.notify(
                _frames.Pong(
                    self.node.configuration_version(),
                    self.node.target_side.load(),
                )
            )
            self.node.request_newer_configuration(
                frame.configuration_version, self
            )
        else:
            self.node.receive_notification(frame, self)

    def _handle_hello(self, hello):
        if hello.protocol != _frames.PROTOCOL_VERSION:
            self.close()
            return
        self.address = hello.node
        caller = self.node.target_side.caller(hello.incarnation)
        if hello.generation <= caller.generation:
            # The caller has replaced this connection by a newer one.
            self.close()
            return
        for connection in list(self.node.inbound_connections):
            if connection is not self and connection.caller is caller:
                connection.close()
        self.caller = caller
        self._generation = caller.generation = hello.generation
        caller.send = self.notify
        self.notify(self.node.hello(0))
        self.node.receive_hello(hello, self)
