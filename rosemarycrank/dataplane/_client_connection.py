"""Connection of a client or of the local target to this node."""

import collections

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _lingering
from rosemarycrank.dataplane import _memory
from rosemarycrank.dataplane import _reactor
from rosemarycrank.dataplane import _request_reader

#: Maximum number of requests of one connection that are in flight at once;
#: reading pauses at this number.
MAX_PIPELINED_REQUESTS = 32

#: Size of the unsent responses of one connection above which reading pauses,
#: so that a client that does not read cannot fill the memory.
MAX_UNSENT_BYTES = 256 * 1024

#: Memory that a response takes beside its bytes while it waits for those
#: before it, in bytes.
RESPONSE_OVERHEAD_BYTES = 1024


class ClientConnection:
    """Connection that reads requests and writes the responses in order.

    Parameters
    ----------
    server : ClientServer
        Server that accepted the connection.
    sock : socket.socket
        Socket of the connection.
    hold : Hold
        Memory that the connection takes.

    Attributes
    ----------
    stream : Stream
        Stream of the connection.
    closing : bool
        Whether further input is ignored.
    last_progress_at : float
        Time at which data was last received, a response was written or
        output was last seen to be sent, in seconds of the node's clock.
    """

    __slots__ = (
        'server',
        'stream',
        'last_progress_at',
        'closing',
        '_hold',
        '_reader',
        '_is_unfinished',
        '_exchanges',
        '_not_begun',
        '_is_beginning',
        '_must_catch_up',
        '_paused',
        '_response_is_last',
        '_lingering_close',
        '_unsent_at_last_check',
        '_output_bytes',
        '_unread_bytes',
        '_read_at',
    )

    def __init__(self, server, sock, hold):
        self.server = server
        self.closing = False
        self.last_progress_at = server.reactor.now()
        self._reader = _request_reader.RequestReader(
            server.limits,
            self._handle_request,
            self._send_continue,
            server.budget,
            server.connection_budget,
            self._make_room,
        )
        self._hold = hold
        self._is_unfinished = False
        self._exchanges = []
        self._not_begun = collections.deque()
        self._is_beginning = False
        # A new connection may have waited to be accepted.
        self._must_catch_up = True
        self._paused = False
        self._response_is_last = False
        self._lingering_close = None
        self._unsent_at_last_check = 0
        # Memory of responses that have not been sent, and when the client has
        # last read some of them.
        self._output_bytes = 0
        self._read_at = 0.0
        # Memory of what has arrived while reading is paused.
        self._unread_bytes = 0
        self.stream = _reactor.Stream(server.reactor, sock, self)
        self.stream.on_drained = self._handle_drained
        self.stream.on_blocked = self._count_output

    @property
    def is_idle(self):
        """Whether no request is partly received or in flight."""
        reader = self._reader
        return not (self._exchanges or reader.started or reader.has_rest)

    @property
    def is_unfinished(self):
        """Whether all that there is of requests is part of one."""
        return (
            self._reader.started and not self._exchanges and not self.closing
        )

    def received(self, data):
        """Parse received bytes and start the requests that are complete."""
        if self.closing:
            self._ignore_input()
            return
        self.last_progress_at = self.server.reactor.now()
        self._parse(data)
        if (
            len(self._exchanges) >= MAX_PIPELINED_REQUESTS
            or self.stream.unsent_bytes > MAX_UNSENT_BYTES
        ):
            self._pause()
        self._begin_requests()

    def _parse(self, data):
        self._reader.limits = self.server.limits
        try:
            self._reader.feed(data)
        except _http1.MessageError as error:
            self._reject(error)
        if self._is_unfinished or self._reader.unfinished_head is not None:
            self._record_unfinished()

    def catch_up(self):
        """Read what has arrived, to know whether the client is still there.

        A client that has left gets no response, so its requests are abandoned.
        """
        if self._is_beginning:
            # All has been read a moment ago.
            return
        self._catch_up()

    def closed(self, _error):
        """Abandon the requests in flight after the connection was lost."""
        self.server.discard(self)
        self._reader.close()
        self._hold.release()
        self._record_output(0)
        self._record_unread(0)
        self._not_begun.clear()
        exchanges, self._exchanges = self._exchanges, []
        for exchange in exchanges:
            self.server.entry.abandon(exchange)

    def close(self):
        """Close the connection and abandon its requests in flight."""
        self.stream.close()
        self.closed(None)

    @property
    def has_unsent_output(self):
        """Whether a response may not have reached the client yet.

        After the last response it may not have until the connection ends.
        """
        return self._response_is_last or self.stream.unacknowledged_bytes() > 0

    def close_when_idle(self):
        """Close the connection if it is idle and all output has arrived."""
        if self.is_idle and not self.has_unsent_output:
            self.close()

    def response_ready(self, exchange):
        """Write the responses that are next in the order of the requests.

        Parameters
        ----------
        exchange : Exchange
            Exchange whose ``response`` has been set.
        """
        exchanges = self._exchanges
        while exchanges and exchanges[0].response is not None:
            first = exchanges.pop(0)
            is_last = not exchanges and (
                not first.keep_alive
                or (self.server.draining and not self._reader.has_rest)
            )
            data = first.response
            if is_last:
                data = data.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)
            self.stream.write(data)
            if first.response_body:
                self.stream.write(first.response_body)
            first.response = first.response_body = b''
            if is_last or not first.keep_alive:
                self._shutdown_output()
                return
        self.last_progress_at = self.server.reactor.now()
        if exchange.response or self._output_bytes:
            self._count_output()
        if self._reader.unfinished_head is not None:
            self._record_unfinished()
        if self._paused:
            self._resume_if_due()

    def check_timeouts(self, now):
        """Close the connection if its client has left or is too slow.

        While reading is paused, the end of the connection is not read.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        """
        if self._paused:
            if self.stream.peer_has_closed():
                self.close()
                return
            self._record_unread(self.stream.unread_bytes())
        limits = self.server.limits
        unsent_bytes = self.stream.unsent_bytes
        if unsent_bytes < self._unsent_at_last_check:
            self.last_progress_at = self._read_at = now
        self._unsent_at_last_check = unsent_bytes
        if self._output_bytes:
            self._count_output()
        if self._not_begun and self._paused:
            self._resume_if_due()
        elapsed_s = now - self.last_progress_at
        if self._lingering_close is not None:
            if self._lingering_close.is_over(now, limits.idle_timeout_s):
                self.close()
        elif len(self._exchanges) > len(self._not_begun):
            return
        elif self._paused or unsent_bytes:
            # The client does not read its responses.
            if elapsed_s > limits.idle_timeout_s:
                self.close()
        elif self._reader.started:
            timed_out = elapsed_s > (
                limits.idle_timeout_s
                if self._reader.in_body
                else limits.header_timeout_s
            )
            if timed_out:
                self._reject(_http1.MessageError(408, 'request too slow'))
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    def give_up_unfinished(self):
        """Refuse the request that is not complete, for want of memory."""
        head = self._reader.unfinished_head
        if head is None:
            error = _http1.NoMemoryError(0, self.server.budget)
        else:
            error = _http1.NoMemoryError(
                len(head), self.server.connection_budget
            )
        self._reject(error)

    def _make_room(self):
        return self._is_unfinished and self.server.refuse_newer(self)

    def _record_unfinished(self):
        """Record whether all that there is of a request is part of a head."""
        is_unfinished = (
            self._reader.unfinished_head is not None and not self._exchanges
        )
        if is_unfinished != self._is_unfinished:
            self._is_unfinished = is_unfinished
            self.server.record_unfinished(self, is_unfinished)

    def _handle_request(self, message):
        if self.closing:
            message.release()
            return
        exchange = self.server.entry.open(message, self)
        if not message.keep_alive:
            self.closing = True
        self._exchanges.append(exchange)
        self._not_begun.append(exchange)
        if len(self._exchanges) >= MAX_PIPELINED_REQUESTS:
            self._reader.is_paused = True

    def _begin_requests(self):
        """Begin the requests that have been read, if their client is there."""
        if self._is_beginning or not self._not_begun:
            return
        reactor = self.server.reactor
        self._is_beginning = True
        try:
            while self._not_begun:
                if self._output_bytes and self.server.is_output_short():
                    self._pause()
                    return
                read_at = self._not_begun[0].arrived_at
                if (
                    self._must_catch_up
                    or self._paused
                    or reactor.is_behind(read_at)
                ):
                    self._must_catch_up = False
                    self._catch_up()
                    if not self._not_begun:
                        return
                exchange = self._not_begun.popleft()
                if exchange.response is not None:
                    continue
                if self.server.is_output_full:
                    self.server.refuse(exchange)
                else:
                    self.server.entry.begin(exchange)
        finally:
            self._is_beginning = False

    def _catch_up(self):
        if not self.stream.catch_up() and self.stream.peer_has_closed():
            self.close()

    def _send_continue(self):
        if not self._exchanges:
            self.stream.write(_http1.CONTINUE)

    def _reject(self, error):
        self.closing = True
        request = self._reader.request_so_far()
        self._reader.close()
        exchange = self.server.entry.refuse_message(error, request, self)
        self._exchanges.append(exchange)
        self._record_unfinished()
        self.response_ready(exchange)

    def _ignore_input(self):
        if self._lingering_close is not None:
            self._lingering_close.record_input(self.server.reactor.now())

    def _shutdown_output(self):
        self.closing = True
        self._reader.close()
        self._not_begun.clear()
        self._response_is_last = True
        self._resume()
        abandoned, self._exchanges = self._exchanges, []
        for exchange in abandoned:
            self.server.entry.abandon(exchange)
        self.stream.shutdown_write()

    def _pause(self):
        if not self._paused:
            self._paused = True
            self.stream.pause()

    def _resume(self):
        self._paused = False
        self._record_unread(0)
        self.stream.resume()

    def _resume_if_due(self):
        """Go on with requests that have been received, and then to read."""
        if (
            len(self._exchanges) >= MAX_PIPELINED_REQUESTS
            or self.stream.unsent_bytes >= MAX_UNSENT_BYTES
            or (self._output_bytes and self.server.is_output_short())
        ):
            return
        self._reader.is_paused = False
        if not self.closing:
            # The client may have left since they were received.
            self._must_catch_up = True
            self._parse(b'')
        if self.closing or not self._reader.is_paused:
            self._resume()
        self._begin_requests()

    @property
    def output_bytes(self):
        """Memory of responses that have not been sent, as counted."""
        return self._output_bytes

    @property
    def read_at(self):
        """When the client has last read some output that was blocked."""
        return self._read_at

    def _count_output(self):
        """Count the memory of the responses that have not been sent.

        Bodies that are counted until they are freed are left out.
        """
        buffers = self.stream.unsent_buffers()
        size = 0
        for exchange in self._exchanges:
            if exchange.response:
                size += RESPONSE_OVERHEAD_BYTES
                buffers.append(exchange.response)
                buffers.append(exchange.response_body)
        for buffer in buffers:
            if type(buffer) is not _memory.HeldBuffer or buffer.hold is None:
                size += len(buffer)
        self._record_output(size)

    def _record_output(self, size):
        if not self._output_bytes and size:
            self._read_at = self.server.reactor.now()
        additional = size - self._output_bytes
        self._output_bytes = size
        if additional:
            self.server.record_output(additional)

    def _record_unread(self, count):
        """Count what has arrived and is not read, also beyond the limit."""
        additional = count - self._unread_bytes
        self._unread_bytes = count
        if additional:
            self.server.connection_budget.take(additional)

    def _handle_drained(self):
        self.last_progress_at = self.server.reactor.now()
        if self._output_bytes:
            self._count_output()
        if self._response_is_last:
            self._lingering_close = _lingering.LingeringClose(
                self.stream, self.last_progress_at
            )
            return
        if self._paused:
            self._resume_if_due()
