"""Execution of requests in slots, with simulated service times."""

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
    """Raised for a request that is refused without having run."""


class ServiceTimes:
    """Samples service times from a log-normal distribution.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings with the distribution, the cold start and the seed.
    """

    def __init__(self, settings):
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._started_at = time.monotonic()
        self._sampled_count = 0

    def sample(self, slow_factor):
        """Return the next service time, in seconds."""
        service_time = self._settings.service_time
        mu = math.log(service_time.median_ms / 1000)
        duration_s = self._random.lognormvariate(mu, service_time.sigma)
        factor = self._settings.cold_start.factor if self._is_cold() else 1.0
        self._sampled_count += 1
        return duration_s * factor * slow_factor

    def _is_cold(self):
        cold_start = self._settings.cold_start
        age_s = time.monotonic() - self._started_at
        return (
            age_s < cold_start.duration_s
            or self._sampled_count < cold_start.requests
        )


class Runner:
    """Runs requests in a limited number of slots behind a bounded queue.

    Parameters
    ----------
    settings : UpstreamSettings
        Settings of the upstream.
    run_log : RunLog
        Log of the runs.
    nested_calls : NestedCalls
        Client for the nested calls of requests.

    Attributes
    ----------
    behaviour : Behaviour
        Current switches; replaced through ``POST /control``.
    in_flight : int
        Requests that run or wait for a slot.
    waiting : int
        Requests that wait for a slot.
    """

    def __init__(self, settings, run_log, nested_calls):
        self.settings = settings
        self.behaviour = settings.behaviour
        self.in_flight = 0
        self.waiting = 0
        self._run_log = run_log
        self._nested_calls = nested_calls
        self.service_times = ServiceTimes(settings)
        self._random = random.Random(settings.seed + 1)
        self._slots = lock.Semaphore(settings.slots)
        self._cancel_events_by_token = {}

    def should_inject(self, rate):
        """Return whether to inject a fault of the given probability now."""
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
            If the request did not run.
        """
        cancelled = event.Event()
        self._cancel_events_by_token[request.token] = cancelled
        self.in_flight += 1
        try:
            self._acquire_slot(request, cancelled)
            try:
                return self._run_in_slot(request, cancelled)
            finally:
                self._slots.release()
        except Refusal as refusal:
            self._run_log.record_refusal(request, str(refusal))
            raise
        finally:
            self.in_flight -= 1
            self._cancel_events_by_token.pop(request.token, None)

    def cancel(self, token):
        """Cancel the request with a token; return whether it was in flight."""
        cancelled = self._cancel_events_by_token.get(token)
        if cancelled is not None:
            cancelled.set()
        return cancelled is not None

    def _acquire_slot(self, request, cancelled):
        behaviour = self.behaviour
        if behaviour.shed or behaviour.drain:
            raise Refusal('draining' if behaviour.drain else 'shedding')
        if self.should_inject(behaviour.shed_rate):
            raise Refusal('shedding')
        if not self._slots.acquire(blocking=False):
            self._wait_for_slot(request)
        if cancelled.is_set() or request.remaining_s() == 0.0:
            self._slots.release()
            raise Refusal('cancelled or past its deadline before it ran')

    def _wait_for_slot(self, request):
        if self.waiting >= self.settings.queue_limit:
            raise Refusal('queue is full')
        self.waiting += 1
        try:
            if not self._slots.acquire(timeout=request.remaining_s()):
                raise Refusal('deadline passed while waiting for a slot')
        finally:
            self.waiting -= 1

    def _run_in_slot(self, request, cancelled):
        start_event = self._run_log.record_start(request)
        # If the process is killed during the run, no end is recorded.
        ending = self._serve(request, cancelled)
        self._run_log.record_end(start_event, ending.value)
        return ending

    def _serve(self, request, cancelled):
        duration_s = self.service_times.sample(self.behaviour.slow_factor)
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
        greenlet = gevent.spawn(self._nested_calls.call_all, request)
        gevent.wait([greenlet, cancelled], request.remaining_s(), count=1)
        if greenlet.ready():
            return greenlet.value
        greenlet.kill()
        if cancelled.is_set():
            return Ending.CANCELLED
        return Ending.EXPIRED


@attrs.frozen
class NestedCalls:
    """Makes nested calls through the node of the upstream.

    Parameters
    ----------
    client : http_client.Client or None
        Client of the node's HTTP port for callers; None if the upstream has
        no node, so that every nested call fails.
    run_log : RunLog
        Log of the nested calls.
    issued_keys : load.NodeKeys or None
        Idempotency keys issued by the node, for paid calls of paid
        requests.
    node : str
        ``host:port`` of the node's HTTP port for callers.
    timeout_s : float
        Longest wait for an answer, in seconds.
    """

    client: object
    run_log: object
    issued_keys: object = None
    node: str = ''
    timeout_s: float = 30.0

    def call_all(self, request):
        """Make all nested calls of a request concurrently.

        Parameters
        ----------
        request : Request
            The request that makes the calls.

        Returns
        -------
        Ending
            COMPLETE if every call got a complete answer with status 200 and
            the expected digest; WRONG_ANSWER if a digest differed;
            CALL_FAILED otherwise.
        """
        greenlets = [
            gevent.spawn(self._call, request, number, call)
            for number, call in enumerate(request.calls)
        ]
        try:
            gevent.joinall(greenlets)
        finally:
            gevent.killall(greenlets)
        endings = [greenlet.value for greenlet in greenlets]
        for ending in (Ending.WRONG_ANSWER, Ending.CALL_FAILED):
            if ending in endings:
                return ending
        return Ending.COMPLETE

    def _call(self, request, number, call):
        if self.client is None:
            return Ending.CALL_FAILED
        nonce = f'{request.nonce}.{number}'
        self.run_log.record_nested_start(nonce)
        ending, outcome = self._exchange(request, call, nonce)
        self.run_log.record_nested_end(nonce, outcome)
        return ending

    def _exchange(self, request, call, nonce):
        """Send one call; return its ending and the outcome to record."""
        path = call.path.replace('{nonce}', nonce)
        body = _requests.nested_call_body(call, nonce)
        try:
            response = self.client.request(
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
        outcome = response.headers.get('rosemarycrank-outcome', '')
        if outcome != 'complete':
            return Ending.CALL_FAILED, outcome
        digest = load.request_digest(call.service, call.method, path, body)
        if load.answer_digest(response.body) != digest:
            return Ending.WRONG_ANSWER, Ending.WRONG_ANSWER.value
        if response.status != 200:
            return Ending.CALL_FAILED, outcome
        return Ending.COMPLETE, outcome

    def _headers(self, request, call, nonce):
        headers = {'Rosemarycrank-Token': request.token}
        if call.paid:
            headers['Idempotency-Key'] = self._idempotency_key(
                request, call, nonce
            )
        return headers

    def _idempotency_key(self, request, call, nonce):
        if call.key:
            return call.key
        if request.paid and self.issued_keys is not None:
            issued_key = self.issued_keys.key_for(nonce, self.node)
            if issued_key:
                return issued_key
        return f'key-{nonce}'
