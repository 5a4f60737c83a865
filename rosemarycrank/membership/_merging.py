"""Merging of received records into the views of the failure domains."""


class RecordMerger:
    """Passes received records on to the view of their failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the own failure domain.
    own_domain : OwnDomain
        Protocol within the own failure domain.
    remote : RemoteView
        Records of other failure domains.

    Attributes
    ----------
    gossips : bool
        Whether changes by the records being merged are to be passed on by
        gossip.
    """

    def __init__(self, failure_domain, own_domain, remote):
        self.failure_domain = failure_domain
        self.own_domain = own_domain
        self.remote = remote
        self.gossips = True

    def merge(self, sender, records):
        """Merge the records in a message from another node.

        Parameters
        ----------
        sender : str
            Address of the node.
        records : sequence of Record
            Received records.
        """
        self.own_domain.on_message()
        for record in records:
            if record.failure_domain == self.failure_domain:
                self.own_domain.merge_record(sender, record)
            else:
                self.remote.apply(record)

    def merge_without_gossip(self, sender, records):
        """Merge records from a digest comparison.

        They are not news, so other nodes are not told of them by gossip.

        Parameters
        ----------
        sender : str
            Address of the node.
        records : sequence of Record
            Received records.
        """
        self.gossips = False
        self.merge(sender, records)
        self.gossips = True

    def table(self, failure_domain):
        """Return the records of a failure domain.

        Parameters
        ----------
        failure_domain : str
            Name of the domain.

        Returns
        -------
        RecordTable or None
            None if the domain is unknown.
        """
        if failure_domain == self.failure_domain:
            return self.own_domain.view.table
        domain = self.remote.by_domain.get(failure_domain)
        return None if domain is None else domain.table
