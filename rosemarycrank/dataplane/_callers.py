"""Calling nodes and the attempts that they have sent to the local target."""

import logging

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _memory

#: Time that a calling node has to reconnect after its connection was lost,
#: before its attempts are cancelled, in seconds.
CALLER_RECONNECT_TIMEOUT_S = 1.5

#: Time for which the attempts of such a node are remembered, in seconds. It
#: is far longer than any request lasts, so that no attempt is sent again
#: after it.
CALLER_RETENTION_S = 120.0

#: Number of lost nodes that have sent no attempt and are remembered, so that
#: the random numbers of strangers cannot fill the memory.
MAX_IDLE_LOST_CALLERS = 256

#: Share of the memory for attempts and results that may be taken when an
#: attempt is accepted. The rest is for the results of those that run.
ACCEPT_SHARE = 0.8

#: Share of it, and of all shared memory, above which results of lost nodes are
#: given up.
SHORT_SHARE = 0.7

#: Share of the memory for responses of the target that may be taken then.
ACCEPT_RESPONSES_SHARE = 0.5

#: Size from which a result is worth giving up, in bytes.
MIN_FORGOTTEN_BYTES = 1024

#: Memory that an attempt takes beside its bytes, with its result, in bytes.
ATTEMPT_BYTES = _memory.MESSAGE_OVERHEAD_BYTES

_LOG = logging.getLogger(__name__)


def _do_nothing(_number):
    """Stand in for reading from a node that is not connected."""


def _have_none():
    """Stand in for the output of a node that is not connected."""
    return False


