"""Subscriptions of a node to targets in other failure domains."""

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _probing
from rosemarycrank.membership import _subscriptions

BRIDGES_PER_NODE = 2
SERVICE_TTL_S = 600.0
REPLY_TIMEOUT_S = 1.0


class Subscriber:
    """Subscribes at bridge nodes to the services that this node calls.

    The bridge nodes are those of the own failure domain. They send the
    targets that these services have in other domains.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    remote : RemoteView
        Records of other failure domains.
    """

    def __init__(self, context, remote):
        self.context = context
        self.remote = remote
        self._used_at_by_service = {}
        self._bridges = ()
        self._next_request_at = 0.0
        self._period_s = 0.0
        self._pending_nonces = set()
        self._unreachable_by_bridge = {}

    def subscribe(self, service):
        """Subscribe to a service, or record that it is still in use.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        if service not in self._used_at_by_service:
            self.remote.services.add(service)
            self.renew_now()
        self._used_at_by_service[service] = self.context.now

    def renew_now(self):
        """Renew the subscriptions at the next tick."""
        self._next_request_at = 0.0
        self._pending_nonces.clear()

    def tick(self, now, bridges, member_count):
        """Renew the subscriptions when due.

        Parameters
        ----------
        now : float
            Current time in seconds.
        bridges : sequence of str
            Addresses of the bridge nodes of the own failure domain.
        member_count : int
            Number of running nodes of the own failure domain.
        """
        if self.context.address in bridges:
            self._bridges = ()
            return
        chosen = self._choose_bridges(bridges)
        self._period_s = _subscriptions.subscribe_period_s(member_count)
        if chosen != self._bridges:
            self._bridges = chosen
            # Spread out, since all nodes of the domain learn of a new
            # bridge node at about the same time.
            spread_s = self._period_s / 10
            self._next_request_at = now + self.context.random.uniform(
                0, spread_s
            )
        if chosen and now >= self._next_request_at:
            self._next_request_at = now + REPLY_TIMEOUT_S
            self._expire_services(now)
            self._send_requests()

    def on_reply(self, sender, reply):
        """Handle a reply or a report of changes from a bridge node.

        The caller has already stored the records in it.

        Parameters
        ----------
        sender : str
            Address of the bridge node.
        reply : SubscribeReply
            Its message.
        """
        if sender not in self._bridges:
            return
        for contact in reply.contacts:
            self.remote.set_contact(contact)
        self._unreachable_by_bridge[sender] = set(reply.unreachable)
        self._update_reachability()
        listed = {record.address for record in reply.updates}
        self.remote.drop_unlisted(reply.services, listed)
        if reply.nonce in self._pending_nonces:
            jitter = self.context.random.uniform(0.9, 1.1)
            self._next_request_at = self.context.now + self._period_s * jitter
            for name in list(self.remote.by_domain):
                self.remote.confirm(name)

    def _choose_bridges(self, bridges):
        if not bridges:
            return ()
        offset = sum(self.context.address.encode()) % len(bridges)
        rotated = tuple(bridges[offset:]) + tuple(bridges[:offset])
        return rotated[:BRIDGES_PER_NODE]

    def _send_requests(self):
        self._pending_nonces.clear()
        for bridge in self._bridges:
            nonce = _probing.new_nonce(self.context)
            self._pending_nonces.add(nonce)
            self.context.send(bridge, self._make_request(nonce))

    def _make_request(self, nonce):
        services = sorted(self.remote.services)
        return _messages.Subscribe(
            nonce,
            {s: self.remote.service_digest(s) for s in services},
            self.remote.whole_digest(),
            self.remote.contacts_digest(),
        )

    def _expire_services(self, now):
        for service, used_at in list(self._used_at_by_service.items()):
            if used_at + SERVICE_TTL_S <= now:
                del self._used_at_by_service[service]
                self.remote.services.discard(service)

    def _update_reachability(self):
        # A domain counts as unreachable only if all bridge nodes report it:
        # a single one may be cut off from it or have outdated information.
        reports = [
            self._unreachable_by_bridge[bridge]
            for bridge in self._bridges
            if bridge in self._unreachable_by_bridge
        ]
        for name in list(self.remote.by_domain):
            unreachable = all(name in report for report in reports)
            self.remote.set_reachable(name, not unreachable)
