"""Load balancing: choice of the target of an attempt."""

import abc

from rosemarycrank import plugins

#: Service time assumed for a target that has not reported its load, in
#: seconds.
DEFAULT_SERVICE_S = 0.03

#: Cost of choosing a target in another failure domain, as a share of the
#: route's latency goal.
OTHER_DOMAIN_COST = 0.15

#: Share of choices that are made at random, so that the load of slow and new
#: targets is reported too.
EXPLORATION_SHARE = 0.02

#: Relative increase of the expected service time of a target from empty to
#: full.
FULL_TARGET_SLOWDOWN = 0.2

#: Weight of queueing time relative to service time. With a weight of 1, the
#: queues of fast targets would grow until waiting there takes as long as the
#: longer service time of a slow target, and the capacity of the slow target
#: would be lost when the service is overloaded.
QUEUE_WEIGHT = 4.0

#: Minimum weight of one attempt in the moving average of failures.
FAILURE_WEIGHT = 0.06

#: Time in which the confidence in a failure share decays to one half, in
#: seconds. The decay lets a target that has recovered be tried again.
CONFIDENCE_HALF_LIFE_S = 3.0

#: Confidence below which a failure share is dropped.
MIN_CONFIDENCE = 0.05

#: Minimum total weight of the other targets for a comparison of failure
#: shares.
MIN_COMPARISON_WEIGHT = 0.02

#: Number of attempts from which a failure share has its full weight.
FULL_WEIGHT_ATTEMPTS = 10.0

#: Excess of a target's failure share over that of the other targets that is
#: attributed to chance.
MAX_CHANCE_EXCESS = 0.12

#: Cost of a failure, in multiples of the route's latency goal. A failure
#: costs the whole request.
FAILURE_COST = 3.0

#: Maximum number of targets compared for one choice. From more, a sample is
#: taken, so that the cost of a choice does not grow with the service.
MAX_COMPARED_TARGETS = 8


class _FailureShare:
    """Moving average of the share of attempts at a target that failed.

    Attributes
    ----------
    share : float
        The share, as of the newest attempt.
    """

    __slots__ = ('share', '_count', '_updated_at')

    def __init__(self):
        self.share = 0.0
        self._count = 0
        self._updated_at = 0.0

    def add(self, failed, now):
        """Add the outcome of an attempt."""
        self._count += 1
        weight = max(
            FAILURE_WEIGHT, 1.0 / self._count, 1.0 - self.confidence(now)
        )
        self.share += weight * (failed - self.share)
        self._updated_at = now

    def confidence(self, now):
        """Return the confidence in the share: 1 when updated, decays to 0."""
        return CONFIDENCE_HALF_LIFE_S / (
            CONFIDENCE_HALF_LIFE_S + now - self._updated_at
        )

    def weight(self, now):
        """Return the weight of the share in averages over targets."""
        return min(1.0, self._count / FULL_WEIGHT_ATTEMPTS) * self.confidence(
            now
        )


_NO_FAILURES = _FailureShare()


class TargetChooser(abc.ABC):
    """Load balancer over the targets of a service.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this node.
    random : random.Random
        Random source.
    """

    def __init__(self, failure_domain, random):
        self.failure_domain = failure_domain
        self.random = random

    def record_outcome(self, instance, failed, now):
        """Record the outcome of an attempt.

        Parameters
        ----------
        instance : str
            Identifier of the target.
        failed : bool
            Whether the target refused the attempt, or the attempt failed or
            timed out.
        now : float
            Seconds of the node's clock.
        """

    @abc.abstractmethod
    def choose(self, records, peers_by_node, latency_goal_s, now):
        """Choose a target.

        Parameters
        ----------
        records : sequence of TargetRecord
            Candidates; at least one.
        peers_by_node : dict of str to Peer
            Peers to which this node has sent attempts, by address.
        latency_goal_s : float
            Latency goal of the route, in seconds.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        TargetRecord
            The chosen target.
        """


@plugins.register('target_chooser', 'random')
class RandomTarget(TargetChooser):
    """Baseline that ignores load, failures and failure domains."""

    def choose(self, records, peers_by_node, latency_goal_s, now):
        """Choose a target at random."""
        return self.random.choice(records)


