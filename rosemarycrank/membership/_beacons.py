"""Heartbeats of a bridge node to other failure domains."""

from rosemarycrank.membership import _messages


class BeaconSender:
    """Sends each other failure domain a heartbeat once in a period.

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
    period_s : float
        Mean time between two heartbeats, in seconds.
    """

    def __init__(self, context, view, bridge_nodes, remote, period_s):
        self.context = context
        self.view = view
        self.bridge_nodes = bridge_nodes
        self.remote = remote
        self.period_s = period_s
        self._next_beacon_at = 0.0
        self._round = 0

    def send_now(self):
        """Send heartbeats at the next tick."""
        self._next_beacon_at = self.context.now

    def tick(self, now):
        """Send the heartbeats when due.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if now < self._next_beacon_at:
            return
        jitter = self.context.random.uniform(0.9, 1.1)
        self._next_beacon_at = now + self.period_s * jitter
        self._round += 1
        own_contact = self.bridge_nodes.contact()
        root_digest = self.view.table.root_digest()
        for name, domain in self.remote.by_domain.items():
            beacon = _messages.Beacon(
                own_contact.failure_domain,
                root_digest,
                own_contact.bridges,
                self._other_contact(name),
            )
            for address in self._receivers(domain):
                self.context.send(address, beacon)

    def _other_contact(self, excluded_domain):
        contacts = [
            contact
            for contact in self.remote.contacts()
            if contact.failure_domain != excluded_domain
        ]
        return self.context.random.choice(contacts) if contacts else None

    def _receivers(self, domain):
        if self._round % 2:
            return self._random_one(domain.bridges)
        if not domain.reachable:
            # Its bridge nodes may have changed while it was unreachable.
            # Any node of the domain replies with the current ones.
            return self._random_one(domain.table.up_addresses())
        return self.bridge_nodes.counterparts(domain.bridges)

    def _random_one(self, addresses):
        return [self.context.random.choice(addresses)] if addresses else []
