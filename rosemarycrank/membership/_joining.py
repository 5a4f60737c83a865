"""Joining through nodes of any failure domain."""

from rosemarycrank.membership import _messages


class Joining:
    """Replies to nodes that join, and joins through the nodes in replies.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    own_domain : OwnDomain
        Protocol within the own failure domain.
    remote : RemoteView
        Records of other failure domains.
    bridge_nodes : BridgeNodes
        Bridge nodes of the own failure domain.
    merger : RecordMerger
        Merges received records.
    """

    def __init__(self, context, own_domain, remote, bridge_nodes, merger):
        self.context = context
        self.own_domain = own_domain
        self.remote = remote
        self.bridge_nodes = bridge_nodes
        self.merger = merger
        self.failure_domain = own_domain.own_record.failure_domain

    def on_join(self, sender, message, is_bridge):
        """Reply with contacts, and the sender's record if it differs.

        Parameters
        ----------
        sender : str
            Address of the node that joins.
        message : Join
            Its message.
        is_bridge : bool
            Whether this node acts as a bridge node.
        """
        record = message.record
        known = []
        if record.failure_domain == self.failure_domain:
            self.merger.merge(sender, [record])
            known = self.own_domain.conflicting_records(
                sender, record.incarnation, record.sequence
            )
        elif is_bridge and record.failure_domain not in self.remote.by_domain:
            self.remote.set_contact(
                _messages.DomainContact(record.failure_domain, [sender])
            )
        contacts = [self.bridge_nodes.contact(), *self.remote.contacts()]
        self.context.send(
            sender,
            _messages.JoinReply(self.failure_domain, contacts, known),
        )

    def on_join_reply(self, sender, message):
        """Store the contacts, and join or sync with the own domain.

        Parameters
        ----------
        sender : str
            Address of the node that replied.
        message : JoinReply
            Its reply.
        """
        self.merger.merge(sender, message.known)
        if message.failure_domain == self.failure_domain:
            self.own_domain.schedule_comparison(sender)
        for contact in message.contacts:
            if contact.failure_domain != self.failure_domain:
                self.remote.set_contact(contact)
            elif message.failure_domain != self.failure_domain:
                self._join_through(contact.bridges)

    def is_known(self, address):
        """Return whether a node is known to run, in any reachable domain.

        Parameters
        ----------
        address : str
            ``host:port`` of the node.

        Returns
        -------
        bool
            False if it is worth a `Join`.
        """
        if self.own_domain.view.is_up(address):
            return True
        return any(
            domain.reachable
            and (
                address in domain.bridges
                or address in domain.table.up_addresses()
            )
            for domain in self.remote.by_domain.values()
        )

    def _join_through(self, addresses):
        for address in addresses:
            if not self.is_known(address):
                self.context.send(
                    address, _messages.Join(self.own_domain.own_record)
                )
