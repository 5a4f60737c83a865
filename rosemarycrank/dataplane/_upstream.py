"""HTTP connections to the target on the node's own VM."""

import collections
import logging
import math

import attrs

from rosemarycrank.dataplane import _crash_detection
from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _rate_limit
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _response_reader

#: Longest time to open a connection to a process on the same VM, in seconds.
CONNECT_TIMEOUT_S = 1.0

#: Longest idle time of a connection when the target does not state one in a
#: Keep-Alive header, in seconds.
DEFAULT_MAX_IDLE_S = 4.0

#: Time by which an idle connection is closed before the target would close
#: it, in seconds, so that no request is sent while the target closes it.
IDLE_MARGIN_S = 1.0

#: Longest idle time of a connection that may carry a request that is not
#: idempotent, in seconds: the target may have closed it without notice, and
#: only an idempotent request may be sent again.
MAX_NON_IDEMPOTENT_IDLE_S = 1.0

#: Number of connections, open at the same time, that the target has to close,
#: while none stays open, to show that its process has ended. Single ones are
#: reset for other reasons.
MIN_LOST_CONNECTIONS = 2

#: Number of lost connections that are remembered.
MAX_LOST_CONNECTIONS = 32

#: Time between the first and the last loss of a connection to a process that
#: has ended, in seconds.
LOSS_SPREAD_S = 0.1

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class Answer:
    """Outcome of a request to the local target.

    Attributes
    ----------
    outcome, reason : int
        Values of `Outcome` and `Reason`.
    status : int
        HTTP status; 0 without a response.
    head, body : bytes
        Headers to be passed on, and the body.
    rate_limit_per_s : float or None
        Rate limit that the target names, in requests per second; infinite if
        it names none, None if the answer does not tell.
    is_refused : bool
        Whether no process listens at the address of the target.
    is_leaving : bool
        Whether the target says that it is leaving, in a whole head.
    """

    outcome: int
    reason: int
    status: int = 0
    head: bytes = b''
    body: bytes = b''
    rate_limit_per_s: float | None = None
    is_refused: bool = False
    is_leaving: bool = False


def _keep_alive_timeout_s(value):
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number)
    return DEFAULT_MAX_IDLE_S


