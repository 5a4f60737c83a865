"""Loopback TCP proxy that injects faults into its connections."""

import errno
import socket
import struct

import gevent
import gevent.server
import gevent.socket

#: Maximum number of bytes in one read.
CHUNK_BYTES = 65536

#: Modes of each direction: forward bytes, forward them after a delay, hold
#: them back until the proxy is healed, or drop them.
MODES = ('pass', 'delay', 'hold', 'drop')


class Proxy:
    """Forwards TCP connections, with faults in either direction.

    Bytes that follow lost ones on a connection are never forwarded, as TCP
    delivers none after a gap.

    Parameters
    ----------
    listen, target : tuple of (str, int)
        Address to listen on, and address to forward connections to.

    Attributes
    ----------
    forward, backward : str
        Mode of the bytes to the target and of those from it; of `MODES`.
    delay_s : float
        Delay in mode ``delay``, in seconds.
    """

    def __init__(self, listen, target):
        self.target = target
        self.forward = 'pass'
        self.backward = 'pass'
        self.delay_s = 0.05
        self._socket_pairs = set()
        self._has_lost_bytes = False
        self._server = gevent.server.StreamServer(
            listen, self._handle_connection
        )
        self._server.start()

    @property
    def address(self):
        """Address on which the proxy listens, as (host, port)."""
        return self._server.address

    def heal(self):
        """Forward all bytes again; reset connections if bytes were lost."""
        lossy = 'drop' in (self.forward, self.backward)
        self.forward = self.backward = 'pass'
        if lossy or self._has_lost_bytes:
            self._has_lost_bytes = False
            self.reset()

    def reset(self):
        """Reset all open connections on both sides."""
        for pair in list(self._socket_pairs):
            for sock in pair:
                _reset(sock)

    def close(self):
        """Stop listening and reset all connections."""
        self._server.stop()
        self.reset()

    def _handle_connection(self, client, _address):
        try:
            target = gevent.socket.create_connection(self.target, 1.0)
        except OSError:
            _reset(client)
            return
        target.settimeout(None)
        pair = (client, target)
        self._socket_pairs.add(pair)
        greenlets = [
            gevent.spawn(self._pump, client, target, 'forward'),
            gevent.spawn(self._pump, target, client, 'backward'),
        ]
        gevent.joinall(greenlets)
        self._socket_pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source, sink, direction):
        is_lossy = False
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
                mode = getattr(self, direction)
                if mode == 'delay':
                    gevent.sleep(self.delay_s)
                while getattr(self, direction) == 'hold':
                    gevent.sleep(0.02)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if mode == 'drop' or is_lossy:
                    is_lossy = self._has_lost_bytes = True
                    continue
                sink.sendall(data)
            except OSError as error:
                # Propagate a reset to the other side.
                if error.errno != errno.ENOTCONN:
                    _reset(sink)
                return


def _reset(sock):
    """Close a socket so that its peer receives a reset."""
    try:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is already closed.
        pass
    sock.close()
