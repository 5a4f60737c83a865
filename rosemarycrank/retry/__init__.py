"""Retry budgets, which limit the retries that an entry node sends."""

from rosemarycrank.retry import _base
from rosemarycrank.retry import _token_bucket

RetryBudget = _base.RetryBudget
TokenBucket = _token_bucket.TokenBucket
Unlimited = _base.Unlimited

__all__ = ['RetryBudget', 'TokenBucket', 'Unlimited']
