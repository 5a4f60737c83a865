"""Forwards TCP connections between two processes and injects failures.

Runs as a process that is controlled by signals. SIGUSR1: the connections
that are open at the time stay open but transfer no more data; later
connections work. SIGUSR2 cuts the link, or restores it if it is cut.
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
    """TCP forwarder that can discard data or refuse connections.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen on.
    to : str
        ``host:port`` to connect to.
    """

    def __init__(self, listen, to):
        host, _, port = to.rpartition(':')
        self._destination = (host, int(port))
        self._cut = False
        self._epoch = 0
        self._open_sockets = set()
        host, _, port = listen.rpartition(':')
        self._server = server.StreamServer((host, int(port)), self._forward)

    def start(self):
        """Start to listen for connections."""
        self._server.start()

    def discard_data(self):
        """Discard all further data of the connections that are open now."""
        self._epoch += 1

    def toggle_cut(self):
        """Cut the link, or restore it if it is cut.

        While the link is cut, open connections are closed and new ones are
        closed as soon as they are accepted.
        """
        self._cut = not self._cut
        if self._cut:
            for connection in list(self._open_sockets):
                connection.close()

    def _forward(self, inbound, address):
        if self._cut:
            inbound.close()
            return
        try:
            outbound = socket.create_connection(self._destination, timeout=1.0)
        except OSError:
            inbound.close()
            return
        outbound.settimeout(None)
        self._open_sockets |= {inbound, outbound}
        epoch = self._epoch
        forwarders = [
            gevent.spawn(self._copy, inbound, outbound, epoch),
            gevent.spawn(self._copy, outbound, inbound, epoch),
        ]
        gevent.joinall(forwarders, count=1)
        # A connection whose data is discarded stays open, so that neither
        # end detects the failure by an end of file.
        while epoch != self._epoch and not self._cut:
            gevent.sleep(0.1)
        self._open_sockets -= {inbound, outbound}
        inbound.close()
        outbound.close()
        gevent.killall(forwarders)

    def _copy(self, source, destination, epoch):
        try:
            while block := source.recv(BLOCK_BYTES):
                if epoch == self._epoch:
                    destination.sendall(block)
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
    gevent.signal_handler(signal.SIGUSR1, link.discard_data)
    gevent.signal_handler(signal.SIGUSR2, link.toggle_cut)
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    print(json.dumps({'ready': True, 'address': listen}))
    sys.stdout.flush()
    stopped.wait()


if __name__ == '__main__':
    typer.run(run)
