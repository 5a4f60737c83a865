"""Claims of keys in the platform's table.

A claim is one conditional write. The row is read first, since reads are
cheaper than writes and most sends under a claimed key are resends. When
the answer to the write is lost, the row is read back and tells whose write
stands; the same write may then be sent again, since it can take effect
only once.
"""

import attrs

from rosemarycrank.ledger import _rows
from rosemarycrank import table_service

_MAX_WRITES = 3
_RETRY_DELAY_S = 0.1


class Claimer:
    """Claims keys for this node, and reads who owns them.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    client : PlatformClient
        Way to the platform.
    timeout_s : float
        Longest time for one claim, in seconds.
    """

    def __init__(self, context, client, timeout_s):
        self._context = context
        self._client = client
        self._timeout_s = timeout_s

    def claim(self, key_hash, digest, expected_version, done):
        """Claim a key for this node.

        Parameters
        ----------
        key_hash : str
            Name of the key.
        digest : str
            Digest of the request.
        expected_version : int
            Version of the row to replace; 0 when there must be none.
        done : callable
            Called once with the `ClaimRow` that stands, whoever made it,
            or with None if that could not be found out in time.
        """
        context = self._context
        claim = _rows.Claim(
            context.address,
            _rows.incarnation_name(context.incarnation),
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
        attempt = _Attempt(context, self._client, write, claim, done)
        attempt.start(self._timeout_s)

    def read(self, key_hash, done):
        """Read who owns a key.

        Parameters
        ----------
        key_hash : str
            Name of the key.
        done : callable
            Called once with ``(readable, row)``; the row is a `ClaimRow`,
            or None when the table holds none.
        """

        def answered(reply):
            if reply.error:
                done(False, None)
                return
            try:
                done(True, reply.value and _rows.from_row(reply.value))
            except _rows.BadRow:
                self._context.count('ledger_bad_rows')
                done(False, None)

        self._client.execute(
            table_service.TableRead(_rows.TABLE, key_hash), answered
        )


@attrs.define(eq=False)
class _Attempt:
    """One claim on its way."""

    _context: object
    _client: object
    _operation: table_service.TableWrite
    _claim: _rows.Claim
    _done: object
    _writes: int = 0

    def start(self, timeout_s):
        """Begin, and give up after a time."""
        self._context.timers.after(timeout_s, self._out_of_time)
        if self._operation.expected_version:
            self._write()
        else:
            self._read()

    def _write(self, _now=None):
        if self._done is not None:
            self._writes += 1
            self._client.execute(self._operation, self._written)

    def _written(self, reply):
        if reply.outcome_unknown:
            self._context.count('ledger_claims_read_back')
            self._read()
        elif reply.error:
            self._write_again()
        elif reply.value.applied:
            version = self._operation.expected_version + 1
            self._finish(_rows.ClaimRow(self._claim, version))
        else:
            self._decide(reply.value.row)

    def _read(self, _now=None):
        if self._done is not None:
            operation = table_service.TableRead(
                _rows.TABLE, self._operation.key
            )
            self._client.execute(operation, self._was_read)

    def _was_read(self, reply):
        if reply.error:
            self._later(self._read)
        else:
            self._decide(reply.value)

    def _decide(self, row):
        """Decide by the row that stands, or None."""
        expected = self._operation.expected_version
        if row is None or row.version <= expected:
            self._write_again()
            return
        try:
            self._finish(_rows.from_row(row))
        except _rows.BadRow:
            self._context.count('ledger_bad_rows')
            self._finish(None)

    def _write_again(self):
        # A write on its way may still take effect; sending the same one
        # again is safe, for only one of them can.
        if self._writes == 0:
            self._write()
        elif self._writes < _MAX_WRITES:
            self._later(self._write)
        else:
            self._finish(None)

    def _later(self, step):
        delay_s = _RETRY_DELAY_S * (0.5 + self._context.random.random())
        self._context.timers.after(delay_s, step)

    def _out_of_time(self, _now):
        self._finish(None)

    def _finish(self, row):
        done, self._done = self._done, None
        if done is not None:
            done(row)
