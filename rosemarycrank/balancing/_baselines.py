"""Simple balancers, used as baselines in benchmarks."""

from rosemarycrank.balancing import _base
from rosemarycrank import kernel


@kernel.register('balancing', 'random')
class RandomChoice(_base.Balancer):
    """Chooses among all candidates with equal probability."""

    def choose(self, candidates, rank, excluded, now):
        """Choose one of the candidates that are not excluded."""
        remaining = [c for c in candidates if c.address not in excluded]
        return self.random.choice(remaining) if remaining else None

    def record_sent(self, target, now):
        """Do nothing: no state is kept."""

    def record_finished(self, target, latency_s, reply, now):
        """Do nothing: no state is kept."""
