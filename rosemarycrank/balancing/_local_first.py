"""Balancer that prefers the own failure domain."""

from rosemarycrank.balancing import _base
from rosemarycrank.balancing import _observed
from rosemarycrank.balancing import _subset
from rosemarycrank import kernel
from rosemarycrank import results

#: Share of the attempts that a cold target gets at first.
COLD_SHARE = 0.1
#: Advantage in utilisation that another failure domain needs: for rank 0,
#: and what each further rank adds up to `MAX_SPILL_MARGIN`.
SPILL_MARGIN = 0.1
SPILL_MARGIN_STEP = 0.1
MAX_SPILL_MARGIN = 0.5
#: Return of callers refused early when no reply named a time.
DEFAULT_RETRY_AFTER_S = 0.5
#: States of targets and levels are dropped after this time without use.
FORGET_S = 60.0

#: Refusals that concern the target as a whole, not one rank.
_TARGET_REFUSALS = frozenset(
    result.number
    for result in (
        results.Result.NO_BUNDLE,
        results.Result.PARTNER_LEFT,
        results.Result.LEAVING,
        results.Result.STALE_ATTEMPT,
        results.Result.UPSTREAM_REFUSED,
        results.Result.BACKPRESSURE,
        results.Result.CONNECT_FAILED,
    )
)


@kernel.register('balancing', 'local-first')
class LocalFirst(_base.Balancer):
    """Two random choices in the own failure domain, else in others.

    A request leaves its failure domain when the targets there shed its
    rank, or are busier than others by a margin that grows with the rank.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Random source.
    subset_size : int, default=16
        Most targets of a service that this node connects to, in the own
        failure domain and again in others.
    spill_at : float, default=0.8
        Utilisation of the own targets from which on a request may leave.
    cold_s : float, default=2.0
        Time over which a new target comes to its full share, in seconds.
    probe_share : float, default=0.005
        Share of the requests to be shed early that are sent all the same,
        so that the end of an overload is noticed.
    """

    def __init__(
        self,
        failure_domain,
        random,
        subset_size=16,
        spill_at=0.8,
        cold_s=2.0,
        probe_share=0.005,
    ):
        super().__init__(failure_domain, random)
        self.subset_size = subset_size
        self.spill_at = spill_at
        self.cold_s = cold_s
        self.probe_share = probe_share
        self._subsets = _subset.Subsets(
            failure_domain, random.getrandbits(64), subset_size
        )
        self._by_address = {}
        self._addresses_by_service = {}
        self._next_sweep = 0.0

    def choose(self, candidates, rank, excluded, now):
        """Choose a target that is not tried, avoided or cold if it can."""
        left = [
            target
            for target in self._subsets.of(candidates)
            if target.address not in excluded
        ]
        if not left:
            left = [t for t in candidates if t.address not in excluded]
        if not left:
            return None
        usable = [t for t in left if self._is_usable(t, now)]
        if not usable:
            return min(left, key=lambda t: self._state(t, now).avoid_until)
        return self._choose_side(usable, rank, now)

    def record_sent(self, target, now):
        """Count the attempt as in flight at the target."""
        self._state(target, now).in_flight += 1

    def record_finished(self, target, latency_s, reply, now):
        """Take the load that the reply brings; avoid a failing target."""
        state = self._by_address.get(target.address)
        if state is None or state.incarnation != target.incarnation:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if reply is None:
            state.fail(now)
            return
        if reply.limit or reply.in_flight:
            state.hear(reply, now)
        if reply.result in _TARGET_REFUSALS:
            state.fail(now)
        else:
            state.succeed()

    def shed_retry_after_s(self, service, rank, shed_hash, now):
        """Return a time to come back if all targets heard of shed it."""
        level_states = [
            self._by_address[address]
            for address in self._addresses_by_service.get(service, ())
            if now - self._by_address[address].heard <= _observed.LEVEL_VALID_S
        ]
        if not level_states:
            return 0.0
        if not all(s.sheds(rank, shed_hash, now) for s in level_states):
            return 0.0
        if self.random.random() < self.probe_share:
            return 0.0
        named = [s.retry_after_s for s in level_states if s.retry_after_s > 0]
        return min(named, default=DEFAULT_RETRY_AFTER_S)

    def dump(self):
        """Return what is observed, by address."""
        return {
            address: {
                'in_flight': state.in_flight,
                'limit': state.limit,
                'failures': state.failures,
                'shed_rank': state.shed_rank,
                'shed_fraction': state.shed_fraction,
            }
            for address, state in sorted(self._by_address.items())
        }

    def _choose_side(self, usable, rank, now):
        own = self._pick(
            [t for t in usable if t.failure_domain == self.failure_domain],
            now,
        )
        if own is not None and not self._is_short(own, rank, now):
            return own
        other = self._pick(
            [t for t in usable if t.failure_domain != self.failure_domain],
            now,
        )
        if own is None or other is None:
            return other or own
        return other if self._spills(own, other, rank, now) else own

    def _is_short(self, target, rank, now):
        state = self._state(target, now)
        if self._sheds_rank(state, rank, now):
            return True
        return state.utilisation(target.slots, now) >= self.spill_at

    def _spills(self, own, other, rank, now):
        own_state = self._state(own, now)
        other_state = self._state(other, now)
        if self._sheds_rank(other_state, rank, now):
            return False
        if self._sheds_rank(own_state, rank, now):
            return True
        margin = min(MAX_SPILL_MARGIN, SPILL_MARGIN + SPILL_MARGIN_STEP * rank)
        gain = own_state.utilisation(own.slots, now) - other_state.utilisation(
            other.slots, now
        )
        return gain >= margin

    def _sheds_rank(self, state, rank, now):
        # Half of a rank is shed from the middle hash on.
        return state.sheds(rank, 0.5, now)

    def _pick(self, targets, now):
        if not targets:
            return None
        if len(targets) == 1:
            return targets[0]
        first, second = self.random.sample(targets, 2)
        if self._score(second, now) < self._score(first, now):
            return second
        return first

    def _score(self, target, now):
        state = self._state(target, now)
        score = state.utilisation(target.slots, now)
        share = self._warm_share(state, now)
        if share < 1.0 and self.random.random() >= share:
            score += 1.0
        return score

    def _warm_share(self, state, now):
        age_s = now - state.first_seen
        if self.cold_s <= 0 or age_s >= self.cold_s:
            return 1.0
        return COLD_SHARE + (1.0 - COLD_SHARE) * age_s / self.cold_s

    def _is_usable(self, target, now):
        return now >= self._state(target, now).avoid_until

    def _state(self, target, now):
        state = self._by_address.get(target.address)
        if state is None or state.incarnation != target.incarnation:
            state = _observed.ObservedTarget(target.incarnation, now)
            self._by_address[target.address] = state
            addresses = self._addresses_by_service.setdefault(
                target.service, set()
            )
            addresses.add(target.address)
            self._sweep(now)
        return state

    def _sweep(self, now):
        if now < self._next_sweep:
            return
        self._next_sweep = now + FORGET_S
        stale = [
            address
            for address, state in self._by_address.items()
            if not state.in_flight
            and now - max(state.heard, state.first_seen) > FORGET_S
        ]
        for address in stale:
            del self._by_address[address]
            for addresses in self._addresses_by_service.values():
                addresses.discard(address)
