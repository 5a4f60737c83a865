"""Claims of client-chosen keys in the platform's table.

A claim is one conditional write. The row is read first, because reads are
cheaper than writes and most sends with a claimed key are resends. If the
reply to the write is lost, the row is read back to find out whether a
claim was written, and by which node. The same write may then be sent
again, because a conditional write takes effect at most once.
"""

import attrs

from rosemarycrank.ledger import _rows
from rosemarycrank import table_service

_MAX_WRITES = 3
_MEAN_RETRY_DELAY_S = 0.1


class Claimer:
    """Claims keys for this node, and reads the claims of all nodes.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    client : PlatformClient
        Client for operations on the platform.
    timeout_s : float
        Maximum duration of one claim, retries included, in seconds.
    """

    def __init__(self, context, client, timeout_s):
        self._context = context
        self._client = client
        self._timeout_s = timeout_s

    def claim(self, key_hash, digest, expected_version, callback):
        """Claim a key for this node.

        Parameters
        ----------
        key_hash : str
            Hash of the key, which names its row.
        digest : str
            Digest of the request.
        expected_version : int
            Version of the row to replace; 0 if no row may exist.
        callback : callable
            Called once with the current `ClaimRow`, which another node may
            have written, or with None if it could not be determined within
            the time limit.
        """
        context = self._context
        claim = _rows.Claim(
            context.address,
            _rows.format_incarnation(context.incarnation),
            context.now,
            digest,
        )
        write = table_service.TableWrite(
            _rows.TABLE,
            key_hash,
            _rows.to_value(claim),
            expected_version,
            f'{context.address}-{context.random.getrandbits(128):032x}',
        )
        attempt = _ClaimAttempt(context, self._client, write, claim, callback)
        attempt.start(self._timeout_s)

    def read(self, key_hash, callback):
        """Read the claim of a key.

        Parameters
        ----------
        key_hash : str
            Hash of the key, which names its row.
        callback : callable
            Called once with ``(readable, row)``; the row is a `ClaimRow`,
            or None if the table has no row for the key.
        """

        def on_reply(reply):
            if reply.error:
                callback(False, None)
                return
            try:
                callback(True, reply.value and _rows.from_row(reply.value))
            except _rows.InvalidRow:
                self._context.count('ledger_bad_rows')
                callback(False, None)

        self._client.execute(
            table_service.TableRead(_rows.TABLE, key_hash), on_reply
        )


@attrs.define(eq=False)
class _ClaimAttempt:
    """A claim in progress, with its retries."""

    _context: object
    _client: object
    _operation: table_service.TableWrite
    _claim: _rows.Claim
    _callback: object
    _writes: int = 0

    def start(self, timeout_s):
        """Start the claim, and end it when the time limit is reached."""
        self._context.timers.after(timeout_s, self._on_timeout)
        if self._operation.expected_version:
            self._write()
        else:
            self._read()

    def _write(self, _now=None):
        if self._callback is not None:
            self._writes += 1
            self._client.execute(self._operation, self._on_write_reply)

    def _on_write_reply(self, reply):
        if reply.outcome_unknown:
            self._context.count('ledger_claims_read_back')
            self._read()
        elif reply.error:
            self._retry_write()
        elif reply.value.applied:
            version = self._operation.expected_version + 1
            self._finish(_rows.ClaimRow(self._claim, version))
        else:
            self._evaluate_row(reply.value.row)

    def _read(self, _now=None):
        if self._callback is not None:
            operation = table_service.TableRead(
                _rows.TABLE, self._operation.key
            )
            self._client.execute(operation, self._on_read_reply)

    def _on_read_reply(self, reply):
        if reply.error:
            self._schedule_retry(self._read)
        else:
            self._evaluate_row(reply.value)

    def _evaluate_row(self, row):
        """Finish by the current row, or retry if it is still to be written.

        ``row`` is None if the table has no row for the key.
        """
        expected = self._operation.expected_version
        if row is None or row.version <= expected:
            self._retry_write()
            return
        try:
            self._finish(_rows.from_row(row))
        except _rows.InvalidRow:
            self._context.count('ledger_bad_rows')
            self._finish(None)

    def _retry_write(self):
        # An earlier write in flight may still take effect. Sending the
        # same write again is safe, because at most one of them can.
        if self._writes == 0:
            self._write()
        elif self._writes < _MAX_WRITES:
            self._schedule_retry(self._write)
        else:
            self._finish(None)

    def _schedule_retry(self, step):
        delay_s = _MEAN_RETRY_DELAY_S * (0.5 + self._context.random.random())
        self._context.timers.after(delay_s, step)

    def _on_timeout(self, _now):
        self._finish(None)

    def _finish(self, row):
        callback, self._callback = self._callback, None
        if callback is not None:
            callback(row)
