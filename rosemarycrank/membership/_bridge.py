"""Exchange of records between failure domains through bridge nodes."""

from rosemarycrank.membership import _beacons
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _pulls
from rosemarycrank.membership import _subscriptions

MAX_FORWARDED_RECORDS = 32

Status = _messages.Status


class Bridge:
    """Protocol of a bridge node; inactive while other nodes are bridges.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    own_domain : OwnDomain
        Protocol within the own failure domain.
    bridge_nodes : BridgeNodes
        Bridge nodes of the own failure domain.
    remote : RemoteView
        Records of other failure domains.
    settings : GossipDirectory
        Directory whose constructor parameters are the settings.

    Attributes
    ----------
    active : bool
        Whether this node acts as a bridge node.
    """

    def __init__(self, context, own_domain, bridge_nodes, remote, settings):
        self.context = context
        self.own_domain = own_domain
        self.bridge_nodes = bridge_nodes
        self.remote = remote
        self.settings = settings
        self.active = False
        self._started_at = context.now
        self._changed_record_by_address = {}
        self._pulls = _pulls.Pulls(context, remote)
        self._beacons = _beacons.BeaconSender(
            context,
            own_domain.view,
            bridge_nodes,
            remote,
            settings.beacon_period_s,
        )
        self._subscriptions = _subscriptions.Subscriptions(
            context,
            own_domain.view,
            bridge_nodes,
            remote,
            settings.small_site_nodes,
        )

    def tick(self, now):
        """Run the periodic work of a bridge node, if this node is one.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._set_active(self._should_be_active(now), now)
        if not self.active:
            return
        self._beacons.tick(now)
        self._check_timeouts(now)
        self._pulls.tick(now)
        self._forward_changes()
        self._subscriptions.tick(now)

    def postpone_deadlines(self, delay_s):
        """Postpone the time-outs of other domains after a pause.

        Parameters
        ----------
        delay_s : float
            Length of the pause of this process, in seconds.
        """
        for domain in self.remote.by_domain.values():
            domain.last_received_at += delay_s

    # Changes

    def queue_own_change(self, record):
        """Queue a changed record of the own domain for other domains."""
        if self.active and record.status is not Status.SUSPECT:
            self._changed_record_by_address[record.address] = record

    def queue_remote_change(self, record):
        """Queue a change in another domain for subscribers and bridges.

        Parameters
        ----------
        record : Record or None
            Changed record; None if the reachability of a domain changed.
        """
        if not self.active:
            return
        if record is None:
            self._subscriptions.queue_state(contacts=False)
        else:
            self._subscriptions.queue_change(record)

    def queue_contacts(self):
        """Queue the bridge nodes of other domains for the subscribers."""
        if self.active:
            self._subscriptions.queue_state(contacts=True)

    # Messages

    def on_beacon(self, sender, beacon):
        """Handle a heartbeat from another failure domain."""
        name = beacon.failure_domain
        if name == self.settings.failure_domain:
            return
        self.remote.set_contact(_messages.DomainContact(name, beacon.bridges))
        self._add_contact(beacon.contact)
        if not self.active:
            # The sender's list of bridge nodes is outdated.
            self.context.send(
                sender,
                _messages.JoinReply(
                    self.settings.failure_domain,
                    [self.bridge_nodes.contact()],
                ),
            )
            return
        self._mark_reachable(name)
        self._pulls.record_digest(name, beacon.root, sender)

    def on_digest_reply(self, reply):
        """Handle the digest reply of another domain.

        The caller has already stored the records of the reply.
        """
        if self.active and self._pulls.record_reply(reply):
            self._mark_reachable(reply.failure_domain)
            self.remote.confirm(reply.failure_domain)

    def on_subscribe(self, sender, message):
        """Reply to the subscription of a node of the own domain."""
        if self.bridge_nodes.include_self():
            self._subscriptions.renew(sender, message)

    # Periodic work

    def _should_be_active(self, now):
        # A node that has just started knows only some nodes of its domain,
        # and could therefore wrongly consider itself a bridge node.
        age_s = now - self._started_at
        ready = self.own_domain.synced or age_s >= self.settings.settle_s
        return ready and self.bridge_nodes.include_self()

    def _set_active(self, active, now):
        if active == self.active:
            return
        self.active = active
        self.remote.is_bridge = active
        self.context.count('membership_bridge_changes')
        if active:
            self._beacons.send_now()
            for domain in self.remote.by_domain.values():
                domain.last_received_at = now
        else:
            self._deactivate()

    def _deactivate(self):
        self._changed_record_by_address.clear()
        self._pulls.clear()
        self._subscriptions.clear()
        self.remote.prune()

    def _check_timeouts(self, now):
        for name, domain in self.remote.by_domain.items():
            if now - domain.last_received_at > self.settings.domain_timeout_s:
                if domain.reachable:
                    self.context.count('membership_domains_lost')
                self.remote.set_reachable(name, False)

    def _forward_changes(self):
        if not self._changed_record_by_address:
            return
        records = list(self._changed_record_by_address.values())
        page = records[:MAX_FORWARDED_RECORDS]
        for record in page:
            del self._changed_record_by_address[record.address]
        for domain in self.remote.by_domain.values():
            if domain.reachable and domain.bridges:
                for address in self.bridge_nodes.counterparts(domain.bridges):
                    self.context.send(address, _messages.Gossip(page))

    # State

    def _mark_reachable(self, name):
        self.remote.domain(name).last_received_at = self.context.now
        self.remote.set_reachable(name, True)

    def _add_contact(self, contact):
        if contact is None:
            return
        known = self.remote.by_domain.get(contact.failure_domain)
        is_own = contact.failure_domain == self.settings.failure_domain
        if not is_own and (known is None or not known.bridges):
            self.remote.set_contact(contact)
