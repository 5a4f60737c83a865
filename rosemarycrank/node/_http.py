"""HTTP interface for clients and for the local upstream's own calls."""

import math
import select
import urllib.parse
import uuid

import falcon
import gevent
from gevent import event

from rosemarycrank import kernel
from rosemarycrank.node import _web
from rosemarycrank import results

#: Longest wait for a request body, in seconds.
BODY_TIMEOUT_S = 10.0

#: How long past its deadline a call may take to be answered, in seconds.
ANSWER_GRACE_S = 5.0

LONGEST_DEADLINE_S = 600.0
PRESENCE_CHECK_S = 0.25

MAX_KEYS_PER_REQUEST = 1000
MAX_KEY_LENGTH = 256

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'host',
        'keep-alive',
        'proxy-authorization',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    }
)
_OWN_PREFIX = 'rosemarycrank-'


class BadRequest(Exception):
    """A request that is refused before it reaches the kernel.

    Parameters
    ----------
    result : rosemarycrank.results.Result
        Why.
    """

    def __init__(self, result):
        super().__init__(result.meaning)
        self.result = result


class ClientApplication:
    """WSGI application for clients.

    Parameters
    ----------
    post : callable
        Hands an event to the kernel.
    ask : callable
        Calls a function between two events of the kernel.
    key_ledger : rosemarycrank.ledger.Ledger
        Issues and looks up idempotency keys.
    max_body_bytes : int
        Longest request body.
    """

    def __init__(self, post, ask, key_ledger, max_body_bytes):
        self.post = post
        self.max_body_bytes = max_body_bytes
        self._waiting_by_request_id = {}
        self.wsgi = falcon.App()
        self.wsgi.add_sink(
            self._on_call, r'/call/(?P<service>[^/]+)(?P<path>/.*)?'
        )
        self.wsgi.add_route('/keys', _Keys(ask, key_ledger))
        self.wsgi.add_route('/keys/{key}', _Key(ask, key_ledger))

    def reply(self, effect):
        """Give a waiting client its answer.

        Parameters
        ----------
        effect : rosemarycrank.kernel.Reply
            The answer.
        """
        waiting = self._waiting_by_request_id.pop(effect.request_id, None)
        if waiting is not None:
            waiting.set(effect.answer)

    def waiting(self):
        """Return how many clients wait for an answer.

        Returns
        -------
        int
            Clients.
        """
        return len(self._waiting_by_request_id)

    def _on_call(self, req, resp, service, path=None):
        request_id = uuid.uuid4().hex
        resp.set_header('Rosemarycrank-Request-Id', request_id)
        try:
            request = self._read(req, request_id, service, path or '/')
        except BadRequest as error:
            write_answer(resp, kernel.Answer(error.result))
            return
        waiting = event.AsyncResult()
        self._waiting_by_request_id[request_id] = waiting
        self.post(request)
        write_answer(resp, self._wait(req, request, waiting))

    def _read(self, req, request_id, service, path):
        if req.query_string:
            target = f'{urllib.parse.quote(path)}?{req.query_string}'
        else:
            target = urllib.parse.quote(path)
        key = req.get_header('Idempotency-Key') or ''
        if len(key) > MAX_KEY_LENGTH or not key.isprintable():
            raise BadRequest(results.Result.KEY_INVALID)
        return kernel.ClientRequest(
            request_id=request_id,
            service=service,
            method=req.method,
            path=target,
            headers=_forwarded_headers(req.headers),
            body=self._read_body(req),
            deadline_s=_deadline_s(req),
            key=key,
            token=req.get_header('Rosemarycrank-Token') or '',
        )

    def _read_body(self, req):
        length = req.content_length
        if length is not None and length > self.max_body_bytes:
            raise BadRequest(results.Result.BODY_TOO_LARGE)
        if length is None and req.get_header('Transfer-Encoding') is None:
            return b''
        try:
            with gevent.Timeout(BODY_TIMEOUT_S):
                body = req.stream.read(self.max_body_bytes + 1)
        except (OSError, gevent.Timeout) as error:
            raise BadRequest(results.Result.BODY_TRUNCATED) from error
        if len(body) > self.max_body_bytes:
            raise BadRequest(results.Result.BODY_TOO_LARGE)
        if length is not None and len(body) < length:
            raise BadRequest(results.Result.BODY_TRUNCATED)
        return body

    def _wait(self, req, request, waiting):
        longest_s = (request.deadline_s or LONGEST_DEADLINE_S) + ANSWER_GRACE_S
        waited_s = 0.0
        connection = req.env.get(_web.SOCKET_KEY)
        while waited_s < longest_s:
            if waiting.wait(PRESENCE_CHECK_S) is not None:
                return waiting.get()
            waited_s += PRESENCE_CHECK_S
            if connection is not None and _is_gone(connection):
                self.post(kernel.ClientGone(request.request_id))
                connection = None
        self._waiting_by_request_id.pop(request.request_id, None)
        return kernel.Answer(results.Result.DEADLINE_PASSED)


