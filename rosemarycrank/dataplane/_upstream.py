"""Connections to the target on the node's own VM."""

import logging

import attrs

from rosemarycrank.dataplane import _frames
from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _reactor

#: Longest time to open a connection to a process on the same VM, seconds.
CONNECT_TIMEOUT_S = 1.0

#: Idle time after which a connection is closed when the target does not
#: state its own, in seconds.
DEFAULT_IDLE_S = 4.0

#: A connection is retired this long before the target closes it, in
#: seconds, so that no request crosses the close.
IDLE_MARGIN_S = 1.0

#: Idle time after which a connection carries only requests that may run
#: twice, in seconds: the target may have dropped it without notice.
FRESH_S = 1.0

_LOG = logging.getLogger(__name__)


@attrs.define(eq=False, slots=True)
class Answer:
    """How a call of the local target ended."""

    outcome: int
    reason: int
    status: int = 0
    head: bytes = b''
    body: bytes = b''


def _keep_alive_s(value):
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number)
    return DEFAULT_IDLE_S


class UpstreamConnection:
    """One connection; runs one request at a time.

    Parameters
    ----------
    pool : UpstreamPool
        Owner.
    """

    __slots__ = (
        'pool',
        'stream',
        'idle_since',
        'idle_limit_s',
        '_reader',
        '_request_id',
        '_on_answer',
        '_spoiled',
        '_connect_timer',
    )

    def __init__(self, pool):
        self.pool = pool
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self._reader = _http1.ResponseReader(self._responded)
        self._request_id = b''
        self._on_answer = None
        self._spoiled = False
        self.stream = _reactor.connect(pool.reactor, pool.address, self)
        self._connect_timer = pool.reactor.timers.after(
            CONNECT_TIMEOUT_S, self._connect_expired
        )

    def start(self, request_id, data, without_body, on_answer):
        """Send a request.

        Parameters
        ----------
        request_id : bytes
            Identifier that the answer has to echo.
        data : bytes
            The encoded request.
        without_body : bool
            Whether its answer has no body whatever its length says.
        on_answer : callable
            Called once with an `Answer`, unless the call is aborted.
        """
        self._request_id = request_id
        self._on_answer = on_answer
        self._reader.expects_no_body = without_body
        self.stream.write(data)

    def abort(self):
        """Give the request up; the target notices the close."""
        self._on_answer = None
        self._discard()

    def received(self, data):
        """Read bytes of the target."""
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            _LOG.info(
                'target sent what is not an answer: %s',
                error.reason,
                extra={
                    'event': 'answer_invalid',
                    'request_id': self._request_id,
                },
            )
            self._fail(_frames.Reason.ANSWER_INVALID)

    def closed(self, error):
        """Take the end of the connection."""
        connecting = self.stream.is_connecting
        if self._on_answer is not None and error is None:
            if self._reader.end_of_stream() and self._on_answer is None:
                self._discard()
                return
        if connecting:
            self._finish(
                Answer(_frames.Outcome.NOT_RUN, _frames.Reason.CONNECT_FAILED)
            )
            self._discard()
        else:
            self._fail(_frames.Reason.ANSWER_LOST)

    def _connect_expired(self, _now):
        if self.stream.is_open and self.stream.is_connecting:
            self.stream.close()
            self.closed(TimeoutError('connect timed out'))

    def _fail(self, reason):
        self._finish(Answer(_frames.Outcome.UNKNOWN, reason))
        self._discard()

    def _finish(self, answer):
        on_answer = self._on_answer
        self._on_answer = None
        if on_answer is not None:
            on_answer(answer)

    def _discard(self):
        self._connect_timer.cancel()
        self.stream.close()
        self.pool.discard(self)

    def _responded(self, message):
        names = self.pool.names
        values = message.values_by_name
        echoed = values.get(names.request_id)
        if self._on_answer is None or (
            echoed is not None and echoed != self._request_id
        ):
            # An extra answer to an earlier request. The one that is waited
            # for may still follow, but nothing after it.
            self._spoiled = True
            _LOG.info(
                'answer to another request dropped',
                extra={
                    'event': 'answer_extra',
                    'request_id': echoed,
                    'expected': self._request_id,
                },
            )
            if self._on_answer is None:
                self._discard()
            return
        answer = self._judge(message, echoed)
        reusable = (
            message.keep_alive
            and not self._spoiled
            and self.stream.unsent_bytes == 0
            and not self._reader.expects_no_body
        )
        keep_alive = values.get(b'keep-alive')
        if keep_alive is not None:
            self.idle_limit_s = _keep_alive_s(keep_alive)
        # Released first, so that what waits for a slot can use it.
        on_answer = self._on_answer
        self._on_answer = None
        if reusable:
            self.pool.release(self)
        else:
            self._discard()
        on_answer(answer)

    def _judge(self, message, echoed):
        names = self.pool.names
        values = message.values_by_name
        status = message.status
        if names.not_executed in values or status == 421:
            return Answer(
                _frames.Outcome.NOT_RUN,
                _frames.Reason.REFUSED_BY_TARGET,
                status,
            )
        genuine = echoed is not None and names.signature in values
        if status < 300 and not genuine or b'content-encoding' in values:
            return Answer(
                _frames.Outcome.UNKNOWN, _frames.Reason.ANSWER_INVALID
            )
        return Answer(
            _frames.Outcome.COMPLETE,
            _frames.Reason.NONE,
            status,
            _http1.forwarded_headers(message, frozenset()),
            message.body,
        )


class UpstreamPool:
    """Open connections to the local target, reused last in, first out.

    Parameters
    ----------
    reactor : Reactor
        The loop.
    address : tuple of (str, int)
        Address of the target.
    names : HeaderNames
        Names of header fields.

    Attributes
    ----------
    opened : int
        Connections opened so far.
    """

    def __init__(self, reactor, address, names):
        self.reactor = reactor
        self.address = address
        self.names = names
        self.opened = 0
        self._idle = []
        self._retiring = reactor.timers.every(0.25, self._retire)

    def acquire(self, idempotent):
        """Return a connection for one request.

        Parameters
        ----------
        idempotent : bool
            Whether the request may be sent again if the target has dropped
            the connection without notice.
        """
        now = self.reactor.now()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            if idle_s > connection.idle_limit_s - IDLE_MARGIN_S:
                connection.abort()
            elif idempotent or idle_s <= FRESH_S:
                return connection
            else:
                self._idle.append(connection)
                break
        self.opened += 1
        return UpstreamConnection(self)

    def release(self, connection):
        """Take back a connection whose request is answered."""
        connection.idle_since = self.reactor.now()
        self._idle.append(connection)

    def discard(self, connection):
        """Forget a connection that is closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self):
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()

    def _retire(self, now):
        while self._idle:
            oldest = self._idle[0]
            idle_s = now - oldest.idle_since
            if idle_s <= oldest.idle_limit_s - IDLE_MARGIN_S:
                return
            oldest.abort()
