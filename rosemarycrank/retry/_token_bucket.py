"""Token bucket per service."""

import attrs

from rosemarycrank import kernel
from rosemarycrank.retry import _base


@attrs.define
class _Bucket:
    tokens: float
    updated: float


@kernel.register('retry', 'token-bucket')
class TokenBucket(_base.RetryBudget):
    """Permits retries up to a share of the first attempts.

    Parameters
    ----------
    share : float, default=0.1
        Retries earned by each first attempt.
    floor_per_s : float, default=1.0
        Retries per second that are permitted without first attempts.
    burst : float, default=10.0
        Most retries that are saved up for each service.

    Attributes
    ----------
    buckets_by_service_ : dict of str to object
        Tokens of each service.
    """

    def __init__(self, share=0.1, floor_per_s=1.0, burst=10.0):
        self.share = share
        self.floor_per_s = floor_per_s
        self.burst = burst
        self.buckets_by_service_ = {}

    def deposit(self, service, now):
        """Add the share of one first attempt."""
        bucket = self._bucket(service, now)
        bucket.tokens = min(self.burst, bucket.tokens + self.share)

    def spend(self, service, now):
        """Take one token if there is one."""
        bucket = self._bucket(service, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _bucket(self, service, now):
        bucket = self.buckets_by_service_.get(service)
        if bucket is None:
            bucket = _Bucket(min(1.0, self.burst), now)
            self.buckets_by_service_[service] = bucket
        earned = self.floor_per_s * max(0.0, now - bucket.updated)
        bucket.tokens = min(self.burst, bucket.tokens + earned)
        bucket.updated = max(bucket.updated, now)
        return bucket
