"""Ledger of keys issued by nodes and keys chosen by clients.

A key issued by a node names that node as its owner, and only the owner
runs requests with it. A key chosen by a client is claimed in the platform's
table by the first node that receives it, and that node owns it from then
on. Every other node forwards requests with the key to the owner. No
decision depends on a lease or on membership.
"""

import math

from rosemarycrank import kernel
from rosemarycrank.ledger import _base
from rosemarycrank.ledger import _claiming
from rosemarycrank.ledger import _closing
from rosemarycrank.ledger import _entries
from rosemarycrank.ledger import _forwarding
from rosemarycrank.ledger import _keys
from rosemarycrank.ledger import _owner
from rosemarycrank.ledger import _platform_client
from rosemarycrank.ledger import _resolving
from rosemarycrank.ledger import _sends
from rosemarycrank import messages
from rosemarycrank import results

_MAX_KEYS_PER_ISSUE = 1000
_MAX_REMAINING_S = 3600.0
_SWEEP_PERIOD_S = 1.0
_DRAIN_CHECK_PERIOD_S = 0.1


@kernel.register('ledger', 'claims')
class Claims(_base.Ledger):
    """Ledger with issued keys and claims in the platform's table.

    Parameters
    ----------
    key_secret : bytes, default=b''
        Secret that all nodes share, for the MACs of issued keys. If it is
        empty, a random secret is used, and other nodes refuse the keys
        that this node issues.
    key_validity_s : float, default=86400.0
        How long a key can be used after its issue or claim, in seconds.
    claim_timeout_s : float, default=1.0
        Maximum duration of a claim, in seconds.
    query_timeout_s : float, default=2.0
        Maximum duration of a query of a key, in seconds.
    platform_timeout_s : float, default=2.5
        Maximum duration of one operation on the platform, in seconds.
    resend_s : float, default=0.3
        Delay before a call to an owner is first sent again, in seconds.
    silence_s : float, default=1.0
        Time without an answer from an owner after which its closing
        record is read, in seconds.
    closing_timeout_s : float, default=5.0
        Maximum time that a planned stop waits for the write of the
        closing record, in seconds.
    max_keys : int, default=100000
        Maximum number of keys that this node owns at a time.
    max_kept_bytes : int, default=64 MiB
        Size of the kept answers in bytes from which on no new key is
        accepted.
    """

    handles = {
        kernel.PlatformReply: 'on_platform_reply',
        messages.KeyedCall: 'on_keyed_call',
        messages.KeyedReply: 'on_keyed_reply',
    }

    def __init__(
        self,
        key_secret=b'',
        key_validity_s=86400.0,
        claim_timeout_s=1.0,
        query_timeout_s=2.0,
        platform_timeout_s=2.5,
        resend_s=0.3,
        silence_s=1.0,
        closing_timeout_s=5.0,
        max_keys=100_000,
        max_kept_bytes=64 * 1024 * 1024,
    ):
        self.key_secret = key_secret
        self.key_validity_s = key_validity_s
        self.claim_timeout_s = claim_timeout_s
        self.query_timeout_s = query_timeout_s
        self.platform_timeout_s = platform_timeout_s
        self.resend_s = resend_s
        self.silence_s = silence_s
        self.closing_timeout_s = closing_timeout_s
        self.max_keys = max_keys
        self.max_kept_bytes = max_kept_bytes

    def attach(self, context):
        """Store the context and create the parts of the ledger."""
        super().attach(context)
        secret = self.key_secret or context.random.randbytes(32)
        self._issuer = _keys.KeyIssuer(secret)
        self._entries = _entries.Entries(self.max_keys, self.max_kept_bytes)
        self._local_owner = _owner.LocalOwner(
            context,
            self._entries,
            lambda request, finish: self.run(request, finish),
        )
        self._platform = _platform_client.PlatformClient(
            context, self.platform_timeout_s
        )
        self._forwarder = _forwarding.Forwarder(context, self.resend_s)
        self._resolver = _resolving.Resolver(
            context,
            self._local_owner,
            self._entries,
            _claiming.Claimer(context, self._platform, self.claim_timeout_s),
            self._forwarder,
            _closing.ClosingReader(context, self._platform),
            self.key_validity_s,
            self.silence_s,
        )
        self._closing_writer = _closing.ClosingWriter(
            context, self._platform, self.closing_timeout_s
        )
        self._open_sends = set()
        self._has_issued_keys = False
        self._draining = False
        self._exits_at = math.inf
        context.timers.every(_SWEEP_PERIOD_S, self._entries.remove_expired)

    def submit(self, request, finish):
        """Run a request at most once, here or at the owner of its key."""
        try:
            issued = self._issuer.parse(request.key)
        except _keys.InvalidKey:
            finish(_answer_for(results.Result.KEY_INVALID))
            return
        send = self._open_send(
            request.key,
            request,
            _keys.request_digest(request),
            request.deadline,
            finish,
        )
        self._resolver.resolve(send, issued)

    def query(self, key, finish):
        """Look up the outcome of a key without running a request."""
        try:
            issued = self._issuer.parse(key)
        except _keys.InvalidKey:
            finish(_answer_for(results.Result.KEY_INVALID))
            return
        deadline = self.context.now + self.query_timeout_s
        self._resolver.resolve(
            self._open_send(key, None, '', deadline, finish), issued
        )

    def issue(self, count):
        """Return new keys that this node owns; none during a planned stop.

        Raises
        ------
        ValueError
            If the count is not between 1 and 1000.
        """
        if not 1 <= count <= _MAX_KEYS_PER_ISSUE:
            raise ValueError(
                f'count: got {count!r}, allowed 1 to {_MAX_KEYS_PER_ISSUE}'
            )
        if self._draining:
            return []
        self._has_issued_keys = True
        context = self.context
        return [
            self._issuer.issue(
                context.address,
                context.incarnation,
                context.now,
                context.random.getrandbits(64),
            )
            for _ in range(count)
        ]

    def start_drain(self, times=None):
        """Accept no new keys, and write the closing record at the end."""
        if not self._draining:
            self._draining = True
            if times is not None:
                self._exits_at = times.exits_at
                self._forwarder.latest_run_end_at = times.runs_end_at
            self.context.timers.every(
                _DRAIN_CHECK_PERIOD_S,
                self._close_if_finished,
                first_delay_s=0.0,
            )

    def end_drain(self):
        """Answer all sends as unknown, and write the closing record.

        A key whose request runs has that outcome in the record.
        """
        self._local_owner.end_runs()
        for send in list(self._open_sends):
            self.context.count('ledger_cut_off')
            send.cut_off(self.context)
        self._close_if_finished(self.context.now)

    def is_idle(self):
        """Return whether the node may exit.

        It may once every send has its answer and the closing record is
        written, not needed or given up.
        """
        return self._closing_writer.done and not self._open_sends

    def dump(self):
        """Return sizes and the progress of a planned stop."""
        return {
            'keys': len(self._entries),
            'running': self._entries.running,
            'kept_bytes': self._entries.kept_bytes,
            'open_sends': len(self._open_sends),
            'forwarded': len(self._forwarder),
            'platform_operations': len(self._platform),
            'draining': self._draining,
            'closed': self._local_owner.closed,
            'closing_settled': self._closing_writer.done,
        }

    def on_platform_reply(self, event):
        """Pass a reply of the platform to its operation."""
        self._platform.on_reply(event)

    def on_keyed_reply(self, _sender, message):
        """Pass the answer of an owner to the forwarded send."""
        self._forwarder.on_reply(message)

    def on_keyed_call(self, sender, message):
        """Answer a call that another node forwarded to this owner."""

        def reply(answer):
            self.context.send(
                sender, _forwarding.to_reply(message.call_id, answer)
            )

        intended = _forwarding.intended_incarnation(message.call_id)
        if intended != self.context.incarnation:
            reply(_answer_for(results.Result.OWNER_ENDED))
            return
        try:
            issued = self._issuer.parse(message.key)
        except _keys.InvalidKey:
            reply(_answer_for(results.Result.KEY_INVALID))
            return
        self._resolver.resolve_forwarded(
            self._open_forwarded_send(sender, message, reply), issued
        )

    def _open_forwarded_send(self, sender, message, reply):
        remaining_s = min(max(0.0, message.remaining_s), _MAX_REMAINING_S)
        deadline = self.context.now + remaining_s
        call_id = f'{sender}/{message.call_id}'
        if message.query_only:
            return self._open_send(
                message.key, None, '', deadline, reply, call_id
            )
        request = _base.KeyedRequest(
            message.key,
            message.service,
            message.method,
            message.path,
            message.headers,
            message.body,
            deadline,
            message.context,
        )
        digest = _keys.request_digest(request)
        return self._open_send(
            message.key, request, digest, deadline, reply, call_id
        )

    def _open_send(self, key, request, digest, deadline, finish, call_id=''):
        send = _sends.Send(
            key,
            _keys.key_hash(key),
            request,
            digest,
            min(deadline, self._exits_at),
            may_run=not self._draining,
            call_id=call_id,
        )
        self._open_sends.add(send)

        def on_answer(answer):
            self._open_sends.discard(send)
            if answer is not None:
                self.context.count(f'ledger_answer_{answer.result.number}')
                finish(answer)

        send.start(self.context.timers, on_answer)
        return send

    def _close_if_finished(self, _now):
        if self._local_owner.closed or self._entries.running:
            return
        if any(send.may_run for send in self._open_sends):
            return
        self._local_owner.closed = True
        if self._has_issued_keys or self._resolver.has_claimed_keys:
            self._closing_writer.start(
                self._entries, self._exits_at - self.context.now
            )
        else:
            self._closing_writer.done = True


def _answer_for(result):
    return kernel.Answer(result, result.http_status)
