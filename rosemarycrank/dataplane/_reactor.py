"""Event loop of the data path: streams, listeners and timers.

Sockets are driven by callbacks of gevent's loop instead of one greenlet per
connection: at thousands of small messages per second, greenlet switches
would take more CPU time than the handling of the messages.
"""

import errno
import fcntl
import logging
import socket
import struct
import termios
import time

import gevent

from rosemarycrank.dataplane import _counters
from rosemarycrank.dataplane import _guard
from rosemarycrank.dataplane import _repeated_lines
from rosemarycrank import timers

#: Interval at which the timer service runs; the resolution of time-outs.
TICK_INTERVAL_S = 0.01

#: Delay of a tick above which the event loop counts as held up. A process
#: that was stopped or short of processor time finds input that is as old.
HELD_UP_S = 0.25

#: Delay of the event loop up to which input that has just been read counts as
#: new, in seconds. What has arrived since is read within a few of its passes.
MAX_FRESH_DELAY_S = 0.02

#: Maximum number of bytes that one read from a socket returns.
MAX_READ_BYTES = 65536

#: Maximum number of reads by which a stream catches up with its peer, so that
#: a peer that sends without end cannot hold the loop.
MAX_CATCH_UP_READS = 16

#: Number of bytes from which written data is sent by itself. Smaller pieces
#: are joined, which costs less than a system call for each.
MIN_SEPARATE_BYTES = 65536

#: Maximum number of connections in the accept queue of a listening socket.
LISTEN_BACKLOG = 1024

#: Maximum number of connections accepted per event of a listening socket, so
#: that a burst of connections does not block the loop. The others are
#: accepted at the next event.
MAX_ACCEPTS_PER_EVENT = 64

#: Time after a failed accept in which no further one is tried, in seconds. The
#: connection stays in the queue, and its socket ready, so that the loop would
#: do nothing else.
ACCEPT_PAUSE_S = 0.05

#: Shortest time between two lines that say that connections are not accepted,
#: or cannot be opened, in seconds.
FAILURE_LINE_INTERVAL_S = 1.0

#: TCP keep-alive: idle time before the first probe, interval between probes,
#: and number of unanswered probes after which the connection is closed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

#: States of a connection in the Linux kernel whose peer has sent a FIN or a
#: reset: TCP_CLOSE and TCP_CLOSE_WAIT.
_CLOSED_BY_PEER_STATES = (7, 8)

_READ = 1
_WRITE = 2
_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
# SO_LINGER with a time-out of 0: close sends a reset instead of a FIN.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Argument of the requests for the sizes of the queues of a socket.
_COUNT = struct.Struct('i')
_NO_COUNT = bytes(_COUNT.size)
_LOG = logging.getLogger(__name__)


