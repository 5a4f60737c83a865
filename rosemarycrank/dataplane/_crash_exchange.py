"""Exchange of the facts about crashes between nodes.

The node that sees a crash tells all that it is connected to, and each node
passes on to few others what was new to it. Nodes that were not reached then,
or have started since, learn it as they meet: a handshake has all suspicions,
and digests in handshakes and pings show what else differs.
"""

import logging

from rosemarycrank.dataplane import _due_comparisons
from rosemarycrank.dataplane import _frames

#: Number of nodes to which new facts are passed on. With fewer, some nodes of
#: a fleet would get none.
FANOUT = 8

#: Seconds between two comparisons of a node, and the maximum delay of one.
COMPARISON_INTERVAL_S = 0.5
MAX_COMPARISON_DELAY_S = 0.3

#: Maximum number of digests in a line of the log.
MAX_LOGGED = 50

_LOG = logging.getLogger(__name__)


class CrashExchange:
    """Facts about crashes that one node sends and receives.

    Parameters
    ----------
    node : Node
        The node.
    random : random.Random
        Random source.
    """

    def __init__(self, node, random):
        self._node = node
        self._random = random
        self._due = _due_comparisons.DueComparisons(
            MAX_COMPARISON_DELAY_S, random
        )
        self._next_at = 0.0

    def tell_all(self, crashes):
        """Send new facts to all connected nodes, on all connections.

        The result of a run follows on the connection of its sender, which has
        to know of the crash before it repeats the request.

        Parameters
        ----------
        crashes : list of rosemarycrank.dataplane.Crash
            The facts.
        """
        if crashes:
            frame = _frames.Crashes(crashes)
            for connection in self._node.all_connections():
                self._node.reactor.guard.call(_notify, connection, frame)

    def tell_of_request(self, digest, connection):
        """Send the suspicions of a request to the node that is to run it.

        Parameters
        ----------
        digest : int
            Digest of the request.
        connection : Peer or LocalPeer
            Connection to that node. One that is not open yet begins with a
            handshake, which has them.
        """
        suspicions = self._node.crash_history.suspicions(digest)
        _notify(connection, _frames.Crashes(suspicions))

    def receive(self, frame, sender):
        """Add the facts of another node, and pass on those that are new.

        Parameters
        ----------
        frame : Crashes
            The facts.
        sender : Peer or InboundConnection
            Connection on which they arrived.
        """
        self._merge(frame.crashes, sender)
        if frame.is_complete:
            missing = self._node.crash_history.missing_from(frame.crashes)
            if missing:
                _notify(sender, _frames.Crashes(missing))

    def receive_hello(self, hello, sender):
        """Add the suspicions in a handshake, and answer those lifted here.

        Parameters
        ----------
        hello : Hello
            The handshake.
        sender : Peer or InboundConnection
            Connection on which it arrived.
        """
        self._merge(hello.crashes, sender)
        lifted = self._node.crash_history.cleared_among(hello.crashes)
        if lifted:
            _notify(sender, _frames.Crashes(lifted))

    def receive_digest(self, digest, connection):
        """Schedule a comparison if another node knows other facts.

        Parameters
        ----------
        digest : int
            Digest of the facts of the other node.
        connection : Peer
            Connection to that node.
        """
        differs = digest != self._node.crash_history.digest
        self._due.report(connection, differs, self._node.reactor.now())

    def check(self, now):
        """Send all facts to the next node whose facts differ, if it is time.

        Called periodically.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if now < self._next_at:
            return
        connection = self._due.take(now)
        if connection is None:
            return
        self._next_at = now + COMPARISON_INTERVAL_S
        facts = self._node.crash_history.facts()
        _notify(connection, _frames.Crashes(facts, True))

    def _merge(self, crashes, sender):
        new = self._node.crash_history.merge(crashes)
        if not new:
            return
        _log_new(new, sender)
        others = [
            connection
            for connection in self._node.connections()
            if connection.address != sender.address
            and connection.features & _frames.Feature.CRASH_FACTS
        ]
        others.sort(key=lambda connection: connection.address)
        count = min(FANOUT, len(others))
        for connection in self._random.sample(others, count):
            self._node.reactor.guard.call(
                _notify, connection, _frames.Crashes(new)
            )


def _notify(connection, frame):
    if connection.features & _frames.Feature.CRASH_FACTS:
        connection.notify(frame)


def _log_new(crashes, sender):
    for crash in crashes:
        if not crash.suspects:
            continue
        _LOG.info(
            'node %s reports a crash during %d requests',
            sender.address,
            len(crash.suspects),
            extra={
                'event': 'crash_reported',
                'sender': sender.address,
                'instance': crash.instance,
                'born_ms': crash.born_ms,
                'digests': ['%x' % d for d in crash.suspects[:MAX_LOGGED]],
            },
        )