class _Keys:
    """Issues keys."""

    def __init__(self, ask, key_ledger):
        self.ask = ask
        self.key_ledger = key_ledger

    def on_post(self, req, resp):
        count = req.get_param_as_int('count', default=1)
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            raise falcon.HTTPBadRequest(
                description=f'count: got {count}, allowed 1 to '
                f'{MAX_KEYS_PER_REQUEST}'
            )
        keys = self.ask(lambda: self.key_ledger.issue(count))
        resp.media = {'keys': keys}


class _Key:
    """Tells what became of a key."""

    def __init__(self, ask, key_ledger):
        self.ask = ask
        self.key_ledger = key_ledger

    def on_get(self, req, resp, key):
        waiting = event.AsyncResult()
        self.ask(lambda: self.key_ledger.query(key, waiting.set))
        try:
            answer = waiting.get(timeout=ANSWER_GRACE_S)
        except gevent.Timeout:
            answer = kernel.Answer(results.Result.OWNER_UNREACHABLE)
        write_answer(resp, answer)


def write_answer(resp, answer):
    """Write a final answer to an HTTP response.

    Parameters
    ----------
    resp : falcon.Response
        Response to fill in.
    answer : rosemarycrank.kernel.Answer
        The answer.
    """
    result = answer.result
    complete = result.outcome is results.Outcome.COMPLETE
    resp.set_header('Rosemarycrank-Result', str(result.number))
    resp.set_header('Rosemarycrank-Outcome', result.outcome.value)
    if complete:
        resp.status = answer.status or result.http_status
        resp.data = answer.body
        for name, value in answer.headers.items():
            lower = name.lower()
            if lower not in _HOP_BY_HOP and not lower.startswith(_OWN_PREFIX):
                resp.set_header(name, value)
        return
    resp.status = result.http_status
    resp.media = {'result': result.number, 'meaning': result.meaning}
    if answer.retry_after_s > 0:
        resp.set_header('Retry-After', str(math.ceil(answer.retry_after_s)))
        resp.set_header(
            'Rosemarycrank-Retry-After-Ms',
            str(math.ceil(answer.retry_after_s * 1000)),
        )


def _forwarded_headers(headers):
    return {
        name.title(): value
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP
        and not name.lower().startswith(_OWN_PREFIX)
    }


def _deadline_s(req):
    value = req.get_header('Rosemarycrank-Deadline-Ms')
    if value is None:
        return None
    # Only ASCII digits: int() would take signs, spaces and underscores.
    if not (value.isascii() and value.isdigit() and len(value) <= 9):
        raise BadRequest(results.Result.BAD_DEADLINE)
    deadline_s = int(value) / 1000.0
    if not 0.0 < deadline_s <= LONGEST_DEADLINE_S:
        raise BadRequest(results.Result.BAD_DEADLINE)
    return deadline_s


def _is_gone(connection):
    """Return whether the peer has closed its end."""
    # A poll on the descriptor, since gevent's sockets wait in recv().
    poll = select.poll()
    try:
        poll.register(connection.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
