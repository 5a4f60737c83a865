"""HTTP/1.1 messages, what their readers share, and their encoding."""

import attrs

from rosemarycrank.dataplane import _memory

# Hop-by-hop headers (RFC 9110, 7.6.1), and headers that are consumed by
# parsing the message: its length, and Expect.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

REASON_PHRASES_BY_STATUS = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    405: b'Method Not Allowed',
    408: b'Request Timeout',
    409: b'Conflict',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    500: b'Internal Server Error',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class MessageError(Exception):
    """Raised for a message that is malformed or exceeds a limit.

    Attributes
    ----------
    status : int
        HTTP status of the error response.
    reason : str
        Description of the error; a label value of the refusal metric.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class NoMemoryError(MessageError):
    """Raised for a request that does not fit into memory now.

    Attributes
    ----------
    size : int
        Memory that it needs, as far as known, in bytes.
    budget : Budget
        Budget that has no room for it.
    """

    def __init__(self, size, budget):
        super().__init__(503, 'no memory for the request')
        self.size = size
        self.budget = budget


@attrs.define(eq=False, slots=True)
class Limits:
    """Limits on the requests of a client.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header section and of the body, in bytes.
    header_timeout_s : float
        Maximum time without data while a header section is incomplete, in
        seconds.
    idle_timeout_s : float
        Maximum time without data while a body is incomplete or between
        requests, and maximum time for which a client may leave responses
        unread, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False, slots=True)
class Message:
    """HTTP request or response.

    Attributes
    ----------
    method, target : bytes
        Method and request target; empty in a response.
    status : int
        HTTP status; 0 in a request.
    headers : list of (bytes, bytes)
        Header fields in their order, with names in lower case.
    values_by_name : dict of bytes to bytes
        Last value of each header field, by name in lower case.
    body : bytes or bytearray
        Body, after removal of a chunked transfer coding.
    keep_alive : bool
        Whether the connection may be reused after this message.
    hold : Hold or None
        Memory that the message takes; None if it is not counted.
    """

    method: bytes = b''
    target: bytes = b''
    status: int = 0
    headers: list = attrs.field(factory=list)
    values_by_name: dict = attrs.field(factory=dict)
    body: bytes = b''
    keep_alive: bool = True
    hold: object = None

    def release(self):
        """Give back the memory that the message takes."""
        if self.hold is not None:
            self.hold.release()

    def append_body(self, data):
        """Append a part of the body.

        Parts are not kept apart: an object for each of them would take many
        times the memory of its bytes, as a part can be a single byte.
        """
        if not self.body:
            self.body = data
            return
        if type(self.body) is bytes:
            self.body = _memory.HeldBuffer(self.body)
        self.body += data


def forwarded_headers(message, dropped):
    """Return the encoded header fields of a message without hop-by-hop ones.

    Parameters
    ----------
    message : Message
        Message that is forwarded.
    dropped : frozenset of bytes
        Further names to leave out, in lower case.

    Returns
    -------
    bytes
        Header lines, each terminated by CRLF.
    """
    connection = message.values_by_name.get(b'connection')
    listed = ()
    if connection is not None and connection.lower() not in (
        b'close',
        b'keep-alive',
    ):
        listed = {name.strip().lower() for name in connection.split(b',')}
    return b''.join(
        [
            b'%b: %b\r\n' % (name, value)
            for name, value in message.headers
            if name not in _HOP_BY_HOP_HEADERS
            and name not in dropped
            and name not in listed
        ]
    )


class Reader:
    """Parser callbacks that requests and responses share."""

    def __init__(self):
        self.message = Message()
        self._in_headers = True
        self._new_field_count = 0

    def on_header(self, name, value):
        if self._in_headers:
            self._new_field_count += 1
            name = name.lower()
            self.message.headers.append((name, value))
            self.message.values_by_name[name] = value

    def on_body(self, data):
        self.message.append_body(data)

    def close(self):
        """Release what is held, and free the reader; nothing more is read.

        Parser and reader, and the owner of the reader, refer to each other:
        they would stay, with the message, until a collection of cycles.
        """
        self.release()
        self.message = Message()
        self._parser = self._error = None


def response(status, headers=b'', body=b'', close=False):
    """Encode a response with a Content-Length header.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : bytes, default=b''
        Encoded header lines, each terminated by CRLF.
    body : bytes, default=b''
        Body of the response.
    close : bool, default=False
        Whether to add the header ``Connection: close``.

    Returns
    -------
    bytes
        Encoded response.
    """
    return b'HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b' % (
        status,
        REASON_PHRASES_BY_STATUS.get(status, b'Status'),
        headers,
        len(body),
        b'Connection: close\r\n' if close else b'',
        body,
    )
