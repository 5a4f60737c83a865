"""Exchange of records between failure domains through bridge nodes."""

import attrs

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _probing
from rosemarycrank.membership import _table

MAX_FORWARDED_RECORDS = 32
PULL_RETRY_S = 1.0
MAX_PUSHES_PER_TICK = 100
# Delay of reports about the reachability and bridge nodes of other domains.
STATE_PUSH_DELAY_S = 1.0
MAX_SUBSCRIPTIONS_PER_S = 8.5
MIN_SUBSCRIBE_PERIOD_S = 5.0

Status = _messages.Status


def subscribe_period_s(member_count):
    """Return the period at which a node renews its subscriptions.

    Parameters
    ----------
    member_count : int
        Number of nodes in the failure domain, which all subscribe at the
        same few bridge nodes.

    Returns
    -------
    float
        Period in seconds.
    """
    return max(MIN_SUBSCRIBE_PERIOD_S, member_count / MAX_SUBSCRIPTIONS_PER_S)


def rank_by_hash(addresses, count):
    """Return the nodes that rendezvous hashing selects.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of the nodes to choose from.
    count : int
        Number of nodes to choose.

    Returns
    -------
    tuple of str
        At most ``count`` addresses, in order of rank.
    """
    ranked = sorted(addresses, key=_table.hash64, reverse=True)
    return tuple(ranked[:count])


@attrs.define
class _Subscription:
    services: set
    expires_at: float


@attrs.define
class _Pull:
    root_digest: int
    sender: str
    requested_at: float = float('-inf')
    nonce: int = 0


