"""Choice of the target of an attempt."""

import abc

from rosemarycrank import kernel

#: Usual time of a run assumed of a target that has not answered yet, s.
UNKNOWN_SERVICE_S = 0.03

#: Share of a route's aim that a request may take longer in the own failure
#: domain before it goes to another one.
AWAY_SHARE = 0.15

#: Share of choices that go to any target, so that a slow or new one is
#: heard of.
EXPLORED_SHARE = 0.02

#: Share of its usual time by which a full target is dearer than an empty one.
FULL_SHARE = 0.2

#: How much dearer a second in a queue is than a second at work. With 1, fast
#: targets would build queues as long as the time that a slow one takes more,
#: and the slow one's room would be lost when the service is short of it.
QUEUE_WEIGHT = 4.0

#: Weight of one attempt in the share that failed; and the time in which that
#: share fades, so that a target that has recovered is tried again, in s.
FAILURE_WEIGHT = 0.06
FAILURES_FADE_S = 3.0

#: How fresh a share has to be to be remembered, and the least weight of the
#: others to which one is compared.
FADED = 0.05
LEAST_WEIGHT = 0.02

#: Attempts from which on a share is certain.
CERTAIN_ATTEMPTS = 10.0

#: Share of failures above that of the other targets that is taken as chance.
USUAL_FAILURES = 0.12

#: Times of the aim that a failure is as dear as: it costs the whole request.
FAILURE_AIMS = 3.0

#: Targets compared for one choice; more are sampled, so that the cost of a
#: choice does not grow with the service.
MOST_COMPARED = 8


class _Failures:
    """Share of the attempts at a target that failed, lately.

    Attributes
    ----------
    share : float
        The share, as of the last attempt.
    """

    __slots__ = ('share', '_count', '_at')

    def __init__(self):
        self.share = 0.0
        self._count = 0
        self._at = 0.0

    def add(self, failed, now):
        """Take the end of an attempt."""
        self._count += 1
        weight = max(FAILURE_WEIGHT, 1.0 / self._count, 1.0 - self.fresh(now))
        self.share += weight * (failed - self.share)
        self._at = now

    def fresh(self, now):
        """Return how fresh the share is, from 1 to 0."""
        return FAILURES_FADE_S / (FAILURES_FADE_S + now - self._at)

    def weight(self, now):
        """Return how much the share tells beside those of others."""
        return min(1.0, self._count / CERTAIN_ATTEMPTS) * self.fresh(now)


_NO_FAILURES = _Failures()


class TargetChooser(abc.ABC):
    """Chooses among the targets of a service.

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
        """Take how an attempt at a target ended.

        Parameters
        ----------
        instance : str
            The target.
        failed : bool
            Whether it refused or failed what it might have served.
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
            State of the nodes that were called before.
        latency_goal_s : float
            Time within which the answer is worth most, in seconds.
        now : float
            Seconds of the node's clock.

        Returns
        -------
        TargetRecord
            The choice.
        """


@kernel.register('target_chooser', 'random')
class RandomTarget(TargetChooser):
    """Baseline: any target, without regard to load or place."""

    def choose(self, records, peers_by_node, latency_goal_s, now):
        """Choose a target at random."""
        return self.random.choice(records)


@kernel.register('target_chooser', 'expected_finish')
class ExpectedFinish(TargetChooser):
    """The target that is expected to answer first, the own domain first.

    What a node reported last, and what was sent to it since, give the time
    until a new attempt would end there. A target that fails more of its
    attempts than the others do is dearer by what that is worth: one that
    fails at once would else look fast and draw all of the load.
    """

    def __init__(self, failure_domain, random):
        super().__init__(failure_domain, random)
        self._failures_by_instance = {}

    def record_outcome(self, instance, failed, now):
        """Average the failures of a target."""
        failures = self._failures_by_instance.get(instance)
        if failures is None:
            self._forget_faded(now)
            failures = self._failures_by_instance[instance] = _Failures()
        failures.add(failed, now)

    def _forget_faded(self, now):
        """Drop targets that have not failed lately, many of them gone."""
        known = self._failures_by_instance
        for instance in list(known):
            if known[instance].fresh(now) < FADED:
                del known[instance]

    def choose(self, records, peers_by_node, latency_goal_s, now):
        """Choose the target with the least expected time."""
        if len(records) == 1:
            return records[0]
        if self.random.random() < EXPLORED_SHARE:
            return self.random.choice(records)
        if len(records) > MOST_COMPARED:
            records = self._sample(records)
        best, best_s = None, 0.0
        excess = self._excess_failures(records, now)
        for record in records:
            cost_s = self._expected_s(record, peers_by_node.get(record.node))
            if excess is not None:
                cost_s += (
                    FAILURE_AIMS * latency_goal_s * excess[record.instance]
                )
            if record.failure_domain != self.failure_domain:
                cost_s += AWAY_SHARE * latency_goal_s
            cost_s *= 1.0 + 0.02 * self.random.random()
            if best is None or cost_s < best_s:
                best, best_s = record, cost_s
        return best

    def _excess_failures(self, records, now):
        """Return by how much each target fails more than the others do.

        Returns
        -------
        dict of str to float or None
            Shares by target; None if hardly anything fails.
        """
        by_instance = self._failures_by_instance
        known = [
            by_instance.get(record.instance, _NO_FAILURES)
            for record in records
        ]
        if all(failures.share <= USUAL_FAILURES for failures in known):
            return None
        weights = [failures.weight(now) for failures in known]
        weight_sum = sum(weights)
        failed_sum = sum(f.share * w for f, w in zip(known, weights))
        excess = {}
        for record, failures, weight in zip(records, known, weights):
            more = 0.0
            of_others = weight_sum - weight
            if of_others > LEAST_WEIGHT:
                others = (failed_sum - failures.share * weight) / of_others
                more = failures.share * failures.fresh(now) - others
            excess[record.instance] = more if more > USUAL_FAILURES else 0.0
        return excess

    def _sample(self, records):
        near = [
            record
            for record in records
            if record.failure_domain == self.failure_domain
        ]
        half = MOST_COMPARED // 2
        if len(near) > half:
            near = self.random.sample(near, half)
        return near + self.random.sample(records, MOST_COMPARED - len(near))

    @staticmethod
    def _expected_s(record, peer):
        if peer is None or peer.load is None:
            outstanding = peer.outstanding if peer is not None else 0
            slots = record.slots or 1
            return UNKNOWN_SERVICE_S * max(1.0, (outstanding + 1) / slots)
        load = peer.load
        limit = load.limit or 1
        ahead = load.running + load.waiting + peer.sent_since_load + 1
        service_s = load.service_s or UNKNOWN_SERVICE_S
        # A nearly full target is a little dearer than an empty one.
        cost_s = service_s * (1.0 + FULL_SHARE * min(1.0, ahead / limit))
        if ahead > limit:
            cost_s += QUEUE_WEIGHT * service_s * (ahead - limit) / limit
        return cost_s
