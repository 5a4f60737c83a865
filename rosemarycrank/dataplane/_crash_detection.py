"""Detection that the process of the local target has ended during runs.

A connection to the target may be reset while its process lives. So a further
connection is opened when one is lost during a run: the operating system
refuses it at once if the process has ended. The results of the lost runs wait
for that, for about as long as a connection on the same VM takes.
"""

import collections

from rosemarycrank.dataplane import _reactor

#: Maximum time until the outcome of the further connection, in seconds. A
#: process that has ended refuses it well before.
PROBE_TIMEOUT_S = 0.05

#: Time after a refusal in which the loss of the other connections to the same
#: process is read, in seconds.
SETTLE_S = 0.01

#: Time for which lost runs are kept in which the target seemed alive, in
#: seconds, and their maximum number. A target that has started again sends its
#: first heartbeat within that time.
UNEXPLAINED_S = 5.0
MAX_UNEXPLAINED = 1000


class ProcessProbe:
    """Connection that shows whether a process listens at an address.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        IP address and port.
    on_outcome : callable
        Called once with whether the process has ended.
    """

    def __init__(self, reactor, address, on_outcome):
        self._on_outcome = on_outcome
        self._timer = reactor.timers.after(PROBE_TIMEOUT_S, self._check)
        self._stream = _reactor.connect(reactor, address, self)

    def received(self, _data):
        """Ignore received data; nothing was requested."""

    def closed(self, error):
        """Report the end of the connection, with an error if refused."""
        self._finish(isinstance(error, ConnectionRefusedError))

    def _check(self, _now):
        self._finish(False)

    def _finish(self, has_ended):
        self._timer.cancel()
        self._stream.close()
        on_outcome = self._on_outcome
        self._on_outcome = None
        if on_outcome is not None:
            on_outcome(has_ended)


class CrashDetection:
    """Holds the results of lost runs until it is known why they were lost.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    pool : UpstreamPool
        Connections to the target.
    on_outcome : callable
        Called with the lost runs and whether the target has crashed. A lost
        run is the pair of a job and its answer.
    """

    def __init__(self, reactor, pool, on_outcome):
        self._reactor = reactor
        self._pool = pool
        self._on_outcome = on_outcome
        self._lost = []
        self._lost_at = 0.0
        self._unexplained = collections.deque()

    def add(self, job, answer):
        """Add a run whose connection was lost.

        Parameters
        ----------
        job : Job
            The attempt.
        answer : Answer
            Its outcome without a response.
        """
        self._lost.append((job, answer))
        if len(self._lost) == 1:
            self._lost_at = self._reactor.now()
            self._pool.probe(self._handle_outcome)

    def take_unexplained(self):
        """Return the runs that were lately lost while the target seemed alive.

        A target that has started again since had crashed then.

        Returns
        -------
        list of Job
        """
        since = self._reactor.now() - UNEXPLAINED_S
        jobs = [job for lost_at, job in self._unexplained if lost_at >= since]
        self._unexplained.clear()
        return jobs

    def _handle_outcome(self, has_ended):
        if has_ended:
            self._reactor.timers.after(SETTLE_S, lambda _now: self._end(True))
        else:
            # A process that has started again listens, but has none of the
            # connections of the one before.
            self._end(self._pool.has_lost_all(self._lost_at))

    def _end(self, has_ended):
        lost, self._lost = self._lost, []
        if not has_ended:
            jobs = [(self._lost_at, job) for job, _ in lost]
            self._unexplained.extend(jobs[-MAX_UNEXPLAINED:])
            while len(self._unexplained) > MAX_UNEXPLAINED:
                self._unexplained.popleft()
        self._on_outcome(lost, has_ended)
