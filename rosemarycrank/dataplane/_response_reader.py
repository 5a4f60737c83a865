"""Incremental parser for the responses of one connection."""

import httptools

from rosemarycrank.dataplane import _http1
from rosemarycrank.dataplane import _memory
from rosemarycrank import http_heads

#: Maximum size of a response with an announced length, and of one without,
#: whose end may never come, in bytes.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_OPEN_RESPONSE_BYTES = 16 * 1024 * 1024

#: Maximum size of the header section of a response, with the interim
#: responses before it, in bytes.
MAX_RESPONSE_HEADER_BYTES = 64 * 1024


class ResponseReader(_http1.Reader):
    """Incremental parser for the responses of one connection.

    Parameters
    ----------
    on_response : callable
        Called with each complete `Message`; interim responses (1xx) are
        skipped.
    budget : Budget, optional
        Budget for responses that are not complete, and for the bodies of
        large ones while they are used; one of its own if not given.

    Attributes
    ----------
    expects_no_body : bool
        Whether the next response has no body whatever its headers say, as
        after a HEAD request.
    """

    def __init__(self, on_response, budget=None):
        super().__init__()
        self.expects_no_body = False
        self._on_response = on_response
        self._has_begun = False
        self._reason = b''
        self._headers_complete = False
        self._error = None
        self._budget = budget or _memory.MemoryAccount().budget('responses')
        self._hold = _memory.Hold(self._budget)
        self._received_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_idle(self):
        """Whether nothing has followed the last complete response."""
        return not self._has_begun

    @property
    def head(self):
        """`Message` with the whole head of an unfinished response, or None."""
        return self.message if self._headers_complete else None

    def feed(self, data):
        """Parse received bytes.

        Raises
        ------
        MessageError
            If the bytes are not a valid response, or exceed a limit.
        """
        self._parse(data)
        if self._has_begun:
            # Most responses arrive whole, and need no account.
            self._received_bytes += len(data)
            self._hold_more(len(data))
            self._check_limits()

    def release(self):
        """Give back what is held of a response that is given up."""
        self._hold.release()
        self._received_bytes = 0
        self._new_field_count = 0

    def close(self):
        super().close()
        self._on_response = None

    def _hold_more(self, count):
        """Take memory from the budget.

        Parameters
        ----------
        count : int
            Number of bytes; what new header fields take is added.
        """
        count += self._new_field_count * _memory.FIELD_OVERHEAD_BYTES
        self._new_field_count = 0
        if not self._hold.grow(self._hold.size + count):
            raise _http1.MessageError(
                502, 'too many bytes of unfinished responses'
            )

    def _check_limits(self):
        if not self._headers_complete:
            if self._received_bytes > MAX_RESPONSE_HEADER_BYTES:
                raise _http1.MessageError(502, 'header section too large')
            return
        limit = MAX_OPEN_RESPONSE_BYTES
        length = self.message.values_by_name.get(b'content-length')
        if length is not None:
            limit = MAX_RESPONSE_BYTES
            if int(length) > limit:
                raise _http1.MessageError(502, 'announced body too large')
        if self._received_bytes > limit:
            raise _http1.MessageError(502, 'response too large')

    def _parse(self, data):
        # The parser takes RTSP and ICE, too, and empty lines.
        if not self._has_begun and data[:1] not in (b'H', b''):
            raise _http1.MessageError(502, 'malformed response: no HTTP')
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise _http1.MessageError(502, 'unexpected upgrade') from error
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise _http1.MessageError(
                502, f'malformed response: {error}'
            ) from error

    def end_of_stream(self):
        """Complete a response that is delimited by the end of the connection.

        Returns
        -------
        bool
            Whether there was such a response; False for one whose length or
            chunks are incomplete.
        """
        values = self.message.values_by_name
        if (
            not self._headers_complete
            or b'content-length' in values
            or b'transfer-encoding' in values
        ):
            return False
        self._complete(keep_alive=False)
        return True

    def on_message_begin(self):
        self.message = _http1.Message()
        self._in_headers = True
        self._has_begun = True
        self._reason = b''

    def on_status(self, data):
        self._reason += data

    def on_headers_complete(self):
        self._check_head()
        self._in_headers = False
        self._headers_complete = True
        self.message.status = self._parser.get_status_code()
        if self.expects_no_body:
            self._complete(keep_alive=False)

    def on_message_complete(self):
        if self._headers_complete:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _check_head(self):
        fault = http_heads.find_fault(
            self._parser.get_status_code(),
            self._parser.get_http_version(),
            self._reason,
            self.message.headers,
        )
        if fault is not None:
            self._error = _http1.MessageError(502, fault)
            raise self._error

    def _complete(self, keep_alive):
        self._headers_complete = False
        message = self.message
        message.keep_alive = keep_alive
        self.message = _http1.Message()
        if message.status >= 200:
            # Interim responses stay counted: they may come without end.
            self._has_begun = False
            if self._hold.size:
                self._pass_hold(message)
            self._received_bytes = 0
            self._new_field_count = 0
            self._on_response(message)

    def _pass_hold(self, message):
        """Let the memory of a large body be taken while the body is used.

        It is kept until the node of the caller has it. That of other responses
        is given back.
        """
        if type(message.body) is _memory.HeldBuffer:
            message.body.hold = self._hold
            self._hold = _memory.Hold(self._budget)
        else:
            self._hold.release()
