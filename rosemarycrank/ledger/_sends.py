"""One send of a keyed request, or one question about a key."""

import attrs

from rosemarycrank import kernel
from rosemarycrank import results

#: Leaves the call path time to give its own answer at the deadline.
_MARGIN_S = 0.05


@attrs.define(eq=False)
class Send:
    """A send that is answered exactly once.

    Attributes
    ----------
    key : str
        Idempotency key.
    key_hash : str
        Name of the key in tables and records.
    request : KeyedRequest or None
        What to run; None for a question.
    digest : str
        Digest of the request; empty for a question.
    deadline : float
        When it must be answered, in seconds of the local clock.
    may_run : bool
        Whether it came before the planned stop of this node.
    call_id : str
        Identifier of the call by which it came from another node, or
        empty.
    overdue_result : Result
        What to answer when the deadline passes.
    hops : int
        How often its owner was looked for.
    """

    key: str
    key_hash: str
    request: object
    digest: str
    deadline: float
    may_run: bool
    call_id: str = ''
    overdue_result: results.Result = results.Result.DEADLINE_PASSED
    hops: int = 0
    _on_answer: object = None
    _timer: object = None

    @property
    def is_open(self):
        """Whether the answer is still due."""
        return self._on_answer is not None

    @property
    def allowance(self):
        """Retries that whoever runs it was lent."""
        return 0 if self.is_question else self.request.context.allowance

    @property
    def is_question(self):
        """Whether nothing may be run for it."""
        return self.request is None

    def watch(self, timers, on_answer):
        """Take the callback, and answer by it when time is out.

        Parameters
        ----------
        timers : rosemarycrank.kernel.Timers
            Timer service.
        on_answer : callable
            Called once with the `kernel.Answer`, or None if `drop` ended
            it.
        """
        self._on_answer = on_answer
        delay_s = max(0.0, self.deadline - timers.now) + _MARGIN_S
        self._timer = timers.after(delay_s, self._overdue)

    def finish(self, answer):
        """Give the answer, unless one was given.

        Parameters
        ----------
        answer : kernel.Answer
            The answer.
        """
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            self._timer.cancel()
            on_answer(answer)

    def refuse(self, result, retry_after_s=0.0):
        """Give an answer made by this node.

        Parameters
        ----------
        result : Result
            The code.
        retry_after_s : float, default=0.0
            When to come back, in seconds.
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

    def drop(self):
        """End it without an answer, since a copy of it gets one."""
        self.finish(None)

    def _overdue(self, _now):
        self.refuse(self.overdue_result)
