"""Connection that this node opened to a peer: handshake, pings and probe.

A slow process and a cut network are both silent, but only the slow process
should be given time: its attempts go on, and would run twice if they were sent
elsewhere. So a silent peer is probed with a further connection, which the
operating system of a slow process accepts.
"""

import logging

from rosemarycrank import addresses
from rosemarycrank.dataplane import _frame_reader
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _probe
from rosemarycrank.dataplane import _reactor
from rosemarycrank import http_heads

#: Time without received data after which a peer is pinged: an active peer,
#: whose load has to be current, and an idle one.
ACTIVE_PING_INTERVAL_S = 0.4
IDLE_PING_INTERVAL_S = 2.0

#: Maximum pings a second of a node to active peers that owe it no result. With
#: many peers each of them is pinged less often, down to an interval in which
#: the reports of loads stay current.
MAX_PINGS_PER_S = 20.0
MAX_ACTIVE_PING_INTERVAL_S = 2.0

#: Number of received bytes after which the peer is pinged, so that it discards
#: the results that have arrived.
MAX_UNCONFIRMED_BYTES = 256 * 1024

#: Time without received data after a ping, after which the connection is
#: replaced.
PING_TIMEOUT_S = 1.0

#: Time without received data after a ping, after which a probe connection is
#: opened.
PROBE_DELAY_S = 0.3

#: Number of checks during which a connection is not established, after which
#: the peer is unreachable. Checks are counted instead of seconds, so that a
#: pause of this process is not taken for silence.
MAX_CONNECTING_CHECKS = 3

#: Maximum time to open a connection and receive the first frame.
CONNECT_TIMEOUT_S = 1.0

_COMPLETE = int(_frames.Outcome.COMPLETE)

_LOG = logging.getLogger(__name__)


def _with_valid_status(result):
    """Return a result; an unknown one if its answer has no status of HTTP.

    Nodes of an earlier build pass such an answer on.
    """
    if result.outcome != _COMPLETE or http_heads.is_status(result.status):
        return result
    _LOG.info(
        'answer with the status %d is not passed on',
        result.status,
        extra={'event': 'answer_invalid', 'attempt': result.number},
    )
    return _unknown_result(
        result.number, _frames.Reason.ANSWER_INVALID, result.load
    )


def _unknown_result(number, reason, load=None):
    return _frames.Result(
        number, int(_frames.Outcome.UNKNOWN), int(reason), 0, b'', b'', load
    )


def active_interval_s(peer_count):
    """Return the interval of pings to active peers that owe no result.

    Parameters
    ----------
    peer_count : int
        Number of connected peers of the node.

    Returns
    -------
    float
        Seconds.
    """
    interval_s = peer_count / MAX_PINGS_PER_S
    return min(
        MAX_ACTIVE_PING_INTERVAL_S, max(ACTIVE_PING_INTERVAL_S, interval_s)
    )


