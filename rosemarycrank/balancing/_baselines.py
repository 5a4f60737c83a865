"""Simple balancers, kept as baselines for measurement."""

from rosemarycrank.balancing import _base
from rosemarycrank import kernel


@kernel.register('balancing', 'random')
class RandomChoice(_base.Balancer):
    """Chooses any candidate with equal probability."""

    def choose(self, candidates, rank, excluded, now):
        """Choose one of the candidates not tried yet."""
        left = [c for c in candidates if c.address not in excluded]
        return self.random.choice(left) if left else None

    def record_sent(self, target, now):
        """Do nothing: no state is kept."""

    def record_finished(self, target, latency_s, reply, now):
        """Do nothing: no state is kept."""
