"""Membership by gossip in failure domains and bridge nodes between them."""

from rosemarycrank import kernel
from rosemarycrank.membership import _base
from rosemarycrank.membership import _bootstrap
from rosemarycrank.membership import _bridge
from rosemarycrank.membership import _bridge_nodes
from rosemarycrank.membership import _joining
from rosemarycrank.membership import _lookup
from rosemarycrank.membership import _merging
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _own_domain
from rosemarycrank.membership import _remote
from rosemarycrank.membership import _subscriber
from rosemarycrank.membership import _view
from rosemarycrank import messages

Status = _messages.Status


@kernel.register('membership', 'gossip')
class GossipDirectory(_base.Directory):
    """Directory that the nodes maintain by gossip among themselves.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this VM.
    region : str, default=''
        Region of the failure domain; only shown in the state dump.
    seeds : sequence of str, default=()
        ``host:port`` of nodes to join through; this node's own address is
        ignored.
    probe_period_s : float, default=1.0
        Seconds between the probes that this node sends.
    ack_timeout_s : float, default=0.4
        Seconds without a reply to a probe after which other nodes are asked
        to probe the node.
    suspicion_s : float, default=4.0
        Seconds in which a suspected node may refute the suspicion before it
        is declared failed.
    digest_period_s : float, default=10.0
        Maximum seconds between comparisons of the whole view with a peer;
        after a comparison that found a difference, the next one follows
        sooner.
    retry_period_s : float, default=5.0
        Minimum seconds between attempts to reach a failed node.
    forget_s : float, default=3600.0
        Seconds after which the record of a node that failed or left is
        removed.
    pause_threshold_s : float, default=1.0
        Seconds between two ticks of this node; a longer interval counts as
        a pause of the process.
    pause_limit_s : float, default=3.0
        Seconds after a pause after which a node that has received no reply
        considers itself cut off.
    bridge_count : int, default=3
        Number of bridge nodes in each failure domain.
    beacon_period_s : float, default=2.0
        Seconds between the heartbeats that a bridge node sends to another
        domain.
    domain_timeout_s : float, default=10.0
        Seconds without a message from another domain after which that
        domain is considered unreachable.
    settle_s : float, default=2.0
        Seconds after its start at which a node may act as a bridge node
        even if it has not yet compared its view with a peer.
    small_site_nodes : int, default=64
        Number of nodes in all domains together up to which every node keeps
        all targets.
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
        """Create the parts of the protocol and start its timer."""
        super().attach(context)
        own_record = _messages.Record(
            context.address,
            context.incarnation,
            1,
            Status.ALIVE,
            self.failure_domain,
        )
        self._create_parts(context, own_record)
        self._view.apply(own_record)
        first_delay_s = context.random.uniform(0, self.tick_s)
        context.timers.every(
            self.tick_s, self._tick, first_delay_s=first_delay_s
        )

    def _create_parts(self, context, own_record):
        self._view = _view.DomainView(
            context, self.suspicion_s, self.forget_s, self._on_own_change
        )
        self._remote = _remote.RemoteView(
            context,
            self._on_remote_change,
            lambda: self._bridge.queue_contacts(),
        )
        self._own_domain = _own_domain.OwnDomain(
            context,
            self._view,
            own_record,
            self,
            self._on_resume,
            lambda: self._lookup.clear(),
        )
        self._lookup = _lookup.TargetLookup(
            context, self._own_domain, self._remote
        )
        self._merger = _merging.RecordMerger(
            self.failure_domain, self._own_domain, self._remote
        )
        self._bridge_nodes = _bridge_nodes.BridgeNodes(
            context, self._view, self.failure_domain, self.bridge_count
        )
        self._bridge = _bridge.Bridge(
            context, self._own_domain, self._bridge_nodes, self._remote, self
        )
        self._subscriber = _subscriber.Subscriber(context, self._remote)
        self._joining = _joining.Joining(
            context,
            self._own_domain,
            self._remote,
            self._bridge_nodes,
            self._merger,
        )
        self._bootstrap = _bootstrap.Bootstrap(
            context, self, self._joining.is_known
        )

    # Interface for other components

    def targets(self, service):
        """Return the targets of a service that accept work."""
        self._subscriber.subscribe(service)
        return self._lookup.targets(service)

    def members(self):
        """Return the addresses of running nodes of this failure domain."""
        if self._own_domain.cut_off:
            return (self.context.address,)
        return self._view.table.up_addresses()

    def remote_members(self):
        """Return the bridge nodes of the reachable other domains.

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
        """Return the status of a node of this failure domain.

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
        """Return the record of this node."""
        return self._own_domain.own_record

    def records(self):
        """Return the records of the nodes of this failure domain.

        Returns
        -------
        list of Record
            Records, including those of nodes that failed or left.
        """
        return list(self._view.table.by_address.values())

    def node_count(self):
        """Return the number of known running nodes in all domains."""
        remote = self._remote.by_domain.values()
        return len(self._view.table.up_addresses()) + sum(
            len(domain.table.up_addresses()) for domain in remote
        )

    def unreachable(self):
        """Return the sorted names of the unreachable domains."""
        return self._remote.unreachable()

    def is_bridge(self):
        """Return whether this node acts as a bridge node."""
        return self._bridge.active

    def stale(self, now):
        """Return whether the view may be stale because of a pause.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True from the end of a pause of this process until a peer has
            replied to a request sent after it.
        """
        return self._own_domain.pause_detector.stale(now)

    def set_local_target(self, target):
        """Announce the upstream at this node, or withdraw it."""
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
        if self._own_domain.own_record.status is not Status.LEFT:
            self._own_domain.announce(status=Status.LEFT)

    def start_drain(self):
        """Announce the planned stop of this node."""
        self.leave()

    def is_idle(self):
        """Return whether all announcements of this node were sent."""
        return self._own_domain.announcement_sent()

    def dump(self):
        """Return the members and other domains for the state dump."""
        return {
            'failure_domain': self.failure_domain,
            'region': self.region,
            'stale': self._own_domain.pause_detector.awaiting_reply(),
            'cut_off': self._own_domain.cut_off,
            'bridge': self._bridge.active,
            'bridges': list(self._bridge_nodes.addresses()),
            'members': {
                record.address: _dump_record(record)
                for record in self._view.table.by_address.values()
            },
            'domains': {
                name: _dump_domain(domain)
                for name, domain in self._remote.by_domain.items()
            },
        }

    # Messages and events

    def on_attempt(self, sender, message):
        """Record a node that sends calls here."""
        self._own_domain.add_caller(sender)

    def on_join(self, sender, message):
        """Reply with contacts, and the sender's record if it differs."""
        self._joining.on_join(sender, message, self._bridge.active)

    def on_join_reply(self, sender, message):
        """Store the contacts, and join or sync with the own domain."""
        self._joining.on_join_reply(sender, message)

    def on_ping(self, sender, message):
        """Reply to a probe."""
        self._merger.merge(sender, message.updates)
        self._own_domain.answer_ping(sender, message)

    def on_ping_request(self, sender, message):
        """Probe a node on behalf of the sender."""
        self._own_domain.on_message()
        self._own_domain.prober.relay(sender, message, self.context.now)

    def on_ack(self, sender, message):
        """Handle the reply to a probe."""
        self._merger.merge(sender, message.updates)
        self._own_domain.on_ack(message)

    def on_gossip(self, sender, message):
        """Store record updates."""
        self._merger.merge(sender, message.updates)

    def on_digest(self, sender, message):
        """Reply to the digest of a node of this domain."""
        self._own_domain.on_message()
        if message.failure_domain == self.failure_domain:
            self._own_domain.answer_digest(sender, message)

    def on_digest_reply(self, sender, message):
        """Store the records, and send back those that are newer here."""
        table = self._merger.table(message.failure_domain)
        if table is None:
            return
        newer = table.newer_than(message.buckets, message.updates)
        self._merger.merge_without_gossip(sender, message.updates)
        if newer:
            self.context.send(sender, _messages.Repair(newer))
        if message.failure_domain == self.failure_domain:
            self._own_domain.on_digest_reply(sender, message)
        else:
            self._bridge.on_digest_reply(message)

    def on_repair(self, sender, message):
        """Store records that a digest comparison found missing here."""
        self._merger.merge_without_gossip(sender, message.updates)

    def on_beacon(self, sender, message):
        """Handle a heartbeat from another failure domain."""
        self._own_domain.on_message()
        self._bridge.on_beacon(sender, message)

    def on_subscribe(self, sender, message):
        """Reply to a subscription."""
        self._own_domain.on_message()
        self._bridge.on_subscribe(sender, message)

    def on_subscribe_reply(self, sender, message):
        """Store records of other domains that a bridge node sent."""
        self._remote.set_small_site(message.whole)
        self._merger.merge(sender, message.updates)
        self._subscriber.on_reply(sender, message)

    def on_platform_reply(self, event):
        """Handle a reply of the platform."""
        self._bootstrap.on_platform_reply(event, self._own_domain.own_record)

    # State

    def _tick(self, now):
        self._own_domain.tick(now)
        self._bridge.tick(now)
        bridges = self._bridge_nodes.addresses()
        members = self._view.table.up_addresses()
        self._subscriber.tick(now, bridges, len(members))
        if self._own_domain.own_record.status is not Status.LEFT:
            alone = not self._view.running_peers()
            self._bootstrap.tick(
                now, self._own_domain.own_record, alone, bridges
            )

    def _on_own_change(self, record):
        self._lookup.clear()
        is_own = record.address == self.context.address
        if self._merger.gossips or is_own:
            node_count = len(self._view.table.up_addresses())
            self._own_domain.queue.add(record, node_count)
        else:
            self._own_domain.queue.discard(record.address)
        self._bridge.queue_own_change(record)

    def _on_remote_change(self, record):
        self._lookup.clear()
        self._bridge.queue_remote_change(record)

    def _on_resume(self, pause_s):
        self._bridge.postpone_deadlines(pause_s)
        self._remote.mark_unconfirmed()
        self._subscriber.renew_now()


def _dump_record(record):
    return {
        'status': record.status.name.lower(),
        'incarnation': f'{record.incarnation:016x}',
        'sequence': record.sequence,
        'service': record.service,
    }


def _dump_domain(domain):
    return {
        'reachable': domain.reachable,
        'bridges': list(domain.bridges),
        'nodes': len(domain.table.up_addresses()),
    }