class Caller:
    """State of a calling node, kept across its reconnections.

    Parameters
    ----------
    incarnation : int
        Random number that identifies the process of that node.
    budget : Budget
        Memory for its attempts and their results.

    Attributes
    ----------
    is_local : bool
        Whether it is this node, whose clients' requests are charged for it,
        and which gets its results at once.
    has_attempted : bool
        Whether it has sent attempts that were not refused for want of memory.
    generation : int
        Number of its newest connection; -1 before the first.
    send : callable or None
        Sends a result to the node; None while it is disconnected.
    has_unsent : callable
        Returns whether earlier results wait to be sent, so that the next one
        is encoded and waits, too.
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

    def __init__(self, incarnation, budget):
        self.incarnation = incarnation
        self.is_local = False
        self.has_attempted = False
        self.generation = -1
        self.send = None
        self.has_unsent = _have_none
        self._budget = budget
        self.catch_up = _do_nothing
        self.is_lost = False
        self.lost_at = 0.0
        self.parked_jobs = []
        self.jobs_by_number = {}
        self.discarded_below = 0
        self.features = 0

    def deliver(self, result):
        """Send a result to the node if it is connected."""
        if self.send is not None:
            self.send(result)

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
        held_bytes = 0
        for number in ended:
            held_bytes += self.jobs_by_number.pop(number).held_bytes
        self._budget.take(-held_bytes)

    def hold_attempt(self, job):
        """Take memory for an attempt that has arrived.

        Returns
        -------
        bool
            Whether it fits.
        """
        if self.is_local:
            self.has_attempted = True
            return True
        budget = self._budget
        attempt = job.attempt
        size = ATTEMPT_BYTES + len(attempt.head)
        if attempt.body:
            size += _own_bytes(attempt.body)
        if budget.used_bytes + size > ACCEPT_SHARE * budget.limit_bytes or (
            not budget.take_if_fits(size, size)
        ):
            budget.refusals += 1
            return False
        job.held_bytes = size
        self.has_attempted = True
        return True

    def hold_result(self, job):
        """Take memory for a result in place of its attempt, if it is kept.

        It may exceed the limit: a result that is ready is delivered.
        """
        if not job.held_bytes:
            # It is that of this node, or not kept.
            return
        result = job.result
        size = len(result.head)
        if result.body:
            size += _own_bytes(result.body)
        if self.has_unsent():
            size *= 2
        size += ATTEMPT_BYTES
        if size != job.held_bytes:
            self._budget.take(size - job.held_bytes)
            job.held_bytes = size

    def forget_results(self):
        """Free the results of a node that is lost, as memory is short.

        Those of attempts that may have run become unknown, and are still not
        run again.

        Returns
        -------
        int
            Number of the results that have become unknown.
        """
        count = 0
        for number, job in list(self.jobs_by_number.items()):
            result = job.result
            if result is None:
                continue
            if _is_refusal(result):
                self._remove(number)
            elif len(result.head) + len(result.body) >= MIN_FORGOTTEN_BYTES:
                job.result = _forgotten(number)
                self.hold_result(job)
                count += 1
        return count

    def remove_all(self):
        """Remove all attempts, as the node is not remembered any more."""
        for number in list(self.jobs_by_number):
            self._remove(number)

    def _remove(self, number):
        job = self.jobs_by_number.pop(number)
        self._budget.take(-job.held_bytes)
        job.held_bytes = 0


class Callers:
    """Calling nodes, with their connections lost and restored.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    budget : Budget, optional
        Memory for attempts of other nodes and for their results, until they
        are confirmed; a default one if not given.
    response_budget : Budget, optional
        Memory for responses of the target, whose large bodies are those of
        the results.

    Attributes
    ----------
    by_incarnation : dict of int to Caller
        Calling nodes, by the random numbers that identify their processes.
    """

    def __init__(self, reactor, budget=None, response_budget=None):
        self.reactor = reactor
        self.by_incarnation = {}
        self.budget = budget or _memory.MemoryAccount().budget('attempts')
        self._response_budget = response_budget
        # In the order of their losses.
        self._lost_by_incarnation = {}

    def get(self, incarnation):
        """Return the state of a calling node; create it if needed."""
        caller = self.by_incarnation.get(incarnation)
        if caller is None:
            caller = Caller(incarnation, self.budget)
            self.by_incarnation[incarnation] = caller
        return caller

    def has_room(self):
        """Return whether the target's responses leave room for another."""
        budget = self._response_budget
        return budget is None or (
            budget.used_bytes <= ACCEPT_RESPONSES_SHARE * budget.limit_bytes
        )

    def is_short(self):
        """Return whether memory is short, so that attempts are refused."""
        budget = self.budget
        account = budget.account
        return (
            not self.has_room()
            or budget.used_bytes > SHORT_SHARE * budget.limit_bytes
            or account.used_bytes > SHORT_SHARE * account.limit_bytes
        )

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
        caller.has_unsent = _have_none
        caller.is_lost = True
        caller.lost_at = self.reactor.now()
        self._lost_by_incarnation.pop(caller.incarnation, None)
        self._lost_by_incarnation[caller.incarnation] = caller
        _log_connection('caller_lost', 'lost', caller, address)

    def restore(self, caller, address, send, catch_up, has_unsent=_have_none):
        """Record that a calling node has connected.

        Parameters
        ----------
        caller : Caller
            State of that node.
        address : str
            Address of that node, for the log.
        send, catch_up, has_unsent : callable
            Attributes of the caller.
        """
        caller.send = send
        caller.has_unsent = has_unsent
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
                self._remove(caller)
        self._remove_idle()
        if self.is_short():
            self._forget_results(now)
        return jobs

    def _remove(self, caller):
        caller.remove_all()
        del self.by_incarnation[caller.incarnation]
        del self._lost_by_incarnation[caller.incarnation]

    def _remove_idle(self):
        """Forget those that have sent no attempt, those lost first first."""
        surplus = len(self._lost_by_incarnation) - MAX_IDLE_LOST_CALLERS
        if surplus <= 0:
            return
        idle = [
            caller
            for caller in self._lost_by_incarnation.values()
            if not caller.has_attempted
        ]
        for caller in idle[:surplus]:
            self._remove(caller)

    def _forget_results(self, now):
        """Free results of nodes that have not come back in time."""
        for caller in self._lost_by_incarnation.values():
            if now < caller.lost_at + CALLER_RECONNECT_TIMEOUT_S:
                return
            count = caller.forget_results()
            if count:
                _LOG.warning(
                    'results of a lost node are given up for want of memory',
                    extra={
                        'event': 'results_forgotten',
                        'caller': caller.incarnation,
                        'count': count,
                        'lost_s': round(now - caller.lost_at, 3),
                    },
                )
            if not self.is_short():
                return


def _own_bytes(body):
    """Return the bytes of a body that are not in another budget."""
    if type(body) is bytes:
        return len(body)
    if type(body) is memoryview or getattr(body, 'hold', None) is not None:
        return 0
    return len(body)


def _is_refusal(result):
    """Return whether an attempt has not run, and may if it is sent again."""
    return (
        result.outcome == _frames.Outcome.NOT_RUN
        and result.reason != _frames.Reason.CANCELLED
    )


def _forgotten(number):
    return _frames.Result(
        number,
        int(_frames.Outcome.UNKNOWN),
        int(_frames.Reason.FORGOTTEN),
        0,
        b'',
        b'',
        None,
    )


def _log_connection(event, verb, caller, address):
    unfinished = len(caller.unfinished_jobs())
    if unfinished:
        _LOG.info(
            'connection of calling node %s %s with unfinished attempts',
            address,
            verb,
            extra={'event': event, 'unfinished': unfinished},
        )
