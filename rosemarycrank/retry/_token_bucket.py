"""Retry budget with one token bucket for each service."""

import attrs

from rosemarycrank import kernel
from rosemarycrank.retry import _base


@attrs.define
class _Bucket:
    tokens: float
    updated_at: float


@kernel.register('retry', 'token-bucket')
class TokenBucket(_base.RetryBudget):
    """Permits retries up to a share of the first attempts.

    Each retry takes one token from the bucket of its service. First attempts
    and the passage of time add tokens.

    Parameters
    ----------
    share : float, default=0.1
        Tokens added by each first attempt.
    floor_per_s : float, default=1.0
        Tokens added per second, so that some retries are permitted even
        without first attempts.
    burst : float, default=10.0
        Maximum number of tokens in a bucket.

    Attributes
    ----------
    buckets_by_service_ : dict of str to object
        Token bucket of each service.
    """

    def __init__(self, share=0.1, floor_per_s=1.0, burst=10.0):
        self.share = share
        self.floor_per_s = floor_per_s
        self.burst = burst
        self.buckets_by_service_ = {}

    def deposit(self, service, now):
        """Add the tokens for one first attempt."""
        bucket = self._refilled_bucket(service, now)
        bucket.tokens = min(self.burst, bucket.tokens + self.share)

    def spend(self, service, now):
        """Take one token if the bucket has one."""
        bucket = self._refilled_bucket(service, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled_bucket(self, service, now):
        bucket = self.buckets_by_service_.get(service)
        if bucket is None:
            bucket = _Bucket(min(1.0, self.burst), now)
            self.buckets_by_service_[service] = bucket
        refill = self.floor_per_s * max(0.0, now - bucket.updated_at)
        bucket.tokens = min(self.burst, bucket.tokens + refill)
        bucket.updated_at = max(bucket.updated_at, now)
        return bucket
