"""Log of decisions: bounded, structured and never blocking."""

import errno
import logging
import os

import msgspec

#: Lines a second that may be written in the long run, and at once.
LINES_PER_S = 200.0
BURST_LINES = 400.0

_RESERVED = frozenset(vars(logging.LogRecord('', 0, '', 0, '', (), None))) | {
    'message',
    'asctime',
    'taskName',
}


class StructuredFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Parameters
    ----------
    node : str
        Name of the node, in every line.
    """

    def __init__(self, node):
        super().__init__()
        self.node = node
        self._encode = msgspec.json.Encoder(
            enc_hook=str, decimal_format='number'
        ).encode

    def format(self, record):
        """Return the encoded line."""
        line = {
            'time': round(record.created, 4),
            'level': record.levelname.lower(),
            'node': self.node,
            'message': record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _RESERVED:
                if isinstance(value, bytes):
                    value = value.decode('latin-1')
                line[name] = value
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return self._encode(line)


class RateLimitedHandler(logging.Handler):
    """Writes lines to a descriptor, dropping what exceeds a rate.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking, and a full pipe drops
        lines.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    written, dropped : int
        Lines so far.
    """

    def __init__(self, descriptor, clock):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.written = 0
        self.dropped = 0
        self._tokens = BURST_LINES
        self._filled_at = clock()
        self._partial = b''
        self._unreported = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a record, or count it as dropped."""
        if record.levelno < logging.WARNING and not self._admit():
            self._drop()
            return
        if self._unreported:
            record.dropped = self._unreported
        try:
            line = self.format(record) + b'\n'
        except Exception:
            self.handleError(record)
            return
        if self._write(line):
            self.written += 1
            self._unreported = 0
        else:
            self._drop()

    def _drop(self):
        self.dropped += 1
        self._unreported += 1

    def _admit(self):
        now = self.clock()
        gained = (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line):
        # The rest of a line that the pipe took in part goes first, so no
        # two lines run into each other.
        data = self._partial + line
        try:
            sent = os.write(self.descriptor, data)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EINTR, errno.EPIPE):
                return False
            raise
        if sent < len(self._partial):
            self._partial = self._partial[sent:]
            return False
        self._partial = data[sent:]
        return True


def configure(node, descriptor, clock):
    """Send the log of the process to a descriptor.

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
        The handler, for its counts.
    """
    handler = RateLimitedHandler(descriptor, clock)
    handler.setFormatter(StructuredFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Frames of the caller and thread names are not shown; finding them
    # costs more than the line itself.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    return handler
