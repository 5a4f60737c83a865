"""Spreading of reports about requests that crash targets, among all nodes.

The first node sends a report to all that it is connected to; each of the
others passes it on to few, so that it reaches all nodes of a large fleet.
"""

import collections
import logging

from rosemarycrank.dataplane import _frames

#: Number of nodes to which a received report is passed on. With fewer, some
#: nodes of a fleet would get none.
FANOUT = 12

#: Number of reports that a node remembers, to pass each of them on once.
MAX_REMEMBERED = 1000

#: Maximum number of digests in a line of the log.
MAX_LOGGED = 50

#: Bits of the random number of a report.
_NUMBER_BITS = 53

_LOG = logging.getLogger(__name__)


class CrashReports:
    """Reports that one node sends, receives and passes on.

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
        self._numbers = collections.OrderedDict()

    def send(self, crashed, served):
        """Send a new report.

        Parameters
        ----------
        crashed, served : list of int
            Digests of requests; see `CrashReport`.
        """
        number = self._random.getrandbits(_NUMBER_BITS)
        self._remember(number)
        report = _frames.CrashReport(number, crashed, served)
        for connection in self._receivers():
            connection.notify(report)

    def receive(self, report, sender):
        """Process a report of another node and pass it on.

        Parameters
        ----------
        report : CrashReport
            The report; ignored if it has been received before.
        sender : Peer or InboundConnection
            Connection on which it arrived.
        """
        if report.number in self._numbers:
            return
        self._remember(report.number)
        if report.crashed:
            _LOG.info(
                'node %s reports a crash during %d requests',
                sender.address,
                len(report.crashed),
                extra={
                    'event': 'crash_reported',
                    'sender': sender.address,
                    'digests': ['%x' % d for d in report.crashed[:MAX_LOGGED]],
                },
            )
        node = self._node
        now = node.reactor.now()
        node.crash_suspects.record_crash(report.crashed, now)
        for request_digest in report.served:
            node.crash_suspects.record_good_run(request_digest, now)
        others = [
            connection
            for connection in self._receivers()
            if connection.address != sender.address
        ]
        count = min(FANOUT, len(others))
        for connection in self._random.sample(others, count):
            connection.notify(report)

    def _receivers(self):
        receivers = [
            connection
            for connection in self._node.connections()
            if connection.features & _frames.Feature.CRASH_REPORTS
        ]
        return sorted(receivers, key=lambda receiver: receiver.address)

    def _remember(self, number):
        self._numbers[number] = None
        if len(self._numbers) > MAX_REMEMBERED:
            self._numbers.popitem(last=False)