class UpstreamConnection:
    """Connection to the target that carries one request at a time.

    Parameters
    ----------
    pool : UpstreamPool
        Pool that owns the connection.

    Attributes
    ----------
    stream : Stream
        The TCP connection.
    idle_since : float
        When the last request ended, in seconds of the node's clock.
    max_idle_s : float
        Idle time after which the target closes the connection.
    """

    __slots__ = (
        'pool',
        'stream',
        'idle_since',
        'max_idle_s',
        '_reader',
        '_request_id',
        '_on_answer',
        '_answer',
        '_has_surplus',
        '_is_reusable',
        '_is_used_again',
        '_connect_timer',
    )

    def __init__(self, pool):
        self.pool = pool
        self.idle_since = 0.0
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self._reader = _response_reader.ResponseReader(
            self._on_response, pool.budget
        )
        self._request_id = b''
        self._on_answer = None
        self._answer = None
        self._has_surplus = False
        self._is_reusable = False
        self._is_used_again = False
        self.stream = _reactor.connect(pool.reactor, pool.address, self)
        self._connect_timer = pool.reactor.timers.after(
            CONNECT_TIMEOUT_S, self._on_connect_timeout
        )

    def start(self, request_id, head, body, without_body, on_answer):
        """Send a request.

        Parameters
        ----------
        request_id : bytes
            Identifier that the response must echo.
        head, body : bytes
            Encoded request line and headers, with the empty line; body.
        without_body : bool
            Whether the response has no body even if it states a length, as
            for a HEAD request.
        on_answer : callable
            Called once with an `Answer`, unless the request is aborted.
        """
        self._request_id = request_id
        self._on_answer = on_answer
        self._reader.expects_no_body = without_body
        self.stream.write(head)
        if body:
            self.stream.write(body)

    def abort(self):
        """Abort the request by closing the connection.

        What has not been sent of it is not sent any more.
        """
        self._on_answer = None
        self.stream.discard_unsent()
        self._discard()

    def is_silent(self):
        """Read an idle connection; return whether nothing has arrived on it.

        Bytes that arrived after the last response would be taken for the
        beginning of the next one. The connection is discarded then.
        """
        self.stream.catch_up()
        return self.stream.is_open

    def received(self, data):
        """Handle bytes received from the target."""
        if self._on_answer is None:
            self._log_surplus(None)
            self._discard()
            return
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            _LOG.info(
                'target sent a malformed response: %s',
                error.reason,
                extra={
                    'event': 'answer_invalid',
                    'request_id': self._request_id,
                },
            )
            if self._answer is None:
                self._fail(_frames.Reason.ANSWER_INVALID)
                return
            self._has_surplus = True
        if self._answer is not None:
            self._end_request()

    def closed(self, error):
        """Handle the end of the connection.

        Parameters
        ----------
        error : OSError or None
            Error that ended it; None if the target closed it.
        """
        connecting = self.stream.is_connecting
        if not connecting:
            self.pool.record_loss(self)
        if self._on_answer is not None and error is None:
            if self._reader.end_of_stream() and self._answer is not None:
                self._end_request()
                return
        if connecting:
            self._finish(
                Answer(
                    _frames.Outcome.NOT_RUN,
                    _frames.Reason.CONNECT_FAILED,
                    is_refused=isinstance(error, ConnectionRefusedError),
                )
            )
            self._discard()
        else:
            self._fail(_frames.Reason.ANSWER_LOST)

    def _on_connect_timeout(self, _now):
        if self.stream.is_open and self.stream.is_connecting:
            self.stream.close()
            self.closed(TimeoutError('connect timed out'))

    def _fail(self, reason):
        head = self._reader.head
        is_leaving = (
            head is not None
            and self._names_request(head)
            and self._is_leaving(head)
        )
        self._finish(
            Answer(_frames.Outcome.UNKNOWN, reason, is_leaving=is_leaving)
        )
        self._discard()

    def _names_request(self, message):
        echoed_id = message.values_by_name.get(self.pool.names.request_id)
        return echoed_id is not None and echoed_id == self._request_id

    def _is_leaving(self, message):
        return message.values_by_name.get(self.pool.names.leaving) == b'1'

    def _finish(self, answer):
        on_answer = self._on_answer
        self._on_answer = None
        self._answer = None
        if on_answer is not None:
            on_answer(answer)

    def _discard(self):
        self._connect_timer.cancel()
        self._reader.close()
        self.stream.close()
        self.pool.discard(self)

    def _on_response(self, message):
        names = self.pool.names
        values = message.values_by_name
        echoed_id = values.get(names.request_id)
        if self._answer is not None or (
            echoed_id is not None and echoed_id != self._request_id
        ):
            # The expected response may still follow, but the connection must
            # not be reused.
            self._has_surplus = True
            self._log_surplus(echoed_id)
            return
        self._answer = self._classify(message, echoed_id)
        self._is_reusable = message.keep_alive and echoed_id is not None
        keep_alive = values.get(b'keep-alive')
        if keep_alive is not None:
            self.max_idle_s = _keep_alive_timeout_s(keep_alive)

    def _end_request(self):
        """Pass on the answer; reuse the connection if nothing follows it."""
        reusable = (
            self._is_reusable
            and not self._has_surplus
            and self.stream.unsent_bytes == 0
            and not self._reader.expects_no_body
        )
        if reusable and not self._reader.is_idle:
            self._log_surplus(None)
            reusable = False
        # The connection is released before the callback, so that a queued
        # attempt that starts in the callback can reuse it.
        answer, self._answer = self._answer, None
        on_answer, self._on_answer = self._on_answer, None
        if reusable:
            self._is_used_again = True
            self.pool.release(self)
        else:
            self._discard()
        on_answer(answer)

    def _log_surplus(self, echoed_id):
        _LOG.info(
            'target sent bytes that belong to no request in flight',
            extra={
                'event': 'answer_extra',
                'request_id': echoed_id,
                'expected': self._request_id,
            },
        )

    def _classify(self, message, echoed_id):
        names = self.pool.names
        values = message.values_by_name
        status = message.status
        # 421 is the answer of another target.
        is_leaving = status != 421 and self._is_leaving(message)
        if not self._is_answer_to_request(message):
            return Answer(
                _frames.Outcome.UNKNOWN, _frames.Reason.ANSWER_INVALID
            )
        if names.not_executed in values or status == 421:
            return Answer(
                _frames.Outcome.NOT_RUN,
                _frames.Reason.REFUSED_BY_TARGET,
                status,
                is_leaving=is_leaving,
                rate_limit_per_s=(
                    None if status == 421 else self._rate_limit_per_s(values)
                ),
            )
        authentic = echoed_id is not None and names.signature in values
        if status < 300 and not authentic or b'content-encoding' in values:
            return Answer(
                _frames.Outcome.UNKNOWN,
                _frames.Reason.ANSWER_INVALID,
                is_leaving=is_leaving and echoed_id is not None,
            )
        return Answer(
            _frames.Outcome.COMPLETE,
            _frames.Reason.NONE,
            status,
            _http1.forwarded_headers(message, frozenset()),
            message.body,
            self._rate_limit_per_s(values),
            is_leaving=is_leaving,
        )

    def _is_answer_to_request(self, message):
        """Return whether a response is not that to an earlier request.

        One that names no request may be a copy on a connection in use again;
        one that names it more than once consists of parts of two.
        """
        name = self.pool.names.request_id
        count = [field for field, _ in message.headers].count(name)
        return count == 1 or (count == 0 and not self._is_used_again)

    def _rate_limit_per_s(self, values):
        value = values.get(self.pool.names.rate_limit)
        if value is None:
            return math.inf
        try:
            return _rate_limit.parse(value)
        except ValueError as error:
            _LOG.info(
                'ignored an invalid header field of the target: %s',
                error,
                extra={
                    'event': 'rate_limit_invalid',
                    'request_id': self._request_id,
                },
            )
            return None


