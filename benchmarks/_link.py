"""A TCP link between two processes that can fail on command.

Run as a process: it forwards connections, and changes its behaviour by
signal. SIGUSR1 makes the connections that are open silent for good while
new ones work; SIGUSR2 cuts the link, or heals it when it is cut.
"""

import json
import signal
import sys
import typing

import gevent
from gevent import event
from gevent import server
from gevent import socket
import typer

BLOCK_BYTES = 65536


class Link:
    """Forwards TCP connections.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen on.
    to : str
        ``host:port`` to connect to.
    """

    def __init__(self, listen, to):
        host, _, port = to.rpartition(':')
        self._to = (host, int(port))
        self._cut = False
        self._epoch = 0
        self._open = set()
        host, _, port = listen.rpartition(':')
        self._server = server.StreamServer((host, int(port)), self._forward)

    def start(self):
        """Listen."""
        self._server.start()

    def silence(self):
        """Swallow from now on what comes over the open connections."""
        self._epoch += 1

    def toggle_cut(self):
        """Close all connections and refuse new ones, or take them again."""
        self._cut = not self._cut
        if self._cut:
            for connection in list(self._open):
                connection.close()

    def _forward(self, accepted, address):
        if self._cut:
            accepted.close()
            return
        try:
            connected = socket.create_connection(self._to, timeout=1.0)
        except OSError:
            accepted.close()
            return
        connected.settimeout(None)
        self._open |= {accepted, connected}
        epoch = self._epoch
        pumps = [
            gevent.spawn(self._pump, accepted, connected, epoch),
            gevent.spawn(self._pump, connected, accepted, epoch),
        ]
        gevent.joinall(pumps, count=1)
        # A silent connection stays open: neither end is told.
        while epoch != self._epoch and not self._cut:
            gevent.sleep(0.1)
        self._open -= {accepted, connected}
        accepted.close()
        connected.close()
        gevent.killall(pumps)

    def _pump(self, source, sink, epoch):
        try:
            while block := source.recv(BLOCK_BYTES):
                if epoch == self._epoch:
                    sink.sendall(block)
        except OSError:
            return


def run(
    listen: typing.Annotated[str, typer.Option(help='host:port')],
    to: typing.Annotated[str, typer.Option(help='host:port')],
):
    """Forward connections until SIGTERM."""
    link = Link(listen, to)
    link.start()
    stopped = event.Event()
    gevent.signal_handler(signal.SIGUSR1, link.silence)
    gevent.signal_handler(signal.SIGUSR2, link.toggle_cut)
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    print(json.dumps({'ready': True, 'address': listen}))
    sys.stdout.flush()
    stopped.wait()


if __name__ == '__main__':
    typer.run(run)
