"""Incremental parser for the requests of one connection."""

import logging
import re
import sys

import httptools

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory

#: Size by which the text of a head may exceed the limit of its header section,
#: for the rest of the request line, line ends and white space, in bytes.
MAX_HEAD_EXCESS_BYTES = 64

#: Size of a head up to which its beginning is checked with each part that is
#: received, as the method may be invalid, in bytes.
MAX_METHOD_BYTES = 64

#: Memory that a reader takes for the text of an unfinished head beside the
#: text, in bytes.
UNFINISHED_HEAD_OVERHEAD_BYTES = 256

_LINE_END_BYTES = b'\r\n'
_HEAD_END = b'\r\n\r\n'

# Line ends behind which a chunked body may be complete. The line before the
# first one may have been received earlier.
_FIRST_CHUNKED_END = re.compile(rb'\n\r?\n|\A\r?\n')
_CHUNKED_END = re.compile(rb'\n\r?\n')

# Size of a chunk at the beginning of its line, and the number of its digits
# that are kept while the line is incomplete: more than a valid size has.
_CHUNK_SIZE = re.compile(rb'[0-9a-fA-F]*')
_MAX_CHUNK_DIGITS = 20

# Chunks of up to 63 bytes that stand one behind the other: a step for each of
# them would take longer than parsing it.
_SMALL_CHUNKS = re.compile(
    b'(?:%b)*+'
    % b'|'.join(b'%x\r\n.{%d}\r\n' % (size, size) for size in range(1, 64)),
    re.DOTALL | re.IGNORECASE,
)

# Request target with scheme and authority; groups of authority and rest.
_ABSOLUTE_TARGET = re.compile(rb'(?i:https?)://([^/?#@]+)([/?][^#]*)?')

_LOG = logging.getLogger(__name__)


def _without_token(value, token):
    """Return a list of tokens in a field value without one of them."""
    tokens = [part.strip() for part in value.split(b',')]
    return b', '.join(part for part in tokens if part.lower() != token)


