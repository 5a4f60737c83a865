"""Membership protocol among the nodes of one failure domain."""

import msgspec

from rosemarycrank.membership import _broadcast
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _pause
from rosemarycrank.membership import _probing

GOSSIP_FANOUT = 3
MAX_GOSSIP_RECORDS = 5
MAX_PIGGYBACK_RECORDS = 5
PAGE_RECORDS = 64
PEERS_ASKED_AFTER_PAUSE = 3
ANNOUNCE_ROUNDS = 4
CALLER_TTL_S = 120.0
# By all nodes of a failure domain together.
MAX_DOMAIN_RETRIES_PER_S = 20.0
MIN_DIGEST_PERIOD_S = 1.0

# A node with at least this many peers that receives no message from any of
# them is itself cut off. It must not declare them failed, since each of them
# would have to refute that once the network is back.
MIN_ISOLATION_PEERS = 16
ISOLATION_TIMEOUT_S = 3.0

Status = _messages.Status


class OwnDomain:
    """Probes, gossip and digest comparisons within the failure domain.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    view : DomainView
        Records of the failure domain.
    own_record : Record
        First record of this node.
    settings : GossipDirectory
        Directory whose constructor parameters are the settings.
    on_resume : callable
        Called after a pause of this process, with its length in seconds.
    on_cut_off_change : callable
        Called without arguments when `cut_off` changed.

    Attributes
    ----------
    own_record : Record
        Current record of this node.
    synced : bool
        Whether a digest comparison with a peer has been completed.
    cut_off : bool
        Whether this node receives no messages from other nodes and must use
        its own upstream only.
    """

    def __init__(
        self, context, view, own_record, settings, on_resume, on_cut_off_change
    ):
        self.context = context
        self.view = view
        self.own_record = own_record
        self.settings = settings
        self.synced = False
        self.cut_off = False
        self.queue = _broadcast.BroadcastQueue()
        self.pause_detector = _pause.PauseDetector(
            settings.pause_threshold_s, settings.pause_limit_s
        )
        # The process may be paused before the first tick of the timer.
        self.pause_detector.tick(context.now)
        self.prober = _probing.Prober(
            context,
            settings.probe_period_s,
            settings.ack_timeout_s,
            self._make_ping,
            self._on_probe_timeout,
        )
        self._on_resume = on_resume
        self._on_cut_off_change = on_cut_off_change
        self._last_received_at = context.now
        self._last_call_at_by_address = {}
        self._announce_rounds = 0
        self._next_digest_at = 0.0
        self._digest_period_s = MIN_DIGEST_PERIOD_S
        self._next_retry_at = 0.0
        self._digest_peer = None

    def tick(self, now):
        """Run the periodic work of the protocol.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        pause_s = self.pause_detector.tick(now)
        if pause_s:
            self._resume(now, pause_s)
        if self.pause_detector.expire_wait(now):
            self._set_cut_off(True)
        peers = self.view.running_peers()
        if not peers:
            # No record of a running peer is left that could be outdated.
            self._set_cut_off(False)
        isolated = self._is_isolated(now, peers)
        if isolated:
            self._set_cut_off(True)
            self.view.postpone_deadlines(self.settings.tick_s)
        self.view.tick(now)
        self.prober.tick(now, peers)
        self._compare_views(now, peers)
        self._retry_failed_nodes(now)
        self._gossip(peers)
        self._repeat_announcement()

    def on_message(self):
        """Record that a message of another node was received."""
        self._last_received_at = self.context.now

    def add_caller(self, address):
        """Record a node that sends calls here.

        Changes of this node's record are sent to it directly.

        Parameters
        ----------
        address : str
            Address of the node.
        """
        self._last_call_at_by_address[address] = self.context.now

    def announce(self, **changes):
        """Change this node's record and propagate the change.

        Parameters
        ----------
        **changes
            New values of fields of the record.
        """
        self._update_own_record(self.own_record.sequence + 1, **changes)
        self._announce_rounds = ANNOUNCE_ROUNDS
        self._notify_callers()

    def announcement_sent(self):
        """Return whether the last announcement was sent and repeated."""
        return self._announce_rounds == 0

    def merge_record(self, sender, record):
        """Store the record of a peer, or refute a wrong one of this node.

        Parameters
        ----------
        sender : str
            Address of the node that sent the record.
        record : Record
            Record of a node of this failure domain.
        """
        if record.address != self.context.address:
            self.view.apply(record)
        elif record != self.own_record:
            self._refute(sender, record)

    def conflicting_records(self, address, incarnation, sequence):
        """Return the record of a node if it differs from the node's own.

        Parameters
        ----------
        address : str
            Address of the node.
        incarnation, sequence : int
            Values of the node's own record.

        Returns
        -------
        list of Record
            Empty if both agree, else the record stored here. For an unknown
            node it is a record of a failure, which the node refutes and
            thereby introduces itself.
        """
        known = self.view.record(address)
        if known is None:
            return [
                _messages.Record(
                    address,
                    0,
                    0,
                    Status.FAILED,
                    self.own_record.failure_domain,
                )
            ]
        same = (known.incarnation, known.sequence) == (incarnation, sequence)
        if same and known.status in (Status.ALIVE, Status.LEFT):
            return []
        return [known]

    def answer_ping(self, sender, ping):
        """Reply to a probe, with the sender's record if it differs."""
        updates = self.queue.take(MAX_PIGGYBACK_RECORDS)
        updates += self.conflicting_records(
            sender, ping.incarnation, ping.sequence
        )
        self.context.send(
            sender, _messages.Ack(ping.nonce, self.context.address, updates)
        )

    def on_ack(self, ack):
        """Handle the reply to a probe.

        If this node is cut off, the reply starts a digest comparison, whose
        completion ends that state.
        """
        if self.prober.on_ack(ack) and self.cut_off:
            self._request_comparisons([ack.address])

    def answer_digest(self, sender, digest):
        """Reply with the records of the buckets that differ."""
        table = self.view.table
        differing = table.differing_buckets(digest.buckets)
        buckets, records = table.page(differing, PAGE_RECORDS)
        reply = _messages.DigestReply(
            digest.nonce,
            digest.failure_domain,
            buckets,
            records,
            more=len(buckets) < len(differing),
        )
        self.context.send(sender, reply)

    def on_digest_reply(self, sender, reply):
        """Continue the digest comparison, or record that it is complete.

        The caller has already stored the records of the reply.
        """
        self._adapt_digest_period(differs=bool(reply.buckets))
        if reply.more:
            self._digest_peer = sender
            return
        self.synced = True
        if self.pause_detector.on_reply(reply.nonce):
            self._set_cut_off(False)

    def schedule_comparison(self, address):
        """Send a digest to a node at the next tick.

        Parameters
        ----------
        address : str
            Address of a node of this failure domain.
        """
        self._digest_peer = address

    # Periodic work

    def _resume(self, now, pause_s):
        self.context.count('membership_pauses')
        self._last_received_at += pause_s
        self.prober.postpone_deadlines(pause_s)
        self.view.postpone_deadlines(pause_s)
        self._request_comparisons(self.view.running_peers())
        self._on_resume(pause_s)

    def _request_comparisons(self, addresses):
        nonces = [
            self._send_digest(address)
            for address in self._sample(addresses, PEERS_ASKED_AFTER_PAUSE)
        ]
        self.pause_detector.await_reply(self.context.now, nonces)

    def _is_isolated(self, now, peers):
        silent_s = now - self._last_received_at
        return (
            len(peers) >= MIN_ISOLATION_PEERS
            and silent_s > ISOLATION_TIMEOUT_S
        )

    def _set_cut_off(self, cut_off):
        if self.cut_off != cut_off:
            self.context.count('membership_cut_off', int(cut_off))
            self.cut_off = cut_off
            self._on_cut_off_change()

    def _compare_views(self, now, peers):
        if self._digest_peer is not None:
            nonce = self._send_digest(self._digest_peer)
            self._digest_peer = None
            if self.pause_detector.awaiting_reply():
                self.pause_detector.await_reply(now, [nonce])
        if now < self._next_digest_at or not peers:
            return
        if self.queue.is_long():
            self._digest_period_s = MIN_DIGEST_PERIOD_S
        jitter = self.context.random.uniform(0.8, 1.2)
        self._next_digest_at = now + self._digest_period_s * jitter
        self._send_digest(self.context.random.choice(peers))

    def _adapt_digest_period(self, differs):
        # A view that differed from one peer's is likely to differ from
        # other peers' as well.
        if differs:
            self._digest_period_s = MIN_DIGEST_PERIOD_S
        else:
            self._digest_period_s = min(
                2 * self._digest_period_s, self.settings.digest_period_s
            )
        self._next_digest_at = min(
            self._next_digest_at, self.context.now + self._digest_period_s
        )

    def _retry_failed_nodes(self, now):
        if now < self._next_retry_at:
            return
        count = len(self.view.table.up_addresses())
        period_s = max(
            self.settings.retry_period_s, count / MAX_DOMAIN_RETRIES_PER_S
        )
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_retry_at = now + period_s * jitter
        for address in self._sample(self.view.failed_addresses(), 1):
            self.context.send(address, _messages.Join(self.own_record))
        for address, called_at in list(self._last_call_at_by_address.items()):
            if called_at + CALLER_TTL_S <= now:
                del self._last_call_at_by_address[address]

    def _gossip(self, peers):
        for address in self._sample(peers, GOSSIP_FANOUT):
            if not self.queue:
                return
            updates = self.queue.take(MAX_GOSSIP_RECORDS)
            self.context.send(address, _messages.Gossip(updates))

    def _repeat_announcement(self):
        if self._announce_rounds:
            self._announce_rounds -= 1
            self._notify_callers()

    def _notify_callers(self):
        for address in self._last_call_at_by_address:
            self.context.send(address, _messages.Gossip([self.own_record]))

    # State

    def _update_own_record(self, sequence, **changes):
        self.own_record = msgspec.structs.replace(
            self.own_record, sequence=sequence, **changes
        )
        self.view.apply(self.own_record)

    def _refute(self, sender, record):
        if record.sequence >= self.own_record.sequence:
            self.context.count('membership_refutations')
            self._update_own_record(record.sequence + 1)
        self.context.send(sender, _messages.Gossip([self.own_record]))

    def _on_probe_timeout(self, address):
        suspected = self.view.mark_suspect(address)
        if suspected is not None:
            # Sent to the node itself, so that it refutes at once if it
            # runs.
            self.context.send(address, _messages.Gossip([suspected]))

    def _make_ping(self, nonce):
        return _messages.Ping(
            nonce,
            self.own_record.incarnation,
            self.own_record.sequence,
            self.queue.take(MAX_PIGGYBACK_RECORDS),
        )

    def _send_digest(self, address):
        nonce = _probing.new_nonce(self.context)
        self.context.send(
            address,
            _messages.Digest(
                nonce, self.own_record.failure_domain, self.view.table.digest()
            ),
        )
        return nonce

    def _sample(self, addresses, count):
        return self.context.random.sample(
            addresses, min(count, len(addresses))
        )
