"""What a node knows of the nodes of other failure domains."""

import attrs

from rosemarycrank.membership import _messages
from rosemarycrank.membership import _notices
from rosemarycrank.membership import _table

MISSES_BEFORE_DROP = 3


@attrs.define
class RemoteDomain:
    """One other failure domain.

    Attributes
    ----------
    table : RecordTable
        Records; all of the domain at a bridge node, else those of the
        services that this node calls.
    bridges : tuple of str
        Addresses of its bridge nodes, as last heard.
    last_received_at : float
        When a message of it last came in, in seconds; only used at a bridge.
    reachable : bool
        Whether it is heard from.
    confirmed : bool
        False from a pause of this process until the domain is heard again.
    """

    table: _table.RecordTable = attrs.field(factory=_table.RecordTable)
    bridges: tuple = ()
    last_received_at: float = 0.0
    reachable: bool = True
    confirmed: bool = True


class RemoteView:
    """Records of other failure domains.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    on_change : callable
        Called with each record that was news, or with None when the
        reachability of a domain changed.
    on_contacts_change : callable
        Called without arguments when the bridges of a domain changed.

    Attributes
    ----------
    by_domain : dict of str to RemoteDomain
        The other domains known.
    services : set of str
        Services whose records are kept.
    is_bridge : bool
        Whether this node is a bridge and keeps all records.
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
        """Return the state of a domain, created when not known yet."""
        if name not in self.by_domain:
            self.by_domain[name] = RemoteDomain(
                last_received_at=self.context.now
            )
        return self.by_domain[name]

    def apply(self, record):
        """Take a record if it is news and of a service that is kept.

        Parameters
        ----------
        record : Record
            News of a node of another domain.

        Returns
        -------
        bool
            Whether it was taken.
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
        """Return the records of a service in domains that are in use.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Record
            Nodes taken to run.
        """
        return [
            record
            for domain in self.by_domain.values()
            if domain.reachable and domain.confirmed
            for record in domain.table.up_by_service.get(service, {}).values()
        ]

    def all_records(self, service):
        """Return every record of a service, of nodes that stopped too."""
        return [
            record
            for domain in self.by_domain.values()
            for record in domain.table.by_address.values()
            if record.service == service
        ]

    def service_names(self):
        """Return the services of which running nodes are known."""
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
        """Return the digest of all running nodes that are known."""
        digest = 0
        for domain in self.by_domain.values():
            digest ^= domain.table.root_digest()
        return digest

    def set_small_site(self, small_site):
        """Note whether every node keeps the records of all services.

        Parameters
        ----------
        small_site : bool
            Whether the site is that small.
        """
        was_small_site, self.small_site = self.small_site, small_site
        if was_small_site and not small_site:
            self.prune()

    def node_count(self):
        """Return the number of nodes known, stopped ones included."""
        return sum(
            len(domain.table.by_address) for domain in self.by_domain.values()
        )

    def contacts(self):
        """Return the bridge nodes of the domains known.

        Returns
        -------
        list of DomainContact
            In order of domain.
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
        """Note the bridge nodes of a domain.

        Parameters
        ----------
        contact : DomainContact
            A domain and its bridges; ignored when it has none.
        """
        if not contact.bridges:
            return
        domain = self.domain(contact.failure_domain)
        if domain.bridges != tuple(contact.bridges):
            domain.bridges = tuple(contact.bridges)
            self._on_contacts_change()

    def set_reachable(self, name, reachable):
        """Note whether a domain is heard from.

        Parameters
        ----------
        name : str
            Name of the domain.
        reachable : bool
            Whether it is heard from.
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
        """Return the names of the domains that are not heard from."""
        return sorted(
            name
            for name, domain in self.by_domain.items()
            if not domain.reachable
        )

    def mark_unconfirmed(self):
        """Use no domain until it is confirmed again."""
        for domain in self.by_domain.values():
            domain.confirmed = False
        self._on_change(None)

    def confirm(self, name):
        """Use a domain again.

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
        """Drop nodes that bridges leave out of full lists again and again.

        Parameters
        ----------
        services : sequence of str
            Services that were listed in full.
        listed : set of str
            Addresses in the lists.
        """
        for domain in self.by_domain.values():
            for service in services:
                known = domain.table.up_by_service.get(service, {})
                for address in set(known) - listed:
                    self._count_miss(domain.table, address)

    def prune(self):
        """Drop the records of services that are not kept."""
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
        # One bridge may lag behind another, so one list proves little.
        misses = self._misses_by_address.get(address, 0) + 1
        self._misses_by_address[address] = misses
        if misses >= MISSES_BEFORE_DROP:
            del self._misses_by_address[address]
            record = table.by_address[address]
            table.remove(address)
            _notices.publish_failed(self.context, record)
            self._on_change(None)
