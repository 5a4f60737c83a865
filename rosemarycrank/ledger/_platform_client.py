"""Operations on the platform with a callback for each reply."""

import functools
import itertools

from rosemarycrank import kernel

_OPERATION_ID_PREFIX = 'ledger'

#: Bounds the operations in flight while the platform does not answer.
_MAX_PENDING_OPERATIONS = 128


class PlatformClient:
    """Executes operations on the platform, each with a timeout.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    timeout_s : float
        Maximum wait for a reply, in seconds; after it, the operation is
        reported as lost and may or may not take effect.
    """

    def __init__(self, context, timeout_s):
        self._context = context
        self._timeout_s = timeout_s
        self._sequence = itertools.count()
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def execute(self, operation, callback):
        """Execute an operation.

        Parameters
        ----------
        operation : object
            Operation of `rosemarycrank.table_service`.
        callback : callable
            Called once with the `kernel.PlatformReply`.
        """
        operation_id = f'{_OPERATION_ID_PREFIX}-{next(self._sequence)}'
        if len(self._pending) >= _MAX_PENDING_OPERATIONS:
            self._context.count('ledger_platform_overloaded')
            callback(
                kernel.PlatformReply(
                    operation_id, error='too many pending operations'
                )
            )
            return
        timer = self._context.timers.after(
            self._timeout_s, functools.partial(self._on_timeout, operation_id)
        )
        self._pending[operation_id] = (callback, timer)
        self._context.count(f'ledger_{type(operation).__name__}')
        self._context.emit(kernel.PlatformRequest(operation_id, operation))

    def on_reply(self, reply):
        """Pass a reply to the callback of its operation.

        Parameters
        ----------
        reply : kernel.PlatformReply
            Reply of the platform; it is ignored if no operation waits for
            it.
        """
        callback, timer = self._pending.pop(reply.operation_id, (None, None))
        if callback is not None:
            timer.cancel()
            callback(reply)

    def _on_timeout(self, operation_id, _now):
        self.on_reply(
            kernel.PlatformReply(
                operation_id, error='timeout', outcome_unknown=True
            )
        )
