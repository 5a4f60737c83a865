"""Task that carries out operations on the platform."""

import gevent
from gevent import queue

from rosemarycrank import kernel
from rosemarycrank import table_service

#: Operations that run at once.
WORKERS = 8

#: Operations that wait; past that an operation fails at once.
MAX_WAITING = 256


class PlatformTask:
    """Owns the connections to the platform.

    Parameters
    ----------
    client : object or None
        Its ``execute(operation)`` carries out one operation; None when the
        node runs without a platform.
    deliver : callable
        Called with each kernel event.
    """

    def __init__(self, client, deliver):
        self.client = client
        self.deliver = deliver
        self._queue = queue.Queue(maxsize=MAX_WAITING)
        self._workers = []

    def start(self):
        """Start the workers."""
        self._workers = [gevent.spawn(self._work) for _ in range(WORKERS)]

    def stop(self):
        """Stop the workers."""
        gevent.killall(self._workers)

    def request(self, effect):
        """Carry out a `PlatformRequest`; never blocks.

        Parameters
        ----------
        effect : rosemarycrank.kernel.PlatformRequest
            The request.
        """
        if self.client is None:
            self._fail(effect, 'no platform is configured')
            return
        try:
            self._queue.put_nowait(effect)
        except queue.Full:
            self._fail(effect, 'too many operations wait')

    def _fail(self, effect, error):
        self.deliver(kernel.PlatformReply(effect.operation_id, error=error))

    def _work(self):
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
