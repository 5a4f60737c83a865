"""Choice of target at the entry node."""

from rosemarycrank.balancing import _base
from rosemarycrank.balancing import _baselines

Balancer = _base.Balancer
Target = _base.Target
RandomChoice = _baselines.RandomChoice

__all__ = ['Balancer', 'RandomChoice', 'Target']
