"""Membership by gossip, with failure detection after SWIM."""

from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank.membership import _base
from rosemarycrank.membership import _broadcast
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _pause
from rosemarycrank.membership import _probing
from rosemarycrank.membership import _table
from rosemarycrank import messages

TICK_S = 0.2
GOSSIP_FANOUT = 3
GOSSIP_RECORDS = 32
PIGGYBACK_RECORDS = 6
VIEW_RECORDS = 64
WAKE_QUESTIONS = 3
LEAVE_ROUNDS = 5
CALLER_LIFETIME_S = 120.0

Status = _messages.Status


@kernel.register('membership', 'gossip')
class GossipDirectory(_base.Directory):
    """Directory that nodes keep by gossip among themselves.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    region : str, default=''
        Region of the failure domain.
    seeds : sequence of str, default=()
        ``host:port`` of nodes to join through; this node's own address is
        ignored.
    probe_period_s : float, default=1.0
        Seconds between probes of this node.
    ack_timeout_s : float, default=0.4
        Seconds after which other nodes are asked to probe.
    suspicion_s : float, default=4.0
        Seconds in which a suspected node may refute.
    digest_period_s : float, default=10.0
        Seconds between comparisons of the whole view with a peer.
    retry_period_s : float, default=5.0
        Seconds between attempts to reach a node that failed.
    forget_s : float, default=3600.0
        Seconds after which a node that failed or left is forgotten.
    pause_threshold_s : float, default=1.0
        Gap in this node's timers that counts as a pause.
    pause_limit_s : float, default=3.0
        Seconds after a pause at which an unanswered node counts itself as
        cut off.
    """

    handles = {
        _messages.Join: 'on_join',
        _messages.Ping: 'on_ping',
        _messages.PingRequest: 'on_ping_request',
        _messages.Ack: 'on_ack',
        _messages.Gossip: 'on_gossip',
        _messages.Digest: 'on_digest',
        _messages.DigestReply: 'on_digest_reply',
        messages.Attempt: 'on_attempt',
    }

    def __init__(
        self,
        failure_domain,
        region='',
        seeds=(),
        probe_period_s=1.0,
        ack_timeout_s=0.4,
        suspicion_s=4.0,
        digest_period_s=10.0,
        retry_period_s=5.0,
        forget_s=3600.0,
        pause_threshold_s=1.0,
        pause_limit_s=3.0,
    ):
        self.failure_domain = failure_domain
        self.region = region
        self.seeds = seeds
        self.probe_period_s = probe_period_s
        self.ack_timeout_s = ack_timeout_s
        self.suspicion_s = suspicion_s
        self.digest_period_s = digest_period_s
        self.retry_period_s = retry_period_s
        self.forget_s = forget_s
        self.pause_threshold_s = pause_threshold_s
        self.pause_limit_s = pause_limit_s

    def attach(self, context):
        """Take the context, start the timers and join through the seeds."""
        super().attach(context)
        self._table = _table.RecordTable()
        self._queue = _broadcast.BroadcastQueue()
        self._pause = _pause.PauseDetector(
            self.pause_threshold_s, self.pause_limit_s
        )
        self._prober = _probing.Prober(
            context,
            self.probe_period_s,
            self.ack_timeout_s,
            self._make_ping,
            self._suspect,
        )
        self._fails_at_by_address = {}
        self._down_since_by_address = {}
        self._called_at_by_address = {}
        self._targets_by_service = {}
        self._leave_rounds_left = 0
        self._next_digest_at = 0.0
        self._next_retry_at = 0.0
        self._own = _messages.Record(
            context.address,
            context.incarnation,
            1,
            Status.ALIVE,
            self.failure_domain,
        )
        self._table.apply(self._own)
        first_s = context.random.uniform(0, TICK_S)
        context.timers.every(TICK_S, self._tick, first_s=first_s)

    # What other components ask

    def targets(self, service):
        """Return the targets of a service that accept work."""
        if service not in self._targets_by_service:
            self._targets_by_service[service] = self._find_targets(service)
        return self._targets_by_service[service]

    def members(self):
        """Return the addresses of running nodes of this failure domain."""
        return tuple(
            address
            for address in self._table.up_addresses()
            if self._record(address).failure_domain == self.failure_domain
        )

    def stale(self, now):
        """Return whether the view may date from before a pause.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True from the moment at which this process wakes until a peer
            has answered a question asked since.
        """
        return self._pause.stale(now)

    def set_local_target(self, target):
        """Announce the local upstream, or withdraw it."""
        if target is None:
            fields = {'service': '', 'partner': '', 'slots': 0}
        else:
            fields = {
                'service': target.service,
                'partner': target.partner,
                'slots': target.slots,
            }
        self._announce(**fields)

    def leave(self):
        """Announce the planned stop of this node."""
        if self._own.status is not Status.LEFT:
            self._leave_rounds_left = LEAVE_ROUNDS
            self._announce(status=Status.LEFT)

    def start_drain(self):
        """Announce the planned stop of this node."""
        self.leave()

    def idle(self):
        """Return whether the planned stop has been announced."""
        return self._leave_rounds_left == 0

    def dump(self):
        """Return counts and records for the state dump."""
        return {
            'failure_domain': self.failure_domain,
            'stale': self._pause.waiting(),
            'records': {
                record.address: {
                    'status': record.status.name.lower(),
                    'incarnation': f'{record.incarnation:016x}',
                    'sequence': record.sequence,
                    'failure_domain': record.failure_domain,
                    'service': record.service,
                }
                for record in self._table.by_address.values()
            },
        }

    # Messages

    def on_attempt(self, sender, message):
        """Note a node that sends work here: it is told first of changes."""
        self._called_at_by_address[sender] = self.context.now

    def on_join(self, sender, message):
        """Give a new node the whole view."""
        self._learn(sender, [message.record])
        records = list(self._table.by_address.values())
        for start in range(0, len(records), VIEW_RECORDS):
            page = records[start : start + VIEW_RECORDS]
            self.context.send(
                sender, _messages.DigestReply(message.nonce, [], page)
            )

    def on_ping(self, sender, message):
        """Answer a probe, and tell the sender what is known of it."""
        self._learn(sender, message.updates)
        updates = self._queue.take(PIGGYBACK_RECORDS)
        contrary = self._contrary_record(sender, message)
        if contrary is not None:
            updates.append(contrary)
        self.context.send(
            sender,
            _messages.Ack(message.nonce, self.context.address, updates),
        )

    def on_ping_request(self, sender, message):
        """Probe a node for the sender."""
        self._prober.relay(sender, message, self.context.now)

    def on_ack(self, sender, message):
        """Handle the answer to a probe."""
        self._learn(sender, message.updates)
        self._prober.acked(message)
        self._answered(message.nonce)

    def on_gossip(self, sender, message):
        """Handle news."""
        self._learn(sender, message.updates)

    def on_digest(self, sender, message):
        """Answer with the records that the sender may lack."""
        buckets = self._table.differing_buckets(message.buckets)
        records = self._table.records_in(buckets)
        self.context.count('membership_digest_buckets', len(buckets))
        self.context.send(
            sender, _messages.DigestReply(message.nonce, buckets, records)
        )

    def on_digest_reply(self, sender, message):
        """Take the records, and return what is known better here."""
        received = {r.address: r for r in message.updates}
        better = [
            record
            for record in self._table.records_in(message.buckets)
            if record.address not in received
            or _table.precedence(received[record.address])
            < _table.precedence(record)
        ]
        self._learn(sender, message.updates)
        if better:
            self.context.send(sender, _messages.Gossip(better))
        self._answered(message.nonce)

    # Periodic work

    def _tick(self, now):
        gap_s = self._pause.tick(now)
        if gap_s:
            self._wake(now, gap_s)
        if self._pause.cut_off(now):
            self._give_up_on_all()
        self._fail_suspects(now)
        self._prober.tick(now, self._others_up())
        self._compare_views(now)
        self._retry_failed(now)
        self._gossip()
        if self._leave_rounds_left:
            self._leave_rounds_left -= 1

    def _wake(self, now, gap_s):
        self.context.count('membership_pauses')
        self._prober.postpone(gap_s)
        for address in self._fails_at_by_address:
            self._fails_at_by_address[address] += gap_s
        others = self._others_up()
        nonces = [
            self._send_digest(address)
            for address in self._sample(others, WAKE_QUESTIONS)
        ]
        self._pause.woke(now, nonces)

    def _give_up_on_all(self):
        # Nobody answered since the pause: this node is cut off, and its old
        # view of the others must not be acted on.
        self.context.count('membership_cut_off')
        for address in self._others_up():
            self._apply(self._with_status(address, Status.FAILED))

    def _fail_suspects(self, now):
        for address, fails_at in list(self._fails_at_by_address.items()):
            if fails_at <= now:
                self._apply(self._with_status(address, Status.FAILED))

    def _compare_views(self, now):
        if now < self._next_digest_at:
            return
        jitter = self.context.random.uniform(0.8, 1.2)
        others = self._others_up()
        if others:
            self._next_digest_at = now + self.digest_period_s * jitter
            self._send_digest(self.context.random.choice(others))
        else:
            self._next_digest_at = now + self.probe_period_s * jitter
            self._join()

    def _retry_failed(self, now):
        if now < self._next_retry_at:
            return
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_retry_at = now + self.retry_period_s * jitter
        self._forget(now)
        failed = [
            address
            for address in self._down_since_by_address
            if self._record(address).status is Status.FAILED
        ]
        failed += [s for s in self._other_seeds() if not self._knows_up(s)]
        for address in self._sample(failed, 1):
            self.context.send(
                address,
                _messages.Join(self._prober.new_nonce(), self._own),
            )

    def _forget(self, now):
        for address, since in list(self._down_since_by_address.items()):
            if since + self.forget_s <= now:
                del self._down_since_by_address[address]
                self._table.forget(address)
        for address, at in list(self._called_at_by_address.items()):
            if at + CALLER_LIFETIME_S <= now:
                del self._called_at_by_address[address]

    def _gossip(self):
        others = self._others_up()
        for address in self._sample(others, GOSSIP_FANOUT):
            if not self._queue:
                return
            updates = self._queue.take(GOSSIP_RECORDS)
            self.context.send(address, _messages.Gossip(updates))

    def _join(self):
        for address in self._other_seeds():
            nonce = self._prober.new_nonce()
            self.context.send(address, _messages.Join(nonce, self._own))

    # State

    def _announce(self, **changes):
        fields = {'sequence': self._own.sequence + 1, **changes}
        self._set_own(fields)
        for address in self._called_at_by_address:
            self.context.send(address, _messages.Gossip([self._own]))

    def _set_own(self, fields):
        values = {
            name: getattr(self._own, name)
            for name in self._own.__struct_fields__
        }
        values.update(fields)
        self._own = _messages.Record(**values)
        self._apply(self._own)

    def _learn(self, sender, records):
        for record in records:
            if record.address == self.context.address:
                self._refute(sender, record)
            else:
                self._apply(record)

    def _refute(self, sender, record):
        if record == self._own:
            return
        if record.sequence >= self._own.sequence:
            self.context.count('membership_refutations')
            self._set_own({'sequence': record.sequence + 1})
        self.context.send(sender, _messages.Gossip([self._own]))

    def _contrary_record(self, sender, ping):
        known = self._table.by_address.get(sender)
        if known is None:
            return _messages.Record(
                sender, 0, 0, Status.FAILED, self.failure_domain
            )
        if (
            known.incarnation == ping.incarnation
            and known.sequence == ping.sequence
            and known.status in (Status.ALIVE, Status.LEFT)
        ):
            return None
        return known

    def _suspect(self, address):
        record = self._record(address)
        if record is not None and record.status is Status.ALIVE:
            self.context.count('membership_suspicions')
            suspected = self._with_status(address, Status.SUSPECT)
            self._apply(suspected)
            self.context.send(address, _messages.Gossip([suspected]))

    def _apply(self, record):
        previous = self._record(record.address)
        if not self._table.apply(record):
            return
        self._queue.add(record, len(self._table.up_addresses()))
        self._targets_by_service.clear()
        self._track_deadlines(record)
        self._publish(previous, record)

    def _track_deadlines(self, record):
        address = record.address
        self._fails_at_by_address.pop(address, None)
        if record.status is Status.SUSPECT:
            self._fails_at_by_address[address] = (
                self.context.now + self.suspicion_s
            )
        if _table.is_up(record):
            self._down_since_by_address.pop(address, None)
        else:
            self._down_since_by_address.setdefault(address, self.context.now)

    def _publish(self, previous, record):
        was_up = previous is not None and _table.is_up(previous)
        same_run = (
            previous is not None and previous.incarnation == record.incarnation
        )
        if was_up and not same_run:
            self.context.publish(
                _base.MemberFailed(previous.address, previous.incarnation)
            )
        if _table.is_up(record):
            if not (was_up and same_run):
                self.context.publish(
                    _base.MemberUp(
                        record.address,
                        record.incarnation,
                        record.failure_domain,
                    )
                )
        elif was_up:
            notice = (
                _base.MemberLeft
                if record.status is Status.LEFT
                else _base.MemberFailed
            )
            self.context.publish(notice(record.address, record.incarnation))

    def _find_targets(self, service):
        records = [
            self._record(address)
            for address in self._table.up_addresses()
            if self._record(address).service == service
        ]
        # A suspected node is left out while others can do its work.
        sure = [r for r in records if r.status is Status.ALIVE]
        return tuple(
            balancing.Target(
                r.address,
                r.incarnation,
                r.service,
                r.failure_domain,
                r.partner,
                r.slots,
            )
            for r in sure or records
        )

    def _answered(self, nonce):
        self._pause.answered(nonce)

    def _make_ping(self, address, nonce):
        return _messages.Ping(
            nonce,
            self._own.incarnation,
            self._own.sequence,
            self._queue.take(PIGGYBACK_RECORDS),
        )

    def _send_digest(self, address):
        nonce = self._prober.new_nonce()
        self.context.send(
            address, _messages.Digest(nonce, self._table.digest())
        )
        return nonce

    def _record(self, address):
        return self._table.by_address.get(address)

    def _with_status(self, address, status):
        record = self._record(address)
        return _messages.Record(
            record.address,
            record.incarnation,
            record.sequence,
            status,
            record.failure_domain,
            record.service,
            record.partner,
            record.slots,
        )

    def _knows_up(self, address):
        record = self._record(address)
        return record is not None and _table.is_up(record)

    def _others_up(self):
        own = self.context.address
        return [a for a in self._table.up_addresses() if a != own]

    def _other_seeds(self):
        return [s for s in self.seeds if s != self.context.address]

    def _sample(self, addresses, count):
        return self.context.random.sample(
            addresses, min(count, len(addresses))
        )
