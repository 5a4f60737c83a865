"""Sends: keyed requests and queries that wait for their answers.

A client may send the same request several times with one key; each time
is a send of its own.
"""

import attrs

from rosemarycrank import kernel
from rosemarycrank import results

#: A send times out this much after its deadline, so that the call path
#: can give its own answer at the deadline.
_DEADLINE_MARGIN_S = 0.05

#: Minimum retry-after time, in seconds.
_MIN_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Send:
    """A keyed request or a query of a key, answered exactly once.

    Attributes
    ----------
    key : str
        Idempotency key.
    key_hash : str
        Hash that identifies the key in tables and records.
    request : KeyedRequest or None
        Request to run; None for a query.
    digest : str
        Digest of the request; empty for a query.
    deadline : float
        Time by which it must be answered, in seconds of the local clock.
    may_run : bool
        Whether it arrived before the planned stop of this node began.
    call_id : str
        Identifier of the call if another node forwarded it, else empty.
    timeout_result : Result
        Result code of the answer when the deadline passes.
    forwards : int
        Number of owners that were tried, which is bounded.
    """

    key: str
    key_hash: str
    request: object
    digest: str
    deadline: float
    may_run: bool
    call_id: str = ''
    timeout_result: results.Result = results.Result.DEADLINE_PASSED
    forwards: int = 0
    _on_answer: object = None
    _timer: object = None

    @property
    def is_open(self):
        """Whether it has no answer yet."""
        return self._on_answer is not None

    @property
    def allowance(self):
        """Retries that a run of the request may spend."""
        return 0 if self.is_query else self.request.context.allowance

    @property
    def is_query(self):
        """Whether it is a query, which never runs a request."""
        return self.request is None

    def start(self, timers, on_answer):
        """Set the callback for the answer, and start the timeout.

        Parameters
        ----------
        timers : rosemarycrank.kernel.Timers
            Timer service.
        on_answer : callable
            Called once with the `kernel.Answer`, or with None after
            `drop`.
        """
        self._on_answer = on_answer
        delay_s = max(0.0, self.deadline - timers.now) + _DEADLINE_MARGIN_S
        self._timer = timers.after(delay_s, self._on_timeout)

    def finish(self, answer):
        """Give the answer, unless it was given already.

        Parameters
        ----------
        answer : kernel.Answer
            The answer.
        """
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            self._timer.cancel()
            on_answer(answer)

    def finish_with_result(self, result, retry_after_s=0.0):
        """Answer with a result code of this node and no body.

        Parameters
        ----------
        result : Result
            Result code.
        retry_after_s : float, default=0.0
            Time after which the client may retry, in seconds.
        """
        not_run = result.outcome is results.Outcome.NOT_RUN
        self.finish(
            kernel.Answer(
                result,
                result.http_status,
                retry_after_s=retry_after_s,
                allowance_left=self.allowance if not_run else 0,
            )
        )

    def cut_off(self, context):
        """Answer as unknown before the deadline, because the node exits.

        Parameters
        ----------
        context : rosemarycrank.kernel.Context
            Context of the kernel.
        """
        result = self.timeout_result
        if result is results.Result.DEADLINE_PASSED:
            # The deadline has not passed, and the outcome is not known.
            result = results.Result.CLAIM_UNREADABLE
        self.finish_with_result(result, draw_retry_after_s(context))

    def drop(self):
        """End the send without an answer, because its duplicate gets one."""
        self.finish(None)

    def _on_timeout(self, _now):
        self.finish_with_result(self.timeout_result)


def draw_retry_after_s(context):
    """Return a retry-after time with random jitter.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context whose random source adds the jitter.

    Returns
    -------
    float
        Retry-after time in seconds.
    """
    return _MIN_RETRY_AFTER_S * (1.0 + context.random.random())