@plugins.register('target_chooser', 'expected_finish')
class ExpectedFinish(TargetChooser):
    """Chooses the target with the least expected cost.

    The cost is the expected time until the attempt completes, from the load
    that the target's node reported last and the attempts sent there since.
    Targets in other failure domains than this node's cost more, so that they
    take only excess load. Targets that fail more attempts than the others
    cost more as well: a target that fails fast would otherwise seem the
    fastest and attract all of the load.
    """

    def __init__(self, failure_domain, random):
        super().__init__(failure_domain, random)
        self._failures_by_instance = {}

    def record_outcome(self, instance, failed, now):
        """Add the outcome of an attempt to the target's failure share."""
        failures = self._failures_by_instance.get(instance)
        if failures is None:
            self._drop_stale(now)
            failures = self._failures_by_instance[instance] = _FailureShare()
        failures.add(failed, now)

    def _drop_stale(self, now):
        """Drop shares without recent attempts, such as of stopped targets."""
        failures_by_instance = self._failures_by_instance
        for instance in list(failures_by_instance):
            if failures_by_instance[instance].confidence(now) < MIN_CONFIDENCE:
                del failures_by_instance[instance]

    def choose(self, records, peers_by_node, latency_goal_s, now):
        """Choose the target with the least expected cost."""
        if len(records) == 1:
            return records[0]
        if self.random.random() < EXPLORATION_SHARE:
            return self.random.choice(records)
        if len(records) > MAX_COMPARED_TARGETS:
            records = self._sample(records)
        best, best_cost_s = None, 0.0
        excess_by_instance = self._excess_failures(records, now)
        for record in records:
            cost_s = self._expected_cost_s(
                record, peers_by_node.get(record.node)
            )
            if excess_by_instance is not None:
                cost_s += (
                    FAILURE_COST
                    * latency_goal_s
                    * excess_by_instance[record.instance]
                )
            if record.failure_domain != self.failure_domain:
                cost_s += OTHER_DOMAIN_COST * latency_goal_s
            cost_s *= 1.0 + 0.02 * self.random.random()
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = record, cost_s
        return best

    def _excess_failures(self, records, now):
        """Return the excess of each target's failure share over the others.

        Returns
        -------
        dict of str to float or None
            Excess by target, 0 if it may be due to chance. None if no target
            has a notable failure share.
        """
        by_instance = self._failures_by_instance
        failure_shares = [
            by_instance.get(record.instance, _NO_FAILURES)
            for record in records
        ]
        if all(
            failures.share <= MAX_CHANCE_EXCESS for failures in failure_shares
        ):
            return None
        weights = [failures.weight(now) for failures in failure_shares]
        weight_sum = sum(weights)
        failed_sum = sum(
            failures.share * weight
            for failures, weight in zip(failure_shares, weights)
        )
        excess_by_instance = {}
        for record, failures, weight in zip(records, failure_shares, weights):
            excess = 0.0
            other_weight = weight_sum - weight
            if other_weight > MIN_COMPARISON_WEIGHT:
                other_share = (
                    failed_sum - failures.share * weight
                ) / other_weight
                excess = (
                    failures.share * failures.confidence(now) - other_share
                )
            excess_by_instance[record.instance] = (
                excess if excess > MAX_CHANCE_EXCESS else 0.0
            )
        return excess_by_instance

    def _sample(self, records):
        """Return a sample of `MAX_COMPARED_TARGETS` records.

        Up to half of it is from this node's failure domain. The rest is drawn
        from all records, so a record may occur twice.
        """
        local = [
            record
            for record in records
            if record.failure_domain == self.failure_domain
        ]
        half = MAX_COMPARED_TARGETS // 2
        if len(local) > half:
            local = self.random.sample(local, half)
        return local + self.random.sample(
            records, MAX_COMPARED_TARGETS - len(local)
        )

    @staticmethod
    def _expected_cost_s(record, peer):
        """Return the expected time of an attempt, with queueing weighted."""
        if peer is None or peer.load is None:
            outstanding = peer.outstanding if peer is not None else 0
            slots = record.slots or 1
            return DEFAULT_SERVICE_S * max(1.0, (outstanding + 1) / slots)
        load = peer.load
        limit = load.limit or 1
        attempts = load.running + load.waiting + peer.sent_since_load + 1
        service_s = load.service_s or DEFAULT_SERVICE_S
        # The service time grows as the target fills up.
        cost_s = service_s * (
            1.0 + FULL_TARGET_SLOWDOWN * min(1.0, attempts / limit)
        )
        if attempts > limit:
            cost_s += QUEUE_WEIGHT * service_s * (attempts - limit) / limit
        return cost_s
