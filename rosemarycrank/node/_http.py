"""HTTP interface for clients and for calls that the local upstream makes."""

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

#: Time for which the kernel's answer is awaited after the deadline of a call,
#: and longest wait for the result of a key, in seconds.
ANSWER_GRACE_S = 5.0

MAX_DEADLINE_S = 600.0

#: Interval at which the node checks whether a waiting client has
#: disconnected, in seconds.
DISCONNECT_CHECK_PERIOD_S = 0.25

MAX_KEYS_PER_REQUEST = 1000
MAX_KEY_LENGTH = 256

#: Headers that concern one connection, or that each side sets itself. They
#: are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
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
_OWN_HEADER_PREFIX = 'rosemarycrank-'


class BadRequest(Exception):
    """A request that is refused before it reaches the kernel.

    Parameters
    ----------
    result : rosemarycrank.results.Result
        Result code that states the reason.
    """

    def __init__(self, result):
        super().__init__(result.meaning)
        self.result = result


class ClientApplication:
    """WSGI application for clients.

    Parameters
    ----------
    post : callable
        Called with each event for the kernel.
    run_in_kernel : callable
        Runs a function in the kernel's greenlet and returns its result.
    key_ledger : rosemarycrank.ledger.Ledger
        Issues and looks up idempotency keys.
    max_body_bytes : int
        Maximum length of a request body.
    """

    def __init__(self, post, run_in_kernel, key_ledger, max_body_bytes):
        self.post = post
        self.max_body_bytes = max_body_bytes
        self._pending_by_request_id = {}
        self.wsgi = falcon.App()
        self.wsgi.add_sink(
            self._on_call, r'/call/(?P<service>[^/]+)(?P<path>/.*)?'
        )
        self.wsgi.add_route('/keys', _KeysResource(run_in_kernel, key_ledger))
        self.wsgi.add_route(
            '/keys/{key}', _KeyResource(run_in_kernel, key_ledger)
        )

    def reply(self, effect):
        """Send a waiting client its answer.

        Parameters
        ----------
        effect : rosemarycrank.kernel.Reply
            Effect with the answer.
        """
        pending = self._pending_by_request_id.pop(effect.request_id, None)
        if pending is not None:
            pending.set(effect.answer)

    def waiting_count(self):
        """Return the number of clients that wait for an answer.

        Returns
        -------
        int
            Number of clients.
        """
        return len(self._pending_by_request_id)

    def _on_call(self, req, resp, service, path=None):
        request_id = uuid.uuid4().hex
        resp.set_header('Rosemarycrank-Request-Id', request_id)
        try:
            request = self._read_request(req, request_id, service, path or '/')
        except BadRequest as error:
            write_answer(resp, kernel.Answer(error.result))
            return
        pending = event.AsyncResult()
        self._pending_by_request_id[request_id] = pending
        self.post(request)
        write_answer(resp, self._wait_for_answer(req, request, pending))

    def _read_request(self, req, request_id, service, path):
        if req.query_string:
            path_and_query = f'{urllib.parse.quote(path)}?{req.query_string}'
        else:
            path_and_query = urllib.parse.quote(path)
        key = req.get_header('Idempotency-Key') or ''
        if len(key) > MAX_KEY_LENGTH or not key.isprintable():
            raise BadRequest(results.Result.KEY_INVALID)
        return kernel.ClientRequest(
            request_id=request_id,
            service=service,
            method=req.method,
            path=path_and_query,
            headers=_forwarded_headers(req.headers),
            body=self._read_body(req),
            deadline_s=_read_deadline_s(req),
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

    def _wait_for_answer(self, req, request, pending):
        max_wait_s = (request.deadline_s or MAX_DEADLINE_S) + ANSWER_GRACE_S
        waited_s = 0.0
        connection = req.env.get(_web.SOCKET_KEY)
        while waited_s < max_wait_s:
            if pending.wait(DISCONNECT_CHECK_PERIOD_S) is not None:
                return pending.get()
            waited_s += DISCONNECT_CHECK_PERIOD_S
            if connection is not None and _is_disconnected(connection):
                self.post(kernel.ClientGone(request.request_id))
                # Set to None so that the event is posted only once.
                connection = None
        self._pending_by_request_id.pop(request.request_id, None)
        return kernel.Answer(results.Result.DEADLINE_PASSED)


class _KeysResource:
    """Issues idempotency keys."""

    def __init__(self, run_in_kernel, key_ledger):
        self.run_in_kernel = run_in_kernel
        self.key_ledger = key_ledger

    def on_post(self, req, resp):
        count = req.get_param_as_int('count', default=1)
        if not 1 <= count <= MAX_KEYS_PER_REQUEST:
            raise falcon.HTTPBadRequest(
                description=f'count: got {count}, allowed 1 to '
                f'{MAX_KEYS_PER_REQUEST}'
            )
        keys = self.run_in_kernel(lambda: self.key_ledger.issue(count))
        resp.media = {'keys': keys}


class _KeyResource:
    """Returns the outcome of the request that was sent with a key."""

    def __init__(self, run_in_kernel, key_ledger):
        self.run_in_kernel = run_in_kernel
        self.key_ledger = key_ledger

    def on_get(self, req, resp, key):
        pending = event.AsyncResult()
        self.run_in_kernel(lambda: self.key_ledger.query(key, pending.set))
        try:
            answer = pending.get(timeout=ANSWER_GRACE_S)
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
        Answer. Its status, headers and body are used only if its outcome is
        complete.
    """
    result = answer.result
    complete = result.outcome is results.Outcome.COMPLETE
    resp.set_header('Rosemarycrank-Result', str(result.number))
    resp.set_header('Rosemarycrank-Outcome', result.outcome.value)
    if complete:
        resp.status = answer.status or result.http_status
        resp.data = answer.body
        for name, value in answer.headers.items():
            lower_name = name.lower()
            if (
                lower_name not in _HOP_BY_HOP_HEADERS
                and not lower_name.startswith(_OWN_HEADER_PREFIX)
            ):
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
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and not name.lower().startswith(_OWN_HEADER_PREFIX)
    }


def _read_deadline_s(req):
    value = req.get_header('Rosemarycrank-Deadline-Ms')
    if value is None:
        return None
    # int() would also accept signs, spaces, underscores and other digits.
    if not (value.isascii() and value.isdigit() and len(value) <= 9):
        raise BadRequest(results.Result.BAD_DEADLINE)
    deadline_s = int(value) / 1000.0
    if not 0.0 < deadline_s <= MAX_DEADLINE_S:
        raise BadRequest(results.Result.BAD_DEADLINE)
    return deadline_s


def _is_disconnected(connection):
    """Return whether the peer has closed its end of the connection."""
    # The descriptor is polled since recv() on a gevent socket would wait.
    poll = select.poll()
    try:
        poll.register(connection.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
