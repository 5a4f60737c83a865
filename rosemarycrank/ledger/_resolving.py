"""From a send to the owner of its key.

The owner is named by the key, by the row of the table, or, once it has
closed, by who took the key over. Every path ends in an answer.
"""

import functools

import attrs

from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank import results

_MAX_HOPS = 6
_RETRY_AFTER_S = 1.0
_MAX_LOOKS = 3
_LOOK_AGAIN_S = 0.3

_RESULTS_BY_CLOSING = {
    _closing.Closing.ABSENT: results.Result.OWNER_ENDED,
    _closing.Closing.UNREADABLE: results.Result.CLAIM_UNREADABLE,
}


@attrs.frozen
class _Ownership:
    """Which run of a node owns a key, and by which version of its row.

    ``version`` is 0 when the key itself names the owner.
    """

    owner: str
    incarnation: int
    version: int = 0


class Resolver:
    """Finds the owner of each send's key, and has it answer the send.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    owner : Owner
        Decides about the keys that this node owns.
    entries : Entries
        Keys that this node owns.
    claimer : Claimer
        Claims and reads rows.
    forwarder : Forwarder
        Way to other owners.
    closing_reader : ClosingReader
        Reads the records of owners that have closed.
    key_validity_s : float
        How long a key can be used after its issue or claim, in seconds.
    silence_s : float
        Time without an answer after which an owner's closing record is
        looked for, in seconds.

    Attributes
    ----------
    claimed_any : bool
        Whether a row may name this run of this node.
    """

    def __init__(
        self,
        context,
        owner,
        entries,
        claimer,
        forwarder,
        closing_reader,
        key_validity_s,
        silence_s,
    ):
        self._context = context
        self._owner = owner
        self._entries = entries
        self._claimer = claimer
        self._forwarder = forwarder
        self._closing_reader = closing_reader
        self._key_validity_s = key_validity_s
        self._silence_s = silence_s
        self._claiming_by_key_hash = {}
        self.claimed_any = False

    def resolve(self, send, issued):
        """Find the owner of a key, and have it take the send."""
        entry = self._owned_entry(send.key_hash)
        if entry is not None:
            self._owner.take(entry, send)
        elif issued is None:
            self._claim(send, 0)
        elif not self._is_mine(issued):
            self._forward(send, _Ownership(issued.owner, issued.incarnation))
        elif self._owner.closed:
            self._claim(send, 0)
        else:
            self._admit(send, issued.tick_s)

    def take_call(self, send, issued):
        """Take a send from another node, which sees the owner here."""
        entry = self._owned_entry(send.key_hash)
        if entry is not None:
            self._owner.take(entry, send)
        elif self._owner.closed:
            self._refuse(send, results.Result.OWNER_ENDED)
        elif issued is not None and self._is_mine(issued):
            self._admit(send, issued.tick_s)
        else:
            # The row tells whether the entry was forgotten or never was.
            self._claimer.read(
                send.key_hash, functools.partial(self._take_by_row, send)
            )

    def _take_by_row(self, send, readable, row):
        if not send.is_open:
            return
        if not readable:
            self._refuse(send, results.Result.CLAIM_UNREADABLE)
        elif row is None or not self._is_own_claim(row.claim):
            self._refuse(send, results.Result.OWNER_ENDED)
        else:
            self._settle(send, row)

    def _owned_entry(self, key_hash):
        """Return the entry of a key, or None.

        Once this node is closed, another may have taken over a key that
        did not run here, so its entry says nothing any more.
        """
        entry = self._entries.get(key_hash)
        if entry is None or not self._owner.closed:
            return entry
        return entry if entry.state is _entries.State.KEPT else None

    def _is_mine(self, issued):
        context = self._context
        return (
            issued.owner == context.address
            and issued.incarnation == context.incarnation
        )

    def _is_own_claim(self, claim):
        return claim.is_by(self._context.address, self._context.incarnation)

    def _claim(self, send, expected_version):
        """Claim the key if this node may own it, else only look."""
        if self._may_own(send):
            self.claimed_any = True
            waiting = self._claiming_by_key_hash.setdefault(send.key_hash, [])
            waiting.append(send)
            if len(waiting) == 1:
                self._claimer.claim(
                    send.key_hash,
                    send.digest,
                    expected_version,
                    functools.partial(self._claimed, send.key_hash),
                )
        else:
            self._claimer.read(
                send.key_hash,
                functools.partial(self._looked_up, send, expected_version),
            )

    def _may_own(self, send):
        return (
            not send.is_question
            and send.may_run
            and not self._owner.closed
            and not self._entries.is_full()
        )

    def _claimed(self, key_hash, row):
        for send in self._claiming_by_key_hash.pop(key_hash):
            if send.is_open:
                self._settle(send, row)

    def _looked_up(self, send, known_version, readable, row):
        if not send.is_open:
            return
        if not readable:
            self._refuse(send, results.Result.CLAIM_UNREADABLE)
        elif row is not None and row.version > known_version:
            self._settle(send, row)
        elif self._owned_entry(send.key_hash) is not None:
            self._owner.take(self._owned_entry(send.key_hash), send)
        else:
            self._refuse_unowned(send)

    def _refuse_unowned(self, send):
        """Refuse a send whose key certainly never ran."""
        if send.is_question:
            self._refuse(send, results.Result.KEY_NEVER_RAN)
        elif not send.may_run or self._owner.closed:
            self._refuse(send, results.Result.LEAVING)
        elif send.call_id:
            # Nothing would remember the refusal when a late copy comes.
            self._refuse(send, results.Result.CLAIM_UNREADABLE)
        else:
            self._refuse(send, results.Result.LEDGER_FULL)

    def _settle(self, send, row):
        """Go on by the claim that stands, or None if it is not known."""
        entry = self._owned_entry(send.key_hash)
        if entry is not None:
            self._owner.take(entry, send)
        elif row is None:
            self._refuse(send, results.Result.CLAIM_UNREADABLE)
        elif not send.is_question and send.digest != row.claim.digest:
            self._refuse(send, results.Result.KEY_REUSED)
        elif self._is_own_claim(row.claim):
            self._admit(send, row.claim.tick_s)
        else:
            incarnation = int(row.claim.incarnation, 16)
            self._forward(
                send, _Ownership(row.claim.owner, incarnation, row.version)
            )

    def _admit(self, send, tick_s):
        """Take a key that is owned here and has no entry.

        Entries of keys that ran are kept until the key is past its
        validity, so a valid key without an entry never ran.
        """
        expires = tick_s + self._key_validity_s
        if expires <= self._context.now:
            self._refuse(send, results.Result.KEY_EXPIRED)
        elif self._may_own(send):
            entry = self._entries.add(send.key_hash, send.digest, expires)
            self._owner.take(entry, send)
        else:
            self._refuse_unowned(send)

    def _forward(self, send, ownership):
        send.hops += 1
        if send.hops > _MAX_HOPS:
            self._refuse(send, results.Result.CLAIM_UNREADABLE)
            return
        if ownership.owner == self._context.address:
            # An earlier run at this address; it has ended.
            self._owner_ended(send, ownership)
            return
        send.overdue_result = results.Result.OWNER_UNREACHABLE
        call_id = self._forwarder.forward(
            ownership.owner,
            ownership.incarnation,
            send,
            functools.partial(self._owner_answered, send, ownership),
        )
        self._watch_for_silence(send, ownership, call_id, self._silence_s)

    def _owner_answered(self, send, ownership, answer):
        if not send.is_open:
            return
        if answer.result is results.Result.OWNER_ENDED:
            self._owner_ended(send, ownership)
        else:
            send.finish(answer)

    def _owner_ended(self, send, ownership, looks=1, _now=None):
        """Look for the closing record of an owner that has ended.

        The record may be on its way, so it is looked for more than once.
        """

        def found(closing, closed_key):
            if not send.is_open:
                return
            if closing in _RESULTS_BY_CLOSING and looks < _MAX_LOOKS:
                again = functools.partial(
                    self._owner_ended, send, ownership, looks + 1
                )
                self._context.timers.after(_LOOK_AGAIN_S, again)
            else:
                self._closing_found(send, ownership, closing, closed_key)

        self._find_closing(send, ownership, found)

    def _watch_for_silence(self, send, ownership, call_id, delay_s):
        def check(_now):
            if self._forwarder.is_waiting(call_id):
                self._find_closing(send, ownership, found)
                self._watch_for_silence(send, ownership, call_id, 2 * delay_s)

        def found(closing, closed_key):
            if closing in _RESULTS_BY_CLOSING:
                return
            if send.is_open and self._forwarder.is_waiting(call_id):
                self._forwarder.abandon(call_id)
                self._closing_found(send, ownership, closing, closed_key)

        self._context.timers.after(delay_s, check)

    def _find_closing(self, send, ownership, found):
        self._closing_reader.find(
            _closing.record_name(ownership.owner, ownership.incarnation),
            send.key_hash,
            found,
        )

    def _closing_found(self, send, ownership, closing, closed_key):
        if closing is _closing.Closing.RAN:
            self._finish_from_record(send, closed_key)
        elif closing is _closing.Closing.NEVER_RAN:
            self._claim(send, ownership.version)
        else:
            self._refuse(send, _RESULTS_BY_CLOSING[closing])

    def _finish_from_record(self, send, closed_key):
        if not send.is_question and send.digest != closed_key.digest:
            self._refuse(send, results.Result.KEY_REUSED)
        else:
            send.finish(closed_key.answer(send.allowance))

    def _refuse(self, send, result):
        retry_after_s = _RETRY_AFTER_S * (1.0 + self._context.random.random())
        send.refuse(result, retry_after_s)
