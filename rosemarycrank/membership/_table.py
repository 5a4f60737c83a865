"""Table of node records, with digests that find differing records."""

import hashlib

from rosemarycrank.membership import _messages

BUCKET_COUNT = 64
DIGEST_BYTES = 8

Status = _messages.Status


def precedence(record):
    """Return the sort key that decides between two records of an address.

    Parameters
    ----------
    record : Record
        Record of a node.

    Returns
    -------
    tuple of int
        Greater for the record that is kept.
    """
    return record.sequence, record.status, record.incarnation


def is_up(record):
    """Return whether the node of a record is considered running."""
    return record.status <= Status.SUSPECT


def hash64(text):
    """Return a 64-bit hash of a text, the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def bucket_of(address):
    """Return the number of the bucket that an address belongs to."""
    return hash64(address) % BUCKET_COUNT


def record_hash(record):
    """Return the hash by which a record contributes to digests.

    The hash does not depend on suspicion, which is soon refuted or becomes
    a failure. Nodes that do not run do not contribute, since tables remove
    them at different times.

    Parameters
    ----------
    record : Record
        Record of a node.

    Returns
    -------
    int
        64-bit hash; 0 for a node that does not run.
    """
    if not is_up(record):
        return 0
    return hash64(f'{record.address} {record.incarnation} {record.sequence}')


class RecordTable:
    """Records by address, with the record of highest precedence for each.

    Attributes
    ----------
    by_address : dict of str to Record
        Current record of each address.
    up_by_service : dict of str to dict of str to Record
        Running nodes by service, then by address.
    version : int
        Incremented whenever the set of running nodes changes.
    """

    def __init__(self):
        self.by_address = {}
        self.up_by_service = {}
        self.version = 0
        self._digest_by_bucket = [0] * BUCKET_COUNT
        self._records_by_bucket = [{} for _ in range(BUCKET_COUNT)]
        self._up_addresses = ()
        self._up_version = 0

    def apply(self, record):
        """Store a record if it takes precedence over the current one.

        Parameters
        ----------
        record : Record
            Record of a node.

        Returns
        -------
        bool
            Whether the record was stored.
        """
        known = self.by_address.get(record.address)
        if known is not None and precedence(record) <= precedence(known):
            return False
        self._replace(record.address, known, record)
        return True

    def remove(self, address):
        """Remove the record of an address.

        Parameters
        ----------
        address : str
            ``host:port`` of a node that has a record.
        """
        self._replace(address, self.by_address[address], None)

    def up_addresses(self):
        """Return the addresses of the nodes that are considered running.

        Returns
        -------
        tuple of str
            Sorted addresses.
        """
        if self._up_version != self.version:
            self._up_version = self.version
            self._up_addresses = tuple(
                sorted(r.address for r in self.by_address.values() if is_up(r))
            )
        return self._up_addresses

    def digest(self):
        """Return the digests of all buckets.

        Returns
        -------
        bytes
            `DIGEST_BYTES` for each bucket, in order of bucket number.
        """
        return b''.join(
            value.to_bytes(DIGEST_BYTES, 'big')
            for value in self._digest_by_bucket
        )

    def root_digest(self):
        """Return one digest of the whole table.

        Returns
        -------
        int
            64-bit hash.
        """
        root = 0
        for digest in self._digest_by_bucket:
            root ^= digest
        return root

    def service_digest(self, service):
        """Return the digest of the running nodes of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        int
            64-bit hash; 0 if no node runs the service.
        """
        digest = 0
        for record in self.up_by_service.get(service, {}).values():
            digest ^= record_hash(record)
        return digest

    def differing_buckets(self, digest):
        """Return the buckets whose digests differ from another table's.

        Parameters
        ----------
        digest : bytes
            Result of `digest` of the other table.

        Returns
        -------
        list of int
            Numbers of the differing buckets, in ascending order.
        """
        own_digest = self.digest()
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own_digest[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != digest[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        ]

    def page(self, buckets, limit):
        """Return the records of the first buckets, about ``limit`` in all.

        Parameters
        ----------
        buckets : sequence of int
            Numbers of buckets.
        limit : int
            Number of records from which on no further bucket is added. The
            last bucket is returned whole and may exceed the limit.

        Returns
        -------
        tuple of (list of int, list of Record)
            Numbers of the buckets included, and all their records,
            including those of nodes that do not run.
        """
        included, records = [], []
        for bucket in buckets:
            if len(records) >= limit:
                break
            included.append(bucket)
            records.extend(self._records_by_bucket[bucket].values())
        return included, records

    def newer_than(self, buckets, records):
        """Return the records of this table that another one lacks.

        Parameters
        ----------
        buckets : sequence of int
            Numbers of the buckets to compare.
        records : sequence of Record
            All records of these buckets in the other table.

        Returns
        -------
        list of Record
            Records with precedence over the other table's record of the
            same address, and records of running nodes that the other table
            does not contain.
        """
        received = {record.address: record for record in records}
        _, own_records = self.page(buckets, len(self.by_address) + 1)
        return [
            record
            for record in own_records
            if (
                record.address in received
                and precedence(received[record.address]) < precedence(record)
            )
            or (record.address not in received and is_up(record))
        ]

    def _replace(self, address, old, new):
        bucket = bucket_of(address)
        change = 0
        if old is not None:
            change ^= record_hash(old)
            self.up_by_service.get(old.service, {}).pop(address, None)
        if new is None:
            del self.by_address[address]
            del self._records_by_bucket[bucket][address]
        else:
            change ^= record_hash(new)
            self.by_address[address] = new
            self._records_by_bucket[bucket][address] = new
            if is_up(new):
                self.up_by_service.setdefault(new.service, {})[address] = new
        self._digest_by_bucket[bucket] ^= change
        was_up = old is not None and is_up(old)
        if was_up != (new is not None and is_up(new)):
            self.version += 1