@attrs.frozen
class _Loss:
    """A connection that the target has closed.

    Attributes
    ----------
    opened_at, lost_at : float
        When it was opened and lost, in seconds of the node's clock.
    """

    opened_at: float
    lost_at: float

    def was_open_at(self, time):
        """Return whether it was open at a time."""
        return self.opened_at <= time <= self.lost_at


class UpstreamPool:
    """Pool of connections to the local target, reused last in, first out.

    Parameters
    ----------
    reactor : Reactor
        Event loop.
    address : tuple of (str, int)
        Address of the target.
    names : HeaderNames
        Names of header fields.
    budget : Budget, optional
        Memory for the unfinished responses of all connections; a default one
        if not given.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    """

    def __init__(self, reactor, address, names, budget=None):
        self.reactor = reactor
        self.address = address
        self.names = names
        self.opened = 0
        self._opened_at_by_connection = {}
        self._losses = collections.deque(maxlen=MAX_LOST_CONNECTIONS)
        self.budget = budget or _memory.MemoryAccount().budget('responses')
        self._idle = []
        self._retire_timer = reactor.timers.every(0.25, self._close_expired)

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._opened_at_by_connection)

    def acquire(self, idempotent):
        """Return an idle or a new connection for one request.

        Parameters
        ----------
        idempotent : bool
            Whether the request may be sent again if the target has closed
            the connection without notice.
        """
        now = self.reactor.now()
        while self._idle:
            connection = self._idle[-1]
            idle_s = now - connection.idle_since
            if idle_s > connection.max_idle_s - IDLE_MARGIN_S:
                connection.abort()
            elif not (idempotent or idle_s <= MAX_NON_IDEMPOTENT_IDLE_S):
                break
            elif idempotent or connection.is_silent():
                # Bytes that lie unread there can spoil the answer, which is
                # unknown then. Only an idempotent request is sent again, so
                # that the read, a system call, is spared.
                self._idle.pop()
                return connection
        self.opened += 1
        connection = UpstreamConnection(self)
        self._opened_at_by_connection[connection] = now
        return connection

    def probe(self, on_outcome):
        """Find out whether the process of the target has ended.

        Parameters
        ----------
        on_outcome : callable
            Called once with the outcome.
        """
        _crash_detection.ProcessProbe(self.reactor, self.address, on_outcome)

    def has_lost_all(self, since):
        """Return whether the target has closed all connections at once.

        Parameters
        ----------
        since : float
            Time of the first loss, in seconds of the node's clock.
            Connections that were opened later don't count.
        """
        opened = self._opened_at_by_connection.values()
        if any(opened_at < since for opened_at in opened):
            return False
        losses = [
            loss
            for loss in self._losses
            if loss.lost_at >= since - LOSS_SPREAD_S
        ]
        # A process that ends closes what was open then, and nothing later.
        return any(
            sum(loss.was_open_at(end.lost_at) for loss in losses)
            >= MIN_LOST_CONNECTIONS
            for end in losses
        )

    def record_loss(self, connection):
        """Record that the target has closed a connection."""
        now = self.reactor.now()
        opened_at = self._opened_at_by_connection.get(connection, now)
        self._losses.append(_Loss(opened_at, now))

    def release(self, connection):
        """Return a connection to the pool after its request has ended."""
        connection.idle_since = self.reactor.now()
        self._idle.append(connection)

    def discard(self, connection):
        """Remove a closed connection from the pool."""
        self._opened_at_by_connection.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self):
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()

    def _close_expired(self, now):
        while self._idle:
            oldest = self._idle[0]
            idle_s = now - oldest.idle_since
            if idle_s <= oldest.max_idle_s - IDLE_MARGIN_S:
                return
            oldest.abort()
