"""Connections between nodes.

A node opens one connection to each node whose target it calls. Over it go
its attempts and their results; a number that grows names each attempt, so
that after a lost or silent connection the attempts are sent again over a new
one and the target's node recognises those that it has. Only an end of the
other process, or silence of a new connection too, leaves an outcome unknown.
"""

import errno
import logging

import attrs

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _reactor

#: Seconds between questions to a peer in use, whose load has to be known,
#: and to one that is not.
PING_S = 0.4
IDLE_PING_S = 2.0

#: Seconds after the last attempt in which a peer counts as in use.
IN_USE_S = 5.0

#: Seconds without a byte from a peer that was asked, after which its
#: connection is replaced.
SILENCE_S = 1.0

#: Longest time to open a connection and get the first frame, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Seconds until a peer that could not be reached is tried again: first, and
#: at most.
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 2.0

#: Seconds for which the word of a node that it leaves holds: about the time
#: that a stop may take. It may be back by then, without a connection that
#: would show it; if not, it refuses attempts as not run.
LEAVING_S = 5.0

#: Seconds without attempts after which a connection is closed.
UNUSED_S = 60.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class Pending:
    """An attempt that waits for its result.

    Attributes
    ----------
    number : int
        Its number.
    idempotent : bool
        Whether it may be given up and sent elsewhere.
    data : bytes
        Its frame, to be sent again over a new connection.
    sent_to : int
        Incarnation of the node that it was sent to; 0 before that.
    on_result : callable
        Called once with the `Result`.
    """

    number: int
    idempotent: bool
    data: bytes
    sent_to: int
    on_result: object


