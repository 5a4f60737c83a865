"""Table of node records with digests for comparing two tables."""

import hashlib

from rosemarycrank.membership import _messages

BUCKET_COUNT = 64
DIGEST_BYTES = 8

Status = _messages.Status


def precedence(record):
    """Return the sort key by which the later news wins.

    Parameters
    ----------
    record : Record
        Record of a node.

    Returns
    -------
    tuple of int
        Greater for later news of the same address.
    """
    return record.sequence, record.status, record.incarnation


def is_up(record):
    """Return whether a record speaks of a node that is taken to run."""
    return record.status <= Status.SUSPECT


def hash64(text):
    """Return a hash of 64 bits that all nodes agree on."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def bucket_of(address):
    """Return the number of the bucket that an address falls into."""
    return hash64(address) % BUCKET_COUNT


def record_hash(record):
    """Return the part of a record in digests.

    Suspicion is left out, since it passes or turns into a failure, and so
    are nodes that do not run, since tables forget them at different times.

    Parameters
    ----------
    record : Record
        Record of a node.

    Returns
    -------
    int
        Hash of 64 bits; 0 for a node that does not run.
    """
    if not is_up(record):
        return 0
    return hash64(f'{record.address} {record.incarnation} {record.sequence}')


class RecordTable:
    """Records by address; later news replaces earlier news.

    Attributes
    ----------
    by_address : dict of str to Record
        Latest record of each address.
    up_by_service : dict of str to dict of str to Record
        Running nodes by service, then by address.
    version : int
        Grows with each change of the set of running nodes.
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
        """Take a record unless what is known is as late or later.

        Parameters
        ----------
        record : Record
            News of a node.

        Returns
        -------
        bool
            Whether the record was news.
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
            ``host:port`` of a known node.
        """
        self._replace(address, self.by_address[address], None)

    def up_addresses(self):
        """Return the addresses of the nodes that are taken to run.

        Returns
        -------
        tuple of str
            In order of address.
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
            `DIGEST_BYTES` for each bucket.
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
            Hash of 64 bits.
        """
        root_digest = 0
        for digest in self._digest_by_bucket:
            root_digest ^= digest
        return root_digest

    def service_digest(self, service):
        """Return the digest of the running nodes of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        int
            Hash of 64 bits; 0 when there are none.
        """
        digest = 0
        for record in self.up_by_service.get(service, {}).values():
            digest ^= record_hash(record)
        return digest

    def differing_buckets(self, digest):
        """Compare the digests of another table.

        Parameters
        ----------
        digest : bytes
            Result of `digest` of the other table.

        Returns
        -------
        list of int
            Numbers of the buckets that differ.
        """
        own = self.digest()
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
            != digest[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
        ]

    def page(self, buckets, limit):
        """Return the records of the first buckets, about ``limit`` in all.

        Parameters
        ----------
        buckets : sequence of int
            Numbers of buckets.
        limit : int
            Number of records after which no further bucket is begun.

        Returns
        -------
        tuple of (list of int, list of Record)
            The buckets that were taken, and their records, nodes that do
            not run included.
        """
        included, records = [], []
        for bucket in buckets:
            if len(records) >= limit:
                break
            included.append(bucket)
            records.extend(self._records_by_bucket[bucket].values())
        return included, records

    def newer_than(self, buckets, records):
        """Return what is known better here than in another table.

        Parameters
        ----------
        buckets : sequence of int
            Numbers of the buckets to compare.
        records : sequence of Record
            All records of these buckets in the other table.

        Returns
        -------
        list of Record
            Records that the other table lacks or has an older one of.
        """
        received = {record.address: record for record in records}
        _, own = self.page(buckets, len(self.by_address) + 1)
        return [
            record
            for record in own
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
