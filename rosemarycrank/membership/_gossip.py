"""Membership by gossip in a failure domain, and by bridges beyond it."""

from rosemarycrank import balancing
from rosemarycrank import kernel
from rosemarycrank.membership import _base
from rosemarycrank.membership import _bootstrap
from rosemarycrank.membership import _bridge
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _own_domain
from rosemarycrank.membership import _remote
from rosemarycrank.membership import _subscriber
from rosemarycrank.membership import _view
from rosemarycrank import messages

Status = _messages.Status


def _target(record):
    return balancing.Target(
        record.address,
        record.incarnation,
        record.service,
        record.failure_domain,
        record.partner,
        record.slots,
    )


@kernel.register('membership', 'gossip')
class GossipDirectory(_base.Directory):
    """Directory that nodes keep by gossip among themselves.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    region : str, default=''
        Region of the failure domain; shown in the dump.
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
        Longest seconds between comparisons of the whole view with a peer;
        after a difference the next comparison follows sooner.
    retry_period_s : float, default=5.0
        Least seconds between attempts to reach a node that failed.
    forget_s : float, default=3600.0
        Seconds after which a node that failed or left is forgotten.
    pause_threshold_s : float, default=1.0
        Gap in this node's timers that counts as a pause.
    pause_limit_s : float, default=3.0
        Seconds after a pause at which an unanswered node counts itself as
        cut off.
    bridge_count : int, default=3
        Bridge nodes of a failure domain.
    beacon_period_s : float, default=2.0
        Seconds between heartbeats of a bridge node to another domain.
    domain_timeout_s : float, default=10.0
        Seconds of silence after which another domain is unreachable.
    settle_s : float, default=2.0
        Seconds after which a node that found no peer acts as a bridge.
    small_site_nodes : int, default=64
        Up to so many nodes in all domains, every node knows all targets.
    tick_s : float, default=0.2
        Seconds between rounds of gossip.
    """

    handles = {
        _messages.Join: 'on_join',
        _messages.JoinReply: 'on_join_reply',
        _messages.Ping: 'on_ping',
        _messages.PingRequest: 'on_ping_request',
        _messages.Ack: 'on_ack',
        _messages.Gossip: 'on_gossip',
        _messages.Digest: 'on_digest',
        _messages.DigestReply: 'on_digest_reply',
        _messages.Repair: 'on_repair',
        _messages.Beacon: 'on_beacon',
        _messages.Subscribe: 'on_subscribe',
        _messages.SubscribeReply: 'on_subscribe_reply',
        messages.Attempt: 'on_attempt',
        kernel.PlatformReply: 'on_platform_reply',
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
        bridge_count=3,
        beacon_period_s=2.0,
        domain_timeout_s=10.0,
        settle_s=2.0,
        small_site_nodes=64,
        tick_s=0.2,
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
        self.bridge_count = bridge_count
        self.beacon_period_s = beacon_period_s
        self.domain_timeout_s = domain_timeout_s
        self.settle_s = settle_s
        self.small_site_nodes = small_site_nodes
        self.tick_s = tick_s

    def attach(self, context):
        """Take the context, start the timers and join through the seeds."""
        super().attach(context)
        self._targets_by_service = {}
        self._passes_on = True
        own = _messages.Record(
            context.address,
            context.incarnation,
            1,
            Status.ALIVE,
            self.failure_domain,
        )
        self._view = _view.DomainView(
            context, self.suspicion_s, self.forget_s, self._own_changed
        )
        self._remote = _remote.RemoteView(
            context,
            self._remote_changed,
            lambda: self._bridge.contacts_changed(),
        )
        self._own_domain = _own_domain.OwnDomain(
            context, self._view, own, self, self._woke, self._clear_targets
        )
        self._bridge = _bridge.Bridge(
            context, self._own_domain, self._remote, self
        )
        self._subscriber = _subscriber.Subscriber(
            context, self._remote, self._make_subscribe
        )
        self._bootstrap = _bootstrap.Bootstrap(context, self, self._is_known)
        self._view.apply(own)
        first_s = context.random.uniform(0, self.tick_s)
        context.timers.every(self.tick_s, self._tick, first_s=first_s)

    # What other components ask

    def targets(self, service):
        """Return the targets of a service that accept work."""
        self._subscriber.want(service)
        found = self._targets_by_service.get(service)
        if found is None:
            found = self._find_targets(service)
            self._targets_by_service[service] = found
        return found

    def members(self):
        """Return the addresses of running nodes of this failure domain."""
        if self._own_domain.cut_off:
            return (self.context.address,)
        return self._view.table.up_addresses()

    def remote_members(self):
        """Return the bridge nodes of other domains that are heard from.

        Returns
        -------
        tuple of str
            Addresses, in order of domain and rank.
        """
        return tuple(
            address
            for _, domain in sorted(self._remote.by_domain.items())
            if domain.reachable
            for address in domain.bridges
        )

    def status(self, address):
        """Return what is known of a node of this failure domain.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.

        Returns
        -------
        str
            ``'alive'``, ``'suspect'``, ``'failed'``, ``'left'``, or an
            empty string for an unknown node.
        """
        record = self._view.record(address)
        return '' if record is None else record.status.name.lower()

    def record(self):
        """Return this node's own record."""
        return self._own_domain.own

    def records(self):
        """Return what is known of the nodes of this failure domain.

        Returns
        -------
        list of Record
            Nodes that failed or left included.
        """
        return list(self._view.table.by_address.values())

    def node_count(self):
        """Return the number of running nodes known in all domains."""
        remote = self._remote.by_domain.values()
        return len(self._view.table.up_addresses()) + sum(
            len(domain.table.up_addresses()) for domain in remote
        )

    def unreachable(self):
        """Return the names of the other domains that are not heard from."""
        return self._remote.unreachable()

    def is_bridge(self):
        """Return whether this node exchanges news with other domains."""
        return self._bridge.active

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
        return self._own_domain.pause.stale(now)

    def set_local_target(self, target):
        """Announce the local upstream, or withdraw it."""
        if target is None:
            self._own_domain.announce(service='', partner='', slots=0)
        else:
            self._own_domain.announce(
                service=target.service,
                partner=target.partner,
                slots=target.slots,
            )

    def leave(self):
        """Announce the planned stop of this node."""
        if self._own_domain.own.status is not Status.LEFT:
            self._own_domain.announce(status=Status.LEFT)

    def start_drain(self):
        """Announce the planned stop of this node."""
        self.leave()

    def is_idle(self):
        """Return whether the planned stop has been announced."""
        return self._own_domain.announced()

    def dump(self):
        """Return the members and domains for the state dump."""
        return {
            'failure_domain': self.failure_domain,
            'region': self.region,
            'stale': self._own_domain.pause.waiting(),
            'cut_off': self._own_domain.cut_off,
            'bridge': self._bridge.active,
            'bridges': list(self._bridge.bridges()),
            'members': {
                record.address: {
                    'status': record.status.name.lower(),
                    'incarnation': f'{record.incarnation:016x}',
                    'sequence': record.sequence,
                    'service': record.service,
                }
                for record in self._view.table.by_address.values()
            },
            'domains': {
                name: {
                    'reachable': domain.reachable,
                    'bridges': list(domain.bridges),
                    'nodes': len(domain.table.up_addresses()),
                }
                for name, domain in self._remote.by_domain.items()
            },
        }

    # Messages and events

    def on_attempt(self, sender, message):
        """Note a node that sends work here."""
        self._own_domain.called_by(sender)

    def on_join(self, sender, message):
        """Give a node contacts, and what is believed of it."""
        record = message.record
        known = []
        if record.failure_domain == self.failure_domain:
            self._learn(sender, [record])
            known = self._own_domain.contrary(
                sender, record.incarnation, record.sequence
            )
        elif self._bridge.active:
            if record.failure_domain not in self._remote.by_domain:
                self._remote.set_contact(
                    _messages.DomainContact(record.failure_domain, [sender])
                )
        contacts = [self._bridge.contact(), *self._remote.contacts()]
        self.context.send(
            sender,
            _messages.JoinReply(self.failure_domain, contacts, known),
        )

    def on_join_reply(self, sender, message):
        """Take the contacts, and compare views with a node of the domain."""
        self._learn(sender, message.known)
        if message.failure_domain == self.failure_domain:
            self._own_domain.compare_with(sender)
        for contact in message.contacts:
            if contact.failure_domain != self.failure_domain:
                self._remote.set_contact(contact)
            elif message.failure_domain != self.failure_domain:
                self._join_through(contact.bridges)

    def on_ping(self, sender, message):
        """Answer a probe."""
        self._learn(sender, message.updates)
        self._own_domain.answer_ping(sender, message)

    def on_ping_request(self, sender, message):
        """Probe a node for the sender."""
        self._own_domain.heard()
        self._own_domain.prober.relay(sender, message, self.context.now)

    def on_ack(self, sender, message):
        """Handle the answer to a probe."""
        self._learn(sender, message.updates)
        self._own_domain.acked(message)

    def on_gossip(self, sender, message):
        """Handle news."""
        self._learn(sender, message.updates)

    def on_digest(self, sender, message):
        """Answer a comparison of views of this domain."""
        self._own_domain.heard()
        if message.failure_domain == self.failure_domain:
            self._own_domain.answer_digest(sender, message)

    def on_digest_reply(self, sender, message):
        """Take the records, and return what is known better here."""
        table = self._table(message.failure_domain)
        if table is None:
            return
        better = table.better_than(message.buckets, message.updates)
        self._repair(sender, message.updates)
        if better:
            self.context.send(sender, _messages.Repair(better))
        if message.failure_domain == self.failure_domain:
            self._own_domain.digest_replied(sender, message)
        else:
            self._bridge.digest_replied(message)

    def on_repair(self, sender, message):
        """Take records that a comparison showed to be missing here."""
        self._repair(sender, message.updates)

    def on_beacon(self, sender, message):
        """Handle a heartbeat of another domain."""
        self._own_domain.heard()
        self._bridge.on_beacon(sender, message)

    def on_subscribe(self, sender, message):
        """Answer a subscription."""
        self._own_domain.heard()
        self._bridge.on_subscribe(sender, message)

    def on_subscribe_reply(self, sender, message):
        """Take records of other domains from a bridge node."""
        self._remote.set_whole(message.whole)
        self._learn(sender, message.updates)
        self._subscriber.on_reply(sender, message)

    def on_platform_reply(self, event):
        """Handle the platform's answer."""
        self._bootstrap.on_platform_reply(event, self._own_domain.own)

    # State

    def _tick(self, now):
        self._own_domain.tick(now)
        self._bridge.tick(now)
        bridges = self._bridge.bridges()
        members = self._view.table.up_addresses()
        self._subscriber.tick(now, bridges, len(members))
        if self._own_domain.own.status is not Status.LEFT:
            alone = not self._view.others_up()
            self._bootstrap.tick(now, self._own_domain.own, alone, bridges)

    def _learn(self, sender, records):
        self._own_domain.heard()
        for record in records:
            if record.failure_domain == self.failure_domain:
                self._own_domain.learn(sender, record)
            else:
                self._remote.apply(record)

    def _repair(self, sender, records):
        self._passes_on = False
        self._learn(sender, records)
        self._passes_on = True

    def _own_changed(self, record):
        self._clear_targets()
        is_own = record.address == self.context.address
        if self._passes_on or is_own:
            node_count = len(self._view.table.up_addresses())
            self._own_domain.queue.add(record, node_count)
        else:
            self._own_domain.queue.discard(record.address)
        self._bridge.own_changed(record)

    def _remote_changed(self, record):
        self._clear_targets()
        self._bridge.remote_changed(record)

    def _woke(self, gap_s):
        self._bridge.postpone(gap_s)
        self._remote.distrust()
        self._subscriber.renew_now()

    def _clear_targets(self):
        self._targets_by_service.clear()

    def _find_targets(self, service):
        own_domain = self._view.table.up_by_service.get(service, {})
        if self._own_domain.cut_off:
            own = own_domain.get(self.context.address)
            records = [own] if own else []
        else:
            records = [
                *own_domain.values(),
                *self._remote.records_of(service),
            ]
        # A suspected node is left out while others can do its work.
        sure = [r for r in records if r.status is Status.ALIVE]
        return tuple(_target(record) for record in sure or records)

    def _make_subscribe(self, nonce):
        services = sorted(self._remote.services)
        return _messages.Subscribe(
            nonce,
            {s: self._remote.service_digest(s) for s in services},
            self._remote.whole_digest(),
            self._remote.contacts_digest(),
        )

    def _join_through(self, addresses):
        for address in addresses:
            if not self._is_known(address):
                self.context.send(
                    address, _messages.Join(self._own_domain.own)
                )

    def _is_known(self, address):
        if self._view.is_up(address):
            return True
        return any(
            domain.reachable
            and (
                address in domain.bridges
                or address in domain.table.up_addresses()
            )
            for domain in self._remote.by_domain.values()
        )

    def _table(self, failure_domain):
        if failure_domain == self.failure_domain:
            return self._view.table
        domain = self._remote.by_domain.get(failure_domain)
        return None if domain is None else domain.table
