"""Protocol among the nodes of one failure domain."""

import msgspec

from rosemarycrank.membership import _broadcast
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _pause
from rosemarycrank.membership import _probing

GOSSIP_FANOUT = 3
GOSSIP_RECORDS = 5
PIGGYBACK_RECORDS = 5
PAGE_RECORDS = 64
WAKE_QUESTIONS = 3
ANNOUNCE_ROUNDS = 4
CALLER_LIFETIME_S = 120.0
RETRY_NODES_PER_S = 20.0
SHORTEST_DIGEST_PERIOD_S = 1.0

# A node of a domain with this many others that hears from none of them is
# cut off itself. It must not declare them failed: once healed, each of them
# would have to refute.
ISOLATION_PEERS = 16
ISOLATION_S = 3.0

Status = _messages.Status


class OwnDomain:
    """Probes, gossips and compares views within the failure domain.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    view : DomainView
        What is known of the domain.
    own : Record
        First record of this node.
    settings : GossipDirectory
        Holder of the constructor parameters.
    on_wake : callable
        Called with the length of a pause of this process, in seconds.
    on_view : callable
        Called without arguments when `cut_off` changed.

    Attributes
    ----------
    own : Record
        Current record of this node.
    complete : bool
        Whether the view was found equal to that of a peer.
    cut_off : bool
        Whether this node hears from nobody and must use its own upstream
        only.
    """

    def __init__(self, context, view, own, settings, on_wake, on_view):
        self.context = context
        self.view = view
        self.own = own
        self.settings = settings
        self.complete = False
        self.cut_off = False
        self.queue = _broadcast.BroadcastQueue()
        self.pause = _pause.PauseDetector(
            settings.pause_threshold_s, settings.pause_limit_s
        )
        # A pause may come before the first tick of the timer.
        self.pause.tick(context.now)
        self.prober = _probing.Prober(
            context,
            settings.probe_period_s,
            settings.ack_timeout_s,
            self._make_ping,
            self._suspect,
        )
        self._on_wake = on_wake
        self._on_view = on_view
        self._heard_at = context.now
        self._called_at_by_address = {}
        self._announce_rounds = 0
        self._next_digest_at = 0.0
        self._digest_period_s = SHORTEST_DIGEST_PERIOD_S
        self._next_retry_at = 0.0
        self._digest_peer = None

    def tick(self, now):
        """Do what is due.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        gap_s = self.pause.tick(now)
        if gap_s:
            self._wake(now, gap_s)
        if self.pause.cut_off(now):
            self._set_cut_off(True)
        others = self.view.others_up()
        if not others:
            # Nobody is left whose old record could be acted on.
            self._set_cut_off(False)
        isolated = self._isolated(now, others)
        if isolated:
            self._set_cut_off(True)
            self.view.postpone(self.settings.tick_s)
        self.view.tick(now)
        self.prober.tick(now, others)
        self._compare_views(now, others)
        self._retry(now)
        self._gossip(others)
        self._repeat_announcement()

    def heard(self):
        """Note that a message of another node came in."""
        self._heard_at = self.context.now

    def called_by(self, address):
        """Note a node that sends work here: it is told first of changes.

        Parameters
        ----------
        address : str
            Address of the node.
        """
        self._called_at_by_address[address] = self.context.now

    def announce(self, **changes):
        """Change this node's record and tell of it.

        Parameters
        ----------
        **changes
            New values of fields of the record.
        """
        self._update_own(self.own.sequence + 1, **changes)
        self._announce_rounds = ANNOUNCE_ROUNDS
        self._tell_callers()

    def announced(self):
        """Return whether the last announcement has been sent out."""
        return self._announce_rounds == 0

    def learn(self, sender, record):
        """Take news of a node of this domain, or refute it.

        Parameters
        ----------
        sender : str
            Node that sent the news.
        record : Record
            The news.
        """
        if record.address != self.context.address:
            self.view.apply(record)
        elif record != self.own:
            self._refute(sender, record)

    def contrary(self, address, incarnation, sequence):
        """Return what is believed of a node, unless it says the same.

        Parameters
        ----------
        address : str
            Address of the node.
        incarnation, sequence : int
            What the node says of itself.

        Returns
        -------
        list of Record
            At most one record.
        """
        known = self.view.record(address)
        if known is None:
            return [
                _messages.Record(
                    address, 0, 0, Status.FAILED, self.own.failure_domain
                )
            ]
        same = (known.incarnation, known.sequence) == (incarnation, sequence)
        if same and known.status in (Status.ALIVE, Status.LEFT):
            return []
        return [known]

    def answer_ping(self, sender, ping):
        """Answer a probe, and tell the sender what is believed of it."""
        updates = self.queue.take(PIGGYBACK_RECORDS)
        updates += self.contrary(sender, ping.incarnation, ping.sequence)
        self.context.send(
            sender, _messages.Ack(ping.nonce, self.context.address, updates)
        )

    def acked(self, ack):
        """Handle an answer to a probe."""
        if self.prober.acked(ack) and self.cut_off:
            self._ask_peers([ack.address])

    def answer_digest(self, sender, digest):
        """Answer with records that the sender may lack."""
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

    def digest_replied(self, sender, reply):
        """Return what is known better here, and go on until all is equal.

        The records of the reply have been taken already.
        """
        self._adapt_digest_period(differs=bool(reply.buckets))
        if reply.more:
            self._digest_peer = sender
            return
        self.complete = True
        if self.pause.answered(reply.nonce):
            self._set_cut_off(False)

    def compare_with(self, address):
        """Compare views with a node at the next tick.

        Parameters
        ----------
        address : str
            Address of a node of this domain.
        """
        self._digest_peer = address

    # Periodic work

    def _wake(self, now, gap_s):
        self.context.count('membership_pauses')
        self._heard_at += gap_s
        self.prober.postpone(gap_s)
        self.view.postpone(gap_s)
        self._ask_peers(self.view.others_up())
        self._on_wake(gap_s)

    def _ask_peers(self, addresses):
        nonces = [
            self._send_digest(address)
            for address in self._sample(addresses, WAKE_QUESTIONS)
        ]
        self.pause.woke(self.context.now, nonces)

    def _isolated(self, now, others):
        silent_s = now - self._heard_at
        return len(others) >= ISOLATION_PEERS and silent_s > ISOLATION_S

    def _set_cut_off(self, cut_off):
        if self.cut_off != cut_off:
            self.context.count('membership_cut_off', int(cut_off))
            self.cut_off = cut_off
            self._on_view()

    def _compare_views(self, now, others):
        if self._digest_peer is not None:
            nonce = self._send_digest(self._digest_peer)
            self._digest_peer = None
            if self.pause.waiting():
                self.pause.woke(now, [nonce])
        if now < self._next_digest_at or not others:
            return
        if self.queue.is_long():
            self._digest_period_s = SHORTEST_DIGEST_PERIOD_S
        jitter = self.context.random.uniform(0.8, 1.2)
        self._next_digest_at = now + self._digest_period_s * jitter
        self._send_digest(self.context.random.choice(others))

    def _adapt_digest_period(self, differs):
        # Views that differed once are likely to differ elsewhere as well.
        if differs:
            self._digest_period_s = SHORTEST_DIGEST_PERIOD_S
        else:
            self._digest_period_s = min(
                2 * self._digest_period_s, self.settings.digest_period_s
            )
        self._next_digest_at = min(
            self._next_digest_at, self.context.now + self._digest_period_s
        )

    def _retry(self, now):
        if now < self._next_retry_at:
            return
        count = len(self.view.table.up_addresses())
        period_s = max(self.settings.retry_period_s, count / RETRY_NODES_PER_S)
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_retry_at = now + period_s * jitter
        for address in self._sample(self.view.failed(), 1):
            self.context.send(address, _messages.Join(self.own))
        for address, at in list(self._called_at_by_address.items()):
            if at + CALLER_LIFETIME_S <= now:
                del self._called_at_by_address[address]

    def _gossip(self, others):
        for address in self._sample(others, GOSSIP_FANOUT):
            if not self.queue:
                return
            updates = self.queue.take(GOSSIP_RECORDS)
            self.context.send(address, _messages.Gossip(updates))

    def _repeat_announcement(self):
        if self._announce_rounds:
            self._announce_rounds -= 1
            self._tell_callers()

    def _tell_callers(self):
        for address in self._called_at_by_address:
            self.context.send(address, _messages.Gossip([self.own]))

    # State

    def _update_own(self, sequence, **changes):
        self.own = msgspec.structs.replace(
            self.own, sequence=sequence, **changes
        )
        self.view.apply(self.own)

    def _refute(self, sender, record):
        if record.sequence >= self.own.sequence:
            self.context.count('membership_refutations')
            self._update_own(record.sequence + 1)
        self.context.send(sender, _messages.Gossip([self.own]))

    def _suspect(self, address):
        suspected = self.view.suspect(address)
        if suspected is not None:
            # Told directly, a node that runs refutes at once.
            self.context.send(address, _messages.Gossip([suspected]))

    def _make_ping(self, nonce):
        return _messages.Ping(
            nonce,
            self.own.incarnation,
            self.own.sequence,
            self.queue.take(PIGGYBACK_RECORDS),
        )

    def _send_digest(self, address):
        nonce = _probing.new_nonce(self.context)
        self.context.send(
            address,
            _messages.Digest(
                nonce, self.own.failure_domain, self.view.table.digest()
            ),
        )
        return nonce

    def _sample(self, addresses, count):
        return self.context.random.sample(
            addresses, min(count, len(addresses))
        )
