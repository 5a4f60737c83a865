"""Resolution of a send to the owner of its key.

The owner is named by the key itself if a node issued it, else by the row
in the table of keys. Once an owner has closed, a key that never ran there
is claimed by another node, whose row then names the owner. Every path ends
in an answer.
"""

import functools

import attrs

from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _sends
from rosemarycrank import results

_MAX_FORWARDS = 6
_MAX_CLOSING_READS = 3
_CLOSING_RETRY_DELAY_S = 0.3

_RESULTS_WITHOUT_RECORD = {
    _closing.ClosingStatus.ABSENT: results.Result.OWNER_ENDED,
    _closing.ClosingStatus.UNREADABLE: results.Result.CLAIM_UNREADABLE,
}


@attrs.frozen
class _Ownership:
    """Incarnation of a node that owns a key, and the version of its row.

    ``version`` is 0 if the key itself names the owner.
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
    local_owner : LocalOwner
        Handles the sends whose key this node owns.
    entries : Entries
        Keys that this node owns.
    claimer : Claimer
        Writes claims and reads rows.
    forwarder : Forwarder
        Forwards sends to other nodes.
    closing_reader : ClosingReader
        Reads the closing records of other nodes.
    key_validity_s : float
        How long a key can be used after its issue or claim, in seconds.
    silence_s : float
        Time without an answer after which the closing record of an owner
        is read, in seconds.

    Attributes
    ----------
    has_claimed_keys : bool
        Whether a row may name this incarnation of this node.
    """

    def __init__(
        self,
        context,
        local_owner,
        entries,
        claimer,
        forwarder,
        closing_reader,
        key_validity_s,
        silence_s,
    ):
        self._context = context
        self._local_owner = local_owner
        self._entries = entries
        self._claimer = claimer
        self._forwarder = forwarder
        self._closing_reader = closing_reader
        self._key_validity_s = key_validity_s
        self._silence_s = silence_s
        self._waiting_by_key_hash = {}
        self.has_claimed_keys = False

    def resolve(self, send, issued):
        """Find the owner of a key, and let it answer the send."""
        entry = self._valid_entry(send.key_hash)
        if entry is not None:
            self._local_owner.handle(entry, send)
        elif issued is None:
            self._claim_or_read(send, 0)
        elif not self._is_issued_here(issued):
            self._forward(send, _Ownership(issued.owner, issued.incarnation))
        elif self._local_owner.closed:
            self._claim_or_read(send, 0)
        else:
            self._handle_new_key(send, issued.tick_s)

    def resolve_forwarded(self, send, issued):
        """Answer a send from a node that takes this node for the owner."""
        entry = self._valid_entry(send.key_hash)
        if entry is not None:
            self._local_owner.handle(entry, send)
        elif self._local_owner.closed:
            self._finish_with_result(send, results.Result.OWNER_ENDED)
        elif issued is not None and self._is_issued_here(issued):
            self._handle_new_key(send, issued.tick_s)
        else:
            # The row shows whether this node ever claimed the key: its
            # entry may have expired, or the sender may be mistaken.
            self._claimer.read(
                send.key_hash,
                functools.partial(self._on_forwarded_row_read, send),
            )

    def _on_forwarded_row_read(self, send, readable, row):
        if not send.is_open:
            return
        if not readable:
            self._finish_with_result(send, results.Result.CLAIM_UNREADABLE)
        elif row is None or not self._is_claimed_here(row.claim):
            self._finish_with_result(send, results.Result.OWNER_ENDED)
        else:
            self._continue_with_row(send, row)

    def _valid_entry(self, key_hash):
        """Return the entry of a key if it is still valid, else None.

        Once this node is closed, another node may have claimed a key that
        did not run here, so the entry of such a key is no longer valid.
        """
        entry = self._entries.get(key_hash)
        if entry is None or not self._local_owner.closed:
            return entry
        return entry if entry.state is _entries.State.KEPT else None

    def _is_issued_here(self, issued):
        context = self._context
        return (
            issued.owner == context.address
            and issued.incarnation == context.incarnation
        )

    def _is_claimed_here(self, claim):
        return claim.belongs_to(
            self._context.address, self._context.incarnation
        )

    def _claim_or_read(self, send, expected_version):
        """Claim the key if this node may own it, else only read its row."""
        if self._may_own(send):
            self.has_claimed_keys = True
            waiting = self._waiting_by_key_hash.setdefault(send.key_hash, [])
            waiting.append(send)
            if len(waiting) == 1:
                self._claimer.claim(
                    send.key_hash,
                    send.digest,
                    expected_version,
                    functools.partial(self._on_claimed, send.key_hash),
                )
        else:
            self._claimer.read(
                send.key_hash,
                functools.partial(self._on_row_read, send, expected_version),
            )

    def _may_own(self, send):
        return (
            not send.is_query
            and send.may_run
            and not self._local_owner.closed
            and not self._entries.is_full()
        )

    def _on_claimed(self, key_hash, row):
        for send in self._waiting_by_key_hash.pop(key_hash):
            if send.is_open:
                self._continue_with_row(send, row)

    def _on_row_read(self, send, known_version, readable, row):
        if not send.is_open:
            return
        if not readable:
            self._finish_with_result(send, results.Result.CLAIM_UNREADABLE)
        elif row is not None and row.version > known_version:
            self._continue_with_row(send, row)
        elif self._valid_entry(send.key_hash) is not None:
            self._local_owner.handle(self._valid_entry(send.key_hash), send)
        else:
            self._finish_unowned(send)

    def _finish_unowned(self, send):
        """Finish a send whose key has not run and may not run here."""
        if send.is_query:
            self._finish_with_result(send, results.Result.KEY_NEVER_RAN)
        elif not send.may_run or self._local_owner.closed:
            self._finish_with_result(send, results.Result.LEAVING)
        elif send.call_id:
            # No entry records the refusal, so a late copy of the call
            # could still run, and "not run" would be a wrong outcome.
            self._finish_with_result(send, results.Result.CLAIM_UNREADABLE)
        else:
            self._finish_with_result(send, results.Result.LEDGER_FULL)

    def _continue_with_row(self, send, row):
        """Continue with the current claim; None if it is unknown."""
        entry = self._valid_entry(send.key_hash)
        if entry is not None:
            self._local_owner.handle(entry, send)
        elif row is None:
            self._finish_with_result(send, results.Result.CLAIM_UNREADABLE)
        elif not send.is_query and send.digest != row.claim.digest:
            self._finish_with_result(send, results.Result.KEY_REUSED)
        elif self._is_claimed_here(row.claim):
            self._handle_new_key(send, row.claim.tick_s)
        else:
            incarnation = int(row.claim.incarnation, 16)
            self._forward(
                send, _Ownership(row.claim.owner, incarnation, row.version)
            )

    def _handle_new_key(self, send, tick_s):
        """Add the entry of a key owned here if allowed, and handle the send.

        An entry of a key that ran is kept until the key expires, so a
        valid key without an entry has never run.
        """
        expires_at_s = tick_s + self._key_validity_s
        if expires_at_s <= self._context.now:
            self._finish_with_result(send, results.Result.KEY_EXPIRED)
        elif self._may_own(send):
            entry = self._entries.add(send.key_hash, send.digest, expires_at_s)
            self._local_owner.handle(entry, send)
        else:
            self._finish_unowned(send)

    def _forward(self, send, ownership):
        send.forwards += 1
        if send.forwards > _MAX_FORWARDS:
            self._finish_with_result(send, results.Result.CLAIM_UNREADABLE)
            return
        if ownership.owner == self._context.address:
            # An earlier incarnation of this node; it has ended.
            self._resolve_by_closing(send, ownership)
            return
        send.timeout_result = results.Result.OWNER_UNREACHABLE
        call_id = self._forwarder.forward(
            ownership.owner,
            ownership.incarnation,
            send,
            functools.partial(self._on_owner_answer, send, ownership),
        )
        self._schedule_closing_check(send, ownership, call_id, self._silence_s)

    def _on_owner_answer(self, send, ownership, answer):
        if not send.is_open:
            return
        if answer.result is results.Result.OWNER_ENDED:
            self._resolve_by_closing(send, ownership)
        else:
            send.finish(answer)

    def _resolve_by_closing(self, send, ownership, reads=1, _now=None):
        """Resolve a send by the closing record of an owner that has ended.

        The write of the record may be in flight, so it is read several
        times before it counts as absent.
        """

        def on_record(status, closed_key):
            if not send.is_open:
                return
            if (
                status in _RESULTS_WITHOUT_RECORD
                and reads < _MAX_CLOSING_READS
            ):
                retry = functools.partial(
                    self._resolve_by_closing, send, ownership, reads + 1
                )
                self._context.timers.after(_CLOSING_RETRY_DELAY_S, retry)
            else:
                self._apply_closing(send, ownership, status, closed_key)

        self._read_closing(send, ownership, on_record)

    def _schedule_closing_check(self, send, ownership, call_id, delay_s):
        def check_closing(_now):
            if self._forwarder.is_waiting(call_id):
                self._read_closing(send, ownership, on_record)
                self._schedule_closing_check(
                    send, ownership, call_id, 2 * delay_s
                )

        def on_record(status, closed_key):
            if status in _RESULTS_WITHOUT_RECORD:
                return
            if send.is_open and self._forwarder.is_waiting(call_id):
                self._forwarder.abandon(call_id)
                self._apply_closing(send, ownership, status, closed_key)

        self._context.timers.after(delay_s, check_closing)

    def _read_closing(self, send, ownership, on_record):
        self._closing_reader.read(
            _closing.record_name(ownership.owner, ownership.incarnation),
            send.key_hash,
            on_record,
        )

    def _apply_closing(self, send, ownership, status, closed_key):
        if status is _closing.ClosingStatus.RAN:
            self._finish_from_record(send, closed_key)
        elif status is _closing.ClosingStatus.NEVER_RAN:
            self._claim_or_read(send, ownership.version)
        else:
            self._finish_with_result(send, _RESULTS_WITHOUT_RECORD[status])

    def _finish_from_record(self, send, closed_key):
        if not send.is_query and send.digest != closed_key.digest:
            self._finish_with_result(send, results.Result.KEY_REUSED)
        else:
            send.finish(closed_key.answer(send.allowance))

    def _finish_with_result(self, send, result):
        send.finish_with_result(
            result, _sends.draw_retry_after_s(self._context)
        )
