"""Sends one client request, with its retries, and records the events."""

import time

import attrs
import gevent

from rosemarycrank import http_client
from rosemarycrank.load import _records
from rosemarycrank.load import _scenario

COMPLETE = 'complete'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
NOT_SENT = 'not sent'

#: Clients wait longer than the deadline that they send, so that a node can
#: still report the outcome of a request whose deadline has passed.
ANSWER_MARGIN_S = 1.0

MAX_RETRY_AFTER_S = 10.0
BACKOFF_S = 0.1


@attrs.define
class Session:
    """One client request with its retries.

    Parameters
    ----------
    arrival : Arrival
        The request.
    nodes : list of str
        Nodes, in the order in which the client tries them.
    clients_by_node : dict of str to http_client.Client
        HTTP clients, by ``host:port`` of the node.
    keys : KeySource
        Source of the idempotency key.
    record : callable
        Called with each `ClientEvent`.
    due_at : float
        Time at which the request is due, in seconds since the epoch.

    Attributes
    ----------
    key : str
        Idempotency key; empty if there is none.
    sends : int
        Sends so far; one that tries several nodes counts once.
    may_have_run : bool
        Whether a send had an outcome other than not run.
    """

    arrival: _scenario.Arrival
    nodes: list
    clients_by_node: dict
    keys: object
    record: object
    due_at: float
    key: str = ''
    sends: int = 0
    may_have_run: bool = False

    def run(self):
        """Send the request until it completes or the client gives up.

        Returns
        -------
        ClientEvent
            The ``'end'`` event.
        """
        self._choose_key()
        self.record(self._begin_event())
        answer = self._send_until_done()
        outcome = answer.outcome
        if outcome == NOT_RUN and self.may_have_run:
            outcome = UNKNOWN
        end = attrs.evolve(
            answer,
            event='end',
            outcome=outcome,
            latency_s=time.time() - self.due_at,
        )
        self.record(end)
        return end

    def _begin_event(self):
        kind = self.arrival.kind
        nonce = self.arrival.nonce
        digest = _records.request_digest(
            kind.service,
            kind.method,
            kind.path_for(nonce),
            kind.body_for(nonce),
        )
        return _records.ClientEvent(
            event='begin',
            nonce=nonce,
            at=time.time(),
            class_name=kind.name,
            key=self.key,
            digest=digest,
            paid=kind.paid,
        )

    def _send_until_done(self):
        while True:
            if self._lacks_key():
                return self._no_answer(NOT_RUN, detail='no key was issued')
            answer, retry_after_s = self._send_to_reachable()
            self.sends += 1
            if answer.outcome != NOT_RUN:
                self.may_have_run = True
            if self._is_final(answer):
                return answer
            gevent.sleep(retry_after_s)

    def _is_final(self, answer):
        kind = self.arrival.kind
        return (
            answer.outcome == COMPLETE
            or kind.retries is _scenario.Retries.NONE
            or self.sends >= kind.max_sends
        )

    def _send_to_reachable(self):
        """Send once; try the next node if one refuses the connection."""
        for _ in self.nodes:
            sent_at = time.monotonic()
            answer, retry_after_s = self._send(self.nodes[0])
            elapsed_s = time.monotonic() - sent_at
            answer = attrs.evolve(answer, elapsed_s=elapsed_s)
            self.record(answer)
            if answer.status == 0:
                self.nodes.append(self.nodes.pop(0))
            if answer.detail != NOT_SENT:
                break
            self.keys.discard_keys(answer.node)
            if not self.sends:
                # The key was never sent to any node, so the request may
                # take a new one if the node that issued it is gone.
                self._choose_key()
            if self._lacks_key():
                break
        return answer, retry_after_s

    def _lacks_key(self):
        return self.arrival.kind.paid and not self.key

    def _choose_key(self):
        if not self.arrival.kind.paid:
            return
        for node in self.nodes:
            self.key = self.keys.key_for(self.arrival.nonce, node)
            if self.key:
                return

    def _send(self, node):
        kind = self.arrival.kind
        headers = {'Rosemarycrank-Deadline-Ms': str(kind.deadline_ms)}
        if self.key:
            headers['Idempotency-Key'] = self.key
        nonce = self.arrival.nonce
        try:
            response = self.clients_by_node[node].request(
                kind.method,
                f'/call/{kind.service}{kind.path_for(nonce)}',
                kind.body_for(nonce),
                headers,
                kind.deadline_ms / 1000 + ANSWER_MARGIN_S,
            )
        except http_client.ConnectFailed:
            return self._no_answer(NOT_RUN, node, detail=NOT_SENT), BACKOFF_S
        except http_client.HttpError as error:
            detail = f'no answer: {error}'
            return self._no_answer(UNKNOWN, node, detail=detail), BACKOFF_S
        return self._answer_event(node, response), self._backoff_s(response)

    def _answer_event(self, node, response):
        return attrs.evolve(
            event_from_response(
                'answer', self.arrival.nonce, self.key, node, response
            ),
            request_id=response.headers.get('rosemarycrank-request-id', ''),
            answer_digest=_records.answer_digest(response.body),
        )

    def _no_answer(self, outcome, node='', detail=''):
        return _records.ClientEvent(
            event='answer',
            nonce=self.arrival.nonce,
            at=time.time(),
            key=self.key,
            node=node,
            outcome=outcome,
            detail=detail,
        )

    def _backoff_s(self, response):
        if self.arrival.kind.retries is _scenario.Retries.HARD:
            return 0.0
        get_header = response.headers.get
        delay_ms = get_header('rosemarycrank-retry-after-ms')
        if delay_ms is not None:
            return min(int(delay_ms) / 1000, MAX_RETRY_AFTER_S)
        return BACKOFF_S


def event_from_response(event, nonce, key, node, response):
    """Return the event of a response with the outcome that it states.

    Parameters
    ----------
    event : str
        Name of the event, as in `ClientEvent`.
    nonce : str
        Nonce of the request.
    key : str
        Idempotency key; empty if there is none.
    node : str
        ``host:port`` of the node that responded.
    response : rosemarycrank.http_client.Response
        The response.

    Returns
    -------
    ClientEvent
        The event, at the current time.
    """
    get_header = response.headers.get
    return _records.ClientEvent(
        event=event,
        nonce=nonce,
        at=time.time(),
        key=key,
        node=node,
        outcome=get_header('rosemarycrank-outcome', ''),
        result=int(get_header('rosemarycrank-result', '0')),
        status=response.status,
    )
