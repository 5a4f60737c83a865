"""Loopback proxy that harms the connections that go through it."""

import errno
import socket
import struct

import gevent
import gevent.server
import gevent.socket

#: Bytes that are read at once.
CHUNK_BYTES = 65536

#: What a proxy may do to each direction: pass bytes on, pass them on late,
#: hold them until it heals, or drop them.
MODES = ('pass', 'delay', 'hold', 'drop')


class Proxy:
    """Passes connections on, well or badly.

    Parameters
    ----------
    listen, target : tuple of (str, int)
        Where it accepts, and where it connects to.

    Attributes
    ----------
    forward, backward : str
        What happens to bytes towards the target, and from it; of `MODES`.
    delay_s : float
        Delay of bytes in mode ``delay``.
    """

    def __init__(self, listen, target):
        self.target = target
        self.forward = 'pass'
        self.backward = 'pass'
        self.delay_s = 0.05
        self._pairs = set()
        self._server = gevent.server.StreamServer(listen, self._accepted)
        self._server.start()

    def heal(self):
        """Pass all on again; connections whose bytes were dropped end."""
        lossy = 'drop' in (self.forward, self.backward)
        self.forward = self.backward = 'pass'
        if lossy:
            self.reset()

    def reset(self):
        """Reset all open connections at both ends."""
        for pair in list(self._pairs):
            for sock in pair:
                _reset(sock)

    def close(self):
        """Stop, and end all connections."""
        self._server.stop()
        self.reset()

    def _accepted(self, client, _address):
        try:
            target = gevent.socket.create_connection(self.target, 1.0)
        except OSError:
            _reset(client)
            return
        target.settimeout(None)
        pair = (client, target)
        self._pairs.add(pair)
        jobs = [
            gevent.spawn(self._pump, client, target, 'forward'),
            gevent.spawn(self._pump, target, client, 'backward'),
        ]
        gevent.joinall(jobs)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, source, sink, direction):
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
                if mode == 'drop':
                    continue
                sink.sendall(data)
            except OSError as error:
                # The other end is told of a reset by a reset.
                if error.errno != errno.ENOTCONN:
                    _reset(sink)
                return


def _reset(sock):
    """Close a socket so that its peer sees a reset."""
    try:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended already.
        pass
    sock.close()
