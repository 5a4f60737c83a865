"""Task that executes operations on the platform."""

import gevent
from gevent import queue

from rosemarycrank import kernel
from rosemarycrank import table_service

#: Number of greenlets, each of which executes one operation at a time.
WORKER_COUNT = 8

#: Maximum number of queued operations; beyond it an operation fails at once.
MAX_QUEUED_OPERATIONS = 256


class PlatformTask:
    """Owns the connections to the platform.

    Parameters
    ----------
    client : rosemarycrank.table_service.HttpPlatform or None
        Client whose ``execute(operation)`` executes one operation; None if
        the node runs without a platform.
    deliver : callable
        Called with each event for the kernel.
    """

    def __init__(self, client, deliver):
        self.client = client
        self.deliver = deliver
        self._queue = queue.Queue(maxsize=MAX_QUEUED_OPERATIONS)
        self._workers = []

    def start(self):
        """Start the workers."""
        self._workers = [
            gevent.spawn(self._run_worker) for _ in range(WORKER_COUNT)
        ]

    def stop(self):
        """Stop the workers."""
        gevent.killall(self._workers)

    def request(self, effect):
        """Queue a `PlatformRequest` for execution; never blocks.

        Parameters
        ----------
        effect : rosemarycrank.kernel.PlatformRequest
            Effect with the operation.
        """
        if self.client is None:
            self._fail(effect, 'no platform is configured')
            return
        try:
            self._queue.put_nowait(effect)
        except queue.Full:
            self._fail(effect, 'too many platform operations are queued')

    def _fail(self, effect, error):
        self.deliver(kernel.PlatformReply(effect.operation_id, error=error))

    def _run_worker(self):
        while True:
            effect = self._queue.get()
            self.deliver(self._execute(effect))

    def _execute(self, effect):
        operation_id = effect.operation_id
        try:
            value = self.client.execute(effect.operation)
        except table_service.PlatformAnswerLost as error:
            return kernel.PlatformReply(
                operation_id,
                error=str(error) or 'answer lost',
                outcome_unknown=True,
            )
        except Exception as error:
            return kernel.PlatformReply(
                operation_id, error=str(error) or type(error).__name__
            )
        return kernel.PlatformReply(operation_id, value=value)
