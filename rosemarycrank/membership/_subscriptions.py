"""Subscriptions of nodes at a bridge node, and what they are sent."""

import attrs

from rosemarycrank.membership import _messages

MAX_PUSHES_PER_TICK = 100
# Delay of reports about the reachability and bridge nodes of other domains.
STATE_PUSH_DELAY_S = 1.0
MAX_SUBSCRIPTIONS_PER_S = 8.5
MIN_SUBSCRIBE_PERIOD_S = 5.0
# Subscriptions expire after this many periods without a renewal.
VALIDITY_PERIODS = 3.5


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


@attrs.define
class _Subscription:
    services: set
    expires_at: float


class Subscriptions:
    """Sends changes in other domains to subscribers and other bridge nodes.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    view : DomainView
        Records of the own failure domain.
    bridge_nodes : BridgeNodes
        Bridge nodes of the own failure domain.
    remote : RemoteView
        Records of other failure domains.
    small_site_nodes : int
        Number of nodes in all domains together up to which every node keeps
        all targets.
    """

    def __init__(self, context, view, bridge_nodes, remote, small_site_nodes):
        self.context = context
        self.view = view
        self.bridge_nodes = bridge_nodes
        self.remote = remote
        self.small_site_nodes = small_site_nodes
        self._subscription_by_address = {}
        self._pushes_by_address = {}
        self._with_contacts_by_address = {}
        self._next_state_push_at = 0.0

    def clear(self):
        """Drop all subscriptions and what was to be sent."""
        self._subscription_by_address.clear()
        self._pushes_by_address.clear()
        self._with_contacts_by_address.clear()

    def renew(self, sender, message):
        """Start or renew a subscription, and reply with what differs.

        Parameters
        ----------
        sender : str
            Address of the subscribing node of the own domain.
        message : Subscribe
            Services of the subscription, and digests of what is known there.
        """
        member_count = len(self.view.table.up_addresses())
        validity_s = VALIDITY_PERIODS * subscribe_period_s(member_count)
        self._subscription_by_address[sender] = _Subscription(
            set(message.digest_by_service), self.context.now + validity_s
        )
        self.context.send(sender, self._make_reply(message))

    def queue_change(self, record):
        """Queue a changed record for subscribers and other bridge nodes.

        Parameters
        ----------
        record : Record
            Changed record of another domain.
        """
        for address, subscription in self._subscription_by_address.items():
            if (
                record.service in subscription.services
                or self._is_small_site()
            ):
                self._queue_push(address, record)
        # The other bridge nodes may have missed the record, since the
        # bridge node that should have sent it to them may have failed or
        # just started.
        for address in self.bridge_nodes.addresses():
            if address != self.context.address:
                self._queue_push(address, record)

    def queue_state(self, contacts):
        """Queue a report about other domains for the subscribers.

        Parameters
        ----------
        contacts : bool
            Whether the report has the domains' bridge nodes besides their
            reachability.
        """
        pending = self._with_contacts_by_address
        if not pending:
            # Several domains often become unreachable or reachable at the
            # same time. After the delay, one message covers them all.
            self._next_state_push_at = self.context.now + STATE_PUSH_DELAY_S
        for address in self._subscription_by_address:
            pending[address] = contacts or pending.get(address, False)

    def tick(self, now):
        """Drop expired subscriptions, and send what is queued.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._drop_expired(now)
        self._push_changes()
        if now >= self._next_state_push_at:
            self._push_state()

    def _make_reply(self, message):
        differing = self._differing_services(message)
        contacts = self.remote.contacts()
        if message.contacts_digest == self.remote.contacts_digest():
            contacts = []
        return _messages.SubscribeReply(
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

    def _queue_push(self, address, record):
        pushes = self._pushes_by_address.setdefault(address, {})
        pushes[record.address] = record

    def _drop_expired(self, now):
        expired = [
            address
            for address, subscription in self._subscription_by_address.items()
            if subscription.expires_at <= now
        ]
        for address in expired:
            del self._subscription_by_address[address]
            self._pushes_by_address.pop(address, None)
            self._with_contacts_by_address.pop(address, None)

    def _push_changes(self):
        for address in list(self._pushes_by_address)[:MAX_PUSHES_PER_TICK]:
            records = list(self._pushes_by_address.pop(address).values())
            self.context.send(address, _messages.Gossip(records))

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

    def _is_small_site(self):
        member_count = len(self.view.table.up_addresses())
        return member_count + self.remote.node_count() <= self.small_site_nodes
