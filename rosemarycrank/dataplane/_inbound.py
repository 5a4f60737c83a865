"""Connections that other nodes opened to this one, to call its target."""

import collections
import logging

from rosemarycrank.dataplane import _frame_reader
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _reactor

#: Seconds between checks for received data, and number of checks without any
#: after which a connection is closed. The other node pings at least every
#: `_peer_connection.IDLE_PING_INTERVAL_S`. Checks are counted instead of
#: seconds, so that a pause of this process is not taken for silence.
SILENCE_CHECK_INTERVAL_S = 0.25
MAX_SILENT_CHECKS = 11

#: Number of these checks after which a connection without a handshake is
#: closed, whatever has been received. The node that opened it has given it up
#: by then.
MAX_CHECKS_BEFORE_HANDSHAKE = 6

#: Number of these checks without progress after which the connection of a node
#: that does not read is closed. Its pings are not answered then, so that it
#: has opened another one if it still runs.
MAX_CHECKS_WITHOUT_PROGRESS = 20

#: Size from which output that is not read, and is not a result, is charged, in
#: bytes.
MIN_CHARGED_NOTICES_BYTES = 65536

_LOG = logging.getLogger(__name__)


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
        self._checks_before_handshake = 0
        self._checks_without_progress = 0
        self._written_bytes = 0
        self._sent_at_last_check = 0
        self._notice_bytes = 0
        self._silent_checks = 0
        self._held_bytes = 0
        self._reader = _frame_reader.FrameReader(
            node.attempt_budget, node.input_budget
        )
        self._reader.expects_handshake = True
        self._frames = collections.deque()
        self._has_read_all = False
        self._unanswered_ping = None
        self._stream = _reactor.Stream(node.reactor, sock, self)

    @property
    def features(self):
        """`Feature` flags of the other node; 0 before the handshake."""
        return 0 if self.caller is None else self.caller.features

    @property
    def connected(self):
        """Whether the other node has sent its handshake."""
        return self.caller is not None

    def unacknowledged_bytes(self):
        """Return the number of written bytes that may not have arrived."""
        return self._stream.unacknowledged_bytes()

    def received(self, data):
        """Decode received bytes and handle the frames, in order.

        Called again by `catch_up` while a frame is handled.
        """
        self._silent_checks = 0
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
        self._frames.extend(frames)
        self._has_read_all = len(data) < _reactor.MAX_READ_BYTES
        self._handle_frames()
        self._has_read_all = False
        self._charge()

    def _charge(self):
        """Charge unfinished frames, and output that is not read."""
        held_bytes = self._reader.unfinished_bytes
        if self._notice_bytes >= MIN_CHARGED_NOTICES_BYTES:
            held_bytes += self._notice_bytes
        if held_bytes == self._held_bytes:
            return
        self._held_bytes = held_bytes
        if self in self.node.inbound_connections:
            self.node.inbound_connections.charge(self, held_bytes)

    def is_of_known_node(self):
        """Return whether the other node has a target or attempts here."""
        return self.address in self.node.directory.records_by_node or (
            self.caller is not None and bool(self.caller.jobs_by_number)
        )

    def read_handshake(self):
        """Handle what has arrived, as it may be the handshake."""
        self._stream.catch_up()

    def catch_up(self, _number):
        """Handle what has arrived, if it may have cancellations."""
        if not self._has_read_all:
            self._stream.catch_up()
        elif any(type(frame) is _frames.Cancel for frame in self._frames):
            self._handle_frames()

    def _handle_frames(self):
        while self._frames and self._stream.is_open:
            self._handle_frame(self._frames.popleft())
        ping, self._unanswered_ping = self._unanswered_ping, None
        if ping is not None and self._stream.is_open:
            self._answer_ping(ping)

    def check_silence(self):
        """Close the connection if the other node has been silent for long.

        Called periodically. The other node reconnects if it still runs;
        otherwise its attempts are cancelled.
        """
        if self.caller is None:
            self._checks_before_handshake += 1
            if self._checks_before_handshake > MAX_CHECKS_BEFORE_HANDSHAKE:
                self.close()
                return
        if not self._is_read():
            self._close_unread()
            return
        self._silent_checks += 1
        if self._silent_checks <= MAX_SILENT_CHECKS:
            return
        _LOG.warning(
            'calling node %s is silent; closing its connection',
            self.address,
            extra={'event': 'caller_silent', 'checks': self._silent_checks},
        )
        self.close()

    def _is_read(self):
        """Return whether the other node reads its output; a check."""
        unsent_bytes = self._stream.unsent_bytes
        if not unsent_bytes and self._notice_bytes:
            self._notice_bytes = 0
            self._charge()
        sent_bytes = self._written_bytes - unsent_bytes
        if not unsent_bytes or sent_bytes > self._sent_at_last_check:
            self._checks_without_progress = 0
        else:
            self._checks_without_progress += 1
        self._sent_at_last_check = sent_bytes
        return self._checks_without_progress <= MAX_CHECKS_WITHOUT_PROGRESS

    def _close_unread(self):
        """Close a connection whose output is not read.

        Results are kept, and are sent again if the node asks for them.
        """
        _LOG.warning(
            'calling node %s does not read; closing its connection',
            self.address,
            extra={
                'event': 'caller_unread',
                'checks': self._checks_without_progress,
                'unsent': self._stream.unsent_bytes,
            },
        )
        self.close()

    def closed(self, _error):
        """Record the loss of the connection."""
        self.node.inbound_connections.discard(self)
        # Its objects refer to each other, so that they are freed by a rare
        # garbage collection only.
        self._reader.discard()
        self._frames.clear()
        caller = self.caller
        if caller is not None and caller.generation == self._generation:
            self.node.target_side.callers.lose(caller, self.address)

    def close(self):
        """Close the connection and discard what has not been delivered."""
        self._stream.close(reset=True)
        self.closed(None)

    def finish(self):
        """Close the connection, and have the system deliver what is written.

        Unread input would discard it.
        """
        self._stream.catch_up()
        self._stream.close()
        self.closed(None)

    def notify(self, frame):
        """Send a notification."""
        self._write_notice(_frames.encode(frame))

    def _write_notice(self, data):
        """Write what is not a kept result; charge what is not read of it."""
        if not self._stream.unsent_bytes:
            self._notice_bytes = 0
        self._notice_bytes += len(data)
        self._written_bytes += len(data)
        self._stream.write(data)
        if self._notice_bytes >= MIN_CHARGED_NOTICES_BYTES:
            self._charge()

    def _has_unsent(self):
        return self._stream.unsent_bytes > 0

    def send_result(self, result):
        """Send the result of an attempt."""
        if result.number not in self.caller.jobs_by_number:
            # A refusal that is not kept.
            self._write_notice(_frames.encode(result))
            return
        for part in _frames.encode_parts(result):
            self._written_bytes += len(part)
            self._stream.write(part)

    def _handle_frame(self, frame):
        kind = type(frame)
        if kind is _frames.Hello:
            self._handle_hello(frame)
        elif self.caller is None:
            self.close()
        elif kind is _frames.Attempt:
            self.node.target_side.accept(self.caller, frame)
        elif kind is _frame_reader.Skipped:
            self._refuse_skipped(frame)
        elif kind is _frame_reader.SkippedNotice:
            self.node.input_budget.log_refusal(
                self.node.reactor.now(), frame.size, caller=self.address
            )
        elif kind is _frames.Cancel:
            self.node.target_side.cancel(self.caller, frame.number)
        elif kind is _frames.Ping:
            self.caller.discard_results_before(frame.oldest_pending)
            self._unanswered_ping = frame
        else:
            self.node.receive_notification(frame, self)

    def _answer_ping(self, ping):
        """Answer the last of the pings that were read together.

        An answer takes far more time than a ping, and an earlier one would
        say the same.
        """
        self.notify(
            _frames.Pong(
                self.node.configuration_version(),
                self.node.target_side.load(),
                self.node.directory.digest,
                self.node.crash_history.digest,
            )
        )
        self.node.request_newer_configuration(ping.configuration_version, self)

    def _refuse_skipped(self, skipped):
        """Refuse an attempt that was not read for want of memory."""
        self.node.attempt_budget.log_refusal(
            self.node.reactor.now(),
            skipped.size,
            caller=self.address,
            attempt=skipped.number,
        )
        self.node.target_side.refuse_unread(self.caller, skipped.number)

    def _handle_hello(self, hello):
        if (
            hello.protocol != _frames.PROTOCOL_VERSION
            or self.caller is not None
        ):
            self.close()
            return
        self.address = hello.node
        caller = self.node.target_side.callers.get(hello.incarnation)
        if hello.generation <= caller.generation:
            # The caller has replaced this connection by a newer one.
            self.close()
            return
        for connection in list(self.node.inbound_connections):
            if connection is not self and connection.caller is caller:
                connection.close()
        self.caller = caller
        caller.features = hello.features
        self._generation = caller.generation = hello.generation
        self.node.target_side.restore_caller(
            caller,
            self.address,
            self.send_result,
            self.catch_up,
            self._has_unsent,
        )
        self.notify(self.node.hello(0, self.address, hello.features))
        self.node.receive_hello(hello, self)
        self.node.inbound_connections.record_handshake(self)
