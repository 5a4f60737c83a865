"""Event loop of the data path: streams, listeners and timers.

Sockets are driven by callbacks of gevent's loop instead of a greenlet for
each connection: at thousands of small messages a second the switches would
cost more processor time than the decisions.
"""

import errno
import logging
import socket
import struct
import time

import gevent

from rosemarycrank import kernel

#: Seconds between runs of the timer service; the precision of time-outs.
TICK_S = 0.01

#: Bytes read from a socket at once.
READ_BYTES = 65536

#: Connections that wait to be accepted.
BACKLOG = 1024

#: Connections accepted for one wake-up; the rest wait for the next one.
ACCEPTS_PER_WAKE_UP = 64

#: Seconds of idleness, seconds between probes and number of probes after
#: which the operating system gives up a connection that fell silent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_READ = 1
_WRITE = 2
_WOULD_BLOCK = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_LOG = logging.getLogger(__name__)


class Reactor:
    """Owner of the loop, the clock and the timer service.

    Attributes
    ----------
    timers : rosemarycrank.kernel.Timers
        Timer service that parts subscribe to.
    """

    def __init__(self):
        self.loop = gevent.get_hub().loop
        self.timers = kernel.Timers()
        self.timers.now = time.monotonic()
        self._ticker = self.loop.timer(TICK_S, TICK_S)
        self._ticker.start(self._tick)

    def now(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_soon(self, callback):
        """Call back once all input that is ready has been handled."""
        self.loop.run_callback(callback)

    def _tick(self):
        try:
            self.timers.advance(time.monotonic())
        except Exception:
            _LOG.exception('timer failed')


def parse_address(text):
    """Split ``host:port``.

    Parameters
    ----------
    text : str
        The address.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If it has no port, or the port is not a number from 1 to 65535.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f'address: got {text!r}, allowed host:port')
    return host, int(port)


class Stream:
    """TCP connection that reports what it reads to an owner.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    sock : socket.socket
        Connected or connecting socket.
    owner : object
        Has ``received(data)`` and ``closed(error)``; ``error`` is None when
        the peer ended the connection in order. ``closed`` is called once,
        and not after `close`.

    Attributes
    ----------
    unsent_bytes : int
        Bytes that wait to be sent.
    is_open, is_connecting : bool
        Whether it may be used, and whether nothing can have been sent yet.
    on_drained : callable or None
        Called when all bytes have been sent.
    """

    __slots__ = (
        'reactor',
        'owner',
        'unsent_bytes',
        'is_open',
        'is_connecting',
        'on_drained',
        '_sock',
        '_reader',
        '_writer',
        '_chunks',
        '_scheduled',
    )

    def __init__(self, reactor, sock, owner, connecting=False):
        self.reactor = reactor
        self.owner = owner
        self.unsent_bytes = 0
        self.is_open = True
        self.on_drained = None
        self._sock = sock
        self._chunks = []
        self._scheduled = False
        self.is_connecting = connecting
        self._reader = reactor.loop.io(sock.fileno(), _READ)
        self._writer = None
        if connecting:
            self._watch_writes()
        else:
            self._reader.start(self._readable)

    def write(self, data):
        """Send bytes, together with what else is written in this turn."""
        if not self.is_open:
            return
        self._chunks.append(data)
        self.unsent_bytes += len(data)
        if not self._scheduled and not self.is_connecting:
            self._scheduled = True
            self.reactor.loop.run_callback(self._flush)

    def pause(self):
        """Stop reading."""
        self._reader.stop()

    def resume(self):
        """Read again."""
        if self.is_open and not self.is_connecting:
            self._reader.start(self._readable)

    def close(self, reset=False):
        """Close without notice to the owner.

        Parameters
        ----------
        reset : bool, default=False
            Whether bytes on the way are dropped at both ends.
        """
        if not self.is_open:
            return
        self.is_open = False
        if self._chunks and not reset and not self.is_connecting:
            self._send()
        self._reader.stop()
        self._reader.close()
        if self._writer is not None:
            self._writer.stop()
            self._writer.close()
        if reset:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._sock.close()

    def shutdown_write(self):
        """Tell the peer that nothing more comes, and go on reading."""
        if not self.is_open:
            return
        self._flush()
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            _LOG.debug('shutdown failed: %s', error)

    def _lost(self, error):
        if self.is_open:
            self.close()
            self.owner.closed(error)

    def _readable(self):
        try:
            data = self._sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _WOULD_BLOCK:
                self._lost(error)
            return
        try:
            if data:
                self.owner.received(data)
            else:
                self._lost(None)
        except Exception:
            _LOG.exception('handling of input failed')
            self._lost(OSError(errno.EPROTO, 'handling of input failed'))

    def _watch_writes(self):
        if self._writer is None:
            self._writer = self.reactor.loop.io(self._sock.fileno(), _WRITE)
        self._writer.start(self._writable)

    def _writable(self):
        if self.is_connecting:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._lost(OSError(code, 'connect failed'))
                return
            self.is_connecting = False
            self._reader.start(self._readable)
        self._writer.stop()
        self._flush()

    def _flush(self):
        self._scheduled = False
        if not self.is_open or self.is_connecting:
            return
        error = self._send()
        if error is not None:
            # What was received before the failure is still delivered.
            self._chunks.clear()
            return
        if self._chunks:
            self._watch_writes()
        elif self.on_drained is not None:
            self.on_drained()

    def _send(self):
        while self._chunks:
            data = (
                self._chunks[0]
                if len(self._chunks) == 1
                else b''.join(self._chunks)
            )
            try:
                sent = self._sock.send(data)
            except OSError as error:
                if error.errno in _WOULD_BLOCK:
                    self._chunks[:] = [data]
                    return None
                return error
            self.unsent_bytes -= sent
            self._chunks.clear()
            if sent < len(data):
                self._chunks.append(data[sent:])
        return None


def _prepare(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _keep_alive(sock):
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
        The loop.
    address : tuple of (str, int)
        IP address and port.
    owner : object
        As for `Stream`; a failure to connect reaches ``closed``.
    keep_alive : bool, default=False
        Whether the operating system probes the connection while idle.

    Returns
    -------
    Stream
        Stream that connects; bytes may be written at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _prepare(sock)
    if keep_alive:
        _keep_alive(sock)
    code = sock.connect_ex(address)
    stream = Stream(reactor, sock, owner, connecting=True)
    if code not in (0, errno.EINPROGRESS):
        error = OSError(code, 'connect failed')
        reactor.call_soon(lambda: stream._lost(error))
    return stream


class Listener:
    """Listening socket.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    address : tuple of (str, int)
        IP address and port.
    accepted : callable
        Called with the socket and the peer's IP address of each connection.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def __init__(self, reactor, address, accepted):
        self.reactor = reactor
        self.address = address
        self.accepted = accepted
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()
        self._watcher = reactor.loop.io(self._sock.fileno(), _READ)
        self._watcher.start(self._acceptable)

    def close(self):
        """Stop accepting connections."""
        self._watcher.stop()
        self._watcher.close()
        self._sock.close()

    def _acceptable(self):
        for _ in range(ACCEPTS_PER_WAKE_UP):
            try:
                sock, peer = self._sock.accept()
            except OSError as error:
                if error.errno not in _WOULD_BLOCK:
                    _LOG.warning('accept failed: %s', error)
                return
            try:
                _prepare(sock)
                self.accepted(sock, peer[0])
            except Exception:
                _LOG.exception('new connection failed')
                sock.close()
