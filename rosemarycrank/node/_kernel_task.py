"""Task that owns the kernel: takes events, carries out effects."""

import logging
import time

import attrs
import gevent
from gevent import event
from gevent import queue

LOG = logging.getLogger(__name__)

#: Events handled before other tasks get to run.
EVENT_BATCH = 32

#: Longest wait for the answer to a question, in seconds.
QUESTION_TIMEOUT_S = 5.0


@attrs.frozen
class _Question:
    ask: object
    answer: event.AsyncResult


class KernelTask:
    """Runs a kernel in a greenlet of its own.

    Parameters
    ----------
    node_kernel : rosemarycrank.kernel.Kernel
        The kernel.
    """

    def __init__(self, node_kernel):
        self.kernel = node_kernel
        self.errors_ = 0
        self._queue = queue.SimpleQueue()
        self._performers_by_type = {}
        self._greenlet = None

    def perform(self, effect_type, performer):
        """Have effects of a class carried out by a callable.

        Parameters
        ----------
        effect_type : type
            Class of effects.
        performer : callable
            Called with the effect; it must not block.
        """
        self._performers_by_type[effect_type] = performer

    def post(self, message):
        """Hand an event to the kernel; never blocks.

        Parameters
        ----------
        message : object
            Event of the kernel.
        """
        self._queue.put(message)

    def dump(self):
        """Return the kernel's state, taken between two events.

        Returns
        -------
        dict
            Sections by name.
        """
        return self.ask(self.kernel.dump)

    def ask(self, function):
        """Call a function between two events, and return its result.

        Parameters
        ----------
        function : callable
            Takes no arguments; may use components of the kernel.

        Returns
        -------
        object
            What the function returned.

        Raises
        ------
        gevent.Timeout
            If the kernel did not get to it in time.
        """
        question = _Question(function, event.AsyncResult())
        self._queue.put(question)
        return question.answer.get(timeout=QUESTION_TIMEOUT_S)

    def start(self):
        """Start the greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self):
        while True:
            self._step(self._wait())
            for _ in range(EVENT_BATCH):
                if self._queue.empty():
                    break
                self._step(self._queue.get())
            gevent.sleep(0)

    def _wait(self):
        due = self.kernel.next_due()
        timeout = None if due is None else max(0.0, due - time.monotonic())
        try:
            return self._queue.get(timeout=timeout)
        except queue.Empty:
            return None

    def _step(self, message):
        now = time.monotonic()
        try:
            if message is None:
                effects = self.kernel.advance(now)
            elif isinstance(message, _Question):
                message.answer.set(message.ask())
                effects = self.kernel.context.take_effects()
            else:
                effects = self.kernel.handle(message, now)
        except Exception:
            # One bad event must not end the node; what it had emitted
            # before the error is still carried out.
            self.errors_ += 1
            LOG.exception('event failed', extra={'event': repr(message)[:200]})
            effects = self.kernel.context.take_effects()
        for effect in effects:
            self._performers_by_type[type(effect)](effect)
