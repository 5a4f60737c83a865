"""Records of the nodes of other failure domains."""

import attrs

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _notices
from rosemarycrank.membership import _table

MISSES_BEFORE_DROP = 3


@attrs.define
class RemoteDomain:
    """State of one other failure domain.

    Attributes
    ----------
    table : RecordTable
        Records of the domain's nodes. A bridge node, or any node of a small
        site, keeps all of them; other nodes keep those of the services that
        they call.
    bridges : tuple of str
        Addresses of the last known bridge nodes of the domain.
    last_received_at : float
        Time in seconds at which the last message from the domain was
        received; only used at a bridge node.
    reachable : bool
        Whether messages from the domain are being received.
    confirmed : bool
        Whether the records are confirmed since the last pause of this
        process; unconfirmed ones are not used.
    """

    table: _table.RecordTable = attrs.field(factory=_table.RecordTable)
    bridges: tuple = ()
    last_received_at: float = 0.0
    reachable: bool = True
    confirmed: bool = True


class RemoteView:
    """Records and reachability of other failure domains.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    on_change : callable
        Called with each record that was stored, or with None when the set
        of usable records changed otherwise.
    on_contacts_change : callable
        Called without arguments when the bridge nodes of a domain changed.

    Attributes
    ----------
    by_domain : dict of str to RemoteDomain
        Known other domains.
    services : set of str
        Services whose records are kept.
    is_bridge : bool
        Whether this node is a bridge node, and so keeps all records.
    small_site : bool
        Whether the site is so small that every node keeps all records.
    """

    def __init__(self, context, on_change, on_contacts_change):
        self.context = context
        self.by_domain = {}
        self.services = set()
        self.is_bridge = False
        self.small_site = False
        self._on_change = on_change
        self._on_contacts_change = on_contacts_change
        self._misses_by_address = {}

    def domain(self, name):
        """Return the state of a domain; create it if it is unknown."""
        if name not in self.by_domain:
            self.by_domain[name] = RemoteDomain(
                last_received_at=self.context.now
            )
        return self.by_domain[name]

    def apply(self, record):
        """Store a record if it takes precedence over the current one.

        Records of services that are not kept are ignored unless there is a
        current record of the address.

        Parameters
        ----------
        record : Record
            Record of a node of another failure domain.

        Returns
        -------
        bool
            Whether the record was stored.
        """
        table = self.domain(record.failure_domain).table
        previous = table.by_address.get(record.address)
        if previous is None and not self._is_kept(record):
            return False
        if not table.apply(record):
            return False
        self._misses_by_address.pop(record.address, None)
        if self.domain(record.failure_domain).reachable:
            _notices.publish_change(self.context, previous, record)
        self._on_change(record)
        return True

    def usable_records(self, service):
        """Return the records of a service in usable domains.

        A domain is usable while it is reachable and confirmed.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Record
            Records of nodes considered running.
        """
        return [
            record
            for domain in self.by_domain.values()
            if domain.reachable and domain.confirmed
            for record in domain.table.up_by_service.get(service, {}).values()
        ]

    def all_records(self, service):
        """Return all records of a service, also those of stopped nodes."""
        return [
            record
            for domain in self.by_domain.values()
            for record in domain.table.by_address.values()
            if record.service == service
        ]

    def service_names(self):
        """Return the names of services with known running nodes."""
        return {
            service
            for domain in self.by_domain.values()
            for service, records in domain.table.up_by_service.items()
            if records
        }

    def service_digest(self, service):
        """Return the digest of the running nodes of a service."""
        digest = 0
        for domain in self.by_domain.values():
            digest ^= domain.table.service_digest(service)
        return digest

    def whole_digest(self):
        """Return the digest of all known running nodes."""
        digest = 0
        for domain in self.by_domain.values():
            digest ^= domain.table.root_digest()
        return digest

    def set_small_site(self, small_site):
        """Set whether every node keeps the records of all services.

        Parameters
        ----------
        small_site : bool
            Whether the site is small enough for that.
        """
        was_small_site, self.small_site = self.small_site, small_site
        if was_small_site and not small_site:
            self.prune()

    def node_count(self):
        """Return the number of known nodes, including stopped ones."""
        return sum(
            len(domain.table.by_address) for domain in self.by_domain.values()
        )

    def contacts(self):
        """Return the contacts of the domains with known bridge nodes.

        Returns
        -------
        list of DomainContact
            Contacts in order of domain name.
        """
        return [
            _messages.DomainContact(name, list(domain.bridges))
            for name, domain in sorted(self.by_domain.items())
            if domain.bridges
        ]

    def contacts_digest(self):
        """Return the digest of `contacts`."""
        return _table.hash64(
            ' '.join(
                f'{contact.failure_domain}={",".join(contact.bridges)}'
                for contact in self.contacts()
            )
        )

    def set_contact(self, contact):
        """Set the bridge nodes of a domain.

        Parameters
        ----------
        contact : DomainContact
            Domain and its bridge nodes; ignored if it lists none.
        """
        if not contact.bridges:
            return
        domain = self.domain(contact.failure_domain)
        if domain.bridges != tuple(contact.bridges):
            domain.bridges = tuple(contact.bridges)
            self._on_contacts_change()

    def set_reachable(self, name, reachable):
        """Set whether a domain is reachable, and publish it for its nodes.

        Parameters
        ----------
        name : str
            Name of the domain.
        reachable : bool
            Whether messages from the domain are being received.
        """
        domain = self.domain(name)
        if domain.reachable == reachable:
            return
        domain.reachable = reachable
        publish = _notices.publish_up if reachable else _notices.publish_failed
        for address in domain.table.up_addresses():
            publish(self.context, domain.table.by_address[address])
        self._on_change(None)

    def unreachable(self):
        """Return the sorted names of the unreachable domains."""
        return sorted(
            name
            for name, domain in self.by_domain.items()
            if not domain.reachable
        )

    def mark_unconfirmed(self):
        """Mark all domains as unconfirmed, so that they are not used."""
        for domain in self.by_domain.values():
            domain.confirmed = False
        self._on_change(None)

    def confirm(self, name):
        """Mark a domain as confirmed, so that it is used again.

        Parameters
        ----------
        name : str
            Name of the domain.
        """
        domain = self.domain(name)
        if not domain.confirmed:
            domain.confirmed = True
            self._on_change(None)

    def drop_unlisted(self, services, listed):
        """Drop nodes that were missing from several complete lists.

        Parameters
        ----------
        services : sequence of str
            Services whose nodes a bridge node has listed completely.
        listed : set of str
            Addresses of the listed nodes.
        """
        for domain in self.by_domain.values():
            for service in services:
                known = domain.table.up_by_service.get(service, {})
                for address in set(known) - listed:
                    self._count_miss(domain.table, address)

    def prune(self):
        """Remove the records of services that are not kept."""
        for domain in self.by_domain.values():
            for record in list(domain.table.by_address.values()):
                if not self._is_kept(record):
                    domain.table.remove(record.address)

    def _is_kept(self, record):
        return (
            self.is_bridge
            or self.small_site
            or record.service in self.services
        )

    def _count_miss(self, table, address):
        # A single list is not enough: the bridge node that sent it may lag
        # behind another one.
        misses = self._misses_by_address.get(address, 0) + 1
        self._misses_by_address[address] = misses
        if misses >= MISSES_BEFORE_DROP:
            del self._misses_by_address[address]
            record = table.by_address[address]
            table.remove(address)
            _notices.publish_failed(self.context, record)
            self._on_change(None)
