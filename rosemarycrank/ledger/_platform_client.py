"""Operations on the platform with a callback for each answer."""

import functools
import itertools

from rosemarycrank import kernel

_PREFIX = 'ledger'

#: Keeps a platform that hangs from being asked ever more.
_MAX_PENDING = 128


class PlatformClient:
    """Matches answers of the platform to operations, within a time.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    timeout_s : float
        Longest wait for an answer, in seconds; an operation without one
        counts as lost.
    """

    def __init__(self, context, timeout_s):
        self._context = context
        self._timeout_s = timeout_s
        self._sequence = itertools.count()
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def execute(self, operation, done):
        """Have an operation carried out.

        Parameters
        ----------
        operation : object
            Operation of `rosemarycrank.table_service`.
        done : callable
            Called once with the `kernel.PlatformReply`.
        """
        operation_id = f'{_PREFIX}-{next(self._sequence)}'
        if len(self._pending) >= _MAX_PENDING:
            self._context.count('ledger_platform_overloaded')
            done(kernel.PlatformReply(operation_id, error='too many wait'))
            return
        timer = self._context.timers.after(
            self._timeout_s, functools.partial(self._overdue, operation_id)
        )
        self._pending[operation_id] = (done, timer)
        self._context.count(f'ledger_{type(operation).__name__}')
        self._context.emit(kernel.PlatformRequest(operation_id, operation))

    def answered(self, reply):
        """Hand an answer to who waits for it; others are ignored.

        Parameters
        ----------
        reply : kernel.PlatformReply
            Answer of the platform.
        """
        done, timer = self._pending.pop(reply.operation_id, (None, None))
        if done is not None:
            timer.cancel()
            done(reply)

    def _overdue(self, operation_id, _now):
        self.answered(
            kernel.PlatformReply(
                operation_id, error='timeout', outcome_unknown=True
            )
        )
