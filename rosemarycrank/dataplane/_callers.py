"""Calling nodes and the attempts that they have sent to the local target."""

import logging

import attrs

#: Time that a calling node has to reconnect after its connection was lost,
#: before its attempts are cancelled, in seconds.
CALLER_RECONNECT_TIMEOUT_S = 1.5

#: Time for which the attempts of such a node are remembered, in seconds. It
#: is far longer than any request lasts, so that no attempt is sent again
#: after it.
CALLER_RETENTION_S = 120.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class Job:
    """An attempt that was accepted or refused for the local target.

    Attributes
    ----------
    caller : Caller
        Node that sent it.
    attempt : rosemarycrank.dataplane.Attempt
        The attempt as received.
    arrived_at, deadline_at : float
        Seconds of the node's clock.
    connection : UpstreamConnection or None
        Connection on which it runs; None while it does not run.
    started_at : float
        When it was sent to the target; 0 while it is queued.
    run : rosemarycrank.dataplane._call_links.Run or None
        The run as counted by `CallCosts`; None while it is queued.
    result : rosemarycrank.dataplane.Result or None
        Its result; None until it has ended.
    crashed_starts : tuple of tuple of (str, int)
        Starts of targets that had crashed under the request when its run
        began.
    is_watched : bool
        Whether its run is watched for a crash, and so has few others beside
        it.
    """

    caller: object
    attempt: object
    arrived_at: float
    deadline_at: float
    connection: object = None
    started_at: float = 0.0
    run: object = None
    result: object = None
    crashed_starts: tuple = ()
    is_watched: bool = False


class Caller:
    """State of a calling node, kept across its reconnections.

    Parameters
    ----------
    incarnation : int
        Random number that identifies the process of that node.

    Attributes
    ----------
    generation : int
        Number of its newest connection; -1 before the first.
    send : callable or None
        Sends a result to the node; None while it is disconnected.
    catch_up : callable
        Called with the number of an attempt; handles what has arrived from
        its sender.
    is_lost : bool
        Whether its connection was lost, and not restored yet.
    lost_at : float
        When its connection was lost.
    parked_jobs : list of Job
        Attempts whose turn came while it was lost.
    jobs_by_number : dict of int to Job
        Its attempts, by their numbers.
    discarded_below : int
        Results of attempts with lower numbers have been discarded.
    features : int
        `Feature` flags of the node.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.generation = -1
        self.send = None
        self.catch_up = _do_nothing
        self.is_lost = False
        self.lost_at = 0.0
        self.parked_jobs = []
        self.jobs_by_number = {}
        self.discarded_below = 0
        self.features = 0

    def unfinished_jobs(self):
        """Return its attempts without a result."""
        return [
            job for job in self.jobs_by_number.values() if job.result is None
        ]

    def discard_results_before(self, oldest):
        """Discard the results of attempts that the sender has received.

        Parameters
        ----------
        oldest : int
            Lowest number of an attempt that the sender still waits for.
        """
        if oldest <= self.discarded_below:
            return
        self.discarded_below = oldest
        ended = [
            number
            for number, job in self.jobs_by_number.items()
            if number < oldest and job.result is not None
        ]
        for number in ended:
            del self.jobs_by_number[number]


class Callers:
    """Calling nodes, with their connections lost and restored.

    Parameters
    ----------
    reactor : Reactor
        Event loop.

    Attributes
    ----------
    by_incarnation : dict of int to Caller
        Calling nodes, by the random numbers that identify their processes.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.by_incarnation = {}
        self._lost_by_incarnation = {}

    def get(self, incarnation):
        """Return the state of a calling node; create it if needed."""
        caller = self.by_incarnation.get(incarnation)
        if caller is None:
            caller = Caller(incarnation)
            self.by_incarnation[incarnation] = caller
        return caller

    def lose(self, caller, address):
        """Record that the connection of a calling node was lost.

        Parameters
        ----------
        caller : Caller
            State of that node.
        address : str
            Address of that node, for the log.
        """
        caller.send = None
        caller.catch_up = _do_nothing
        caller.is_lost = True
        caller.lost_at = self.reactor.now()
        self._lost_by_incarnation[caller.incarnation] = caller
        _log_connection('caller_lost', 'lost', caller, address)

    def restore(self, caller, address, send, catch_up):
        """Record that a calling node has connected.

        Parameters
        ----------
        caller : Caller
            State of that node.
        address : str
            Address of that node, for the log.
        send, catch_up : callable
            Attributes of the caller.
        """
        caller.send = send
        caller.catch_up = catch_up
        caller.is_lost = False
        self._lost_by_incarnation.pop(caller.incarnation, None)
        _log_connection('caller_connected', 'opened', caller, address)

    def expire(self, now):
        """Forget nodes that were lost long ago.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.

        Returns
        -------
        list of Job
            Unfinished attempts of nodes that have not reconnected in time.
        """
        jobs = []
        for caller in list(self._lost_by_incarnation.values()):
            if now < caller.lost_at + CALLER_RECONNECT_TIMEOUT_S:
                continue
            jobs += caller.unfinished_jobs()
            # The attempts must be remembered after the cancellation, or
            # they would run again when the node reconnects and resends them.
            if now > caller.lost_at + CALLER_RETENTION_S:
                del self.by_incarnation[caller.incarnation]
                del self._lost_by_incarnation[caller.incarnation]
        return jobs


def _do_nothing(_number):
    """Stand in for reading from a node that is not connected."""


def _log_connection(event, verb, caller, address):
    unfinished = len(caller.unfinished_jobs())
    if unfinished:
        _LOG.info(
            'connection of calling node %s %s with unfinished attempts',
            address,
            verb,
            extra={'event': event, 'unfinished': unfinished},
        )
