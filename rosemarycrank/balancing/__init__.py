"""Choice of the target of each attempt, on the entry node."""

from rosemarycrank.balancing import _base
from rosemarycrank.balancing import _baselines
from rosemarycrank.balancing import _local_first

Balancer = _base.Balancer
LocalFirst = _local_first.LocalFirst
Target = _base.Target
RandomChoice = _baselines.RandomChoice

__all__ = ['Balancer', 'LocalFirst', 'RandomChoice', 'Target']
