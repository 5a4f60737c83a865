"""Test whether the VM of a silent peer is reachable."""

from rosemarycrank import addresses
from rosemarycrank.dataplane import _reactor


class Probe:
    """TCP connection that shows whether the VM of a peer is reachable.

    The operating system of the peer accepts connections even while its
    process is too busy to answer. A connection that is not established
    therefore tells a cut network or a dead VM from a slow process.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : str
        ``host:port`` at which the peer accepts attempts.
    """

    def __init__(self, reactor, address):
        self._stream = _reactor.connect(
            reactor, addresses.parse(address), self
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
