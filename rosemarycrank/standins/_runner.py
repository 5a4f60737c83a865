"""Runs requests in slots, for the time that the settings give them."""

import enum
import math
import random
import time

import attrs
import gevent
from gevent import event
from gevent import lock

from rosemarycrank import http_client
from rosemarycrank import load
from rosemarycrank.standins import _requests


class Ending(enum.Enum):
    """How a run ended."""

    COMPLETE = 'complete'
    CALL_FAILED = 'call-failed'
    WRONG_ANSWER = 'wrong-answer'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


class Refusal(Exception):
    """The request did not run."""


class Durations:
    """Draws service times.

    Parameters
    ----------
    settings : UpstreamSettings
        Distribution, cold start and seed.
    """

    def __init__(self, settings):
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._started_at = time.monotonic()
        self._served = 0

    def draw(self, slow_factor):
        """Return the next service time, in seconds."""
        service_time = self._settings.service_time
        mu = math.log(service_time.median_ms / 1000)
        duration_s = self._random.lognormvariate(mu, service_time.sigma)
        factor = self._settings.cold_start.factor if self._is_cold() else 1.0
        self._served += 1
        return duration_s * factor * slow_factor

    def _is_cold(self):
        cold_start = self._settings.cold_start
        age_s = time.monotonic() - self._started_at
        return (
            age_s < cold_start.duration_s or self._served < cold_start.requests
        )


class Runner:
    """Slots, the queue in front of them, and cancellation.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    run_log : RunLog
        Where runs are recorded.
    calls : NestedCalls
        What makes nested calls.
    """

    def __init__(self, settings, run_log, calls):
        self.settings = settings
        self.behaviour = settings.behaviour
        self.in_flight = 0
        self.waiting = 0
        self._run_log = run_log
        self._calls = calls
        self.durations = Durations(settings)
        self._random = random.Random(settings.seed + 1)
        self._slots = lock.Semaphore(settings.slots)
        self._cancelled_by_token = {}

    def happens(self, rate):
        """Return whether something of that rate happens now."""
        return rate > 0 and self._random.random() < rate

    def run(self, request):
        """Run a request.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        Ending
            How the run ended.

        Raises
        ------
        Refusal
            If it did not run.
        """
        cancelled = event.Event()
        self._cancelled_by_token[request.token] = cancelled
        self.in_flight += 1
        try:
            self._take_slot(request, cancelled)
            try:
                return self._run_in_slot(request, cancelled)
            finally:
                self._slots.release()
        except Refusal as refusal:
            self._run_log.refuse(request, str(refusal))
            raise
        finally:
            self.in_flight -= 1
            self._cancelled_by_token.pop(request.token, None)

    def cancel(self, token):
        """Cancel the request of a token; return whether it was known."""
        cancelled = self._cancelled_by_token.get(token)
        if cancelled is not None:
            cancelled.set()
        return cancelled is not None

    def _take_slot(self, request, cancelled):
        behaviour = self.behaviour
        if behaviour.shed or behaviour.drain:
            raise Refusal('draining' if behaviour.drain else 'shedding')
        if self.happens(behaviour.shed_rate):
            raise Refusal('shedding')
        if not self._slots.acquire(blocking=False):
            self._wait_for_slot(request)
        if cancelled.is_set() or request.remaining_s() == 0.0:
            self._slots.release()
            raise Refusal('cancelled or expired before it ran')

    def _wait_for_slot(self, request):
        if self.waiting >= self.settings.queue_limit:
            raise Refusal('queue is full')
        self.waiting += 1
        try:
            if not self._slots.acquire(timeout=request.remaining_s()):
                raise Refusal('expired before it ran')
        finally:
            self.waiting -= 1

    def _run_in_slot(self, request, cancelled):
        started = self._run_log.start(request)
        # A run that is killed with its process stays without an end.
        ending = self._work(request, cancelled)
        self._run_log.end(started, ending.value)
        return ending

    def _work(self, request, cancelled):
        duration_s = self.durations.draw(self.behaviour.slow_factor)
        remaining_s = request.remaining_s()
        expires = remaining_s is not None and remaining_s < duration_s
        if cancelled.wait(remaining_s if expires else duration_s):
            return Ending.CANCELLED
        if expires:
            return Ending.EXPIRED
        if not request.calls:
            return Ending.COMPLETE
        return self._make_calls(request, cancelled)

    def _make_calls(self, request, cancelled):
        calls = gevent.spawn(self._calls.make_all, request)
        gevent.wait([calls, cancelled], request.remaining_s(), count=1)
        if calls.ready():
            return calls.value
        calls.kill()
        if cancelled.is_set():
            return Ending.CANCELLED
        return Ending.EXPIRED


@attrs.frozen
class NestedCalls:
    """Makes nested calls through the upstream's own node.

    Parameters
    ----------
    client : http_client.Client or None
        Client of the node's port for callers.
    run_log : RunLog
        Where calls are recorded.
    issued_keys : load.NodeKeys or None
        Keys issued by the node, for paid calls of paid requests.
    node : str
        ``host:port`` of that port.
    timeout_s : float
        Longest wait for an answer, in seconds.
    """

    client: object
    run_log: object
    issued_keys: object = None
    node: str = ''
    timeout_s: float = 30.0

    def make_all(self, request):
        """Make the calls of a request at once.

        Parameters
        ----------
        request : Request
            The request that is served.

        Returns
        -------
        Ending
            COMPLETE if all gave whole, right and successful answers.
        """
        jobs = [
            gevent.spawn(self._make, request, number, call)
            for number, call in enumerate(request.calls)
        ]
        try:
            gevent.joinall(jobs)
        finally:
            gevent.killall(jobs)
        endings = [job.value for job in jobs]
        for ending in (Ending.WRONG_ANSWER, Ending.CALL_FAILED):
            if ending in endings:
                return ending
        return Ending.COMPLETE

    def _make(self, request, number, call):
        if self.client is None:
            return Ending.CALL_FAILED
        nonce = f'{request.nonce}.{number}'
        self.run_log.calling(nonce)
        ending, told = self._exchange(request, call, nonce)
        self.run_log.called(nonce, told)
        return ending

    def _exchange(self, request, call, nonce):
        """Make one call; return its ending and what was told."""
        path = call.path.replace('{nonce}', nonce)
        body = _requests.child_body(call, nonce)
        try:
            answer = self.client.request(
                call.method,
                f'/call/{call.service}{path}',
                body,
                self._headers(request, call, nonce),
                self.timeout_s,
            )
        except http_client.ConnectFailed:
            return Ending.CALL_FAILED, 'not-run'
        except http_client.HttpError:
            return Ending.CALL_FAILED, 'unknown'
        outcome = answer.headers.get('rosemarycrank-outcome', '')
        if outcome != 'complete':
            return Ending.CALL_FAILED, outcome
        digest = load.request_digest(call.service, call.method, path, body)
        if load.answer_digest(answer.body) != digest:
            return Ending.WRONG_ANSWER, Ending.WRONG_ANSWER.value
        if answer.status != 200:
            return Ending.CALL_FAILED, outcome
        return Ending.COMPLETE, outcome

    def _headers(self, request, call, nonce):
        headers = {'Rosemarycrank-Token': request.token}
        if call.paid:
            headers['Idempotency-Key'] = self._key(request, call, nonce)
        return headers

    def _key(self, request, call, nonce):
        if call.key:
            return call.key
        if request.paid and self.issued_keys is not None:
            issued = self.issued_keys.key_for(nonce, self.node)
            if issued:
                return issued
        return f'key-{nonce}'