class Bridge:
    """Protocol of a bridge node; inactive while other nodes are bridges.

    Each node derives the bridge nodes from its own view, without a lease.
    If views differ, more nodes than needed act as bridges, which is
    harmless.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    own_domain : OwnDomain
        Protocol within the own failure domain.
    remote : RemoteView
        Records of other failure domains.
    settings : GossipDirectory
        Directory whose constructor parameters are the settings.

    Attributes
    ----------
    active : bool
        Whether this node acts as a bridge node.
    """

    def __init__(self, context, own_domain, remote, settings):
        self.context = context
        self.own_domain = own_domain
        self.remote = remote
        self.settings = settings
        self.active = False
        self._started_at = context.now
        self._bridges = ()
        self._bridges_version = None
        self._next_beacon_at = 0.0
        self._beacon_round = 0
        self._changed_record_by_address = {}
        self._pull_by_domain = {}
        self._subscription_by_address = {}
        self._pushes_by_address = {}
        self._with_contacts_by_address = {}
        self._next_state_push_at = 0.0

    def bridges(self):
        """Return the bridge nodes of the own domain in order of rank.

        Returns
        -------
        tuple of str
            Addresses.
        """
        table = self.own_domain.view.table
        if self._bridges_version != table.version:
            self._bridges_version = table.version
            self._bridges = rank_by_hash(
                table.up_addresses(), self.settings.bridge_count
            )
        return self._bridges

    def contact(self):
        """Return the contact of the own failure domain.

        Returns
        -------
        DomainContact
            The own failure domain and its bridge nodes.
        """
        return _messages.DomainContact(
            self.settings.failure_domain, list(self.bridges())
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
        self._send_beacons(now)
        self._check_timeouts(now)
        self._pull_records(now)
        self._forward_changes()
        self._push_changes(now)

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
            self._queue_state_pushes(contacts=False)
            return
        for address, subscription in self._subscription_by_address.items():
            if (
                record.service in subscription.services
                or self._is_small_site()
            ):
                self._queue_push(address, record)
        # The other bridge nodes may have missed the record, since the
        # bridge node that should have sent it to them may have failed or
        # just started.
        for address in self.bridges():
            if address != self.context.address:
                self._queue_push(address, record)

    def queue_contacts(self):
        """Queue the bridge nodes of other domains for the subscribers."""
        if self.active:
            self._queue_state_pushes(contacts=True)

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
                    self.settings.failure_domain, [self.contact()]
                ),
            )
            return
        self._mark_reachable(name)
        pull = self._pull_by_domain.get(name)
        if pull is None or pull.root_digest != beacon.root:
            self._pull_by_domain[name] = _Pull(beacon.root, sender)

    def on_digest_reply(self, reply):
        """Handle the digest reply of another domain.

        The caller has already stored the records of the reply.
        """
        name = reply.failure_domain
        pull = self._pull_by_domain.get(name)
        if not self.active or pull is None or pull.nonce != reply.nonce:
            return
        pull.requested_at = float('-inf')
        self._mark_reachable(name)
        self.remote.confirm(name)

    def on_subscribe(self, sender, message):
        """Reply to the subscription of a node of the own domain."""
        if self.context.address not in self.bridges():
            return
        period_s = subscribe_period_s(len(self._members()))
        self._subscription_by_address[sender] = _Subscription(
            set(message.digest_by_service),
            self.context.now + 3.5 * period_s,
        )
        differing = self._differing_services(message)
        contacts = self.remote.contacts()
        if message.contacts_digest == self.remote.contacts_digest():
            contacts = []
        self.context.send(
            sender,
            _messages.SubscribeReply(
                message.nonce,
                self.remote.unreachable(),
                self._is_small_site(),
                differing,
                [
                    record
                    for service in differing
                    for record in self.remote.all_records(service)
                ],
                contacts,
            ),
        )

    def _differing_services(self, message):
        if not self._is_small_site():
            digest_by_service = message.digest_by_service
            return [
                service
                for service, digest in digest_by_service.items()
                if self.remote.service_digest(service) != digest
            ]
        if message.whole_digest == self.remote.whole_digest():
            return []
        return sorted(
            self.remote.service_names() | set(message.digest_by_service)
        )

    # Periodic work

    def _should_be_active(self, now):
        # A node that has just started knows only some nodes of its domain,
        # and could therefore wrongly consider itself a bridge node.
        age_s = now - self._started_at
        ready = self.own_domain.synced or age_s >= self.settings.settle_s
        return ready and self.context.address in self.bridges()

    def _set_active(self, active, now):
        if active == self.active:
            return
        self.active = active
        self.remote.is_bridge = active
        self.context.count('membership_bridge_changes')
        if active:
            self._next_beacon_at = now
            for domain in self.remote.by_domain.values():
                domain.last_received_at = now
        else:
            self._deactivate()

    def _deactivate(self):
        self._changed_record_by_address.clear()
        self._pull_by_domain.clear()
        self._subscription_by_address.clear()
        self._pushes_by_address.clear()
        self._with_contacts_by_address.clear()
        self.remote.prune()

    def _send_beacons(self, now):
        if now < self._next_beacon_at:
            return
        jitter = self.context.random.uniform(0.9, 1.1)
        self._next_beacon_at = now + self.settings.beacon_period_s * jitter
        self._beacon_round += 1
        own_contact = self.contact()
        root_digest = self.own_domain.view.table.root_digest()
        for name, domain in self.remote.by_domain.items():
            beacon = _messages.Beacon(
                own_contact.failure_domain,
                root_digest,
                own_contact.bridges,
                self._other_contact(name),
            )
            for address in self._beacon_receivers(domain):
                self.context.send(address, beacon)

    def _other_contact(self, excluded_domain):
        contacts = [
            contact
            for contact in self.remote.contacts()
            if contact.failure_domain != excluded_domain
        ]
        return self.context.random.choice(contacts) if contacts else None

    def _beacon_receivers(self, domain):
        if self._beacon_round % 2:
            return self._random_one(domain.bridges)
        if not domain.reachable:
            # Its bridge nodes may have changed while it was unreachable.
            # Any node of the domain replies with the current ones.
            return self._random_one(domain.table.up_addresses())
        return self._bridges_of_matching_rank(domain.bridges)

    def _random_one(self, addresses):
        return [self.context.random.choice(addresses)] if addresses else []

    def _bridges_of_matching_rank(self, bridges):
        # Bridge nodes of equal rank exchange messages, so that each bridge
        # node receives a change once, not from every bridge node of the
        # other domain.
        own_bridges = self.bridges()
        rank = own_bridges.index(self.context.address)
        if not bridges:
            return []
        if rank >= len(bridges):
            return [bridges[rank % len(bridges)]]
        return bridges[rank :: len(own_bridges)]

    def _check_timeouts(self, now):
        for name, domain in self.remote.by_domain.items():
            if now - domain.last_received_at > self.settings.domain_timeout_s:
                if domain.reachable:
                    self.context.count('membership_domains_lost')
                self.remote.set_reachable(name, False)

    def _pull_records(self, now):
        # One page per tick: a new bridge node has to read whole domains and
        # must keep within the same limit on traffic as other nodes.
        for name, pull in self._pull_by_domain.items():
            domain = self.remote.domain(name)
            up_to_date = (
                domain.table.root_digest() == pull.root_digest
                and domain.confirmed
            )
            if up_to_date or now - pull.requested_at < PULL_RETRY_S:
                continue
            pull.requested_at = now
            pull.nonce = _probing.new_nonce(self.context)
            self.context.send(
                pull.sender,
                _messages.Digest(pull.nonce, name, domain.table.digest()),
            )
            self._pull_by_domain[name] = self._pull_by_domain.pop(name)
            return

    def _forward_changes(self):
        if not self._changed_record_by_address:
            return
        records = list(self._changed_record_by_address.values())
        page = records[:MAX_FORWARDED_RECORDS]
        for record in page:
            del self._changed_record_by_address[record.address]
        for domain in self.remote.by_domain.values():
            if domain.reachable and domain.bridges:
                for address in self._bridges_of_matching_rank(domain.bridges):
                    self.context.send(address, _messages.Gossip(page))

    def _queue_push(self, address, record):
        pushes = self._pushes_by_address.setdefault(address, {})
        pushes[record.address] = record

    def _queue_state_pushes(self, contacts):
        pending = self._with_contacts_by_address
        if not pending:
            # Several domains often become unreachable or reachable at the
            # same time. After the delay, one message covers them all.
            self._next_state_push_at = self.context.now + STATE_PUSH_DELAY_S
        for address in self._subscription_by_address:
            pending[address] = contacts or pending.get(address, False)

    def _push_changes(self, now):
        for address, subscription in list(
            self._subscription_by_address.items()
        ):
            if subscription.expires_at <= now:
                del self._subscription_by_address[address]
                self._pushes_by_address.pop(address, None)
                self._with_contacts_by_address.pop(address, None)
        for address in list(self._pushes_by_address)[:MAX_PUSHES_PER_TICK]:
            records = list(self._pushes_by_address.pop(address).values())
            self.context.send(address, _messages.Gossip(records))
        if now >= self._next_state_push_at:
            self._push_state()

    def _push_state(self):
        pending = self._with_contacts_by_address
        for address in list(pending)[:MAX_PUSHES_PER_TICK]:
            contacts = self.remote.contacts() if pending.pop(address) else []
            self.context.send(
                address,
                _messages.SubscribeReply(
                    0,
                    self.remote.unreachable(),
                    self._is_small_site(),
                    contacts=contacts,
                ),
            )

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

    def _members(self):
        return self.own_domain.view.table.up_addresses()

    def _is_small_site(self):
        total = len(self._members()) + self.remote.node_count()
        return total <= self.settings.small_site_nodes
