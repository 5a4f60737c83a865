"""Greenlet that runs the kernel: passes it events, executes its effects."""

import logging
import time

import attrs
import gevent
from gevent import event
from gevent import queue

LOG = logging.getLogger(__name__)

#: Maximum number of events handled before other greenlets get to run.
MAX_EVENT_BATCH = 32

#: Longest wait for the result of a function that runs in the kernel's
#: greenlet, in seconds.
RUN_TIMEOUT_S = 5.0


@attrs.frozen
class _FunctionCall:
    function: object
    result: event.AsyncResult

    def run(self):
        """Call the function; its result or error goes to the caller."""
        try:
            self.result.set(self.function())
        except Exception as error:
            self.result.set_exception(error)


class KernelTask:
    """Runs a kernel in its own greenlet.

    Parameters
    ----------
    node_kernel : rosemarycrank.kernel.Kernel
        Kernel to run.

    Attributes
    ----------
    errors_ : int
        Number of events and effects that raised an exception.
    """

    def __init__(self, node_kernel):
        self.kernel = node_kernel
        self.errors_ = 0
        self._queue = queue.SimpleQueue()
        self._executors_by_type = {}
        self._greenlet = None

    def register_executor(self, effect_type, executor):
        """Set the callable that executes the effects of a class.

        Parameters
        ----------
        effect_type : type
            Class of effects.
        executor : callable
            Called with each effect; it must not block.
        """
        self._executors_by_type[effect_type] = executor

    def post(self, kernel_event):
        """Queue an event for the kernel; never blocks.

        Parameters
        ----------
        kernel_event : object
            Event of the kernel.
        """
        self._queue.put(kernel_event)

    def dump(self):
        """Return the kernel's state as it is between two events.

        Returns
        -------
        dict
            Sections of the state dump by name.

        Raises
        ------
        gevent.Timeout
            If the kernel's greenlet does not return it in time.
        """
        return self.run_in_kernel(self.kernel.dump)

    def run_in_kernel(self, function):
        """Run a function in the kernel's greenlet, between two events.

        Parameters
        ----------
        function : callable
            Called without arguments; it may use components of the kernel.

        Returns
        -------
        object
            Return value of the function.

        Raises
        ------
        gevent.Timeout
            If the function does not return in time.
        Exception
            What the function raises.
        """
        call = _FunctionCall(function, event.AsyncResult())
        self._queue.put(call)
        return call.result.get(timeout=RUN_TIMEOUT_S)

    def start(self):
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self):
        while True:
            self._process(self._next_item())
            for _ in range(MAX_EVENT_BATCH):
                if self._queue.empty():
                    break
                self._process(self._queue.get())
            gevent.sleep(0)

    def _next_item(self):
        """Wait for a queued item; return None once a timer is due."""
        due_at = self.kernel.next_due()
        timeout_s = (
            None if due_at is None else max(0.0, due_at - time.monotonic())
        )
        try:
            return self._queue.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def _process(self, item):
        now = time.monotonic()
        try:
            if item is None:
                effects = self.kernel.advance(now)
            elif isinstance(item, _FunctionCall):
                item.run()
                effects = self.kernel.context.take_effects()
            else:
                effects = self.kernel.handle(item, now)
        except Exception:
            # An event whose handling fails must not end the node. The effects
            # that were emitted before the error are still executed.
            self.errors_ += 1
            LOG.exception(
                'handling a kernel event failed',
                extra={'event': repr(item)[:200]},
            )
            effects = self.kernel.context.take_effects()
        for effect in effects:
            self._execute(effect)

    def _execute(self, effect):
        try:
            self._executors_by_type[type(effect)](effect)
        except Exception:
            # The others may be answers and messages to other nodes.
            self.errors_ += 1
            LOG.exception(
                'executing an effect failed',
                extra={'effect': repr(effect)[:200]},
            )