class RequestReader(_http1.Reader):
    """Incremental parser for the requests of one connection.

    A head is parsed once it is complete. Until then its text is kept, as
    objects for its fields would take many times as much memory.

    Parameters
    ----------
    limits : Limits
        Limits on the size of header section and body.
    on_request : callable
        Called with each complete `Message`.
    on_continue : callable, optional
        Called when a request has the header ``Expect: 100-continue``, so that
        the client waits for a ``100 Continue`` before it sends the body.
    budget : Budget, optional
        Budget for the requests, until `Message.release`; one of its own if
        not given.
    head_budget : Budget, optional
        Budget for the text of unfinished heads; that of the requests if not
        given.
    make_room : callable, optional
        Called without arguments when an unfinished head does not fit; returns
        whether to try again.

    Attributes
    ----------
    unfinished_head : bytearray or None
        Text of a head whose end has not been received; None if there is none.
    started : bool
        Whether a request has been received in part.
    in_body : bool
        Whether the header section of that request is complete.
    is_paused : bool
        Whether to begin no further request. Data that have been received are
        kept until `feed` is called again without it.
    """

    def __init__(
        self,
        limits,
        on_request,
        on_continue=None,
        budget=None,
        head_budget=None,
        make_room=None,
    ):
        super().__init__()
        self.limits = limits
        self.started = False
        self.in_body = False
        self.is_paused = False
        self.message = None
        self._on_request = on_request
        self._on_continue = on_continue
        self._budget = budget or _memory.MemoryAccount().budget('requests')
        self._hold = _memory.Hold(self._budget)
        self._head_hold = _memory.Hold(head_budget or self._budget)
        self._make_room = make_room
        self.unfinished_head = None
        self._rest = b''
        self._empty_bytes = 0
        self._head_size = 0
        self._body_bytes = 0
        # Size of the body; None if it has chunks.
        self._length = None
        # Bytes that are missing of a chunk and the end of its line, the
        # beginning of an incomplete line with a size, and whether the last
        # chunk has been received.
        self._chunk_missing_bytes = 0
        self._chunk_line = b''
        self._is_behind_chunks = False
        self._has_offer = False
        self._error = None
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        MessageError
            If a request is malformed or exceeds a limit; the rest of the
            stream cannot be parsed then.
        """
        if self.unfinished_head is not None:
            data = self._complete_head(data)
        elif self._rest:
            data = self._rest + data
            self._rest = b''
            self._head_hold.release()
        elif (
            # Most requests arrive whole and one by one.
            not self.in_body
            and not self.is_paused
            and 0 < data.find(_HEAD_END) == len(data) - len(_HEAD_END)
            and len(data) <= self.limits.header_bytes
        ):
            self._empty_bytes = 0
            self._parse(data)
            return
        position = 0
        while position < len(data):
            if self.in_body:
                position = self._feed_body(data, position)
            elif self.is_paused:
                self._keep_rest(data[position:])
                return
            else:
                position = self._feed_head(data, position)

    def _keep_rest(self, data):
        """Keep data behind the requests that may be begun now."""
        self._rest = data
        size = len(data) + UNFINISHED_HEAD_OVERHEAD_BYTES
        if not self._head_hold.grow(size):
            raise _http1.NoMemoryError(size, self._head_hold.budget)

    def _feed_head(self, data, position):
        """Parse a head if it is complete; return the position behind it."""
        if data[position] in _LINE_END_BYTES:
            return self._skip_empty_lines(data, position)
        end = data.find(_HEAD_END, position) + len(_HEAD_END)
        if end < len(_HEAD_END):
            self._keep_head(data[position:])
            return len(data)
        head = data[position:end]
        if len(head) > self.limits.header_bytes + MAX_HEAD_EXCESS_BYTES:
            self._reject_long_head(head)
        self._empty_bytes = 0
        self._parse(head)
        if self._head_hold.size:
            self._head_hold.release()
        return end

    def _skip_empty_lines(self, data, position):
        """Return the position behind line ends before a request.

        A server should ignore them (RFC 9112, 2.2).
        """
        end = len(data) - len(data[position:].lstrip(_LINE_END_BYTES))
        self._empty_bytes += end - position
        if self._empty_bytes > self.limits.header_bytes:
            raise _http1.MessageError(431, 'header section over the limit')
        return end

    def _keep_head(self, text):
        """Keep the text of an unfinished head."""
        self.started = True
        self.unfinished_head = bytearray(text)
        self._check_first_line(text)
        self._hold_head()

    def _complete_head(self, data):
        """Add data to an unfinished head.

        Returns
        -------
        bytes
            The head with what stands behind it; empty if its end is missing.
        """
        head = self.unfinished_head
        known = len(head)
        has_line = b'\n' in head
        head += data
        if head.find(_HEAD_END, max(0, known - len(_HEAD_END))) >= 0:
            self.unfinished_head = None
            return bytes(head)
        if not has_line and (known < MAX_METHOD_BYTES or b'\n' in data):
            self._check_first_line(head)
        self._hold_head()
        return b''

    def _hold_head(self):
        head = self.unfinished_head
        if len(head) > self.limits.header_bytes + MAX_HEAD_EXCESS_BYTES:
            self._reject_long_head(head)
        size = sys.getsizeof(head) + UNFINISHED_HEAD_OVERHEAD_BYTES
        while not self._head_hold.grow(size):
            if self._make_room is None or not self._make_room():
                raise _http1.NoMemoryError(size, self._head_hold.budget)

    def _reject_long_head(self, head):
        self._check_first_line(head)
        raise _http1.MessageError(431, 'header section over the limit')

    def _check_first_line(self, head):
        """Reject what is no request before the head is complete."""
        line = head[: head.find(b'\n') + 1] or head
        try:
            httptools.HttpRequestParser(None).feed_data(line)
        except httptools.HttpParserUpgrade:
            return
        except httptools.HttpParserError as error:
            raise _http1.MessageError(
                400, f'malformed request: {error}'
            ) from error

    def _feed_body(self, data, position):
        """Parse a part of a body; return the position behind it."""
        if self._length is None:
            return self._feed_chunks(data, position)
        end = position + self._length - self._body_bytes
        self._parse_body(data[position:end])
        return min(end, len(data))

    def _feed_chunks(self, data, position):
        """Parse chunks up to the end of the body, if it is there.

        The parser does not tell where a body ends. So it gets the data in
        parts, each up to where this may be: behind the last chunk.
        """
        pattern = _FIRST_CHUNKED_END
        start = position
        if not self._is_behind_chunks:
            position = self._skip_chunks(data, position)
            if not self._is_behind_chunks:
                self._parse_body(data[start:])
                return len(data)
            pattern = _CHUNKED_END
            position -= 1
        match = pattern.search(data, position)
        while match is not None:
            end = match.end()
            self._parse_body(data[start:end])
            start = end
            if not self.in_body:
                return end
            match = _CHUNKED_END.search(data, end - 1)
        self._parse_body(data[start:])
        return len(data)

    def _skip_chunks(self, data, position):
        """Return the position behind the chunks, or behind all data.

        Their contents may look like the end of a body everywhere.
        """
        while position < len(data):
            if self._chunk_missing_bytes:
                count = min(self._chunk_missing_bytes, len(data) - position)
                self._chunk_missing_bytes -= count
                position += count
                continue
            if not self._chunk_line:
                position = _SMALL_CHUNKS.match(data, position).end()
            end = data.find(b'\n', position) + 1
            line = self._chunk_line + data[position : end or len(data)]
            # Zeros may come without end.
            line = line.lstrip(b'0')[:_MAX_CHUNK_DIGITS]
            if not end:
                self._chunk_line = line
                return len(data)
            self._chunk_line = b''
            position = end
            size = int(_CHUNK_SIZE.match(line)[0] or b'0', 16)
            if not size:
                self._is_behind_chunks = True
                return position
            self._chunk_missing_bytes = size + len(_LINE_END_BYTES)
        return position

    def _parse_body(self, data):
        self._parse(data)
        if self.in_body:
            self._require(self._head_size + self._body_bytes)

    def _parse(self, data):
        """Parse data; ignore offers of other protocols (RFC 9110, 7.8).

        The parser stops behind a head with such an offer, as if the other
        protocol followed. So the request is parsed again without the offer.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            head = self._head_without_offer()
            self._parser = httptools.HttpRequestParser(self)
            self._parse(head)
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise _http1.MessageError(
                400, f'malformed request: {error}'
            ) from error
        if self._error is not None:
            raise self._error

    def _head_without_offer(self):
        """Return the encoded head of the message without its offer."""
        message = self.message
        version = self._parser.get_http_version().encode()
        lines = [b'%b %b HTTP/%b' % (message.method, message.target, version)]
        for name, value in message.headers:
            if name == b'connection':
                value = _without_token(value, b'upgrade')
            if name != b'upgrade':
                lines.append(name + b': ' + value)
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def release(self):
        """Give back the memory of a request that is not read any more."""
        self._hold.release()
        self._head_hold.release()

    def close(self):
        super().close()
        self.unfinished_head = None
        self._rest = b''
        self._on_request = self._on_continue = self._make_room = None

    @property
    def has_rest(self):
        """Whether data are kept behind the requests that may be begun."""
        return bool(self._rest)

    def request_so_far(self):
        """Return `Message` with the fields of an unfinished request."""
        if self.unfinished_head is None:
            return self.message or _http1.Message()
        fields = _http1.Reader()
        try:
            httptools.HttpRequestParser(fields).feed_data(self.unfinished_head)
        except httptools.HttpParserError as error:
            _LOG.debug('malformed fields of an unfinished head: %s', error)
        return fields.message

    def _require(self, size):
        if self._hold.grow(size):
            return
        if self._budget.can_ever_fit(size):
            raise _http1.NoMemoryError(size, self._budget)
        raise _http1.MessageError(413, 'request over the memory of the node')

    def on_message_begin(self):
        self.message = _http1.Message()
        self._in_headers = True

    def on_url(self, url):
        self.message.target += url

    def on_headers_complete(self):
        message = self.message
        message.method = self._parser.get_method()
        self._has_offer = self._parser.should_upgrade()
        if message.method == b'CONNECT':
            self._reject(405, 'CONNECT')
        if self._has_offer:
            return
        self._in_headers = False
        self.in_body = self.started = True
        self._body_bytes = 0
        values = message.values_by_name
        # Lists cost less than generators: each request comes here.
        size = len(message.target) + sum(
            [len(name) + len(value) + 4 for name, value in message.headers]
        )
        if size > self.limits.header_bytes:
            self._reject(431, 'header section over the limit')
        length = values.get(b'content-length')
        if length is not None:
            if b'transfer-encoding' in values:
                # The length would be ambiguous, which allows request smuggling
                # (RFC 9112, 6.1).
                self._reject(400, 'both Content-Length and Transfer-Encoding')
            if int(length) > self.limits.body_bytes:
                self._reject(413, 'body over the limit')
            self._length = int(length)
        else:
            self._length = None
            self._is_behind_chunks = False
        host_count = [name for name, _ in message.headers].count(b'host')
        if host_count != 1:
            self._reject(400, f'{host_count} Host headers')
        if not message.target.startswith(b'/'):
            self._resolve_target()
        # The head is kept as it is and as it is forwarded.
        self._head_size = (
            _memory.MESSAGE_OVERHEAD_BYTES
            + 2 * size
            + len(message.headers) * _memory.FIELD_OVERHEAD_BYTES
        )
        self._hold_announced(0 if length is None else int(length))
        expectation = values.get(b'expect')
        if expectation is not None and self._on_continue is not None:
            if expectation.lower() == b'100-continue':
                self._on_continue()

    def on_body(self, data):
        self.message.append_body(data)
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.body_bytes:
            self._reject(413, 'body over the limit')

    def on_message_complete(self):
        if self._has_offer:
            return
        message = self.message
        # The parser's value is valid only inside this callback.
        message.keep_alive = self._parser.should_keep_alive()
        self.in_body = False
        self.started = False
        if self._error is None:
            self.message = None
            message.hold = self._hold
            self._hold = _memory.Hold(self._budget)
            self._on_request(message)

    def _resolve_target(self):
        """Turn an absolute URI into a path, and its authority into the host.

        A server has to accept that form (RFC 9112, 3.2.2).
        """
        message = self.message
        if message.target == b'*':
            return
        match = _ABSOLUTE_TARGET.fullmatch(message.target)
        if match is None:
            self._reject(400, 'invalid request target')
        authority, rest = match.groups(b'')
        message.target = rest if rest.startswith(b'/') else b'/' + rest
        message.headers = [
            (name, authority if name == b'host' else value)
            for name, value in message.headers
        ]
        message.values_by_name[b'host'] = authority

    def _hold_announced(self, length):
        """Take memory for a request before its body is received."""
        try:
            self._require(self._head_size + length)
        except _http1.MessageError as error:
            self._error = error
            raise

    def _reject(self, status, reason):
        if self._error is None:
            self._error = _http1.MessageError(status, reason)
        raise self._error
