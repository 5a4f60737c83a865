"""Decisions of the only node that may run requests with a key."""

import functools

import attrs

from rosemarycrank import kernel
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _sends
from rosemarycrank import results

_State = _entries.State

_MAX_REFUSED_CALLS = 32


class LocalOwner:
    """Runs the request of each owned key at most once; answers its sends.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    entries : Entries
        Keys that this node owns.
    run : callable
        Runs a request; called with the request and a callback for its
        answer.

    Attributes
    ----------
    closed : bool
        Whether no request may start any more; never reset.
    """

    def __init__(self, context, entries, run):
        self._context = context
        self._entries = entries
        self._run = run
        self.closed = False

    def handle(self, entry, send):
        """Answer a send from the entry of its key, or run its request.

        Parameters
        ----------
        entry : Entry
            Entry of the key.
        send : Send
            Send to answer.
        """
        if not send.is_query and send.digest != entry.digest:
            send.finish_with_result(results.Result.KEY_REUSED)
        elif entry.state is _State.RUNNING:
            self._join_running(entry, send)
        elif entry.state is _State.KEPT:
            send.finish(_repeat_answer(entry.answer, send))
        elif send.is_query:
            _finish_not_run(entry, send)
        else:
            self._run_or_refuse(entry, send)

    def end_runs(self):
        """End all running requests with an unknown outcome."""
        for _, entry in list(self._entries.items()):
            if entry.state is _State.RUNNING:
                self._on_run_finished(
                    entry, kernel.Answer(results.Result.ANSWER_LOST)
                )

    def _join_running(self, entry, send):
        call_ids = (waiting.call_id for waiting in entry.waiting_sends)
        if send.call_id and send.call_id in call_ids:
            send.drop()
        else:
            self._context.count('ledger_joined')
            entry.waiting_sends.append(send)

    def _run_or_refuse(self, entry, send):
        if send.call_id in entry.refused_call_ids:
            # A late copy of a call that was answered as not run.
            _finish_not_run(entry, send)
            return
        result = self._refusal_result(entry, send)
        if result is None:
            self._start(entry, send)
        else:
            _record_refused_call(entry, send)
            send.finish_with_result(result, self._retry_after_s(result))

    def _retry_after_s(self, result):
        if result is results.Result.LEAVING:
            return _sends.draw_retry_after_s(self._context)
        return 0.0

    def _refusal_result(self, entry, send):
        """Return the result code if the send must not run, else None."""
        if self.closed or not send.may_run:
            return results.Result.LEAVING
        if entry.reached_upstream and entry.allowance_left < 1:
            return results.Result.ALLOWANCE_SPENT
        if len(entry.refused_call_ids) >= _MAX_REFUSED_CALLS:
            return results.Result.ALLOWANCE_SPENT
        if send.deadline <= self._context.now:
            return results.Result.DEADLINE_TOO_SHORT
        return None

    def _start(self, entry, send):
        self._context.count('ledger_runs')
        entry.state = _State.RUNNING
        entry.waiting_sends.append(send)
        self._entries.running += 1
        request = _with_allowance(send.request, _charge_allowance(entry, send))
        self._run(request, functools.partial(self._on_run_finished, entry))

    def _on_run_finished(self, entry, answer):
        if entry.state is not _State.RUNNING:
            self._context.count('ledger_double_answers')
            return
        self._entries.running -= 1
        entry.allowance_left = min(entry.allowance_left, answer.allowance_left)
        entry.reached_upstream |= answer.upstream_attempts > 0
        waiting, entry.waiting_sends = entry.waiting_sends, []
        if answer.result.outcome is results.Outcome.NOT_RUN:
            entry.state = _State.NOT_RUN
            entry.answer = answer
            for send in waiting:
                _record_refused_call(entry, send)
        else:
            entry.state = _State.KEPT
            self._entries.store_answer(entry, answer)
        first, *joined = waiting
        first.finish(answer)
        for send in joined:
            send.finish(_repeat_answer(answer, send))


def _record_refused_call(entry, send):
    if send.call_id and len(entry.refused_call_ids) < _MAX_REFUSED_CALLS:
        entry.refused_call_ids.add(send.call_id)


def _finish_not_run(entry, send):
    if entry.answer is None:
        send.finish_with_result(results.Result.KEY_NEVER_RAN)
    else:
        send.finish(_repeat_answer(entry.answer, send))


def _charge_allowance(entry, send):
    """Return the retries that a run may spend.

    All sends with a key count as one client request: retries that one run
    spent are not available to the next, and a run that follows one that
    reached an upstream counts as a retry.
    """
    if entry.allowance_left is None:
        entry.allowance_left = send.allowance
    elif entry.reached_upstream:
        entry.allowance_left -= 1
    entry.allowance_left = min(entry.allowance_left, send.allowance)
    return entry.allowance_left


def _with_allowance(request, allowance):
    context = attrs.evolve(request.context, allowance=allowance)
    return attrs.evolve(request, context=context)


def _repeat_answer(answer, send):
    """Return the answer for a send other than the one that ran."""
    result = answer.result
    if result is results.Result.OK:
        result = results.Result.OK_KEPT
    return attrs.evolve(answer, result=result, allowance_left=send.allowance)