class PeerConnection:
    """Connection to a peer, from its opening until it is closed or lost.

    Reports received frames and failures to the peer.

    Parameters
    ----------
    peer : Peer
        The other node.
    generation : int
        Number of the connection; increases with each connection to the peer.

    Attributes
    ----------
    stream : Stream
        Stream of the connection.
    is_ready : bool
        Whether the peer has answered the handshake.
    opened_at : float
        Time at which the connection was opened, in seconds of the node's
        clock.
    last_received_at : float
        Time at which data was last received; 0 before that.
    last_ping_at : float
        Time of the last ping; 0 if there was none.
    """

    def __init__(self, peer, generation):
        self.peer = peer
        self.node = peer.node
        self.is_ready = False
        self.opened_at = self.node.reactor.now()
        self.last_received_at = 0.0
        self.last_ping_at = 0.0
        self._reader = _frame_reader.FrameReader(
            self.node.result_budget, self.node.input_budget
        )
        self._hold = _memory.Hold(self.node.input_budget)
        self._unfinished_bytes = 0
        self._unsent_hold = _memory.Hold(self.node.output_budget)
        self._probe = None
        self._connecting_checks = 0
        self._unconfirmed_bytes = 0
        self.stream = _reactor.connect(
            self.node.reactor,
            addresses.parse(peer.address),
            self,
            keep_alive=True,
        )
        self.stream.write(
            _frames.encode(self.node.hello(generation, peer.address))
        )

    @property
    def awaits_answer(self):
        """Whether a handshake or a ping has not been answered."""
        return not self.is_ready or self.last_ping_at > self.last_received_at

    def check_answer(self, now):
        """Report to the peer if an awaited answer is too late.

        Called periodically while an answer is awaited.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self.is_ready:
            self._check_ping_answer(now)
        elif self._connects_too_long(self.stream):
            self.peer.mark_unreachable(
                'connection not established', process_ended=False
            )
        elif now - self.opened_at > CONNECT_TIMEOUT_S:
            self.peer.mark_unreachable(
                'handshake timed out', process_ended=False
            )

    def ping_if_due(self, now, active_interval_s):
        """Ping the peer if it has been silent or was not pinged for long.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        active_interval_s : float or None
            Silence after which the peer is pinged if it gets attempts, so
            that its load has to be current; None if it gets none.

        Returns
        -------
        float
            Time until which no ping becomes due; `now` after a ping.
        """
        interval_s = IDLE_PING_INTERVAL_S
        if active_interval_s is not None:
            interval_s = active_interval_s
        # The peer takes a node that sends nothing for silent, whatever it
        # sends itself, and discards results that have arrived here.
        due_at = min(
            self.last_received_at + interval_s,
            self.last_ping_at + IDLE_PING_INTERVAL_S,
        )
        if now > due_at:
            self._send_ping(now)
            return now
        return due_at

    def received(self, data):
        """Decode received bytes and pass the frames to the peer."""
        now = self.last_received_at = self.node.reactor.now()
        if self._probe is not None:
            self._close_probe()
        try:
            frames = self._reader.feed(data)
        except _frames.FrameError as error:
            self.peer.mark_unreachable(
                f'invalid frame: {error}', process_ended=False
            )
            return
        self._charge_unfinished()
        for frame in frames:
            if type(frame) is _frames.Result:
                self.peer.handle_result(_with_valid_status(frame), now)
            elif type(frame) is _frame_reader.Skipped:
                self._drop_skipped(frame, now)
            elif type(frame) is _frame_reader.SkippedNotice:
                self.node.input_budget.log_refusal(
                    now, frame.size, target_node=self.peer.address
                )
            elif type(frame) is _frames.Hello:
                self._handle_hello(frame)
            else:
                self.peer.handle_notification(frame, now)

        self._unconfirmed_bytes += len(data)
        if self._unconfirmed_bytes > MAX_UNCONFIRMED_BYTES and self.is_ready:
            self._send_ping(now)

    def _charge_unfinished(self):
        unfinished_bytes = self._reader.unfinished_bytes
        if unfinished_bytes != self._unfinished_bytes:
            self._unfinished_bytes = unfinished_bytes
            self.node.inbound_connections.charge_peer(
                self._hold, unfinished_bytes
            )

    def _drop_skipped(self, skipped, now):
        """Report a result that was not read for want of memory."""
        self.node.result_budget.log_refusal(
            now,
            skipped.size,
            target_node=self.peer.address,
            attempt=skipped.number,
        )
        result = _unknown_result(skipped.number, _frames.Reason.FORGOTTEN)
        self.peer.handle_result(result, now)

    def closed(self, error):
        """Report the loss of the connection to the peer."""
        self._release_memory()
        self.peer.connection_lost(error)

    def close(self):
        """Close the connection and discard what has not been delivered."""
        self._close_probe()
        self._release_memory()
        # A reset discards data in transit, so that it cannot arrive after
        # the data that is sent over a new connection.
        self.stream.close(reset=True)

    def hold_unsent(self):
        """Charge what waits to be sent, also of cancelled attempts.

        Called periodically, and after a cancellation.
        """
        hold = self._unsent_hold
        unsent_bytes = self.stream.unsent_bytes
        if unsent_bytes != hold.size:
            # Further attempts do not fit, beyond the limit.
            hold.budget.take(unsent_bytes - hold.size)
            hold.size = unsent_bytes

    def _release_memory(self):
        # The objects of a connection refer to each other, so that they are
        # freed by a rare garbage collection only.
        self._unsent_hold.release()
        self._hold.release()
        self._reader.discard()

    def _handle_hello(self, hello):
        if hello.protocol != _frames.PROTOCOL_VERSION:
            self.peer.mark_unreachable(
                f'unsupported protocol version {hello.protocol}',
                process_ended=False,
            )
            return
        self.is_ready = True
        self.peer.handle_hello(hello)

    def _send_ping(self, now):
        self.last_ping_at = now
        self._unconfirmed_bytes = 0
        ping = _frames.Ping(
            self.node.configuration_version(), self.peer.oldest_pending()
        )
        self.stream.write(_frames.encode(ping))
        self.peer.ping_sent()

    def _check_ping_answer(self, now):
        waited_s = now - self.last_ping_at
        if waited_s > PING_TIMEOUT_S:
            _LOG.warning(
                'ping to peer %s unanswered; replacing the connection',
                self.peer.address,
                extra={
                    'event': 'peer_silent',
                    'silent_s': round(now - self.last_received_at, 3),
                    'outstanding': self.peer.outstanding,
                },
            )
            self.peer.replace_connection()
        elif self._probe is not None:
            if self._connects_too_long(self._probe):
                self.peer.mark_unreachable(
                    'neither ping nor probe answered', process_ended=False
                )
        elif waited_s > PROBE_DELAY_S:
            self._connecting_checks = 0
            self._probe = _probe.Probe(self.node.reactor, self.peer.address)

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
