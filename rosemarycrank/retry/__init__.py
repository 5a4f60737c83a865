"""Retry budgets of entry nodes."""

from rosemarycrank.retry import _base

RetryBudget = _base.RetryBudget
Unlimited = _base.Unlimited

__all__ = ['RetryBudget', 'Unlimited']
