"""The little HTTP/1.1 that the stand-ins need."""

#: Longest header section that a stand-in reads, in bytes.
MAX_HEAD_BYTES = 256 * 1024


class Message:
    """Request or response: first line, headers in lower case, body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        """Method of a request."""
        return self.first_line.split(' ')[0]

    @property
    def path(self):
        """Path and query of a request."""
        return self.first_line.split(' ')[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.first_line.split(' ')[1])


class Broken(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    """Read first line and headers; None at the end of the connection."""
    lines = []
    size = 0
    while True:
        line = await reader.readline()
        size += len(line)
        if not line.endswith(b'\n'):
            if lines or line:
                raise Broken('header section incomplete')
            return None
        if size > MAX_HEAD_BYTES:
            raise Broken('header section too long')
        line = line.rstrip(b'\r\n')
        if line:
            lines.append(line.decode('latin-1'))
        elif lines:
            break
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b'')


async def read_message(reader, body_at_end=False):
    """Read one message; None at the end of the connection.

    A body without a length ends with the connection if `body_at_end` is set,
    and is empty otherwise.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await _read_body(reader, message, body_at_end)
    except EOFError as error:
        raise Broken('body incomplete') from error
    return message


async def _read_body(reader, message, body_at_end):
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        chunks = []
        while True:
            line = await reader.readline()
            if not line.endswith(b'\n'):
                raise Broken('chunk incomplete')
            size = int(line.split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return b''.join(chunks)
            chunks.append(chunk[:-2])
    length = message.headers.get('content-length')
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read(-1) if body_at_end else b''


def encode(first_line, headers, body=b''):
    """Return a message with a Content-Length as bytes."""
    lines = [first_line, *(f'{n}: {v}' for n, v in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