class Reactor:
    """Event loop with its clock and timer service.

    Attributes
    ----------
    loop : gevent loop
        Event loop of gevent's hub.
    timers : rosemarycrank.timers.Timers
        Timer service, advanced every `TICK_INTERVAL_S`.
    delays : Histogram
        Delays of the ticks, which show how far the loop is behind.
    connect_failure_lines : RepeatedLines
        Limit on the lines about sockets that cannot be opened.
    guard : Guard
        Calls callbacks of which one that fails must stop no other.
    """

    def __init__(self):
        self.loop = gevent.get_hub().loop
        self.guard = _guard.Guard()
        self.timers = timers.Timers(self.guard.record)
        self.timers.now = time.monotonic()
        self.delays = _counters.Histogram()
        self.connect_failure_lines = _repeated_lines.RepeatedLines(
            FAILURE_LINE_INTERVAL_S
        )
        self._last_delay_s = 0.0
        self._ticker = self.loop.timer(TICK_INTERVAL_S, TICK_INTERVAL_S)
        self._ticker.start(self._tick)

    def now(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def is_behind(self, now):
        """Return whether newer input may have waited for some time.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        return (
            self._last_delay_s > MAX_FRESH_DELAY_S
            or now - self.timers.now > TICK_INTERVAL_S + MAX_FRESH_DELAY_S
        )

    def unix_ms(self):
        """Return the time of day in Unix milliseconds; it may jump."""
        return int(time.time() * 1000.0)

    def call_soon(self, callback):
        """Call a function after all input that is ready has been handled."""
        self.loop.run_callback(self.guard.call, callback)

    def _tick(self):
        now = time.monotonic()
        late_s = now - self.timers.now - TICK_INTERVAL_S
        self._last_delay_s = max(0.0, late_s)
        self.delays.observe(self._last_delay_s)
        if late_s > HELD_UP_S:
            _LOG.warning(
                'event loop was held up for %.3f s',
                late_s,
                extra={'event': 'held_up', 'held_up_s': round(late_s, 3)},
            )
        self.timers.advance(now)


class Stream:
    """Non-blocking TCP connection that passes received data to its owner.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    sock : socket.socket
        Connected or connecting socket.
    owner : object
        Has methods ``received(data)`` and ``closed(error)``. ``closed`` is
        called at most once, when the connection is lost, and not after
        `close`; ``error`` is None if the peer ended its output in order.
    connecting : bool, default=False
        Whether ``sock`` is still connecting.

    Attributes
    ----------
    unsent_bytes : int
        Number of written bytes that have not been passed to the operating
        system.
    is_open : bool
        Whether the connection has not been closed.
    is_connecting : bool
        Whether the connection is not established yet; no data can have been
        sent while it is true.
    on_drained : callable or None
        Called when all written bytes have been passed to the operating
        system.
    on_blocked : callable or None
        Called when the operating system does not take all of them now.
    """

    __slots__ = (
        'reactor',
        'owner',
        'unsent_bytes',
        'is_open',
        'is_connecting',
        'on_drained',
        'on_blocked',
        '_sock',
        '_read_watcher',
        '_write_watcher',
        '_chunks',
        '_flush_scheduled',
        '_ends_when_sent',
        '_write_error',
    )

    def __init__(self, reactor, sock, owner, connecting=False):
        self.reactor = reactor
        self.owner = owner
        self.unsent_bytes = 0
        self.is_open = True
        self.on_drained = self.on_blocked = None
        self._sock = sock
        self._chunks = []
        self._flush_scheduled = False
        self._ends_when_sent = False
        self._write_error = None
        self.is_connecting = connecting
        self._read_watcher = reactor.loop.io(sock.fileno(), _READ)
        self._write_watcher = None
        if connecting:
            self._start_write_watcher()
        else:
            self._read_watcher.start(self._read)

    def write(self, data):
        """Queue bytes to be sent.

        All writes of one loop iteration are sent together.

        Parameters
        ----------
        data : bytes or bytearray
            The bytes; not to be changed any more.
        """
        if not self.is_open:
            return
        self._chunks.append(data)
        self.unsent_bytes += len(data)
        if not self._flush_scheduled and not self.is_connecting:
            self._flush_scheduled = True
            self.reactor.loop.run_callback(self._flush)

    def pause(self):
        """Stop reading from the socket."""
        self._read_watcher.stop()

    def resume(self):
        """Continue to read after `pause`."""
        if self.is_open and not self.is_connecting:
            self._read_watcher.start(self._read)

    def catch_up(self):
        """Read what has arrived, and pass it to the owner.

        Returns
        -------
        bool
            Whether all has been read, as far as there is a connection. It has
            not while reading is paused, or if the peer sends without end.
        """
        for _ in range(MAX_CATCH_UP_READS):
            if not self.is_open or self.is_connecting:
                return True
            if not self._read_watcher.active:
                return False
            if not self._read():
                return True
        return False

    def unread_bytes(self):
        """Return the number of bytes that have arrived and are not read."""
        if not self.is_open or self.is_connecting:
            return 0
        try:
            data = fcntl.ioctl(self._sock, termios.FIONREAD, _NO_COUNT)
        except OSError as error:
            _LOG.debug('input of a connection is unknown: %s', error)
            return 0
        return _COUNT.unpack(data)[0]

    def unsent_buffers(self):
        """Return the buffers that are kept for bytes that are not sent."""
        return [
            chunk.obj if type(chunk) is memoryview else chunk
            for chunk in self._chunks
        ]

    def discard_unsent(self):
        """Discard the queued bytes that have not been sent."""
        self._chunks.clear()
        self.unsent_bytes = 0

    def peer_has_closed(self):
        """Return whether the peer has closed or reset the connection.

        This is known to the operating system even while reading is paused
        and unread data comes first.
        """
        try:
            info = self._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )
        except OSError as error:
            _LOG.debug('state of a connection is unknown: %s', error)
            return False
        return info[0] in _CLOSED_BY_PEER_STATES

    def unacknowledged_bytes(self):
        """Return the number of written bytes that the peer may not have.

        Its operating system acknowledges what it receives. While the end of
        the output is not acknowledged, it counts as a byte.
        """
        if not self.is_open or self.is_connecting:
            return self.unsent_bytes
        try:
            data = fcntl.ioctl(self._sock, termios.TIOCOUTQ, _NO_COUNT)
        except OSError as error:
            _LOG.debug('output of a connection is unknown: %s', error)
            return self.unsent_bytes
        return self.unsent_bytes + _COUNT.unpack(data)[0]

    def close(self, reset=False):
        """Close the connection without calling ``closed`` of the owner.

        Parameters
        ----------
        reset : bool, default=False
            Whether to send a TCP reset, which discards unsent and undelivered
            data at both ends. Otherwise queued bytes are sent first, as far
            as the operating system accepts them at once.
        """
        if not self.is_open:
            return
        self.is_open = False
        if self._chunks and not reset and not self.is_connecting:
            self._send_chunks()
        # The owner refers to the stream, so that both would be freed by a rare
        # garbage collection only, with what the stream has not sent.
        self.owner = self.on_drained = None
        self._chunks.clear()
        self._read_watcher.stop()
        self._read_watcher.close()
        if self._write_watcher is not None:
            self._write_watcher.stop()
            self._write_watcher.close()
        if reset:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._sock.close()
        # Owner and stream refer to each other: both would stay, with all that
        # they hold, until a collection of cycles.
        self.owner = self.on_drained = self.on_blocked = None
        self._chunks.clear()

    def shutdown_write(self):
        """Close the sending direction once all queued bytes are sent."""
        if not self.is_open:
            return
        self._ends_when_sent = True
        self._flush()

    def _close_and_report(self, error):
        if self.is_open:
            owner = self.owner
            self.close()
            owner.closed(error)

    def _read(self):
        """Read once; return whether there was something to read."""
        try:
            data = self._sock.recv(MAX_READ_BYTES)
        except OSError as error:
            if error.errno in _WOULD_BLOCK:
                return False
            self._close_and_report(error)
            return True
        # A stream that is closed meanwhile has no owner any more.
        received = self.owner.received
        try:
            if data:
                received(data)
            else:
                self._close_and_report(self._write_error)
        except Exception:
            self._end_by_failure(received)
        return True

    def _end_by_failure(self, callback):
        """Record that a callback failed, and close the connection."""
        self.reactor.guard.record(callback)
        error = OSError(errno.EPROTO, 'handling of a connection failed')
        self.reactor.guard.call(self._close_and_report, error)

    def _start_write_watcher(self):
        if self._write_watcher is None:
            self._write_watcher = self.reactor.loop.io(
                self._sock.fileno(), _WRITE
            )
        self._write_watcher.start(self._handle_writable)

    def _handle_writable(self):
        if self.is_connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._close_and_report(OSError(code, 'connect failed'))
                return
            self.is_connecting = False
            self._read_watcher.start(self._read)
        self._write_watcher.stop()
        self._flush()

    def _flush(self):
        self._flush_scheduled = False
        if not self.is_open or self.is_connecting:
            return
        error = self._send_chunks()
        if error is not None:
            self._record_write_error(error)
            return
        if self._chunks:
            self._start_write_watcher()
            if self.on_blocked is not None:
                self.reactor.guard.call(self.on_blocked)
            return
        if self._ends_when_sent:
            self._shutdown_socket()
        on_drained = self.on_drained
        if on_drained is not None:
            try:
                on_drained()
            except Exception:
                self._end_by_failure(on_drained)

    def _record_write_error(self, error):
        """Record how the connection has failed, and send nothing more.

        It is not closed here, so that data received before the failure is
        still delivered. The operating system reports a failure once: the read
        behind these data returns what it returns at an orderly end.
        """
        self.discard_unsent()
        # EPIPE as the first error: the peer had ended its output in order
        # before it took no more input.
        if self._write_error is None and error.errno != errno.EPIPE:
            self._write_error = error

    def _shutdown_socket(self):
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            _LOG.debug('shutdown failed: %s', error)

    def _send_chunks(self):
        chunks = self._chunks
        while chunks:
            if len(chunks) > 1:
                if self.unsent_bytes < MIN_SEPARATE_BYTES:
                    chunks[:] = [b''.join(chunks)]
                else:
                    self._join_small_chunks()
            data = chunks[0]
            try:
                sent = self._sock.send(data)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    return None
                return error
            self.unsent_bytes -= sent
            if sent < len(data):
                # A view, as a copy of what is left of a large body would be
                # made for each part that is sent.
                chunks[0] = memoryview(data)[sent:]
            else:
                del chunks[0]
        return None

    def _join_small_chunks(self):
        """Join the first chunks up to a large one."""
        chunks = self._chunks
        count = 0
        for chunk in chunks:
            if len(chunk) >= MIN_SEPARATE_BYTES:
                break
            count += 1
        if count > 1:
            chunks[:count] = [b''.join(chunks[:count])]


class UnopenedStream:
    """Stands in for a `Stream` whose socket could not be opened.

    It is lost as soon as its owner knows it.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    owner : object
        As for `Stream`.
    error : OSError
        Why there is no socket.
    """

    unsent_bytes = 0
    is_connecting = True
    on_drained = None

    def __init__(self, reactor, owner, error):
        self.reactor = reactor
        self.owner = owner
        self.is_open = True
        self._error = error
        reactor.call_soon(self._report)

    def write(self, data):
        """Discard bytes that cannot be sent."""

    def discard_unsent(self):
        """Do nothing; no bytes are queued."""

    def close(self, reset=False):
        """Report nothing to the owner any more."""
        self.is_open = False
        self.owner = None

    def _report(self):
        if self.is_open:
            owner = self.owner
            self.close()
            owner.closed(self._error)


def _set_socket_options(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _enable_keep_alive(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def connect(reactor, address, owner, keep_alive=False):
    """Open a connection.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        IP address and port.
    owner : object
        As for `Stream`; a failure to connect is reported to ``closed``.
    keep_alive : bool, default=False
        Whether to enable TCP keep-alive probes.

    Returns
    -------
    Stream or UnopenedStream
        Connecting stream; bytes written before it is connected are queued.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        _log_unopened(reactor, address, error)
        return UnopenedStream(reactor, owner, error)
    _set_socket_options(sock)
    if keep_alive:
        _enable_keep_alive(sock)
    code = sock.connect_ex(address)
    stream = Stream(reactor, sock, owner, connecting=True)
    if code not in (0, errno.EINPROGRESS):
        error = OSError(code, 'connect failed')
        reactor.call_soon(lambda: stream._close_and_report(error))
    return stream


def _log_unopened(reactor, address, error):
    lines = reactor.connect_failure_lines
    if not lines.suppress(reactor.now()):
        _LOG.warning(
            'cannot open a socket: %s',
            error,
            extra={
                'event': 'socket_failed',
                'address': '%s:%d' % address,
                'suppressed': lines.take_suppressed(),
            },
        )


class Listener:
    """Listening socket that accepts connections.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        IP address and port.
    on_accept : callable
        Called with the socket and the peer's IP address of each accepted
        connection.
    on_failure : callable, optional
        Called without arguments when a connection cannot be accepted, to
        release descriptors.
    receive_buffer_bytes : int, optional
        Size of the receive buffers of the connections, of which the operating
        system takes twice as much; it chooses a size if none is given.
    is_full : callable, optional
        Returns whether no connection may be accepted now, as others need the
        descriptors. Connections wait in the queue then.

    Attributes
    ----------
    address : tuple of (str, int)
        Address to which the socket is bound.
    failures : int
        Number of connections that could not be accepted.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(
        self,
        reactor,
        address,
        on_accept,
        on_failure=None,
        receive_buffer_bytes=None,
        is_full=lambda: False,
    ):
        self.reactor = reactor
        self.address = address
        self.on_accept = on_accept
        self.on_failure = on_failure
        self.is_full = is_full
        self.failures = 0
        self._failure_lines = _repeated_lines.RepeatedLines(
            FAILURE_LINE_INTERVAL_S
        )
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer_bytes is not None:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._sock.bind(address)
        self._sock.listen(LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()
        self._watcher = reactor.loop.io(self._sock.fileno(), _READ)
        self._pause_timer = None
        self._resume()

    def close(self):
        """Stop accepting connections."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._watcher.stop()
        self._watcher.close()
        self._sock.close()

    def _handle_acceptable(self):
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            # The loop would not call again a watcher that fails.
            if self.reactor.guard.call(self.is_full):
                self._pause()
                return
            try:
                sock, peer = self._sock.accept()
            except ConnectionAbortedError:
                # The client has left the queue; the next one may be there.
                continue
            except OSError as error:
                if error.errno not in _WOULD_BLOCK:
                    self._record_failure(error)
                    self._pause()
                    if self.on_failure is not None:
                        self.reactor.guard.call(self.on_failure)
                return
            try:
                _set_socket_options(sock)
                self.on_accept(sock, peer[0])
            except Exception:
                self.reactor.guard.record(self.on_accept)
                sock.close()

    def _pause(self):
        self._watcher.stop()
        self._pause_timer = self.reactor.timers.after(
            ACCEPT_PAUSE_S, lambda _now: self._resume()
        )

    def _resume(self):
        self._pause_timer = None
        self._watcher.start(self._handle_acceptable)

    def _record_failure(self, error):
        self.failures += 1
        if self._failure_lines.suppress(self.reactor.now()):
            return
        _LOG.warning(
            'cannot accept connections: %s',
            error,
            extra={
                'event': 'accept_failed',
                'address': '%s:%d' % self.address,
                'suppressed': self._failure_lines.take_suppressed(),
            },
        )
