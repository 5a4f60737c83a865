"""Balancer that prefers targets in the failure domain of the entry node."""

from rosemarycrank.balancing import _base
from rosemarycrank.balancing import _observed
from rosemarycrank.balancing import _subset
from rosemarycrank import kernel
from rosemarycrank import results

#: Share of its normal attempts that a new target gets at first.
INITIAL_COLD_SHARE = 0.1
#: Margin by which the utilisation of a target in another failure domain must
#: be lower for a request to spill over: for rank 0, the increment for each
#: further rank, and the maximum.
BASE_SPILL_MARGIN = 0.1
SPILL_MARGIN_PER_RANK = 0.1
MAX_SPILL_MARGIN = 0.5
#: Retry delay for callers that are refused early, when no reply named one.
DEFAULT_RETRY_AFTER_S = 0.5
#: Age at which the state of a target without attempts in flight is dropped.
STATE_EXPIRY_S = 60.0

#: Numbers of the results that concern a target as a whole and not one rank.
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
    """Takes the better of two random targets, in the local domain if possible.

    A request spills over to another failure domain when the local target
    sheds its rank, or is busier than the remote one by a margin that grows
    with the rank.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Source of randomness.
    subset_size : int, default=16
        Maximum number of targets of a service that this node connects to in
        its failure domain, and also the maximum in all others together.
    spill_at : float, default=0.8
        Utilisation of the local target at which requests may spill over to
        another failure domain.
    cold_s : float, default=2.0
        Duration of the slow start of a new target, in seconds.
    probe_share : float, default=0.005
        Share of the requests to be refused early that are sent nevertheless,
        as probes to detect the end of an overload.
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
        self._target_subsets = _subset.TargetSubsets(
            failure_domain, random.getrandbits(64), subset_size
        )
        self._states_by_address = {}
        self._addresses_by_service = {}
        self._next_expiry = 0.0

    def choose(self, candidates, rank, excluded, now):
        """Choose a target, preferably one that is not in backoff or cold."""
        remaining = [
            target
            for target in self._target_subsets.select(candidates)
            if target.address not in excluded
        ]
        if not remaining:
            remaining = [t for t in candidates if t.address not in excluded]
        if not remaining:
            return None
        usable = [t for t in remaining if self._is_usable(t, now)]
        if not usable:
            return min(
                remaining, key=lambda t: self._state(t, now).backoff_until
            )
        return self._choose_domain(usable, rank, now)

    def record_sent(self, target, now):
        """Count the attempt as in flight at the target."""
        self._state(target, now).in_flight += 1

    def record_finished(self, target, latency_s, reply, now):
        """Store the load in the reply; back off from a failing target."""
        state = self._states_by_address.get(target.address)
        if state is None or state.incarnation != target.incarnation:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if reply is None:
            state.record_failure(now)
            return
        if reply.limit or reply.in_flight:
            state.record_reply(reply, now)
        if reply.result in _TARGET_REFUSALS:
            state.record_failure(now)
        else:
            state.record_success()

    def shed_retry_after_s(self, service, rank, shed_hash, now):
        """Return a retry delay if all recent levels shed the request."""
        recent_states = [
            self._states_by_address[address]
            for address in self._addresses_by_service.get(service, ())
            if now - self._states_by_address[address].last_reply_time
            <= _observed.MAX_LEVEL_AGE_S
        ]
        if not recent_states:
            return 0.0
        if not all(s.sheds(rank, shed_hash, now) for s in recent_states):
            return 0.0
        if self.random.random() < self.probe_share:
            return 0.0
        delays_s = [
            s.retry_after_s for s in recent_states if s.retry_after_s > 0
        ]
        return min(delays_s, default=DEFAULT_RETRY_AFTER_S)

    def dump(self):
        """Return the observed state of each target, by address."""
        return {
            address: {
                'in_flight': state.in_flight,
                'limit': state.limit,
                'failures': state.failures,
                'shed_rank': state.shed_rank,
                'shed_fraction': state.shed_fraction,
            }
            for address, state in sorted(self._states_by_address.items())
        }

    def _choose_domain(self, usable, rank, now):
        local = self._choose_of_two(
            [t for t in usable if t.failure_domain == self.failure_domain],
            now,
        )
        if local is not None and not self._may_spill(local, rank, now):
            return local
        remote = self._choose_of_two(
            [t for t in usable if t.failure_domain != self.failure_domain],
            now,
        )
        if local is None or remote is None:
            return remote or local
        return (
            remote if self._should_spill(local, remote, rank, now) else local
        )

    def _may_spill(self, target, rank, now):
        state = self._state(target, now)
        if self._sheds_rank(state, rank, now):
            return True
        return state.utilisation(target.slots, now) >= self.spill_at

    def _should_spill(self, local, remote, rank, now):
        local_state = self._state(local, now)
        remote_state = self._state(remote, now)
        if self._sheds_rank(remote_state, rank, now):
            return False
        if self._sheds_rank(local_state, rank, now):
            return True
        margin = min(
            MAX_SPILL_MARGIN, BASE_SPILL_MARGIN + SPILL_MARGIN_PER_RANK * rank
        )
        advantage = local_state.utilisation(
            local.slots, now
        ) - remote_state.utilisation(remote.slots, now)
        return advantage >= margin

    def _sheds_rank(self, state, rank, now):
        # A rank counts as shed if at least half of its hash range is shed,
        # which then includes the middle.
        return state.sheds(rank, 0.5, now)

    def _choose_of_two(self, targets, now):
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
        share = self._warm_up_share(state, now)
        if share < 1.0 and self.random.random() >= share:
            score += 1.0
        return score

    def _warm_up_share(self, state, now):
        age_s = now - state.first_seen_time
        if self.cold_s <= 0 or age_s >= self.cold_s:
            return 1.0
        return (
            INITIAL_COLD_SHARE
            + (1.0 - INITIAL_COLD_SHARE) * age_s / self.cold_s
        )

    def _is_usable(self, target, now):
        return now >= self._state(target, now).backoff_until

    def _state(self, target, now):
        state = self._states_by_address.get(target.address)
        if state is None or state.incarnation != target.incarnation:
            state = _observed.ObservedTarget(target.incarnation, now)
            self._states_by_address[target.address] = state
            addresses = self._addresses_by_service.setdefault(
                target.service, set()
            )
            addresses.add(target.address)
            self._expire_states(now)
        return state

    def _expire_states(self, now):
        if now < self._next_expiry:
            return
        self._next_expiry = now + STATE_EXPIRY_S
        expired = [
            address
            for address, state in self._states_by_address.items()
            if not state.in_flight
            and now - max(state.last_reply_time, state.first_seen_time)
            > STATE_EXPIRY_S
        ]
        for address in expired:
            del self._states_by_address[address]
            for addresses in self._addresses_by_service.values():
                addresses.discard(address)