class Peer:
    """A node whose target this node calls.

    Parameters
    ----------
    address : str
        ``host:port`` at which it takes attempts.
    node : Node
        What peers need of this node: ``reactor``, ``hello()``, ``directory``
        and ``configuration``.

    Attributes
    ----------
    outstanding : int
        Attempts without a result.
    load : rosemarycrank.dataplane.Load or None
        Last load heard.
    sent_since_load : int
        Attempts sent since.
    reachable : bool
        False after it could not be reached, until it is again.
    leaving : bool
        Whether it said that it is about to stop.
    """

    def __init__(self, address, node):
        self.address = address
        self.node = node
        self.load = None
        self.load_at = 0.0
        self.sent_since_load = 0
        self.reachable = True
        self.leaving = False
        self._left_at = 0.0
        self.incarnation = 0
        self._stream = None
        self._reader = None
        self._greeted = False
        self._generation = 0
        self._pending_by_number = {}
        self._heard_at = 0.0
        self._asked_at = 0.0
        self._opened_at = 0.0
        self._used_at = 0.0
        self._retry_at = 0.0
        self._retry_s = FIRST_RETRY_S

    @property
    def outstanding(self):
        """Number of attempts without a result."""
        return len(self._pending_by_number)

    def send(self, attempt, on_result):
        """Send an attempt.

        Parameters
        ----------
        attempt : rosemarycrank.dataplane.Attempt
            The attempt.
        on_result : callable
            Called once with the `Result`, unless it is cancelled.
        """
        data = _frames.encode(attempt)
        pending = Pending(
            attempt.number, attempt.idempotent, data, 0, on_result
        )
        self._pending_by_number[attempt.number] = pending
        self.sent_since_load += 1
        self._used_at = self.node.reactor.now()
        if self._greeted:
            pending.sent_to = self.incarnation
            self._stream.write(data)
        elif self._stream is None:
            self._open()

    def cancel(self, number):
        """Give an attempt up; its result is not wanted."""
        pending = self._pending_by_number.pop(number, None)
        if pending is not None and pending.sent_to and self._greeted:
            self._stream.write(_frames.encode(_frames.Cancel(number)))

    def notify(self, frame):
        """Send a notice if there is a connection."""
        if self._greeted:
            self._stream.write(_frames.encode(frame))

    def close(self):
        """Close the connection."""
        self._drop()

    def retry_now(self):
        """Try again to reach the peer, which has been heard of."""
        self._retry_at = 0.0
        self._retry_s = FIRST_RETRY_S

    def check(self, now):
        """Ask a silent peer, replace a silent connection, try again.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self.leaving and now > self._left_at + LEAVING_S:
            self.leaving = False
        if self._stream is None:
            if now >= self._retry_at and (
                self._pending_by_number or not self.reachable
            ):
                self._open()
        elif not self._greeted:
            if now - self._opened_at > CONNECT_TIMEOUT_S:
                self._fail('no answer to the first frame', restarted=False)
        elif self._asked_at > self._heard_at:
            if now - self._asked_at > SILENCE_S:
                _LOG.warning(
                    'peer %s is silent; its connection is replaced',
                    self.address,
                    extra={
                        'event': 'peer_silent',
                        'silent_s': round(now - self._heard_at, 3),
                        'outstanding': self.outstanding,
                    },
                )
                self._drop()
                self._open()
        elif not self._pending_by_number and (now - self._used_at > UNUSED_S):
            self._drop()
        else:
            in_use = self._pending_by_number or (
                now - self._used_at < IN_USE_S
            )
            if now - self._heard_at > (PING_S if in_use else IDLE_PING_S):
                self._ask(now)
            elif in_use and now - self._asked_at > IDLE_PING_S:
                # Lets the peer forget what has arrived.
                self._ask(now)

    def leave(self):
        """Take that the node is about to stop."""
        self.leaving = True
        self._left_at = self.node.reactor.now()

    def received(self, data):
        """Read frames of the peer."""
        self._heard_at = self.node.reactor.now()
        try:
            frames = self._reader.feed(data)
        except _frames.FrameError as error:
            self._fail(f'bad frame: {error}', restarted=False)
            return
        for frame in frames:
            if type(frame) is _frames.Result:
                self._take_result(frame)
            else:
                self._take_notice(frame)

    def closed(self, error):
        """Take the loss of the connection."""
        refused = error is not None and error.errno == errno.ECONNREFUSED
        if self._greeted and not self.leaving:
            # The process may live on: ask it over a new connection.
            self._drop()
            if self._pending_by_number:
                self._open()
            return
        self.leaving = False
        self._fail(f'connection failed: {error}', restarted=refused)

    def _ask(self, now):
        self._asked_at = now
        oldest = min(self._pending_by_number, default=None)
        if oldest is None:
            oldest = self.node.last_attempt_number
        version = self.node.configuration_version()
        self._stream.write(_frames.encode(_frames.Ping(version, oldest)))

    def _open(self):
        now = self.node.reactor.now()
        self._generation += 1
        self._opened_at = now
        self._reader = _frames.FrameReader()
        self._greeted = False
        self._stream = _reactor.connect(
            self.node.reactor,
            _reactor.parse_address(self.address),
            self,
            keep_alive=True,
        )
        hello = self.node.hello(self._generation)
        self._stream.write(_frames.encode(hello))

    def _drop(self):
        if self._stream is not None:
            # A reset keeps what is still on the way from arriving later.
            self._stream.close(reset=True)
        self._stream = None
        self._greeted = False

    def _fail(self, reason, restarted):
        """Take the peer as not reachable, and end what that decides."""
        self._drop()
        now = self.node.reactor.now()
        if self.reachable:
            _LOG.warning(
                'peer %s cannot be reached: %s',
                self.address,
                reason,
                extra={'event': 'peer_lost', 'outstanding': self.outstanding},
            )
        self.reachable = False
        self.load = None
        self._retry_at = now + self._retry_s
        self._retry_s = min(LAST_RETRY_S, self._retry_s * 2.0)
        for pending in list(self._pending_by_number.values()):
            if not pending.sent_to:
                self._end(
                    pending,
                    _frames.Outcome.NOT_RUN,
                    _frames.Reason.NODE_UNREACHABLE,
                )
            elif restarted:
                self._end(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_RESTARTED,
                )
            elif pending.idempotent:
                self._end(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_UNREACHABLE,
                )

    def _end(self, pending, outcome, reason):
        if self._pending_by_number.pop(pending.number, None) is None:
            return
        pending.on_result(
            _frames.Result(
                pending.number, int(outcome), int(reason), 0, b'', b'', None
            )
        )

    def _take_result(self, result):
        pending = self._pending_by_number.pop(result.number, None)
        if result.load is not None:
            self._take_load(result.load)
        if pending is not None:
            pending.on_result(result)

    def _take_load(self, load):
        self.load = load
        self.load_at = self._heard_at
        self.node.receive_load(load, self.address, self._heard_at)
        self.sent_since_load = 0

    def _take_notice(self, frame):
        if isinstance(frame, _frames.Hello):
            self._greet(frame)
        elif isinstance(frame, _frames.Pong):
            if frame.load is not None:
                self._take_load(frame.load)
            self.node.request_newer_configuration(
                frame.configuration_version, self
            )
        elif isinstance(frame, _frames.Leaving):
            self.leave()
        else:
            self.node.receive_notification(frame, self)

    def _greet(self, hello):
        if hello.protocol != _frames.PROTOCOL_VERSION:
            self._fail(f'protocol {hello.protocol}', restarted=False)
            return
        if not self.reachable:
            _LOG.warning(
                'peer %s is reachable again',
                self.address,
                extra={'event': 'peer_regained'},
            )
        self.reachable = True
        self._retry_s = FIRST_RETRY_S
        if self.incarnation != hello.incarnation:
            self.leaving = False
            self.incarnation = hello.incarnation
        self._greeted = True
        self._asked_at = 0.0
        self.node.receive_hello(hello, self)
        for pending in list(self._pending_by_number.values()):
            if pending.sent_to not in (0, hello.incarnation):
                self._end(
                    pending,
                    _frames.Outcome.UNKNOWN,
                    _frames.Reason.NODE_RESTARTED,
                )
            elif self._stream is not None:
                pending.sent_to = hello.incarnation
                self._stream.write(pending.data)


class Visitor:
    """A connection that another node opened to this one.

    Parameters
    ----------
    node : Node
        As for `Peer`, and ``target_side``.
    sock : socket.socket
        The connection.
    """

    def __init__(self, node, sock):
        self.node = node
        self.address = ''
        self.caller = None
        self._generation = -1
        self._reader = _frames.FrameReader()
        self._stream = _reactor.Stream(node.reactor, sock, self)

    def received(self, data):
        """Read frames of the other node."""
        try:
            frames = self._reader.feed(data)
        except _frames.FrameError as error:
            _LOG.warning(
                'connection of %s dropped: %s',
                self.address,
                error,
                extra={'event': 'bad_frame'},
            )
            self.close()
            return
        for frame in frames:
            if not self._stream.is_open:
                return
            self._take(frame)

    def closed(self, _error):
        """Take the loss of the connection."""
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
            Whether what is on the way is dropped.
        """
        self._stream.close(reset)
        self.closed(None)

    def notify(self, frame):
        """Send a notice."""
        self._stream.write(_frames.encode(frame))

    def _take(self, frame):
        kind = type(frame)
        if kind is _frames.Hello:
            self._greet(frame)
        elif self.caller is None:
            self.close()
        elif kind is _frames.Attempt:
            self.node.target_side.accept(self.caller, frame)
        elif kind is _frames.Cancel:
            self.node.target_side.cancel(self.caller, frame.number)
        elif kind is _frames.Ping:
            self.caller.discard_results_before(frame.oldest)
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

    def _greet(self, hello):
        if hello.protocol != _frames.PROTOCOL_VERSION:
            self.close()
            return
        self.address = hello.node
        caller = self.node.target_side.caller(hello.incarnation)
        if hello.generation <= caller.generation:
            # A connection that was replaced meanwhile.
            self.close()
            return
        for other in list(self.node.inbound_connections):
            if other is not self and other.caller is caller:
                other.close()
        self.caller = caller
        self._generation = caller.generation = hello.generation
        caller.send = self.notify
        self.notify(self.node.hello(0))
        self.node.receive_hello(hello, self)
