"""Decision log: structured lines with a rate limit that never block."""

import logging
import os

import msgspec

#: Maximum lines per second in the long run, and maximum lines of a burst.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 400.0

#: Attributes of log records that are not fields of their own in a line.
_RESERVED_ATTRIBUTES = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', (), None))
) | {
    'message',
    'asctime',
    'taskName',
}


class StructuredFormatter(logging.Formatter):
    """Formats a log record as one line of JSON.

    Parameters
    ----------
    node : str
        Name of the node; a field of every line.
    """

    def __init__(self, node):
        super().__init__()
        self.node = node
        self._encode = msgspec.json.Encoder(
            enc_hook=str, decimal_format='number'
        ).encode

    def format(self, record):
        """Return the encoded line, without a line end."""
        line = {
            'time': round(record.created, 4),
            'level': record.levelname.lower(),
            'node': self.node,
            'message': record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _RESERVED_ATTRIBUTES:
                if isinstance(value, bytes):
                    value = value.decode('latin-1')
                line[name] = value
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return self._encode(line)


class RateLimitedHandler(logging.Handler):
    """Writes lines to a file descriptor and drops lines above a rate limit.

    Lines of level WARNING and above are not subject to the rate limit. The
    first line after dropped ones has their number in its field ``dropped``.

    Parameters
    ----------
    descriptor : int
        File descriptor. It is made non-blocking; lines that cannot be written
        are dropped.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    written, dropped : int
        Number of lines written and dropped so far.
    """

    def __init__(self, descriptor, clock):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.written = 0
        self.dropped = 0
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._unwritten = b''
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record or count it as dropped."""
        if record.levelno < logging.WARNING and not self._take_token():
            self._drop()
            return
        if self._unreported_drops:
            record.dropped = self._unreported_drops
        try:
            line = self.format(record) + b'\n'
        except Exception:
            self.handleError(record)
            return
        if self._write(line):
            self.written += 1
            self._unreported_drops = 0
        else:
            self._drop()

    def _drop(self):
        self.dropped += 1
        self._unreported_drops += 1

    def _take_token(self):
        now = self.clock()
        new_tokens = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + new_tokens)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line):
        # The rest of a partially written line goes first, so that lines are
        # never mixed.
        data = self._unwritten + line
        try:
            sent = os.write(self.descriptor, data)
        except OSError:
            # A full pipe or disk, or a reader that has gone: the line counts
            # as dropped, and what was being logged goes on.
            return False
        if sent < len(self._unwritten):
            self._unwritten = self._unwritten[sent:]
            return False
        self._unwritten = data[sent:]
        return True


def configure(node, descriptor, clock):
    """Set up the root logger to write to a file descriptor.

    Parameters
    ----------
    node : str
        Name of the node.
    descriptor : int
        File descriptor.
    clock : callable
        Returns the monotonic time in seconds.

    Returns
    -------
    RateLimitedHandler
        The handler, for its counters of lines.
    """
    handler = RateLimitedHandler(descriptor, clock)
    handler.setFormatter(StructuredFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Source locations, threads and processes are not logged. Determining
    # them takes longer than writing the line.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    return handler
