"""Decisions of the one node that may run a key."""

import functools

import attrs

from rosemarycrank.ledger import _entries
from rosemarycrank import results

_State = _entries.State

_MAX_REFUSED_CALLS = 32


class Owner:
    """Runs each owned key at most once and answers all its sends.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    entries : Entries
        Keys that this node owns.
    run : callable
        Runs a request; takes it and a callback for its answer.

    Attributes
    ----------
    closed : bool
        Whether nothing may run any more; never reset.
    """

    def __init__(self, context, entries, run):
        self._context = context
        self._entries = entries
        self._run = run
        self.closed = False

    def take(self, entry, send):
        """Answer a send from its key's entry, or run it.

        Parameters
        ----------
        entry : Entry
            Entry of the key.
        send : Send
            The send.
        """
        if not send.is_question and send.digest != entry.digest:
            send.refuse(results.Result.KEY_REUSED)
        elif entry.state is _State.RUNNING:
            self._join(entry, send)
        elif entry.state is _State.KEPT:
            send.finish(_repeated(entry.answer, send))
        elif send.is_question:
            _tell_not_run(entry, send)
        else:
            self._run_or_refuse(entry, send)

    def _join(self, entry, send):
        call_ids = (waiting.call_id for waiting in entry.waiting)
        if send.call_id and send.call_id in call_ids:
            send.drop()
        else:
            self._context.count('ledger_joined')
            entry.waiting.append(send)

    def _run_or_refuse(self, entry, send):
        if send.call_id in entry.refused_call_ids:
            # A late copy of a call that was told that it did not run.
            _tell_not_run(entry, send)
            return
        result = self._refusal(entry, send)
        if result is None:
            self._start(entry, send)
        else:
            _note_refused(entry, send)
            send.refuse(result)

    def _refusal(self, entry, send):
        """Return why the send must not run, or None."""
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
        entry.waiting.append(send)
        self._entries.running += 1
        request = _with_allowance(send.request, _spend(entry, send))
        self._run(request, functools.partial(self._ended, entry))

    def _ended(self, entry, answer):
        if entry.state is not _State.RUNNING:
            self._context.count('ledger_double_answers')
            return
        self._entries.running -= 1
        entry.allowance_left = min(entry.allowance_left, answer.allowance_left)
        entry.reached_upstream |= answer.upstream_attempts > 0
        waiting, entry.waiting = entry.waiting, []
        if answer.result.outcome is results.Outcome.NOT_RUN:
            entry.state = _State.NOT_RUN
            entry.answer = answer
            for send in waiting:
                _note_refused(entry, send)
        else:
            entry.state = _State.KEPT
            self._entries.keep(entry, answer)
        first, *joined = waiting
        first.finish(answer)
        for send in joined:
            send.finish(_repeated(answer, send))


def _note_refused(entry, send):
    if send.call_id and len(entry.refused_call_ids) < _MAX_REFUSED_CALLS:
        entry.refused_call_ids.add(send.call_id)


def _tell_not_run(entry, send):
    if entry.answer is None:
        send.refuse(results.Result.KEY_NEVER_RAN)
    else:
        send.finish(_repeated(entry.answer, send))


def _spend(entry, send):
    """Return the retries that a run may spend.

    All sends under a key are one client request: what one run spent is
    gone for the next, and a run after one that reached an upstream is
    itself a retry.
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


def _repeated(answer, send):
    """Return an answer as sends other than the one that ran get it."""
    result = answer.result
    if result is results.Result.OK:
        result = results.Result.OK_KEPT
    return attrs.evolve(answer, result=result, allowance_left=send.allowance)
